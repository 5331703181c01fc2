"""A closed-loop simulation of clients, endpoints and list service around one balancer, in simulated time.

Later events depend on the balancer's actions. Events and actions are lines of the simulator's wire
vocabulary. All random draws come from one seeded generator, so that equal decisions give equal transcripts.
"""

from __future__ import annotations

import copy
import heapq
import json
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

from tests.transcript_simulation.days import (
    REQUEST_CLASSES,
    RESUMED_TRAFFIC_US,
    TENANTS,
    TRAFFIC_END_US,
    TRAFFIC_PAUSE_US,
    Day,
)
from tests.transcript_simulation.endpoint import MODE_WEIGHTS, MODES, Endpoint
from tests.transcript_simulation.settings_changes import changed_settings
from tests.transcript_simulation.wire import (
    ACTION_PREFIX,
    LOG_PREFIX,
    SECOND_US,
    Json,
    WireBalancer,
    format_line,
)


@dataclass
class ClientRequest:
    """A client's try of a request.

    Attributes:
        deadline_us: When the client gives up, over all its tries.
        attempts: The endpoint of each attempt.
        last_end_numbers: For each attempt in flight, the number of the end that was scheduled last.
    """

    request_id: str
    request_class: Json
    tenant: int
    deadline_us: int
    key: int | None
    work_us: int
    done: bool = False
    attempts: list[int] = field(default_factory=list)
    last_end_numbers: dict[int, int] = field(default_factory=dict)


