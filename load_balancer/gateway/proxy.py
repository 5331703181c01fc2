"""Drives one Balancer: what the sockets tell it goes in as events, its actions are carried out in order.

Nothing is decided here. What this file adds is bookkeeping: exactly one final answer for every request taken,
and exactly one outcome for every attempt.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

from load_balancer.config.file import Address, Config, NameTable
from load_balancer.decisions.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    LogEvent,
    PollEndpoints,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    StartHealthCheck,
    SubscribeEndpoints,
)
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    Outcome,
    PeerMessageReceived,
    RequestArrived,
    SettingsChanged,
    TimerFired,
)
from load_balancer.decisions.settings import LoadReportMode
from load_balancer.decisions.settings_version import SettingsVersion
from load_balancer.gateway.discovery import DiscoveryClient, WatchEvent
from load_balancer.gateway.event_log import log_event
from load_balancer.gateway.upstream_pool import Response, UpstreamAttempt, UpstreamPool
from load_balancer.simulator.codec import parse_load

# Taken off the client's time: its request was on the way before it came here, and so will the answer be.
TRANSIT_US = 4_000
# After the balancer's own limits, before the client's: the answer of last resort.
LAST_RESORT_US = 2_000
PROBE_TIMEOUT_S = 1.0
PEER_LIMIT = 256
SWEEP_S = 1.0
UPSTREAM_SHARE = 0.5  # of the sockets
RESERVED_SOCKETS = 64  # for the listener, discovery, peers and connections that are turned away

Reply = Callable[[Response], None]


class Clock:
    """Microseconds since the Unix epoch that never step back, whatever is done to the wall clock."""

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        return (self._offset_ns + time.monotonic_ns()) // 1000


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """What a client asks, as the balancer and the hosts need it."""

    klass: int
    timeout_us: int
    waited_us: int  # since its last byte came
    method: bytes
    target: bytes
    headers: bytes  # those that go on to a host, as lines
    body: bytes
    key: int | None = None
    work_us: int | None = None
    is_retry: bool = False
    tenant: int = 0
    is_write: bool = False


@dataclass(slots=True, eq=False)
class Request:
    id: str
    asked: ClientRequest
    under: SettingsVersion  # what it was taken under, to its final answer
    names: NameTable  # of that generation
    deadline_us: int
    reply: Reply | None  # None once it has had its final answer, or its client has gone
    has_left: Callable[[], bool]  # whether its client's connection has ended, read by the loop or not
    last_resort: asyncio.TimerHandle | None = None
    attempts: list[UpstreamAttempt | None] = field(default_factory=list)
    out: int = 0


def text_response(status: int, text: str, *headers: tuple[bytes, bytes]) -> Response:
    return Response(status, [(b"content-type", b"text/plain"), *headers], text.encode() + b"\n")


class Peers(asyncio.DatagramProtocol):
    def __init__(self, heard: Callable[[bytes, Address], None]) -> None:
        self.heard = heard

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.heard(data, addr)


class Proxy:
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        settings = config.settings
        self.config, self.settings, self.names, self.loop = config, settings, config.names, loop
        self.clock = Clock()
        self.balancer = Balancer(settings, config.seed)
        self.upstream = UpstreamPool(
            loop,
            connections=int((config.sockets - RESERVED_SOCKETS) * UPSTREAM_SHARE),
            connect_timeout_us=settings.connect_timeout_us,
            idle_us=settings.idle_connection_timeout_us,
        )
        self.discovery = DiscoveryClient(
            loop, config.discovery, config.names, settings.endpoints_are_pushed, self.on_news
        )
        self.peers: asyncio.DatagramTransport | None = None
        self.requests: dict[str, Request] = {}
        self.open = 0  # requests that are owed an answer
        self.taken = 0
        self.events: deque[Event] = deque()
        self.busy = False

    async def start(self) -> None:
        if self.settings.may_message_peers and self.config.peer_listen is not None:
            self.peers, _ = await self.loop.create_datagram_endpoint(
                lambda: Peers(self.on_datagram), local_addr=self.config.peer_listen
            )
        self.discovery.start(self.config.known)
        self.config.known.clear()  # the list is held as it was read: the text of thousands of hosts is not
        self.loop.call_later(SWEEP_S, self.sweep)

    def sweep(self) -> None:
        self.upstream.sweep()
        self.tell_unsaid()
        self.loop.call_later(SWEEP_S, self.sweep)

    def close(self) -> None:
        self.tell_unsaid()
        self.discovery.close()
        self.upstream.close()
        if self.peers is not None:
            self.peers.close()

    # Generations

    @property
    def generation(self) -> SettingsVersion:
        """The one in force."""
        return self.balancer.settings_version

    def take_over(self, config: Config, generation: SettingsVersion) -> None:
        """Put a generation in force, for requests from now on; the parties of the network stay."""
        self.feed(SettingsChanged(generation))
        self.settings, self.names = config.settings, config.names
        self.upstream.set_times(self.settings.connect_timeout_us, self.settings.idle_connection_timeout_us)

    @property
    def ready(self) -> bool:
        return bool(self.upstream.hosts)

    # Events in, actions out

    def feed(self, event: Event) -> None:
        """Events that come of carrying out actions wait until those are carried out."""
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                self.decide(self.events.popleft())
        finally:
            self.busy = False

    def decide(self, event: Event) -> None:
        """An exception must not end the process, nor leave the request that it concerns unanswered."""
        try:
            actions = self.balancer.handle(self.clock.now_us(), event)
        except Exception as error:
            log_event("balancer.failed", what=repr(event), error=error, **self.facts(event))
            self.answer_broken(getattr(event, "request_id", None))
            return
        for action in actions:
            try:
                self.carry_out(action)
            except Exception as error:
                log_event("action.failed", what=repr(action), error=error, **self.facts(action))
                self.answer_broken(getattr(action, "request_id", None))

    def answer_broken(self, number: str | None) -> None:
        request = self.requests.get(number) if number is not None else None
        if request is not None and request.reply is not None:
            self.settle(request, text_response(500, "internal error"))
            self.events.append(ClientDisconnected(request.id))
            self.forget_if_over(request)

    def carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self.send(action)
            case SetTimer():
                delay_us = action.due_us - self.clock.now_us()
                self.loop.call_later(max(0, delay_us) / 1e6, self.feed, TimerFired(action.token))
            case Reject():
                after_us = action.retry_after_us
                advice = ((b"retry-after", b"%.3f" % (after_us / 1e6)),) if after_us > 0 else ()
                self.finish(
                    action.request_id, text_response(503, "refused; trying again is harmless", *advice)
                )
            case Fail():
                self.finish(action.request_id, text_response(502, "failed"))
            case Cancel():
                request = self.requests.get(action.request_id)
                exchange = request.attempts[action.attempt] if request is not None else None
                if exchange is not None:
                    exchange.give_up(Outcome.CANCELLED)
            case SubscribeEndpoints():
                self.discovery.watch(action.active)
            case PollEndpoints():
                self.discovery.fetch()
            case StartHealthCheck():
                self.probe(action.endpoint_id)
            case CloseIdleConnections():
                self.upstream.close_idle(action.endpoint_id)
            case SendPeerMessage():
                self.tell_peers(action)
            case LogEvent():
                log_event(action.event, **self.named(action.fields))

    # What is logged

    def named(self, fields: Iterable[tuple[str, object]]) -> dict[str, object]:
        """The balancer's fields, with names of class and tenant for their numbers, and a server's address."""
        told = dict(fields)
        numbers = (("klass", self.generation.class_ids, self.names.classes),)
        for name, known, names in (*numbers, ("tenant", self.generation.tenant_ids, self.names.tenants)):
            number = told.get(name)
            if isinstance(number, int) and names and number in known:
                told[name] = names[known.index(number)]
            elif not names:  # no deployment of tenants
                told.pop(name, None)
        server = told.get("server")
        if isinstance(server, int) and (address := self.upstream.authority(server)):
            told["address"] = address.decode()
        return told

    def facts(self, about: object) -> dict[str, object]:
        """The fields of what an event, an action or a request is about, as far as they are known."""
        number = about.id if isinstance(about, Request) else getattr(about, "request_id", None)
        request = self.requests.get(number) if number is not None else None
        told = {"request": number, "server": getattr(about, "endpoint_id", None)}
        if request is not None:
            names, asked = request.names, request.asked
            told |= {"klass": names.classes[asked.klass], "generation": request.under.number}
            told |= {"tenant": names.tenants[asked.tenant]} if names.tenants else {}
        return self.named((name, value) for name, value in told.items() if value is not None)

    def tell_unsaid(self) -> None:
        unsaid, self.balancer.log.suppressed = self.balancer.log.suppressed, 0
        if unsaid:
            log_event("balancer.unsaid", unsaid=unsaid)

    # Requests

    def arrive(
        self, asked: ClientRequest, reply: Reply, has_left: Callable[[], bool] = lambda: False
    ) -> Request | None:
        """Take a request: `reply` is called exactly once, unless `leave` comes first."""
        if 0 < self.settings.max_open_requests <= self.open:
            reply(text_response(503, "too many requests"))
            return None
        self.taken += 1
        patience_us = max(0, asked.timeout_us - asked.waited_us - TRANSIT_US)
        deadline_us = self.clock.now_us() + patience_us
        request = Request(str(self.taken), asked, self.generation, self.names, deadline_us, reply, has_left)
        self.requests[request.id] = request
        self.open += 1
        delay_s = (patience_us + LAST_RESORT_US) / 1e6
        # A turn of the loop later: where both come due in one, the time-out's outcome is told in that turn.
        request.last_resort = self.loop.call_later(delay_s, self.loop.call_soon, self.answer_at_last, request)
        self.feed(
            RequestArrived(
                request.id,
                asked.klass,
                patience_us,
                asked.key,
                asked.work_us,
                asked.is_retry,
                asked.tenant,
                asked.is_write,
            )
        )
        return request

    def is_wanted(self, request: Request) -> bool:
        """Whether its client still waits, as its socket says now: asked before each attempt is written.

        Guards against a turn of the loop that takes long, as for a list of thousands of hosts: timers and
        hosts' answers may come before the client's end is read, and what they send began long after it.
        """
        if request.reply is not None and request.has_left():
            self.leave(request)
        return request.reply is not None

    def leave(self, request: Request) -> None:
        """The client has closed its connection."""
        if request.reply is not None:
            self.close_account(request)
            self.feed(ClientDisconnected(request.id))
            self.forget_if_over(request)

    def answer_at_last(self, request: Request) -> None:
        """Guards against a request that nobody has answered when its client is about to give up."""
        if request.reply is not None:
            log_event("request.unanswered", **self.facts(request))
            self.settle(request, text_response(504, "out of time"))
            self.feed(ClientDisconnected(request.id))
            self.forget_if_over(request)

    def finish(self, number: str, answer: Response) -> None:
        request = self.requests.get(number)
        if request is not None:
            self.settle(request, answer)
            self.forget_if_over(request)

    def settle(self, request: Request, answer: Response) -> None:
        """Give the final answer, if it is still owed."""
        reply = request.reply
        if reply is not None:
            self.close_account(request)
            reply(answer)

    def close_account(self, request: Request) -> None:
        request.reply = None
        self.open -= 1
        if request.last_resort is not None:
            request.last_resort.cancel()
        for exchange in request.attempts:
            if exchange is not None:
                exchange.withhold()

    def forget_if_over(self, request: Request) -> None:
        if request.reply is None and request.out == 0:
            self.requests.pop(request.id, None)

    # Attempts

    def send(self, action: Send) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            log_event("attempt.unowned", **self.facts(action))
            return
        number, sent_us = len(request.attempts), self.clock.now_us()
        left_us = min(action.timeout_us, request.deadline_us - sent_us)
        used_up = number >= request.under.settings.max_attempts
        if not self.is_wanted(request) or left_us <= 0 or used_up:
            request.attempts.append(None)
            self.events.append(
                AttemptEnded(
                    request.id, number, action.endpoint_id, Outcome.NOT_SENT, 0, request.reply is None
                )
            )
            return

        def ended(outcome: Outcome, answer: Response | None) -> None:
            request.out -= 1
            latency_us = self.clock.now_us() - sent_us
            if outcome is Outcome.OK and answer is not None:
                self.settle(request, answer)
            self.feed(
                AttemptEnded(
                    request.id,
                    number,
                    action.endpoint_id,
                    outcome,
                    latency_us,
                    request.reply is None,
                    self.report(answer),
                )
            )
            self.forget_if_over(request)

        request.out += 1
        payload = request_bytes(request.asked, left_us)
        wanted = partial(self.is_wanted, request)
        request.attempts.append(self.upstream.send(action.endpoint_id, payload, left_us / 1e6, ended, wanted))

    def report(self, answer: Response | None) -> tuple[tuple[str, float], ...]:
        if answer is None or self.settings.load_reports.mode is not LoadReportMode.RESPONSES:
            return ()
        return parse_report(answer.header(b"server-load"))

    def probe(self, server: int) -> None:
        if not self.settings.may_check_health:
            return
        reports = self.settings.load_reports.mode is not LoadReportMode.NONE
        sent_us = self.clock.now_us()

        def ended(outcome: Outcome, answer: Response | None) -> None:
            load = parse_report(answer.body) if reports and answer is not None else ()
            self.feed(HealthCheckEnded(server, outcome, self.clock.now_us() - sent_us, load))

        path = b"/stats" if reports else b"/health/live"
        payload = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (path, self.upstream.authority(server))
        self.upstream.send(server, payload, PROBE_TIMEOUT_S, ended)

    # The list, peers

    def on_news(self, news: WatchEvent) -> None:
        if news.kind in (ListKind.COMPLETE, ListKind.CACHED):
            self.upstream.drain_others(entry.server.id for entry in news.entries)
        for entry in news.entries:
            self.upstream.list_host(entry.server.id, entry.address, entry.server.status)
        self.feed(news.event())

    def tell_peers(self, action: SendPeerMessage) -> None:
        to = (
            self.config.peers_all if action.gateway_index is None else self.config.peers[action.gateway_index]
        )
        if len(action.data) > PEER_LIMIT:
            raise ValueError(f"a message of {len(action.data)} bytes is too long")
        if self.settings.may_message_peers and self.peers is not None and to is not None:
            self.peers.sendto(action.data, to)

    def on_datagram(self, data: bytes, sender: Address) -> None:
        if len(data) <= PEER_LIMIT and sender in self.config.peers:
            self.feed(PeerMessageReceived(self.config.peers.index(sender), data))


def request_bytes(asked: ClientRequest, timeout_us: int) -> bytes:
    timeout_ms = -(-timeout_us // 1000)
    length = b"Content-Length: %d\r\n" % len(asked.body) if asked.body or asked.method != b"GET" else b""
    return b"%b %b HTTP/1.1\r\n%bRequest-Timeout-Ms: %d\r\n%b\r\n%b" % (
        asked.method,
        asked.target,
        asked.headers,
        timeout_ms,
        length,
        asked.body,
    )


def parse_report(text: bytes) -> tuple[tuple[str, float], ...]:
    return parse_load(text.decode("latin-1").replace("=", ":"))
