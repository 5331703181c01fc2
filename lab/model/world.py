"""One day: gateways that carry out what their policy decides, in the network and the fleet of a scenario."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import numpy as np

from lab.model.clients import ATTEMPTS, Attempt, Try, draw_day
from lab.model.engine import START_US, Clock
from lab.model.network import Network
from lab.model.policies import Policy
from lab.model.registry import Registry
from lab.model.rules import FAULT, Rules
from lab.model.samples import Samples
from lab.model.scenario import (
    Cut,
    Down,
    Effect,
    Loss,
    Lost,
    Release,
    Roll,
    Scenario,
    Silent,
    Slow,
    settings,
    us,
)
from lab.model.servers import Job, Load, Server
from lab.schedule import stream
from load_balancer.decisions.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    PollEndpoints,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    StartHealthCheck,
    SubscribeEndpoints,
)
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from load_balancer.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    Event,
    HealthCheckEnded,
    Outcome,
    PeerMessageReceived,
    RequestArrived,
    TimerFired,
)
from load_balancer.decisions.settings import DeduplicationScope, Settings

KEEPS = frozenset({Outcome.OK, Outcome.ERROR, Outcome.REJECTED})  # its connection can be used again
SWEEP_US = 1_000_000
TAIL_S = 3.0  # that a day runs on after the last deadline

Make = Callable[[Settings, int], Policy]


class Gateway:
    """One process after another under one name."""

    def __init__(self, world: World, number: int, make: Make, seed: int, listed: list[Endpoint]) -> None:
        self.world, self.number, self.make = world, number, make
        self.zone: int = number % len(world.scenario.zones)
        self.settings = settings(world.scenario, number)
        self.seeds = stream(seed, f"gateway {number}")
        self.list = {entry.id: entry for entry in listed}
        self.index: int = 0  # of discovery's changes
        self.epoch: int = 0
        self.front_until_us = 0  # the front layer has not noticed its death before this
        self.start()

    def start(self) -> None:
        self.up: bool = True
        self.policy: Policy = self.make(self.settings, int(self.seeds.integers(2**31)))
        self.named = set(self.list)  # all that a list of this process has named
        self.stop_us = {  # when it was told that a server drains or is gone
            n: self.world.clock.now_us for n, e in self.list.items() if e.status is not EndpointStatus.READY
        }
        self.watching: bool = self.settings.endpoints_are_pushed
        self.called_us: int = self.world.clock.now_us
        self.call_failed: bool = False
        self.idle: dict[int, list[tuple[int, int]]] = {}  # by server: since when, and its epoch
        self.cases: dict[str, Try] = {}
        self.give(EndpointListReceived(ListKind.CACHED, tuple(self.list.values())))

    def kill(self) -> None:
        self.up = False
        self.epoch += 1
        self.front_until_us = self.world.clock.now_us + self.world.front_us[self.number]
        for server in self.idle:
            self.close_idle(server)
        cases, self.cases = self.cases, {}
        for case in cases.values():
            for attempt in case.attempts:
                if attempt.outcome is None:
                    self.world.let_go(self, attempt, Outcome.RESET)
            if not case.done:
                self.world.finish(case, "unreachable")

    def close_idle(self, server: int) -> None:
        held = self.world.servers[server]
        held.connections -= sum(epoch == held.epoch for _, epoch in self.idle.get(server, ()))
        self.idle[server] = []

    def give(self, event: Event) -> None:
        for action in self.policy.handle(self.world.clock.now_us, event):
            self.world.carry_out(self, action)

    def hear(self, event: EndpointListReceived) -> None:
        """Take over what discovery says, with the time at which it did."""
        now_us = self.world.clock.now_us
        if event.kind is ListKind.COMPLETE:
            for server in self.list.keys() - {entry.id for entry in event.endpoints}:
                del self.list[server]
                self.stop_us.setdefault(server, now_us)
        for entry in event.endpoints:
            if entry.status is EndpointStatus.READY:
                self.stop_us.pop(entry.id, None)
            else:
                self.stop_us.setdefault(entry.id, now_us)
            if entry.status is EndpointStatus.GONE:
                self.list.pop(entry.id, None)
            else:
                self.list[entry.id] = entry
                self.named.add(entry.id)
        self.give(event)


class World:
    def __init__(self, scenario: Scenario, make: Make, seed: int) -> None:
        self.scenario, self.seed, self.clock = scenario, seed, Clock()
        self.zones = len(scenario.zones)
        self.day = draw_day(scenario, seed)
        self.network = Network(scenario, seed)
        self.costs: Counter[str] = Counter()
        self.ended = ["lost"] * len(self.day.times_us)  # how each request ended
        self.latency_us = [0] * len(self.day.times_us)  # of those served
        self.useful_us = 0.0  # server work that served an answer
        self.open_connections: list[int] = []
        self.samples = Samples()
        self.peers = stream(seed, "peers")
        self.make_servers()
        entries = [Endpoint(self.ids[s.number], zone=self.zone(s.number),
                                group=self.rack(s.number), kind=s.kind) for s in self.servers]  # fmt: skip
        self.registry = Registry(self, seed, entries)
        self.rules = Rules(self.clock, settings(scenario, 0))
        front = stream(seed, "front layer")
        span = scenario.network.front_s
        self.front_us: list[int] = [us(front.uniform(*span)) for _ in range(scenario.fleet.gateways)]
        self.gateways: list[Gateway] = []
        for number in range(scenario.fleet.gateways):
            self.gateways.append(Gateway(self, number, make, seed, entries))
        self.near = [[g for g in self.gateways if g.zone == n] for n in range(self.zones)]
        self.down = 0  # gateways
        for number, trouble in enumerate(scenario.troubles):
            self.plan(trouble, stream(seed, f"trouble {number}"))
        for asked, at_us in enumerate(self.day.times_us):
            self.clock.at(at_us, self.ask, asked, 0)
        self.clock.at(START_US + SWEEP_US, self.sweep)

    def make_servers(self) -> None:
        scenario, rng = self.scenario, stream(self.seed, "servers")
        machines, count = scenario.fleet.machines, scenario.fleet.servers
        bounds = np.cumsum([m.share for m in machines])
        kinds = np.searchsorted(bounds, (np.arange(count) + 0.5) / count * bounds[-1]).tolist()
        kinds = rng.permutation(kinds).tolist()
        self.ids = rng.choice(2**32, count, replace=False).tolist()
        self.number_of = {ident: n for n, ident in enumerate(self.ids)}
        classes = scenario.traffic.classes
        mean_us = sum(c.share * sum(c.work_ms) / 2 for c in classes) / sum(c.share for c in classes) * 1e3
        self.servers = [
            Server(self.clock, scenario.fleet, n, kind, rng.uniform(*machines[kind].speed), mean_us)
            for n, kind in enumerate(kinds)
        ]
        for server in self.servers:
            server.on_fall = partial(self.fell, server)

    def rack(self, server: int) -> int:
        return server % self.zones + self.zones * (server // self.zones // self.scenario.fleet.rack)

    def zone(self, server: int) -> int:
        return server % self.zones

    def play(self) -> None:
        longest_s = max(c.give_up_ms for c in self.scenario.traffic.classes) / 1e3
        self.clock.run(START_US + us(self.scenario.seconds + longest_s + TAIL_S))

    def sweep(self) -> None:
        """Once a second idle connections are closed, the open ones counted, and a sample of the day taken."""
        now_us, keep_us = self.clock.now_us, us(self.scenario.fleet.keepalive_s)
        for gateway in self.gateways:
            for number, idle in gateway.idle.items():
                old = sum(since + keep_us <= now_us for since, _ in idle)
                if old:
                    server = self.servers[number]
                    server.connections -= sum(epoch == server.epoch for _, epoch in idle[:old])
                    del idle[:old]
        self.open_connections.append(sum(s.connections for s in self.servers))
        if now_us <= START_US + us(self.scenario.seconds):
            self.samples.take(self)
        self.clock.at(now_us + SWEEP_US, self.sweep)

    # Clients

    def ask(self, asked: int, number: int) -> None:
        """A client's try of a number, at the gateway that the front layer sends it to."""
        day, now_us = self.day, self.clock.now_us
        klass = self.scenario.traffic.classes[day.klass[asked]]
        near = self.near[day.zone[asked]]
        if self.down:
            believed = [g for g in self.gateways if g.up or now_us < g.front_until_us]
            near = [g for g in believed if g.zone == day.zone[asked]] or believed
        patience_us = round(day.patience[asked, number] * klass.give_up_ms * 1e3)
        patience_us = min(patience_us, day.times_us[asked] + us(klass.give_up_ms / 1e3) - now_us)
        gateway = near[int(day.front[asked, number] * len(near))] if near else None
        place = gateway.number if gateway is not None else -1
        case = Try(f"r{asked}-{number}", asked, number, place, klass, now_us + patience_us)
        if gateway is None or not gateway.up:
            self.finish(case, "unreachable")
            return
        if patience_us <= 0:
            return
        gateway.cases[case.id] = case
        slack_us = gateway.settings.answer_slack_us
        self.clock.at(case.deadline_us + slack_us + 1, self.overdue, gateway, case)
        if day.hasty[asked, number] < 1.0:
            leaves_us = now_us + round(day.hasty[asked, number] * patience_us)
            self.clock.at(leaves_us, self.leave, gateway, case)
        self.costs["tries"] += 1
        gateway.give(
            RequestArrived(
                case.id, day.klass[asked], patience_us, work_us=day.hint_us[asked], is_retry=number > 0,
                tenant=day.tenant[asked],
            )
        )  # fmt: skip

    def overdue(self, gateway: Gateway, case: Try) -> None:
        if case.done:
            return
        self.rules.on_overdue(case)
        self.finish(case, "lost")
        gateway.give(ClientDisconnected(case.id))

    def leave(self, gateway: Gateway, case: Try) -> None:
        if not case.done:
            self.finish(case, "failed")
            gateway.give(ClientDisconnected(case.id))

    def finish(self, case: Try, how: str, retry_after_us: int = 0) -> None:
        """A try has ended; whether its client comes again is settled by the class."""
        case.done = True
        day, klass, now_us = self.day, case.klass, self.clock.now_us
        self.ended[case.asked] = how
        if how == "served":
            self.latency_us[case.asked] = now_us - day.times_us[case.asked]
            return
        clients, used_us = self.scenario.clients, now_us - day.times_us[case.asked]
        dropped = (
            klass.effect is Effect.IDEMPOTENCY_KEY
            and klass.scope is DeduplicationScope.ALL
            and used_us < us(klass.window_s)
        )
        harmless = how in ("refused", "unreachable") or klass.effect is Effect.IDEMPOTENT or dropped
        wait_us = round(day.wait_us[case.asked, case.number])
        wait_us = max(wait_us, retry_after_us * clients.heed)
        if harmless and case.number < clients.retries and used_us + wait_us < klass.give_up_ms * 1e3:
            self.clock.at(now_us + wait_us, self.ask, case.asked, case.number + 1)

    # Actions

    def carry_out(self, gateway: Gateway, action: Action) -> None:
        match action:
            case Send():
                self.send(gateway, action)
            case Reject() | Fail():
                case = gateway.cases.get(action.request_id)
                if case is None:
                    self.rules.broke(FAULT, gateway.number, f"{action.request_id} is not known there")
                    return
                refused = isinstance(action, Reject)
                self.rules.on_answer(case, refused)
                if not case.done:
                    after_us = action.retry_after_us if isinstance(action, Reject) else 0
                    self.finish(case, "refused" if refused else "failed", after_us)
            case Cancel():
                case = gateway.cases.get(action.request_id)
                if case is None or not 0 <= action.attempt < len(case.attempts):
                    self.rules.broke(FAULT, gateway.number, f"{action.request_id} cancelled, but never sent")
                else:  # its outcome is an event of its own
                    self.clock.at(
                        self.clock.now_us, self.end, gateway, gateway.epoch, case, action.attempt,
                        Outcome.CANCELLED,
                    )  # fmt: skip
            case SetTimer():
                self.clock.at(action.due_us, self.fire, gateway, gateway.epoch, action.token)
            case SubscribeEndpoints(active=on):
                if on:
                    self.registry.call(gateway, watch=True)
                else:
                    gateway.watching, gateway.called_us = False, self.clock.now_us
            case PollEndpoints():
                self.registry.call(gateway, watch=False)
            case StartHealthCheck():
                self.probe(gateway, action.endpoint_id)
            case CloseIdleConnections():
                gateway.close_idle(self.number_of[action.endpoint_id])
            case SendPeerMessage():
                self.tell_peers(gateway, action)

    def fire(self, gateway: Gateway, epoch: int, token: int) -> None:
        if gateway.epoch == epoch:
            gateway.give(TimerFired(token))

    def tell_peers(self, gateway: Gateway, action: SendPeerMessage) -> None:
        """Delayed, lost across a cut or as other packets are, and paid for by the byte delivered."""
        terms = self.scenario.network
        for peer in self.gateways:
            if peer is gateway or action.gateway_index not in (None, peer.number):
                continue
            delay_us, lost = us(self.peers.uniform(*terms.message_ms) / 1e3), self.peers.random()
            if lost >= self.network.loss and self.network.reaches(gateway.zone, peer.zone):
                event = PeerMessageReceived(gateway.number, action.data)
                self.clock.at(self.clock.now_us + delay_us, self.told_by_peer, peer, event)

    def told_by_peer(self, peer: Gateway, event: PeerMessageReceived) -> None:
        if peer.up:
            self.costs["peer_bytes"] += len(event.data)
            peer.give(event)

    def probe(self, gateway: Gateway, ident: int) -> None:
        self.costs["probes"] += 1
        server = self.servers[self.number_of[ident]]
        there_us = self.network.one_way_us[gateway.zone][self.zone(server.number)]
        takes_us = 2 * there_us + round(self.scenario.fleet.probe_ms * 1e3)
        outcome, load = Outcome.OK, server.load()
        if not server.up or not self.reaches(gateway, server):
            outcome, load = Outcome.CONNECT_FAILED, ()
            takes_us = us(self.scenario.network.connect_timeout_ms / 1e3)
        else:
            server.worked_us += self.scenario.fleet.probe_ms * 1e3
        event = HealthCheckEnded(ident, outcome, takes_us, load)
        self.clock.at(self.clock.now_us + takes_us, self.probed, gateway, gateway.epoch, event)

    def probed(self, gateway: Gateway, epoch: int, event: HealthCheckEnded) -> None:
        if gateway.epoch == epoch:
            gateway.give(event)

    # Attempts

    def reaches(self, gateway: Gateway, server: Server) -> bool:
        """Whether packets pass between the two; nothing is said of the process."""
        return not server.silent and self.network.reaches(gateway.zone, self.zone(server.number))

    def knows_start(self, gateway: Gateway, server: Server) -> bool:
        """Whether the gateway has been told, or counts as told, of a server's last start."""
        ident = self.ids[server.number]
        entry = gateway.list.get(ident)
        if entry is not None and entry.started_us == server.started_us:
            return True
        deemed = self.registry.deemed(gateway, ident)
        return deemed is not None and deemed[1].started_us == server.started_us

    def check_target(self, gateway: Gateway, ident: int) -> None:
        told_us = gateway.stop_us.get(ident)
        deemed = self.registry.deemed(gateway, ident) if told_us is None else None
        if deemed is not None and deemed[1].status is not EndpointStatus.READY:
            told_us = deemed[0]
        self.rules.on_target(gateway.number, self.number_of[ident], told_us)

    def send(self, gateway: Gateway, action: Send) -> None:
        case, now_us = gateway.cases.get(action.request_id), self.clock.now_us
        if case is None or action.endpoint_id not in gateway.named:
            self.rules.broke(
                FAULT, gateway.number, f"{action.request_id} or {action.endpoint_id} is not known there"
            )
            return
        number = self.number_of[action.endpoint_id]
        groups = [self.group(case, a.server) for a in case.attempts]
        self.rules.on_send(case, self.group(case, number), groups)
        self.check_target(gateway, action.endpoint_id)
        place = len(case.attempts)
        attempt = Attempt(number, now_us)
        case.attempts.append(attempt)
        end = partial(self.end, gateway, gateway.epoch, case, place)
        left_us = case.deadline_us - now_us
        if case.done or left_us <= 0 or place >= gateway.settings.max_attempts:
            self.clock.at(now_us, end, Outcome.NOT_SENT)
            return
        self.costs["attempts"] += 1
        self.costs["repeats"] += place > 0
        self.costs["crossings"] += self.zone(number) != gateway.zone
        timeout_us = min(left_us, action.timeout_us or left_us)
        self.clock.at(now_us + max(0, timeout_us), end, Outcome.TIMEOUT)
        self.connect(gateway, case, attempt, end)

    def group(self, case: Try, server: int) -> int:
        """What drops the repeats of a keyed request."""
        match case.klass.scope:
            case DeduplicationScope.ZONE:
                return self.zone(server)
            case DeduplicationScope.GROUP:
                return self.rack(server)
        return 0

    def connect(self, gateway: Gateway, case: Try, attempt: Attempt, end: Callable[..., None]) -> None:
        """Over an idle connection, or a new one: three ways until the request is there."""
        server, now_us = self.servers[attempt.server], self.clock.now_us
        there_us = self.network.one_way_us[gateway.zone][self.zone(server.number)]
        idle = gateway.idle.get(server.number)
        fresh = not idle
        if idle:
            _, attempt.connection = idle.pop()
            if attempt.connection != server.epoch and server.up and self.reaches(gateway, server):
                attempt.connection = None  # its process has gone in silence
                self.clock.at(now_us + 2 * there_us, end, Outcome.RESET)
                return
        else:
            self.costs["handshakes"] += 1
            if not self.reaches(gateway, server):
                timeout_us = us(self.scenario.network.connect_timeout_ms / 1e3)
                self.clock.at(now_us + timeout_us, end, Outcome.CONNECT_FAILED)
                return
            if not server.up or server.connections >= self.scenario.fleet.connections:
                self.clock.at(now_us + 2 * there_us, end, Outcome.CONNECT_FAILED)
                return
            server.connections += 1
            attempt.connection = server.epoch
        if self.is_lost(case, attempt, 0):
            self.clock.at(now_us + there_us, end, Outcome.RESET)
            return
        extra_us = self.scenario.fleet.handshake_ms * 1e3 if fresh else 0.0
        day, asked = self.day, case.asked
        attempt.job = Job(
            day.work_us[asked], extra_us, day.others_us[asked], day.fails[asked],
            self.knows_start(gateway, server), gateway.number,
            partial(self.answered, gateway, case, attempt, end), partial(self.broken, gateway, server, end),
        )  # fmt: skip
        arrives_us = now_us + (3 if fresh else 1) * there_us
        self.clock.at(arrives_us, self.arrive, gateway, server, attempt, end)

    def is_lost(self, case: Try, attempt: Attempt, leg: int) -> bool:
        place = (case.number * 4 + case.attempts.index(attempt)) % ATTEMPTS * 2 + leg
        return bool(self.day.loss[case.asked, place] < self.network.loss)

    def arrive(self, gateway: Gateway, server: Server, attempt: Attempt, end: Callable[..., None]) -> None:
        if attempt.outcome is not None or not self.reaches(gateway, server) or attempt.job is None:
            return
        if attempt.connection != server.epoch:
            self.broken(gateway, server, end)
            return
        server.take(attempt.job)

    def broken(self, gateway: Gateway, server: Server, end: Callable[..., None]) -> None:
        """The process at the other end has gone."""
        if self.reaches(gateway, server):
            there_us = self.network.one_way_us[gateway.zone][self.zone(server.number)]
            self.clock.at(self.clock.now_us + there_us, end, Outcome.RESET)

    def answered(
        self,
        gateway: Gateway,
        case: Try,
        attempt: Attempt,
        end: Callable[..., None],
        outcome: Outcome,
        load: Load,
    ) -> None:
        server = self.servers[attempt.server]
        if not self.reaches(gateway, server):
            return
        if self.is_lost(case, attempt, 1):
            outcome, load = Outcome.RESET, ()
        there_us = self.network.one_way_us[gateway.zone][self.zone(server.number)]
        self.clock.at(self.clock.now_us + there_us, end, outcome, load)

    def end(
        self, gateway: Gateway, epoch: int, case: Try, place: int, outcome: Outcome, load: Load = ()
    ) -> None:
        """An attempt's outcome; the first one counts."""
        attempt = case.attempts[place]
        if attempt.outcome is not None or gateway.epoch != epoch:
            return
        self.let_go(gateway, attempt, outcome)
        if outcome is Outcome.OK and not case.done:
            self.useful_us += attempt.job.work_us if attempt.job is not None else 0.0
            self.finish(case, "served")
        took_us = self.clock.now_us - attempt.sent_us
        gateway.give(
            AttemptEnded(case.id, place, self.ids[attempt.server], outcome, took_us, case.done, load)
        )

    def let_go(self, gateway: Gateway, attempt: Attempt, outcome: Outcome) -> None:
        """The connection is idle, or closed; a server that still works on it hears so one way later."""
        server = self.servers[attempt.server]
        attempt.outcome = outcome
        if attempt.connection is not None and attempt.connection == server.epoch:
            if outcome in KEEPS:
                gateway.idle.setdefault(server.number, []).append((self.clock.now_us, server.epoch))
            else:
                server.connections -= 1
        if outcome not in KEEPS and attempt.job is not None and self.reaches(gateway, server):
            there_us = self.network.one_way_us[gateway.zone][self.zone(server.number)]
            self.clock.at(self.clock.now_us + there_us, server.drop, attempt.job)

    # Troubles

    def plan(self, trouble: Any, rng: np.random.Generator) -> None:
        begin_us = START_US + us(trouble.at_s)
        end_us = begin_us + us(trouble.for_s)
        at, every = self.clock.at, range(len(self.servers))
        match trouble:
            case Slow(part=part, times=times):
                for number in some(rng, every, part):
                    at(begin_us, setattr, self.servers[number], "slow", times)
                    at(end_us, setattr, self.servers[number], "slow", 1.0)
            case Silent(part=part):
                for number in some(rng, every, part):
                    at(begin_us, setattr, self.servers[number], "silent", True)
                    at(end_us, setattr, self.servers[number], "silent", False)
            case Lost(zone=name, rack_only=rack_only):
                zone = self.scenario.zones.index(name)
                for number in every:
                    if (self.rack(number) if rack_only else self.zone(number)) == zone:
                        at(begin_us, self.stop, self.servers[number], False)
                        at(end_us, self.start, self.servers[number])
                for gateway in self.gateways:
                    if gateway.zone == zone and not rack_only:
                        at(begin_us, self.kill, gateway)
                        at(end_us, self.revive, gateway)
            case Cut(regions=regions):
                apart = frozenset(list(self.scenario.fleet.regions).index(name) for name in regions)
                at(begin_us, self.cut, apart)
                at(end_us, self.join, apart)
            case Loss(share=share):
                at(begin_us, setattr, self.network, "loss", share)
                at(end_us, setattr, self.network, "loss", self.scenario.network.loss)
            case Down():
                at(begin_us, self.registry.go_down)
                at(end_us, self.registry.come_back)
            case Release():
                numbers = some(rng, every, trouble.part)
                for place, number in enumerate(numbers):
                    wave_us = us(trouble.for_s * (place * trouble.waves // len(numbers)) / trouble.waves)
                    drains_us = begin_us + wave_us
                    stops_us = drains_us + us(trouble.drain_s)
                    at(drains_us, self.drain, self.servers[number])
                    at(stops_us, self.stop, self.servers[number], True)
                    at(stops_us + us(trouble.down_s), self.start, self.servers[number])
            case Roll():
                numbers = some(rng, range(len(self.gateways)), trouble.part)
                for place, number in enumerate(numbers):
                    wave_us = us(trouble.for_s * (place * trouble.waves // len(numbers)) / trouble.waves)
                    at(begin_us + wave_us, self.kill, self.gateways[number])
                    at(begin_us + wave_us + us(trouble.down_s), self.revive, self.gateways[number])

    def tell(self, server: Server, status: EndpointStatus) -> None:
        ident = self.ids[server.number]
        self.registry.change(server.number, self.registry.entry(ident, status, server.started_us))

    def drain(self, server: Server) -> None:
        if server.up:
            server.draining = True
            self.tell(server, EndpointStatus.DRAINING)

    def stop(self, server: Server, said: bool) -> None:
        if server.up:
            if said:  # its connections are closed, and those who hold them see it
                for gateway in self.gateways:
                    gateway.idle.pop(server.number, None)
            server.stop(said)
            self.tell(server, EndpointStatus.GONE)

    def start(self, server: Server) -> None:
        if not server.fallen and not server.up:
            server.start()
            self.tell(server, EndpointStatus.READY)

    def fell(self, server: Server, told: float, gateway: int) -> None:
        self.costs["falls"] += 1
        self.rules.on_fall(server.number, told, gateway)
        for holder in self.gateways:
            holder.idle.pop(server.number, None)
        self.tell(server, EndpointStatus.GONE)

    def kill(self, gateway: Gateway) -> None:
        if gateway.up:
            self.down += 1
            gateway.kill()

    def revive(self, gateway: Gateway) -> None:
        if not gateway.up:
            self.down -= 1
            gateway.start()

    def cut(self, regions: frozenset[int]) -> None:
        self.network.cuts.append(regions)
        self.registry.break_watches()

    def join(self, regions: frozenset[int]) -> None:
        self.network.cuts.remove(regions)
        self.registry.resume()


def some(rng: np.random.Generator, numbers: range, part: float) -> list[int]:
    """A part of them, at least one where the part is above nought, in random order."""
    count = max(1, round(part * len(numbers))) if part else 0
    return [int(n) for n in rng.permutation(numbers)[:count]]
