"""Service discovery: learns of changes with a delay, serves calls one at a time, and can be down."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import NamedTuple

from lab.model.endpoint import ModelEndpoint
from lab.model.engine import Clock, to_us
from lab.model.gateway import ModelGateway
from lab.model.network import Network
from lab.model.scenario import DiscoveryTerms
from lab.schedule import stream
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from load_balancer.decisions.events import EndpointListReceived

FAILURE_DELAY_US = 500_000  # time after which a call to an unreachable discovery fails
DISCOVERY_ZONE = 0  # index of the zone that discovery runs in
ENTRY_COST_SHARE = 0.001  # cost of an entry in an answer, as a share of a call's cost
FAILED_CALL_FACTOR = 4  # multiplies the time until a gateway counts as notified, after a failed call


class Change(NamedTuple):
    """A change that discovery has learned of."""

    learned_us: int
    entry: Endpoint


class AssumedNotice(NamedTuple):
    """A change that a gateway counts as notified of, although it has not polled discovery."""

    notified_us: int
    entry: Endpoint


class Registry:
    """The endpoint list, its changes, and the calls of the gateways.

    Attributes:
        sent_entries: Number of list entries sent to gateways.
        call_count: Number of calls by gateways.
    """

    def __init__(
        self,
        clock: Clock,
        terms: DiscoveryTerms,
        network: Network,
        gateways: Sequence[ModelGateway],
        entries: Sequence[Endpoint],
        seed: int,
    ) -> None:
        self.sent_entries = self.call_count = 0
        self._clock = clock
        self._terms = terms
        self._network = network
        self._gateways = gateways
        self._delay_rngs = [stream(seed, f"discovery {n}") for n in range(len(entries))]
        self._learned_us = [0] * len(entries)  # keeps the changes of one endpoint in order
        self._entries = {entry.id: entry for entry in entries}
        self._changes: list[Change] = []
        self._up = True
        self._busy_until_us = 0

    def report_status(self, endpoint: ModelEndpoint, endpoint_id: int, status: EndpointStatus) -> None:
        """Report a change of an endpoint's status, of which discovery learns after the delay `delay_s`."""
        index = endpoint.index
        entry = replace(self._entries[endpoint_id], status=status, started_us=endpoint.started_us)
        due_us = self._clock.now_us + to_us(self._delay_rngs[index].uniform(*self._terms.delay_s))
        self._learned_us[index] = max(due_us, self._learned_us[index] + 1)
        self._clock.call_at(self._learned_us[index], self._apply_change, entry)

    def _apply_change(self, entry: Endpoint) -> None:
        self._entries[entry.id] = entry
        self._changes.append(Change(self._clock.now_us, entry))
        self.resume_watches()

    def assumed_notice(self, gateway: ModelGateway, endpoint_id: int) -> AssumedNotice | None:
        """Return the change that a gateway counts as notified of, or None.

        A gateway that neither watches nor polls counts as notified of what was listed `max_poll_interval_s`
        ago, or four times that long ago after a failed call. Changes that it has received are not considered.
        """
        factor = FAILED_CALL_FACTOR if gateway.call_failed else 1
        max_interval_us = to_us(self._terms.max_poll_interval_s) * factor
        now_us = self._clock.now_us
        if gateway.watching or now_us - gateway.last_call_us < max_interval_us:
            return None
        for learned_us, entry in reversed(self._changes[gateway.discovery_index :]):
            if entry.id == endpoint_id and learned_us <= now_us - max_interval_us:
                return AssumedNotice(max(gateway.last_call_us, learned_us) + max_interval_us, entry)
        return None

    def call(self, gateway: ModelGateway, watch: bool) -> None:
        """Serve a gateway's call after the earlier ones; a call that would wait too long fails."""
        self.call_count += 1
        now_us, epoch = self._clock.now_us, gateway.epoch
        gateway.last_call_us = now_us
        wait_us = max(0, self._busy_until_us - now_us)
        queue_us = to_us(self._terms.max_queue_s)
        if not self._is_reached_by(gateway):
            self._clock.call_at(now_us + FAILURE_DELAY_US, self._fail, gateway, epoch)
        elif wait_us > queue_us:
            self._clock.call_at(now_us + queue_us, self._fail, gateway, epoch)
        else:
            listed_count = 0 if watch else len(self._entries)
            cost_us = round((1.0 + ENTRY_COST_SHARE * listed_count) / self._terms.calls_per_s * 1e6)
            self._busy_until_us = now_us + wait_us + cost_us
            self._clock.call_at(self._busy_until_us, self._answer, gateway, epoch, watch)

    def stop(self) -> None:
        """End all watches, and serve nothing until the next start."""
        self._up = False
        self.break_watches()

    def start(self) -> None:
        """Serve calls and watches again."""
        self._up = True
        self.resume_watches()

    def break_watches(self) -> None:
        """End the watches of gateways that discovery cannot reach; pushed lists are only delayed."""
        for gateway in self._gateways:
            reached = self._is_reached_by(gateway)
            if gateway.up and gateway.watching and not self._terms.pushed and not reached:
                gateway.watching = False
                gateway.last_call_us = self._clock.now_us
                self._fail(gateway, gateway.epoch)

    def resume_watches(self) -> None:
        """Send every watching gateway the changes that it has missed.

        Where lists are pushed, an outage does not end the watches, so that their changes are sent after it.
        """
        for gateway in self._gateways:
            if gateway.up and gateway.watching:
                self._send_changes(gateway)

    def _is_reached_by(self, gateway: ModelGateway) -> bool:
        return self._up and self._network.reaches(gateway.zone, DISCOVERY_ZONE)

    def _send_changes(self, gateway: ModelGateway) -> None:
        if not self._is_reached_by(gateway):
            return
        changed = {entry.id: entry for _, entry in self._changes[gateway.discovery_index :]}
        gateway.discovery_index = len(self._changes)
        self.sent_entries += len(changed)
        gateway.deliver_list(EndpointListReceived(ListKind.DELTA, tuple(changed.values())))

    def _fail(self, gateway: ModelGateway, epoch: int) -> None:
        if gateway.epoch == epoch and gateway.up:
            gateway.call_failed = True
            gateway.deliver(EndpointListReceived(ListKind.ERROR))

    def _answer(self, gateway: ModelGateway, epoch: int, watch: bool) -> None:
        if gateway.epoch != epoch or not gateway.up:
            return
        if not self._is_reached_by(gateway):
            self._fail(gateway, epoch)
            return
        gateway.call_failed = False
        if watch:
            gateway.watching = True
            self._send_changes(gateway)
        else:
            gateway.discovery_index = len(self._changes)
            listed = [e for e in self._entries.values() if e.status is not EndpointStatus.GONE]
            self.sent_entries += len(listed)
            gateway.deliver_list(EndpointListReceived(ListKind.COMPLETE, tuple(listed)))
