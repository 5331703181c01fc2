"""Seeded days for the decision transcripts: clients, endpoints and a list service around one balancer.

The loop is closed: what happens next depends on the balancer's actions. All is said in the simulator's wire
vocabulary, and chance comes from one seeded source, so that the same decisions give the same transcript.
"""

from __future__ import annotations

import copy
import heapq
import json
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

LOG = "journal_line "  # begins the wire's log lines
MARK = "> "  # before each action of a transcript
SECOND = 1_000_000  # microseconds
END_US = 40 * SECOND  # of the traffic of each day
PAUSE_US = 63 * SECOND  # without any traffic: longer than a closed breaker's outcomes count
RESUMED_US = 6 * SECOND  # of traffic after the pause

Json = dict[str, Any]


class Subject(Protocol):
    """The balancer under test."""

    def take(self, now_us: int, lines: list[str]) -> list[str]:
        """Take one event, of several lines where it carries a table; returns all actions, log lines too."""


def message(name: str, **fields: object) -> str:
    """A wire line; a field that is None is left out."""
    return " ".join((name, *(f"{key}={value}" for key, value in fields.items() if value is not None)))


def lane(name: str, aim_ms: int, **more: object) -> Json:
    """A request class on the wire; the client's patience is five times the aim."""
    return {"name": name, "aimUs": aim_ms * 1000, "giveUpUs": aim_ms * 5000, **more}


LANES: list[Json] = [
    lane("read", 300, effect="free", value=1.0, lateValue=0.3),
    lane("search", 500, effect="free", value=2.0),
    lane("order", 400, effect="guarded", group="all", windowUs=5 * SECOND, value=3.0, lateValue=0.2),
    lane("stock", 350, effect="guarded", group="zone", windowUs=2 * SECOND, value=1.5, lateValue=0.5),
    lane("cart", 300, effect="guarded", group="cell", windowUs=SECOND, value=1.2, lateValue=0.4),
    lane("stale", 300, effect="guarded", group="zone", windowUs=20_000, value=0.7, lateValue=0.8),
    lane("pay", 600, effect="single_shot", value=5.0, lateValue=0.1),
    lane("ledger", 400, effect="single_shot", sequential=1, value=2.5, lateValue=0.5),
    lane("feed", 400, effect="free", sequential=1, value=0.8, lateValue=0.6),
    lane("stream", 800, effect="free", streamed=1, value=1.1, lateValue=0.7),
]
TENANTS: list[Json] = [
    {"name": "acme", "allowancePerS": 40.0, "fraction": 0.5},
    {"name": "globex", "allowancePerS": 6.0, "fraction": 0.2},
    {"name": "initech"},
]
FIELDS = ["queue", "eps", "latency_ms"]


@dataclass(frozen=True)
class Day:
    """What distinguishes one day: its settings, and the fleet that it runs against."""

    name: str
    seed: int
    endpoints: int
    lanes: tuple[str, ...]
    settings: Json
    rates_per_s: tuple[float, ...]  # of first tries, each for an equal part of the day
    tenants: bool = True
    calm: bool = False  # endpoints seldom change their behaviour
    outage_us: int | None = None  # when all endpoints begin to fail
    rare: str = ""  # a class that is asked for at the beginning only


def name_lanes(names: str) -> tuple[str, ...]:
    """Names of request classes from one text."""
    return tuple(names.split())


