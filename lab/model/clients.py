"""Clients: send the workload's requests, wait for answers, disconnect and retry."""

from __future__ import annotations

from lab.model.engine import Clock, to_us
from lab.model.gateway import ModelGateway
from lab.model.ingress import Ingress
from lab.model.requests import GatewayRequest, RequestEnd
from lab.model.rules import Rules
from lab.model.run_record import RunRecord
from lab.model.scenario import ClientTerms, Effect, Traffic
from lab.model.workload import Workload
from load_balancer.decisions.events import ClientDisconnected, RequestArrived
from load_balancer.decisions.settings import DeduplicationScope

# Ends after which a client may retry any request, even one that a killed gateway has already sent on.
ALWAYS_RETRYABLE = (RequestEnd.REFUSED, RequestEnd.UNREACHABLE)


class Clients:
    """All clients of a run."""

    def __init__(
        self,
        clock: Clock,
        traffic: Traffic,
        terms: ClientTerms,
        workload: Workload,
        ingress: Ingress,
        rules: Rules,
        record: RunRecord,
    ) -> None:
        self._clock = clock
        self._traffic = traffic
        self._terms = terms
        self._workload = workload
        self._ingress = ingress
        self._rules = rules
        self._record = record

    def start(self) -> None:
        """Schedule the first try of every request."""
        for workload_row, arrival_us in enumerate(self._workload.times_us):
            self._clock.call_at(arrival_us, self._send, workload_row, 0)

    def finish(self, request: GatewayRequest, end: RequestEnd, retry_after_us: int = 0) -> None:
        """End a try, and schedule a retry if the class, the tries so far and the remaining time allow one.

        Args:
            request: The try.
            end: How it ended.
            retry_after_us: Time for which a refusal asks the client to wait before a retry.
        """
        request.finished = True
        row, now_us = request.workload_row, self._clock.now_us
        self._record.ends[row] = end
        elapsed_us = now_us - self._workload.times_us[row]
        if end is RequestEnd.SERVED:
            self._record.latency_us[row] = elapsed_us
            return
        delay_us = round(self._workload.backoff_us[row, request.try_number])
        delay_us = max(delay_us, retry_after_us * self._terms.honor_retry_after)
        in_time = elapsed_us + delay_us < request.request_class.timeout_ms * 1e3
        if in_time and request.try_number < self._terms.retries and self._may_retry(request, end, elapsed_us):
            self._clock.call_at(now_us + delay_us, self._send, row, request.try_number + 1)

    def _may_retry(self, request: GatewayRequest, end: RequestEnd, elapsed_us: int) -> bool:
        """Return whether the client may send its request again.

        It may after a refusal, or if the gateway was down or has ended; otherwise only if a repeat has no
        second effect.
        """
        terms = request.request_class
        if end in ALWAYS_RETRYABLE or terms.effect is Effect.IDEMPOTENT:
            return True
        deduplicated = terms.effect is Effect.IDEMPOTENCY_KEY and terms.scope is DeduplicationScope.ALL
        return deduplicated and elapsed_us < to_us(terms.window_s)

    def _send(self, row: int, try_number: int) -> None:
        """Send a try to the gateway that the ingress chooses."""
        workload, now_us = self._workload, self._clock.now_us
        request_class = self._traffic.classes[workload.request_class[row]]
        gateway = self._ingress.choose(workload.zone[row], workload.gateway_draws[row, try_number])
        timeout_us = round(workload.try_timeout_share[row, try_number] * request_class.timeout_ms * 1e3)
        remaining_us = workload.times_us[row] + to_us(request_class.timeout_ms / 1e3) - now_us
        timeout_us = min(timeout_us, remaining_us)
        request = GatewayRequest(
            f"r{row}-{try_number}",
            row,
            try_number,
            gateway.index if gateway is not None else -1,
            request_class,
            now_us + timeout_us,
        )
        if gateway is None or not gateway.up:
            self.finish(request, RequestEnd.UNREACHABLE)
        elif timeout_us > 0:
            self._deliver(gateway, request, timeout_us)

    def _deliver(self, gateway: ModelGateway, request: GatewayRequest, timeout_us: int) -> None:
        workload, row = self._workload, request.workload_row
        gateway.requests[request.id] = request
        overdue_at_us = request.deadline_us + gateway.settings.answer_slack_us + 1
        self._clock.call_at(overdue_at_us, self._expire, gateway, request)
        disconnect_share = workload.disconnect_shares[row, request.try_number]
        if disconnect_share < 1.0:
            disconnect_at_us = self._clock.now_us + round(disconnect_share * timeout_us)
            self._clock.call_at(disconnect_at_us, self._disconnect, gateway, request)
        self._record.costs["tries"] += 1
        gateway.deliver(
            RequestArrived(
                request.id,
                workload.request_class[row],
                timeout_us,
                work_us=workload.hint_us[row],
                is_retry=request.try_number > 0,
                tenant=workload.tenant[row],
            )
        )

    def _expire(self, gateway: ModelGateway, request: GatewayRequest) -> None:
        """Report and end a try that has no final answer after its deadline."""
        if request.finished:
            return
        self._rules.report_overdue(request)
        self.finish(request, RequestEnd.LOST)
        gateway.deliver(ClientDisconnected(request.id))

    def _disconnect(self, gateway: ModelGateway, request: GatewayRequest) -> None:
        if not request.finished:
            self.finish(request, RequestEnd.FAILED)
            gateway.deliver(ClientDisconnected(request.id))
