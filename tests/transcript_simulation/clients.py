"""Clients of the simulated fleet: first tries, retries, and clients that give up."""

from __future__ import annotations

from functools import partial

from tests.transcript_simulation.days import TRAFFIC_END_US, TRAFFIC_PAUSE_US
from tests.transcript_simulation.wire import SECOND_US, EventHandler, Json, format_line
from tests.transcript_simulation.world import ClientRequest, World


class Clients:
    """Sends requests to the balancer."""

    def __init__(self, world: World, handle: EventHandler) -> None:
        self._world = world
        self._handle = handle
        self._request_count = 0

    def next_gap_us(self) -> float:
        """Return the random time until the next first try."""
        rates = self._world.day.rates_per_s
        rate = rates[min(self._world.now_us * len(rates) // TRAFFIC_END_US, len(rates) - 1)]
        return self._world.random.expovariate(rate) * SECOND_US

    def start_request(self) -> None:
        """Send a first try and schedule the next one."""
        excluded = self._world.day.rare_class if self._world.now_us > SECOND_US else ""
        request_class = self._world.random.choice(
            [each for each in self._world.settings["lanes"] if each["name"] != excluded]
        )
        tenant = self._world.random.choice((0, 0, 1, 1, 2, 7))
        key = self._world.random.randrange(6) if self._world.random.random() < 0.6 else None
        work_us = int(self._world.random.lognormvariate(10.4, 0.6))  # with a median of 33 ms
        self.schedule_next_request()
        self.send_client_request(
            request_class,
            tenant,
            self._world.now_us + request_class["giveUpUs"],
            key,
            work_us,
            is_retry=False,
        )

    def schedule_next_request(self) -> None:
        """Schedule the next first try, after the pause if it is due, unless the traffic has ended."""
        wait_us = self.next_gap_us()
        if self._world.now_us <= TRAFFIC_END_US < self._world.now_us + wait_us:
            wait_us += TRAFFIC_PAUSE_US
        if not self._world.traffic_has_ended():
            self._world.schedule(wait_us, self.start_request)

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
        if request_class not in self._world.settings["lanes"]:
            return
        self._request_count += 1
        request_id = f"r{self._request_count}"
        self._world.requests[request_id] = ClientRequest(
            request_id, request_class, tenant, deadline_us, key, work_us
        )
        left_us = deadline_us - self._world.now_us
        has_short_timeout = not is_retry and self._world.random.random() < 0.03
        timeout_us = (
            left_us // 40 if has_short_timeout else left_us if is_retry else request_class["giveUpUs"] // 2
        )
        if self._world.random.random() < 0.04:
            self._world.schedule(self._world.random.random() * timeout_us, partial(self.give_up, request_id))
        self._world.schedule(timeout_us, partial(self.give_up, request_id))
        self._handle(
            format_line(
                "incoming",
                requestId=request_id,
                priority=self._world.settings["lanes"].index(request_class),
                graceUs=timeout_us,
                affinity=None if key is None else f"{key:x}",
                costUs=work_us if self._world.random.random() < 0.5 else None,
                retry=1 if is_retry and self._world.random.random() < 0.8 else None,
                customer=tenant if self._world.day.has_tenants else None,
            )
        )

    def give_up(self, request_id: str) -> None:
        """Disconnect the client if it has no answer; it may retry."""
        request = self._world.requests[request_id]
        if not request.done:
            request.done = True
            self._handle(format_line("dropped", requestId=request_id))
            self.retry_later(request, 0)

    def on_final_answer(self, request_id: str, retry_after_us: int) -> None:
        """Give the client the balancer's own final answer; it may retry."""
        request = self._world.requests.get(request_id)
        if request is not None and not request.done:
            request.done = True
            self.retry_later(request, retry_after_us)

    def retry_later(self, request: ClientRequest, retry_after_us: int) -> None:
        """Let the client retry, sometimes, if time is left before its deadline."""
        wait_us = max(retry_after_us, self._world.random.randrange(20_000, 120_000))
        if self._world.random.random() < 0.5 and self._world.now_us + wait_us + 10_000 < request.deadline_us:
            request_fields = (
                request.request_class,
                request.tenant,
                request.deadline_us,
                request.key,
                request.work_us,
            )
            self._world.schedule(wait_us, partial(self.send_client_request, *request_fields, is_retry=True))
