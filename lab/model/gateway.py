"""A model gateway: it feeds events to its policy and holds what a gateway process holds."""

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
    """An open connection that no attempt uses."""

    since_us: int
    epoch: int  # of the endpoint's process at the other end


class IdleConnections:
    """The idle connections of one gateway process, by endpoint index, oldest first."""

    def __init__(self, endpoints: Sequence[ModelEndpoint]) -> None:
        self._endpoints = endpoints
        self._idle: dict[int, list[IdleConnection]] = {}

    def add(self, endpoint: ModelEndpoint, now_us: int) -> None:
        """Keep a connection to the endpoint's present process."""
        self._idle.setdefault(endpoint.index, []).append(IdleConnection(now_us, endpoint.epoch))

    def pop_latest(self, endpoint_index: int) -> IdleConnection | None:
        """The connection that was used last, or None."""
        idle = self._idle.get(endpoint_index)
        return idle.pop() if idle else None

    def close(self, endpoint_index: int) -> None:
        """Close those to one endpoint."""
        self._close_oldest(endpoint_index, len(self._idle.get(endpoint_index, ())))

    def close_all(self) -> None:
        """Close those to every endpoint."""
        for endpoint_index in self._idle:
            self.close(endpoint_index)

    def close_idle_since(self, limit_us: int) -> None:
        """Close those that have been idle since a time or longer."""
        for endpoint_index, idle in self._idle.items():
            self._close_oldest(endpoint_index, sum(connection.since_us <= limit_us for connection in idle))

    def discard(self, endpoint_index: int) -> None:
        """Drop those to an endpoint whose process has closed them itself."""
        self._idle.pop(endpoint_index, None)

    def _close_oldest(self, endpoint_index: int, count: int) -> None:
        if count:
            idle, endpoint = self._idle[endpoint_index], self._endpoints[endpoint_index]
            endpoint.connections -= sum(connection.epoch == endpoint.epoch for connection in idle[:count])
            del idle[:count]


class ModelGateway:
    """One gateway process after another under one name."""

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
        self.epoch = 0  # number of processes that have ended
        self.endpoint_list = {entry.id: entry for entry in listed}
        self.discovery_index = 0  # changes of the list that it has received
        self._clock = clock
        self._endpoints = endpoints
        self._create_policy = create_policy
        self._execute = execute
        self._seeds = seeds
        self.start()

    def start(self) -> None:
        """Begin a process that knows nothing but the list last held."""
        now_us = self._clock.now_us
        self.up = True
        self.policy: Policy = self._create_policy(self.settings, int(self._seeds.integers(2**31)))
        self.known_ids = set(self.endpoint_list)  # all that a list of this process has named
        self.stop_notified_us = {  # when it was notified that an endpoint drains or is gone
            n: now_us for n, e in self.endpoint_list.items() if e.status is not EndpointStatus.READY
        }
        self.watching: bool = self.settings.endpoints_are_pushed
        self.last_call_us = now_us  # to discovery
        self.call_failed = False
        self.idle_connections = IdleConnections(self._endpoints)
        self.requests: dict[str, GatewayRequest] = {}
        self.deliver(EndpointListReceived(ListKind.CACHED, tuple(self.endpoint_list.values())))

    def stop(self) -> list[GatewayRequest]:
        """End the process; returns the requests that it held."""
        self.up = False
        self.epoch += 1
        self.idle_connections.close_all()
        requests, self.requests = self.requests, {}
        return list(requests.values())

    def deliver(self, event: Event) -> None:
        """Give an event to the policy and execute what it decides."""
        for action in self.policy.handle(self._clock.now_us, event):
            self._execute(self, action)

    def deliver_list(self, event: EndpointListReceived) -> None:
        """Record what discovery lists and when, then deliver it."""
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
