"""A closed loop of clients, endpoints and list service around one balancer, in simulated time.

What happens next depends on the balancer's actions. Events and actions are lines of the simulator's wire
vocabulary; all chance comes from one seeded source, so that equal decisions give equal transcripts.
"""

from __future__ import annotations

import copy
import heapq
import json
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

from tests.transcript_simulation.days import END_US, PAUSE_US, REQUEST_CLASSES, RESUMED_US, TENANTS, Day
from tests.transcript_simulation.endpoint import MODE_WEIGHTS, MODES, Endpoint
from tests.transcript_simulation.settings_changes import changed_settings
from tests.transcript_simulation.wire import LOG, MARK, SECOND, Json, Subject, message


@dataclass
class ClientRequest:
    """One request as its client sees it."""

    name: str
    request_class: Json
    tenant: int
    end_us: int  # when the client gives up over all its tries
    key: int | None
    work_us: int
    done: bool = False
    attempts: list[int] = field(default_factory=list)  # endpoint of each
    # Of each attempt in flight, the number of the end that was scheduled last.
    pending_ends: dict[int, int] = field(default_factory=dict)


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
        self.requests: dict[str, ClientRequest] = {}
        self.count = 0
        self.tables = 0
        self.watched = day.settings.get("membershipMode") != "on_request"
        self.live = day.settings.get("weights") == "live"

    def first_settings(self) -> Json:
        """The settings that the balancer is launched with."""
        lanes = [each for each in REQUEST_CLASSES if each["name"] in self.day.request_classes]
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
        """Do something periodically while there is traffic."""

        def repeat() -> None:
            act()
            if not self.is_over():
                self.schedule(period_us, repeat)

        self.schedule(period_us, repeat)

    def is_over(self) -> bool:
        """Whether the day's traffic has ended."""
        return self.now_us > END_US + PAUSE_US + RESUMED_US

    def gap_us(self) -> float:
        """Time to the next request."""
        rates = self.day.rates_per_s
        rate = rates[min(self.now_us * len(rates) // END_US, len(rates) - 1)]
        return self.random.expovariate(rate) * SECOND

    # The balancer

    def handle(self, *event: str) -> None:
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
            self.send(self.requests[fields["requestId"]], int(fields["host"]), int(fields["maxWaitUs"]))
        elif name == "notify_me":
            late_us = self.random.choice((0, 0, 300))
            fire = partial(self.handle, message("reminder", keyBack=fields["keyBack"]))
            self.schedule(int(fields["dueAtUs"]) - self.now_us + late_us, fire)
        elif name == "retract":
            self.retract(self.requests[fields["requestId"]], int(fields["shot"]))
        elif name in ("bounce", "surrender"):
            self.on_final_answer(fields["requestId"], int(fields.get("comeBackUs", 0)))
        elif name == "track":
            self.watch()

    # Clients

    def arrive(self) -> None:
        """A first try; the next one follows while the day lasts, with a pause towards its end."""
        rare = self.day.rare if self.now_us > SECOND else ""
        request_class = self.random.choice([each for each in self.settings["lanes"] if each["name"] != rare])
        tenant = self.random.choice((0, 0, 1, 1, 2, 7))
        key = self.random.randrange(6) if self.random.random() < 0.6 else None
        work_us = int(self.random.lognormvariate(10.4, 0.6))  # 33 ms
        self.schedule_next()
        self.send_try(
            request_class, tenant, self.now_us + request_class["giveUpUs"], key, work_us, is_retry=False
        )

    def schedule_next(self) -> None:
        """The next first try."""
        gap_us = self.gap_us()
        if self.now_us <= END_US < self.now_us + gap_us:
            gap_us += PAUSE_US
        if not self.is_over():
            self.schedule(gap_us, self.arrive)

    def send_try(
        self, request_class: Json, tenant: int, end_us: int, key: int | None, work_us: int, is_retry: bool
    ) -> None:
        """One try of a request."""
        if request_class not in self.settings["lanes"]:
            return
        self.count += 1
        name = f"r{self.count}"
        self.requests[name] = ClientRequest(name, request_class, tenant, end_us, key, work_us)
        left_us = end_us - self.now_us
        has_short_timeout = not is_retry and self.random.random() < 0.03
        timeout_us = (
            left_us // 40 if has_short_timeout else left_us if is_retry else request_class["giveUpUs"] // 2
        )
        if self.random.random() < 0.04:
            self.schedule(self.random.random() * timeout_us, partial(self.give_up, name))
        self.schedule(timeout_us, partial(self.give_up, name))
        self.handle(
            message(
                "incoming",
                requestId=name,
                priority=self.settings["lanes"].index(request_class),
                graceUs=timeout_us,
                affinity=None if key is None else f"{key:x}",
                costUs=work_us if self.random.random() < 0.5 else None,
                retry=1 if is_retry and self.random.random() < 0.8 else None,
                customer=tenant if self.day.tenants else None,
            )
        )

    def give_up(self, name: str) -> None:
        """The client gives up, and may retry."""
        request = self.requests[name]
        if not request.done:
            request.done = True
            self.handle(message("dropped", requestId=name))
            self.retry_later(request, 0)

    def on_final_answer(self, name: str, advice_us: int) -> None:
        """The balancer's own final answer; the client may retry."""
        request = self.requests.get(name)
        if request is not None and not request.done:
            request.done = True
            self.retry_later(request, advice_us)

    def retry_later(self, request: ClientRequest, advice_us: int) -> None:
        """A retry by the client within its timeout."""
        wait_us = max(advice_us, self.random.randrange(20_000, 120_000))
        if self.random.random() < 0.5 and self.now_us + wait_us + 10_000 < request.end_us:
            terms = (request.request_class, request.tenant, request.end_us, request.key, request.work_us)
            self.schedule(wait_us, partial(self.send_try, *terms, is_retry=True))

    # Endpoints

    def send(self, request: ClientRequest, number: int, timeout_us: int) -> None:
        """An attempt reaches an endpoint, or does not."""
        attempt = len(request.attempts)
        request.attempts.append(number)
        endpoint = self.endpoints.get(number)
        verdict, after_us = "521", 2_000
        if endpoint:
            verdict, after_us = endpoint.serve(
                request.work_us, request.request_class["name"], self.now_us, self.random
            )
        if after_us > timeout_us:
            verdict, after_us = "408", timeout_us
        if request.request_class.get("streamed") and verdict == "200":
            self.schedule(after_us, partial(self.start_stream, request, attempt))
            after_us += self.random.randrange(50_000, 3 * SECOND)
        self.end_later(request, attempt, verdict, after_us)

    def end_later(self, request: ClientRequest, attempt: int, verdict: str, after_us: int) -> None:
        """An attempt ends later, unless another end is set for it before."""
        end = request.pending_ends.get(attempt, 0) + 1
        request.pending_ends[attempt] = end
        self.schedule(after_us, partial(self.end, request, attempt, end, verdict, after_us))

    def end(self, request: ClientRequest, attempt: int, end: int, verdict: str, after_us: int) -> None:
        """An attempt has ended."""
        if request.pending_ends.get(attempt) != end:
            return
        del request.pending_ends[attempt]
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
        self.handle(line)
        if self.random.random() < 0.005:
            self.handle(line)  # reported twice

    def report(self, number: int) -> str | None:
        """The load report that comes along with some answers."""
        endpoint = self.endpoints.get(number)
        if "report" not in self.settings or endpoint is None or self.random.random() < 0.4:
            return None
        held = endpoint.queued_s(self.now_us)
        values = (f"queue:{int(held * 30)}", f"eps:{endpoint.errors}", f"latency_ms:{30 + held * 500:.1f}")
        endpoint.errors = 0
        return ",".join((*values, "cpu:unknown"))

    def start_stream(self, request: ClientRequest, attempt: int) -> None:
        """The answer's first byte is on its way to the client."""
        if attempt in request.pending_ends and not request.done:
            request.done = True  # the client stays
            self.handle(message("streaming", requestId=request.name, shot=attempt))

    def retract(self, request: ClientRequest, attempt: int) -> None:
        """The balancer calls an attempt off; at times it had not been sent, or its answer crosses this."""
        if attempt in request.pending_ends and self.random.random() < 0.9:
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
        self.handle(inventory, *hosts, message("registry", how=how, table=self.tables))

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
        self.handle(message("registry", how="error"))

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
        self.settings = changed_settings(self.settings, self.random)
        self.handle(f"settings {json.dumps(self.settings)}")

    def disturb(self) -> None:
        """Probe results, other gateways' messages, and events that name nothing known."""
        number = self.random.choice(sorted(self.endpoints))
        verdict = self.random.choice(("200", "408", "521"))
        self.handle(message("pong", host=number, verdict=verdict, durationUs=900, pressure="queue:2"))
        self.handle(message("inbox", src=1, bytes="aGVsbG8="))
        self.handle(message("reminder", keyBack=10**9))
        self.handle(message("streaming", requestId="nobody", shot=0))
        self.handle(message("dropped", requestId="nobody"))
        self.handle(message("outcome", requestId="nobody", shot=0, host=number, verdict="200"))
        self.handle(message("incoming", requestId="odd", priority=99, graceUs=100_000))
        if self.requests:
            last = next(reversed(self.requests))
            self.handle(message("incoming", requestId=last, priority=0, graceUs=100_000))