class Simulation:
    """Clients, endpoints and a list service around one balancer, with the transcript as it grows."""

    def __init__(self, day: Day, start: Callable[[str], WireBalancer]) -> None:
        """Start a day.

        Args:
            day: The simulated day.
            start: Makes the balancer from the wire's launch line.
        """
        self.day = day
        self.random = random.Random(day.seed)
        self.settings = self.first_settings()
        launch = f"launch prng={day.seed} bootInfo={json.dumps(self.settings)}"
        self.balancer = start(launch)
        self.lines = [launch]
        self.now_us = 0
        self.scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self.scheduled_count = 0
        self.endpoints = {n: Endpoint(n, 0, (1.0, 2.0)[n % 2]) for n in range(day.endpoints)}
        self.requests: dict[str, ClientRequest] = {}
        self.request_count = 0
        self.table_count = 0
        self.is_subscribed = day.settings.get("membershipMode") != "on_request"
        self.load_dependent_weights = day.settings.get("weights") == "live"

    def first_settings(self) -> Json:
        """Return the settings that the balancer is launched with."""
        lanes = [each for each in REQUEST_CLASSES if each["name"] in self.day.request_classes]
        tenants = {"tenants": TENANTS} if self.day.has_tenants else {}
        zones = ["north", "south", "west"]
        return copy.deepcopy({"lanes": lanes, "zones": zones, **self.day.settings, **tenants})

    def run(self) -> list[str]:
        """Run the whole day, until nothing is scheduled any more, and return the transcript's lines."""
        self.send_list("disk" if not self.is_subscribed else "snapshot")
        self.schedule(self.next_gap_us(), self.start_request)
        self.repeat_every(SECOND_US if self.day.has_few_faults else SECOND_US // 2, self.change_mode)
        self.repeat_every(1_300_000, self.change_fleet)
        self.repeat_every(3_100_000, self.change_settings)
        self.repeat_every(2_700_000, self.send_unusual_events)
        self.repeat_every(4 * SECOND_US, self.refresh_list)
        if self.load_dependent_weights:
            self.repeat_every(SECOND_US // 2, partial(self.send_list, "diff"))
        if self.day.outage_at_us is not None:
            self.schedule(self.day.outage_at_us, self.start_outage)
        while self.scheduled:
            self.now_us, _, action = heapq.heappop(self.scheduled)
            action()
        return self.lines

    def schedule(self, delay_us: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (self.now_us + max(0, int(delay_us)), self.scheduled_count, action))

    def repeat_every(self, period_us: int, action: Callable[[], None]) -> None:
        """Schedule an action periodically until the day's traffic has ended."""

        def repeat() -> None:
            action()
            if not self.traffic_has_ended():
                self.schedule(period_us, repeat)

        self.schedule(period_us, repeat)

    def traffic_has_ended(self) -> bool:
        """Return whether the day's traffic has ended."""
        return self.now_us > TRAFFIC_END_US + TRAFFIC_PAUSE_US + RESUMED_TRAFFIC_US

    def next_gap_us(self) -> float:
        """Return the random time until the next first try."""
        rates = self.day.rates_per_s
        rate = rates[min(self.now_us * len(rates) // TRAFFIC_END_US, len(rates) - 1)]
        return self.random.expovariate(rate) * SECOND_US

    # The balancer

    def handle(self, *event: str) -> None:
        """Give the balancer one event, write the transcript and apply the balancer's actions."""
        now_us = self.now_us - (20 if self.random.random() < 0.01 else 0)  # the clock sometimes steps back
        actions = [
            line
            for line in self.balancer.handle_lines(now_us, list(event))
            if not line.startswith(LOG_PREFIX)
        ]
        self.lines += [format_line("begin_batch", simTimeUs=now_us), *event]
        self.lines += [ACTION_PREFIX + line for line in actions]
        for line in actions:
            self.apply_action(line)

    def apply_action(self, line: str) -> None:
        """Apply one action of the balancer."""
        name, _, rest = line.partition(" ")
        fields = dict(part.split("=") for part in rest.split())
        if name == "pass_on":
            self.send(self.requests[fields["requestId"]], int(fields["host"]), int(fields["maxWaitUs"]))
        elif name == "notify_me":
            late_us = self.random.choice((0, 0, 300))
            fire = partial(self.handle, format_line("reminder", keyBack=fields["keyBack"]))
            self.schedule(int(fields["dueAtUs"]) - self.now_us + late_us, fire)
        elif name == "retract":
            self.cancel(self.requests[fields["requestId"]], int(fields["shot"]))
        elif name in ("bounce", "surrender"):
            self.on_final_answer(fields["requestId"], int(fields.get("comeBackUs", 0)))
        elif name == "track":
            self.subscribe()

    # Clients

    def start_request(self) -> None:
        """Send a first try and schedule the next one."""
        excluded = self.day.rare_class if self.now_us > SECOND_US else ""
        request_class = self.random.choice(
            [each for each in self.settings["lanes"] if each["name"] != excluded]
        )
        tenant = self.random.choice((0, 0, 1, 1, 2, 7))
        key = self.random.randrange(6) if self.random.random() < 0.6 else None
        work_us = int(self.random.lognormvariate(10.4, 0.6))  # with a median of 33 ms
        self.schedule_next_request()
        self.send_client_request(
            request_class, tenant, self.now_us + request_class["giveUpUs"], key, work_us, is_retry=False
        )

    def schedule_next_request(self) -> None:
        """Schedule the next first try, after the pause if it is due, unless the traffic has ended."""
        wait_us = self.next_gap_us()
        if self.now_us <= TRAFFIC_END_US < self.now_us + wait_us:
            wait_us += TRAFFIC_PAUSE_US
        if not self.traffic_has_ended():
            self.schedule(wait_us, self.start_request)

    def send_client_request(
        self,
        request_class: Json,
        tenant: int,
        deadline_us: int,
        key: int | None,
        work_us: int,
        is_retry: bool,
    ) -> None:
        """Send one try of a request, unless its class is no longer in the settings."""
        if request_class not in self.settings["lanes"]:
            return
        self.request_count += 1
        request_id = f"r{self.request_count}"
        self.requests[request_id] = ClientRequest(
            request_id, request_class, tenant, deadline_us, key, work_us
        )
        left_us = deadline_us - self.now_us
        has_short_timeout = not is_retry and self.random.random() < 0.03
        timeout_us = (
            left_us // 40 if has_short_timeout else left_us if is_retry else request_class["giveUpUs"] // 2
        )
        if self.random.random() < 0.04:
            self.schedule(self.random.random() * timeout_us, partial(self.give_up, request_id))
        self.schedule(timeout_us, partial(self.give_up, request_id))
        self.handle(
            format_line(
                "incoming",
                requestId=request_id,
                priority=self.settings["lanes"].index(request_class),
                graceUs=timeout_us,
                affinity=None if key is None else f"{key:x}",
                costUs=work_us if self.random.random() < 0.5 else None,
                retry=1 if is_retry and self.random.random() < 0.8 else None,
                customer=tenant if self.day.has_tenants else None,
            )
        )

    def give_up(self, request_id: str) -> None:
        """Disconnect the client if it has no answer; it may retry."""
        request = self.requests[request_id]
        if not request.done:
            request.done = True
            self.handle(format_line("dropped", requestId=request_id))
            self.retry_later(request, 0)

    def on_final_answer(self, request_id: str, retry_after_us: int) -> None:
        """Give the client the balancer's own final answer; it may retry."""
        request = self.requests.get(request_id)
        if request is not None and not request.done:
            request.done = True
            self.retry_later(request, retry_after_us)

    def retry_later(self, request: ClientRequest, retry_after_us: int) -> None:
        """Let the client retry, sometimes, if time is left before its deadline."""
        wait_us = max(retry_after_us, self.random.randrange(20_000, 120_000))
        if self.random.random() < 0.5 and self.now_us + wait_us + 10_000 < request.deadline_us:
            request_fields = (
                request.request_class,
                request.tenant,
                request.deadline_us,
                request.key,
                request.work_us,
            )
            self.schedule(wait_us, partial(self.send_client_request, *request_fields, is_retry=True))

    # Endpoints

    def send(self, request: ClientRequest, endpoint_id: int, timeout_us: int) -> None:
        """Send an attempt to an endpoint; if the endpoint is gone, the connect fails."""
        attempt = len(request.attempts)
        request.attempts.append(endpoint_id)
        endpoint = self.endpoints.get(endpoint_id)
        verdict, after_us = "521", 2_000
        if endpoint:
            verdict, after_us = endpoint.serve(
                request.work_us, request.request_class["name"], self.now_us, self.random
            )
        if after_us > timeout_us:
            verdict, after_us = "408", timeout_us
        if request.request_class.get("streamed") and verdict == "200":
            self.schedule(after_us, partial(self.start_stream, request, attempt))
            after_us += self.random.randrange(50_000, 3 * SECOND_US)
        self.schedule_end(request, attempt, verdict, after_us)

    def schedule_end(self, request: ClientRequest, attempt: int, verdict: str, after_us: int) -> None:
        """Schedule the end of an attempt; this replaces an end that was scheduled earlier."""
        end_number = request.last_end_numbers.get(attempt, 0) + 1
        request.last_end_numbers[attempt] = end_number
        self.schedule(after_us, partial(self.end_attempt, request, attempt, end_number, verdict, after_us))

    def end_attempt(
        self, request: ClientRequest, attempt: int, end_number: int, verdict: str, after_us: int
    ) -> None:
        """End an attempt, unless it has ended or a later end has been scheduled for it."""
        if request.last_end_numbers.get(attempt) != end_number:
            return
        del request.last_end_numbers[attempt]
        final = verdict == "200" or (verdict == "502" and self.random.random() < 0.1)
        request.done = request.done or final
        endpoint_id = request.attempts[attempt]
        line = format_line(
            "outcome",
            requestId=request.request_id,
            shot=attempt,
            host=endpoint_id,
            verdict=verdict,
            durationUs=after_us,
            ended=1 if final else None,
            pressure=self.load_report(endpoint_id) if verdict in ("200", "502", "429") else None,
        )
        self.handle(line)
        if self.random.random() < 0.005:
            self.handle(line)  # reported twice

    def load_report(self, endpoint_id: int) -> str | None:
        """Return the load report of an endpoint, which only some answers carry."""
        endpoint = self.endpoints.get(endpoint_id)
        if "report" not in self.settings or endpoint is None or self.random.random() < 0.4:
            return None
        queued_s = endpoint.queued_s(self.now_us)
        values = (
            f"queue:{int(queued_s * 30)}",
            f"eps:{endpoint.errors}",
            f"latency_ms:{30 + queued_s * 500:.1f}",
        )
        endpoint.errors = 0
        return ",".join((*values, "cpu:unknown"))

    def start_stream(self, request: ClientRequest, attempt: int) -> None:
        """Report the first byte of a streamed answer to the balancer."""
        if attempt in request.last_end_numbers and not request.done:
            request.done = True  # the client does not give up any more
            self.handle(format_line("streaming", requestId=request.request_id, shot=attempt))

    def cancel(self, request: ClientRequest, attempt: int) -> None:
        """Cancel an attempt; sometimes it had not been sent yet, or its answer arrives all the same."""
        if attempt in request.last_end_numbers and self.random.random() < 0.9:
            verdict = "409" if self.random.random() < 0.1 else "444"
            self.schedule_end(request, attempt, verdict, self.random.choice((200, 1_000)))

    def change_mode(self) -> None:
        """Change the mode of one endpoint, or sometimes of all endpoints, for a few seconds."""
        endpoints = list(self.endpoints.values())
        mode = self.random.choices(MODES, MODE_WEIGHTS)[0]
        affects_all = self.random.random() < 0.06
        for endpoint in endpoints if affects_all else self.random.choices(endpoints, k=1):
            self.set_mode(endpoint, mode, self.random.randrange(SECOND_US, 5 * SECOND_US))

    def start_outage(self) -> None:
        """Let all endpoints refuse connections for four seconds."""
        for endpoint in self.endpoints.values():
            self.set_mode(endpoint, "refusing_connections", 4 * SECOND_US)

    def set_mode(self, endpoint: Endpoint, mode: str, duration_us: int) -> None:
        """Change the mode of an endpoint for some time."""
        endpoint.mode = mode
        endpoint.failing_class = self.random.choice(self.settings["lanes"])["name"]
        self.schedule(duration_us, partial(setattr, endpoint, "mode", "healthy"))

    # The list service

    def send_list(
        self, how: str, endpoint_ids: Iterable[int] | None = None, gone: Iterable[Endpoint] = ()
    ) -> None:
        """Send a list of all endpoints, or of some, together with endpoints that have gone."""
        if how == "diff" and not self.is_subscribed:
            return
        listed = (
            self.endpoints.values() if endpoint_ids is None else [self.endpoints[n] for n in endpoint_ids]
        )
        hosts = [
            endpoint.list_line(self.now_us, self.load_dependent_weights) for endpoint in (*listed, *gone)
        ]
        self.table_count += 1
        inventory = format_line("inventory", table=self.table_count, members=len(hosts))
        self.handle(inventory, *hosts, format_line("registry", how=how, table=self.table_count))

    def subscribe(self) -> None:
        """Answer the balancer's request for the list; the call may fail."""
        if self.random.random() < 0.4:
            self.schedule(30_000, self.fail_list)
            return

        def answer() -> None:
            self.is_subscribed = True
            self.send_list("snapshot")

        self.schedule(25_000, answer)

    def fail_list(self) -> None:
        """Report a failed call or a lost subscription to the balancer."""
        self.is_subscribed = self.day.settings.get("membershipMode") != "on_request"
        self.handle(format_line("registry", how="error"))

    def refresh_list(self) -> None:
        """Send a complete list without a request, or let the subscription fail."""
        if self.random.random() < 0.5:
            self.fail_list()
        elif self.is_subscribed:
            self.send_list("snapshot")

    def change_fleet(self) -> None:
        """Start, drain, remove or restart an endpoint."""
        draw = self.random.random()
        endpoint_id = self.random.choice(sorted(self.endpoints))
        endpoint = self.endpoints[endpoint_id]
        if draw < 0.35 or len(self.endpoints) < 3:
            endpoint_id = self.random.choice([n for n in range(120) if n not in self.endpoints])
            self.endpoints[endpoint_id] = Endpoint(endpoint_id, self.now_us, (1.0, 2.0)[endpoint_id % 2])
            self.send_list("diff", [endpoint_id])
        elif draw < 0.55:
            endpoint.status = "Terminating"
            self.send_list("diff", [endpoint_id])
            self.schedule(2 * SECOND_US, partial(self.remove, endpoint))
        elif draw < 0.75:
            self.remove(endpoint)
        elif draw < 0.9:  # it restarts under the same id
            self.endpoints[endpoint_id] = Endpoint(endpoint_id, self.now_us, endpoint.base_weight)
            self.send_list("diff", [endpoint_id])

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint, unless another has its id by now, with a list entry or by leaving it out."""
        if self.endpoints.get(endpoint.id) is endpoint and len(self.endpoints) > 2:
            del self.endpoints[endpoint.id]
            endpoint.status = "Gone"
            if self.random.random() < 0.7:
                self.send_list("diff", [], [endpoint])
            else:
                self.send_list("snapshot")

    # The operator, and events that must have no effect

    def change_settings(self) -> None:
        """Make one random change to the settings."""
        self.settings = changed_settings(self.settings, self.random)
        self.handle(f"settings {json.dumps(self.settings)}")

    def send_unusual_events(self) -> None:
        """Send a probe result, another gateway's message and events with unknown or duplicate ids."""
        endpoint_id = self.random.choice(sorted(self.endpoints))
        verdict = self.random.choice(("200", "408", "521"))
        self.handle(
            format_line("pong", host=endpoint_id, verdict=verdict, durationUs=900, pressure="queue:2")
        )
        self.handle(format_line("inbox", src=1, bytes="aGVsbG8="))
        self.handle(format_line("reminder", keyBack=10**9))
        self.handle(format_line("streaming", requestId="nobody", shot=0))
        self.handle(format_line("dropped", requestId="nobody"))
        self.handle(format_line("outcome", requestId="nobody", shot=0, host=endpoint_id, verdict="200"))
        self.handle(format_line("incoming", requestId="odd", priority=99, graceUs=100_000))
        if self.requests:
            last = next(reversed(self.requests))
            self.handle(format_line("incoming", requestId=last, priority=0, graceUs=100_000))
