"""Model gateways: they deliver events to their policy and hold the state of a gateway process."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

import numpy as np

from lab.model.endpoint import ModelEndpoint
from lab.model.engine import Clock
from lab.model.policies import CreatePolicy, Policy
from lab.model.requests import GatewayRequest
from load_balancer.decisions.actions import Action
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from load_balancer.decisions.events import EndpointListReceived, Event
from load_balancer.decisions.settings import Settings


class IdleConnection(NamedTuple):
    """An open connection that no attempt uses.

    Attributes:
        since_us: When the connection became idle.
        epoch: Epoch of the endpoint process that holds the other end.
    """

    since_us: int
    epoch: int


class IdleConnections:
    """The idle connections of one gateway process, by endpoint index, oldest first."""

    def __init__(self, endpoints: Sequence[ModelEndpoint]) -> None:
        self._endpoints = endpoints
        self._idle: dict[int, list[IdleConnection]] = {}

    def add(self, endpoint: ModelEndpoint, now_us: int) -> None:
        """Add a connection to the endpoint's current process."""
        self._idle.setdefault(endpoint.index, []).append(IdleConnection(now_us, endpoint.epoch))

    def pop_latest(self, endpoint_index: int) -> IdleConnection | None:
        """Remove and return the connection used most recently, or None if there is none."""
        idle = self._idle.get(endpoint_index)
        return idle.pop() if idle else None

    def close(self, endpoint_index: int) -> None:
        """Close the idle connections to one endpoint."""
        self._close_oldest(endpoint_index, len(self._idle.get(endpoint_index, ())))

    def close_all(self) -> None:
        """Close the idle connections to all endpoints."""
        for endpoint_index in self._idle:
            self.close(endpoint_index)

    def close_idle_since(self, limit_us: int) -> None:
        """Close the connections that became idle at `limit_us` or earlier."""
        for endpoint_index, idle in self._idle.items():
            self._close_oldest(endpoint_index, sum(connection.since_us <= limit_us for connection in idle))

    def discard(self, endpoint_index: int) -> None:
        """Remove the connections to an endpoint whose process has closed them itself."""
        self._idle.pop(endpoint_index, None)

    def _close_oldest(self, endpoint_index: int, count: int) -> None:
        if count:
            idle, endpoint = self._idle[endpoint_index], self._endpoints[endpoint_index]
            endpoint.connections -= sum(connection.epoch == endpoint.epoch for connection in idle[:count])
            del idle[:count]


class ModelGateway:
    """A gateway and the state of its current process; a restart begins a new process.

    Attributes:
        index: The gateway's index in the scenario.
        zone: Index of its zone.
        settings: Its settings.
        epoch: Number of its processes that have ended.
        endpoint_list: The last list received, by endpoint id; it outlives a process.
        discovery_index: Number of discovery's changes that the gateway has received.
        up: Whether a process runs.
        policy: The process's policy.
        known_ids: Ids of all endpoints that were listed for this process.
        stop_notified_us: When the process was notified that an endpoint drains or is gone, by endpoint id.
        watching: Whether the process watches the endpoint list.
        last_call_us: When the process last called discovery.
        call_failed: Whether that call failed.
        idle_connections: Its idle connections.
        requests: The requests that it has received, by request id.
    """

    def __init__(
        self,
        index: int,
        settings: Settings,
        clock: Clock,
        endpoints: Sequence[ModelEndpoint],
        listed: Sequence[Endpoint],
        create_policy: CreatePolicy,
        execute: Callable[[ModelGateway, Action], None],
        seeds: np.random.Generator,
    ) -> None:
        self.index = index
        self.zone = settings.zone
        self.settings = settings
        self.epoch = 0
        self.endpoint_list = {entry.id: entry for entry in listed}
        self.discovery_index = 0
        self._clock = clock
        self._endpoints = endpoints
        self._create_policy = create_policy
        self._execute = execute
        self._seeds = seeds
        self.start()

    def start(self) -> None:
        """Start a process that knows only the last list received."""
        now_us = self._clock.now_us
        self.up = True
        self.policy: Policy = self._create_policy(self.settings, int(self._seeds.integers(2**31)))
        self.known_ids = set(self.endpoint_list)
        self.stop_notified_us = {
            n: now_us for n, e in self.endpoint_list.items() if e.status is not EndpointStatus.READY
        }
        self.watching: bool = self.settings.endpoints_are_pushed
        self.last_call_us = now_us
        self.call_failed = False
        self.idle_connections = IdleConnections(self._endpoints)
        self.requests: dict[str, GatewayRequest] = {}
        self.deliver(EndpointListReceived(ListKind.CACHED, tuple(self.endpoint_list.values())))

    def stop(self) -> list[GatewayRequest]:
        """End the process and return the requests that it had received."""
        self.up = False
        self.epoch += 1
        self.idle_connections.close_all()
        requests, self.requests = self.requests, {}
        return list(requests.values())

    def deliver(self, event: Event) -> None:
        """Deliver an event to the policy and execute the actions that it returns."""
        for action in self.policy.handle(self._clock.now_us, event):
            self._execute(self, action)

    def deliver_list(self, event: EndpointListReceived) -> None:
        """Record a list from discovery and the time of each notification, then deliver it."""
        now_us = self._clock.now_us
        if event.kind is ListKind.COMPLETE:
            for endpoint_id in self.endpoint_list.keys() - {entry.id for entry in event.endpoints}:
                del self.endpoint_list[endpoint_id]
                self.stop_notified_us.setdefault(endpoint_id, now_us)
        for entry in event.endpoints:
            if entry.status is EndpointStatus.READY:
                self.stop_notified_us.pop(entry.id, None)
            else:
                self.stop_notified_us.setdefault(entry.id, now_us)
            if entry.status is EndpointStatus.GONE:
                self.endpoint_list.pop(entry.id, None)
            else:
                self.endpoint_list[entry.id] = entry
                self.known_ids.add(entry.id)
        self.deliver(event)