DAYS = (
    Day(
        name="copies",
        seed=42,
        endpoints=9,
        lanes=name_lanes("read search order stock cart stale pay stream"),
        settings={
            "caps": {"mayCancel": 1, "secondCopies": 1, "retryAfter": 1, "maxAttempts": 4},
            "prices": {"crossZone": 0.05},
            "familyInfo": {"warmKeys": 1},
            "report": {"how": "piggyback", "fields": FIELDS},
            "balancers": 2,
            "overShareWorth": 0.3,
            "contract": {"startCapacity": 0.2, "warmAfterUs": 8 * SECOND, "tipMultiple": 1.5},
        },
        rates_per_s=(15, 40, 130, 25, 90, 20),
    ),
    Day(
        name="requested",
        seed=35,
        endpoints=8,
        lanes=name_lanes("read search order stock cart pay ledger feed stream stale"),
        settings={
            "caps": {"mayCancel": 1, "retryAfter": 1, "maxRetryAfterUs": 700_000, "maxAttempts": 3},
            "weights": "live",
            "membershipMode": "on_request",
            "worthBy": "work",
            "balancers": 3,
            "index": 1,
            "objectiveMix": {"whole": 0.6, "worstWindow": 0.1, "worstClass": 0.3},
            "clients": {"marksRetry": 1},
            "contract": {"mustAskInUs": 4 * SECOND, "fullUnproven": 1, "keyQuietUs": 150_000},
        },
        rates_per_s=(20, 60, 140, 30, 100, 15),
        rare="search",
    ),
    Day(
        name="moves",
        seed=43,
        endpoints=4,
        lanes=name_lanes("read order stock cart ledger feed pay"),
        settings={
            "caps": {"mayCancel": 1, "retryAfter": 1, "maxAttempts": 3},
            "report": {"how": "piggyback", "fields": FIELDS},
            "contract": {
                "startCapacity": 0.1,
                "warmAfterUs": 15 * SECOND,
                "tipMultiple": 2.0,
                "keyQuietUs": 0,
            },
            "clients": {"marksRetry": 1},
            "zone": 1,
        },
        rates_per_s=(15, 30, 45, 20, 80, 25),
        tenants=False,
        outage_us=13 * SECOND,
    ),
    Day(
        name="churn",
        seed=43,
        endpoints=75,
        lanes=name_lanes("read search order pay ledger stream"),
        settings={
            "caps": {"mayCancel": 0, "retryAfter": 0, "maxAttempts": 5},
            "prices": {"crossZone": 0.01},
            "balancers": 8,
            "index": 5,
            "contract": {"startCapacity": 0.3, "warmAfterUs": 5 * SECOND, "keyQuietUs": 80_000},
            "objectiveMix": {"whole": 0.5, "worstClass": 0.5},
        },
        rates_per_s=(20, 50, 60, 20, 70, 20),
        calm=True,
    ),
)

MODES = ("healthy", "failing", "refusing_connections", "resetting", "full", "slow", "class_fault")
MODE_WEIGHTS = (6, 3, 2, 1, 1, 2, 3)


@dataclass
class Endpoint:
    """One server of the simulated fleet: a first-in, first-out queue in front of its cores."""

    number: int
    started_us: int
    size: float = 1.0
    status: str = "Ready"
    mode: str = "healthy"
    bad_class: str = ""  # whose requests fail in mode class_fault
    free_at_us: list[int] = field(default_factory=lambda: [0, 0])  # of each core
    errors: int = 0

    def held(self, now_us: int) -> float:
        """Seconds of work that wait at each core."""
        return sum(max(0, at_us - now_us) for at_us in self.free_at_us) / len(self.free_at_us) / SECOND

    def heft(self, now_us: int, live: bool) -> float:
        """Its listed weight; a live one falls with the work held."""
        return round(self.size / (1.0 + 25.0 * self.held(now_us)), 4) if live else self.size

    def line(self, now_us: int, live: bool) -> str:
        """Its entry in a list."""
        return message(
            "host",
            host=self.number,
            status=self.status,
            heft=max(0.01, self.heft(now_us, live)),
            campus=self.number % 3,
            group=self.number % 4,
            classOfHost=self.number % 2,
            sinceUs=self.started_us,
        )


@dataclass
class Try:
    """One request as its client sees it."""

    name: str
    lane: Json
    tenant: int
    end_us: int  # when the client has no patience left over all its tries
    key: int | None
    work_us: int
    done: bool = False
    attempts: list[int] = field(default_factory=list)  # endpoint of each
    open: dict[int, int] = field(default_factory=dict)  # attempts out, and the number of their present end


