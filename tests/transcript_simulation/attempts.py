"""Attempts at the endpoints of the simulated fleet, and their ends."""

from __future__ import annotations

from functools import partial

from tests.transcript_simulation.wire import SECOND_US, EventHandler, format_line
from tests.transcript_simulation.world import ClientRequest, World


class Attempts:
    """Serves the attempts that the balancer sends."""

    def __init__(self, world: World, handle: EventHandler) -> None:
        self._world = world
        self._handle = handle

    def send(self, request: ClientRequest, endpoint_id: int, timeout_us: int) -> None:
        """Send an attempt to an endpoint; if the endpoint is gone, the connect fails."""
        attempt = len(request.attempts)
        request.attempts.append(endpoint_id)
        endpoint = self._world.endpoints.get(endpoint_id)
        verdict, after_us = "521", 2_000
        if endpoint:
            verdict, after_us = endpoint.serve(
                request.work_us, request.request_class["name"], self._world.now_us, self._world.random
            )
        if after_us > timeout_us:
            verdict, after_us = "408", timeout_us
        if request.request_class.get("streamed") and verdict == "200":
            self._world.schedule(after_us, partial(self.start_stream, request, attempt))
            after_us += self._world.random.randrange(50_000, 3 * SECOND_US)
        self.schedule_end(request, attempt, verdict, after_us)

    def schedule_end(self, request: ClientRequest, attempt: int, verdict: str, after_us: int) -> None:
        """Schedule the end of an attempt; this replaces an end that was scheduled earlier."""
        end_number = request.last_end_numbers.get(attempt, 0) + 1
        request.last_end_numbers[attempt] = end_number
        self._world.schedule(
            after_us, partial(self.end_attempt, request, attempt, end_number, verdict, after_us)
        )

    def end_attempt(
        self, request: ClientRequest, attempt: int, end_number: int, verdict: str, after_us: int
    ) -> None:
        """End an attempt, unless it has ended or a later end has been scheduled for it."""
        if request.last_end_numbers.get(attempt) != end_number:
            return
        del request.last_end_numbers[attempt]
        final = verdict == "200" or (verdict == "502" and self._world.random.random() < 0.1)
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
        self._handle(line)
        if self._world.random.random() < 0.005:
            self._handle(line)  # reported twice

    def load_report(self, endpoint_id: int) -> str | None:
        """Return the load report of an endpoint, which only some answers carry."""
        endpoint = self._world.endpoints.get(endpoint_id)
        if "report" not in self._world.settings or endpoint is None or self._world.random.random() < 0.4:
            return None
        queued_s = endpoint.queued_s(self._world.now_us)
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
            self._handle(format_line("streaming", requestId=request.request_id, shot=attempt))

    def cancel(self, request: ClientRequest, attempt: int) -> None:
        """Cancel an attempt; sometimes it had not been sent yet, or its answer arrives all the same."""
        if attempt in request.last_end_numbers and self._world.random.random() < 0.9:
            verdict = "409" if self._world.random.random() < 0.1 else "444"
            self.schedule_end(request, attempt, verdict, self._world.random.choice((200, 1_000)))
