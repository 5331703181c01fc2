"""Discovery: it learns of changes late, serves calls in turn, and can be down."""

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

FAILURE_DELAY_US = 500_000  # a call to discovery while it is down fails after this
DISCOVERY_ZONE = 0  # that it stands in
LINE_COST_SHARE = 0.001  # of a call's cost, for each line of its answer
FAILED_CALL_FACTOR = 4  # of the time after which a gateway counts as notified, after a failed call


class Change(NamedTuple):
    """A change that discovery has learned of."""

    learned_us: int
    entry: Endpoint


class AssumedNotice(NamedTuple):
    """What a gateway counts as notified of, though it has not asked."""

    notified_us: int
    entry: Endpoint


class Registry:
    """The endpoint list, its changes, and the calls of the gateways."""

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
        self._learned_us = [0] * len(entries)  # changes of one endpoint come in order
        self._entries = {entry.id: entry for entry in entries}
        self._changes: list[Change] = []
        self._up = True
        self._busy_until_us = 0

    def report_status(self, endpoint: ModelEndpoint, endpoint_id: int, status: EndpointStatus) -> None:
        """An endpoint's status has changed; discovery learns of it seconds later."""
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
        """What a gateway that neither watches nor asks counts as notified of, and since when.

        That is what was listed `max_poll_interval_s` ago, four times as long after a failed call. What it has
        really received goes before.
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
        """Serve a call of a gateway, in turn; one that would wait too long fails."""
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
            lines = 0 if watch else len(self._entries)
            cost_us = round((1.0 + LINE_COST_SHARE * lines) / self._terms.calls_per_s * 1e6)
            self._busy_until_us = now_us + wait_us + cost_us
            self._clock.call_at(self._busy_until_us, self._answer, gateway, epoch, watch)

    def stop(self) -> None:
        """Serve nothing until it is started again."""
        self._up = False
        self.break_watches()

    def start(self) -> None:
        """Serve again."""
        self._up = True
        self.resume_watches()

    def break_watches(self) -> None:
        """End the watches of gateways that cannot be reached any more."""
        for gateway in self._gateways:
            reached = self._is_reached_by(gateway)
            if gateway.up and gateway.watching and not self._terms.pushed and not reached:
                gateway.watching = False
                gateway.last_call_us = self._clock.now_us
                self._fail(gateway, gateway.epoch)

    def resume_watches(self) -> None:
        """Send every watching gateway what it has missed, also after an outage where lists are pushed."""
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