class Simulation:
    """A closed loop of clients, endpoints and list service around one balancer; writes the transcript."""

    def __init__(self, day: Day, start: Callable[[str], Subject]) -> None:
        """`start` makes the balancer from the wire's launch line."""
        self.day = day
        self.random = random.Random(day.seed)
        self.settings = self.first_settings()
        launch = f"launch prng={day.seed} bootInfo={json.dumps(self.settings)}"
        self.subject = start(launch)
        self.lines = [launch]
        self.now_us = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.pushed = 0
        self.endpoints = {n: Endpoint(n, 0, (1.0, 2.0)[n % 2]) for n in range(day.endpoints)}
        self.tries: dict[str, Try] = {}
        self.count = 0
        self.tables = 0
        self.watched = day.settings.get("membershipMode") != "on_request"
        self.live = day.settings.get("weights") == "live"

    def first_settings(self) -> Json:
        """The settings that the balancer is launched with."""
        lanes = [each for each in LANES if each["name"] in self.day.lanes]
        more = {"tenants": TENANTS} if self.day.tenants else {}
        zones = ["north", "south", "west"]
        return copy.deepcopy({"lanes": lanes, "zones": zones, **self.day.settings, **more})

    def run(self) -> list[str]:
        """The whole day, until nothing is left to happen."""
        self.send_list("disk" if not self.watched else "snapshot")
        self.schedule(self.gap_us(), self.arrive)
        self.every(SECOND if self.day.calm else SECOND // 2, self.change_mode)
        self.every(1_300_000, self.change_fleet)
        self.every(3_100_000, self.change_settings)
        self.every(2_700_000, self.disturb)
        self.every(4 * SECOND, self.refresh_list)
        if self.live:
            self.every(SECOND // 2, partial(self.send_list, "diff"))
        if self.day.outage_us is not None:
            self.schedule(self.day.outage_us, self.fail_everywhere)
        while self.heap:
            self.now_us, _, act = heapq.heappop(self.heap)
            act()
        return self.lines

    def schedule(self, delay_us: float, act: Callable[[], None]) -> None:
        """Do something later."""
        self.pushed += 1
        heapq.heappush(self.heap, (self.now_us + max(0, int(delay_us)), self.pushed, act))

    def every(self, period_us: int, act: Callable[[], None]) -> None:
        """Do something again and again while there is traffic."""

        def again() -> None:
            act()
            if not self.is_over():
                self.schedule(period_us, again)

        self.schedule(period_us, again)

    def is_over(self) -> bool:
        """Whether the day's traffic has ended."""
        return self.now_us > END_US + PAUSE_US + RESUMED_US

    def gap_us(self) -> float:
        """Time to the next request."""
        rates = self.day.rates_per_s
        rate = rates[min(self.now_us * len(rates) // END_US, len(rates) - 1)]
        return self.random.expovariate(rate) * SECOND

    # The balancer

    def tell(self, *event: str) -> None:
        """Give the balancer one event and carry out what it decides."""
        now_us = self.now_us - (20 if self.random.random() < 0.01 else 0)  # a clock that steps back at times
        actions = [line for line in self.subject.take(now_us, list(event)) if not line.startswith(LOG)]
        self.lines += [message("begin_batch", simTimeUs=now_us), *event]
        self.lines += [MARK + line for line in actions]
        for line in actions:
            self.carry_out(line)

    def carry_out(self, line: str) -> None:
        """One action of the balancer."""
        name, _, rest = line.partition(" ")
        fields = dict(part.split("=") for part in rest.split())
        if name == "pass_on":
            self.send(self.tries[fields["requestId"]], int(fields["host"]), int(fields["maxWaitUs"]))
        elif name == "notify_me":
            late_us = self.random.choice((0, 0, 300))
            fire = partial(self.tell, message("reminder", keyBack=fields["keyBack"]))
            self.schedule(int(fields["dueAtUs"]) - self.now_us + late_us, fire)
        elif name == "retract":
            self.retract(self.tries[fields["requestId"]], int(fields["shot"]))
        elif name in ("bounce", "surrender"):
            self.refused(fields["requestId"], int(fields.get("comeBackUs", 0)))
        elif name == "track":
            self.watch()

    # Clients

    def arrive(self) -> None:
        """A first try; the next one follows while the day lasts, with a pause towards its end."""
        rare = self.day.rare if self.now_us > SECOND else ""
        lane = self.random.choice([each for each in self.settings["lanes"] if each["name"] != rare])
        tenant = self.random.choice((0, 0, 1, 1, 2, 7))
        key = self.random.randrange(6) if self.random.random() < 0.6 else None
        work_us = int(self.random.lognormvariate(10.4, 0.6))  # 33 ms
        self.schedule_next()
        self.ask(lane, tenant, self.now_us + lane["giveUpUs"], key, work_us, again=False)

    def schedule_next(self) -> None:
        """The next first try."""
        gap_us = self.gap_us()
        if self.now_us <= END_US < self.now_us + gap_us:
            gap_us += PAUSE_US
        if not self.is_over():
            self.schedule(gap_us, self.arrive)

    def ask(self, lane: Json, tenant: int, end_us: int, key: int | None, work_us: int, again: bool) -> None:
        """One try of a request."""
        if lane not in self.settings["lanes"]:
            return
        self.count += 1
        name = f"r{self.count}"
        self.tries[name] = Try(name, lane, tenant, end_us, key, work_us)
        left_us = end_us - self.now_us
        hurried = not again and self.random.random() < 0.03
        patience_us = left_us // 40 if hurried else left_us if again else lane["giveUpUs"] // 2
        if self.random.random() < 0.04:
            self.schedule(self.random.random() * patience_us, partial(self.leave, name))
        self.schedule(patience_us, partial(self.leave, name))
        self.tell(
            message(
                "incoming",
                requestId=name,
                priority=self.settings["lanes"].index(lane),
                graceUs=patience_us,
                affinity=None if key is None else f"{key:x}",
                costUs=work_us if self.random.random() < 0.5 else None,
                retry=1 if again and self.random.random() < 0.8 else None,
                customer=tenant if self.day.tenants else None,
            )
        )

    def leave(self, name: str) -> None:
        """The client gives up, and may ask again."""
        request = self.tries[name]
        if not request.done:
            request.done = True
            self.tell(message("dropped", requestId=name))
            self.ask_again(request, 0)

    def refused(self, name: str, advice_us: int) -> None:
        """The balancer's own final answer; the client may ask again."""
        request = self.tries.get(name)
        if request is not None and not request.done:
            request.done = True
            self.ask_again(request, advice_us)

    def ask_again(self, request: Try, advice_us: int) -> None:
        """A repeat by the client within what is left of its patience."""
        wait_us = max(advice_us, self.random.randrange(20_000, 120_000))
        if self.random.random() < 0.5 and self.now_us + wait_us + 10_000 < request.end_us:
            terms = (request.lane, request.tenant, request.end_us, request.key, request.work_us)
            self.schedule(wait_us, partial(self.ask, *terms, again=True))

    # Endpoints

    def send(self, request: Try, number: int, timeout_us: int) -> None:
        """An attempt reaches an endpoint, or does not."""
        attempt = len(request.attempts)
        request.attempts.append(number)
        endpoint = self.endpoints.get(number)
        verdict, after_us = self.serve(endpoint, request) if endpoint else ("521", 2_000)
        if after_us > timeout_us:
            verdict, after_us = "408", timeout_us
        if request.lane.get("streamed") and verdict == "200":
            self.schedule(after_us, partial(self.start_stream, request, attempt))
            after_us += self.random.randrange(50_000, 3 * SECOND)
        self.end_later(request, attempt, verdict, after_us)

    def serve(self, endpoint: Endpoint, request: Try) -> tuple[str, int]:
        """How an attempt ends at an endpoint if nothing else ends it, and when."""
        chance = self.random.random()
        if endpoint.mode == "refusing_connections":
            return "521", 1_500
        if endpoint.mode == "full" or endpoint.held(self.now_us) > 1.0:
            return "429", 1_000
        work_us = int(request.work_us * self.random.uniform(0.7, 1.4))
        work_us *= 12 if endpoint.mode == "slow" else 1
        core = endpoint.free_at_us.index(min(endpoint.free_at_us))
        end_us = max(self.now_us, endpoint.free_at_us[core]) + work_us
        endpoint.free_at_us[core] = end_us
        after_us = end_us - self.now_us
        faulty = endpoint.mode == "class_fault" and endpoint.bad_class == request.lane["name"]
        if faulty or chance < (0.7 if endpoint.mode == "failing" else 0.01):
            endpoint.errors += 1
            return "502", after_us // 4
        if chance > (0.4 if endpoint.mode == "resetting" else 0.995):
            return "520", after_us // 2
        return "200", after_us

    def end_later(self, request: Try, attempt: int, verdict: str, after_us: int) -> None:
        """An attempt ends later, unless another end is set for it before."""
        end = request.open.get(attempt, 0) + 1
        request.open[attempt] = end
        self.schedule(after_us, partial(self.end, request, attempt, end, verdict, after_us))

    def end(self, request: Try, attempt: int, end: int, verdict: str, after_us: int) -> None:
        """An attempt has ended."""
        if request.open.get(attempt) != end:
            return
        del request.open[attempt]
        final = verdict == "200" or (verdict == "502" and self.random.random() < 0.1)
        request.done = request.done or final
        number = request.attempts[attempt]
        line = message(
            "outcome",
            requestId=request.name,
            shot=attempt,
            host=number,
            verdict=verdict,
            durationUs=after_us,
            ended=1 if final else None,
            pressure=self.report(number) if verdict in ("200", "502", "429") else None,
        )
        self.tell(line)
        if self.random.random() < 0.005:
            self.tell(line)  # told twice

    def report(self, number: int) -> str | None:
        """The load report that comes along with some answers."""
        endpoint = self.endpoints.get(number)
        if "report" not in self.settings or endpoint is None or self.random.random() < 0.4:
            return None
        held = endpoint.held(self.now_us)
        values = (f"queue:{int(held * 30)}", f"eps:{endpoint.errors}", f"latency_ms:{30 + held * 500:.1f}")
        endpoint.errors = 0
        return ",".join((*values, "cpu:unknown"))

    def start_stream(self, request: Try, attempt: int) -> None:
        """The answer's first byte is on its way to the client."""
        if attempt in request.open and not request.done:
            request.done = True  # the client stays
            self.tell(message("streaming", requestId=request.name, shot=attempt))

    def retract(self, request: Try, attempt: int) -> None:
        """The balancer calls an attempt off; at times it had not been sent, or its answer crosses this."""
        if attempt in request.open and self.random.random() < 0.9:
            verdict = "409" if self.random.random() < 0.1 else "444"
            self.end_later(request, attempt, verdict, self.random.choice((200, 1_000)))

    def change_mode(self) -> None:
        """Some endpoint begins to behave in another way; at times all of a few fail together."""
        endpoints = list(self.endpoints.values())
        mode = self.random.choices(MODES, MODE_WEIGHTS)[0]
        everywhere = self.random.random() < 0.06
        for endpoint in endpoints if everywhere else self.random.choices(endpoints, k=1):
            self.set_mode(endpoint, mode, self.random.randrange(SECOND, 5 * SECOND))

    def fail_everywhere(self) -> None:
        """An outage of the whole fleet."""
        for endpoint in self.endpoints.values():
            self.set_mode(endpoint, "refusing_connections", 4 * SECOND)

    def set_mode(self, endpoint: Endpoint, mode: str, span_us: int) -> None:
        """An endpoint behaves in another way for a while."""
        endpoint.mode = mode
        endpoint.bad_class = self.random.choice(self.settings["lanes"])["name"]
        self.schedule(span_us, partial(setattr, endpoint, "mode", "healthy"))

    # The list service

    def send_list(self, how: str, some: Iterable[int] | None = None, gone: Iterable[Endpoint] = ()) -> None:
        """A list event: of all endpoints or of some, and of those that have gone."""
        if how == "diff" and not self.watched:
            return
        known = self.endpoints.values() if some is None else [self.endpoints[n] for n in some]
        hosts = [endpoint.line(self.now_us, self.live) for endpoint in (*known, *gone)]
        self.tables += 1
        inventory = message("inventory", table=self.tables, members=len(hosts))
        self.tell(inventory, *hosts, message("registry", how=how, table=self.tables))

    def watch(self) -> None:
        """The balancer asks for the list; the call may fail."""
        if self.random.random() < 0.4:
            self.schedule(30_000, self.fail_list)
            return

        def answer() -> None:
            self.watched = True
            self.send_list("snapshot")

        self.schedule(25_000, answer)

    def fail_list(self) -> None:
        """A call has failed, or the subscription has dropped."""
        self.watched = self.day.settings.get("membershipMode") != "on_request"
        self.tell(message("registry", how="error"))

    def refresh_list(self) -> None:
        """A whole list unasked, or the loss of the subscription."""
        if self.random.random() < 0.5:
            self.fail_list()
        elif self.watched:
            self.send_list("snapshot")

    def change_fleet(self) -> None:
        """An endpoint starts, drains, goes or returns."""
        chance = self.random.random()
        number = self.random.choice(sorted(self.endpoints))
        endpoint = self.endpoints[number]
        if chance < 0.35 or len(self.endpoints) < 3:
            number = self.random.choice([n for n in range(120) if n not in self.endpoints])
            self.endpoints[number] = Endpoint(number, self.now_us, (1.0, 2.0)[number % 2])
            self.send_list("diff", [number])
        elif chance < 0.55:
            endpoint.status = "Terminating"
            self.send_list("diff", [number])
            self.schedule(2 * SECOND, partial(self.remove, endpoint))
        elif chance < 0.75:
            self.remove(endpoint)
        elif chance < 0.9:  # restarted in place
            self.endpoints[number] = Endpoint(number, self.now_us, endpoint.size)
            self.send_list("diff", [number])

    def remove(self, endpoint: Endpoint) -> None:
        """An endpoint goes, unless another has its number by now; the list tells of it, or just lacks it."""
        if self.endpoints.get(endpoint.number) is endpoint and len(self.endpoints) > 2:
            del self.endpoints[endpoint.number]
            endpoint.status = "Gone"
            if self.random.random() < 0.7:
                self.send_list("diff", [], [endpoint])
            else:
                self.send_list("snapshot")

    # The operator, and what the balancer ought to take calmly

    def change_settings(self) -> None:
        """One change of the settings under way."""
        settings = copy.deepcopy(self.settings)
        lanes, change = settings["lanes"], self.random.randrange(6)
        place = self.random.randrange(len(lanes))
        missing = [each for each in LANES if each["name"] not in {lane["name"] for lane in lanes}]
        if change == 0:
            lanes[place]["value"] = round(lanes[place]["value"] * self.random.uniform(0.5, 2.0), 3)
        elif change == 1 and missing:
            lanes.insert(place, copy.deepcopy(self.random.choice(missing)))
        elif change <= 2 and len(lanes) > 3:
            del lanes[place]
        elif change == 3:
            self.change_tenants(settings)
        elif change == 4:
            settings.setdefault("prices", {})["crossZone"] = self.random.choice((0.0, 0.02, 0.1))
        else:
            lanes[place]["aimUs"] = int(lanes[place]["aimUs"] * self.random.uniform(0.8, 1.2))
        self.settings = settings
        self.tell(f"settings {json.dumps(settings)}")

    def change_tenants(self, settings: Json) -> None:
        """A tenant changes or goes, or all do, or all come back."""
        tenants = settings.get("tenants", [])
        chance = self.random.random()
        if not tenants:
            settings["tenants"] = copy.deepcopy(TENANTS)
        elif chance < 0.6:
            self.random.choice(tenants)["allowancePerS"] = float(self.random.randrange(2, 30))
        elif chance < 0.8:
            del tenants[self.random.randrange(len(tenants))]
        else:
            del settings["tenants"]

    def disturb(self) -> None:
        """Probe results, other gateways' messages, and events that name nothing known."""
        number = self.random.choice(sorted(self.endpoints))
        verdict = self.random.choice(("200", "408", "521"))
        self.tell(message("pong", host=number, verdict=verdict, durationUs=900, pressure="queue:2"))
        self.tell(message("inbox", src=1, bytes="aGVsbG8="))
        self.tell(message("reminder", keyBack=10**9))
        self.tell(message("streaming", requestId="nobody", shot=0))
        self.tell(message("dropped", requestId="nobody"))
        self.tell(message("outcome", requestId="nobody", shot=0, host=number, verdict="200"))
        self.tell(message("incoming", requestId="odd", priority=99, graceUs=100_000))
        if self.tries:
            last = next(reversed(self.tries))
            self.tell(message("incoming", requestId=last, priority=0, graceUs=100_000))
