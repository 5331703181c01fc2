"""How soon a change of the endpoint list is known once discovery can be reached, on a fake clock."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

import pytest

from load_balancer.config.file import parse_config
from load_balancer.gateway.discovery import CHANGE_DEADLINE_S, QUEUED_CALL_S
from load_balancer.gateway.discovery_call import DiscoveryCall
from load_balancer.gateway.discovery_messages import WatchEvent
from load_balancer.gateway.reverse_proxy import ReverseProxy
from tests.gateway.configurations import configuration, settings
from tests.gateway.stub_discovery import encode_chunk, endpoint_entry, watch_event

UNQUEUED_CALL_S = 0.2  # until the answer to a call that does not queue
UNAVAILABLE_RESPONSE = b"HTTP/1.1 503 Any\r\nContent-Length: 0\r\n\r\n"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
OLD_LIST, CHANGED_LIST = (
    WATCH_HEAD + encode_chunk(watch_event(endpoint_entry("h0", "127.0.0.1:9", state), index=8, snapshot=True))
    for state in ("active", "leaving")
)
TimedAnswers = list[
    tuple[float, bytes]
]  # after so many seconds, from the first call on; the last stands for all


class SkippingSelector(selectors.DefaultSelector):
    """A selector without input, in which the wait for the next timer is over at once."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        assert timeout is not None, "no timer is left"
        self.now_s += max(0.0, timeout)
        return super().select(0)


class DiscoveryLoop(asyncio.SelectorEventLoop):
    def __init__(self, reachable_at_s: float, outage: str, answers: TimedAnswers) -> None:
        self.skipping_selector = SkippingSelector()
        super().__init__(self.skipping_selector)
        self.reachable_at_s, self.outage, self.answers = reachable_at_s, outage, answers
        self.change_known_at: asyncio.Future[float] = self.create_future()

    def time(self) -> float:
        return self.skipping_selector.now_s

    async def create_connection(self, protocol: Any, *_: Any, **__: Any) -> Any:  # type: ignore[override]
        """Discovery: what it does before it can be reached, and its answers then."""
        is_outage = self.time() < self.reachable_at_s
        if is_outage and self.outage == "refuses":
            raise ConnectionRefusedError
        if is_outage and self.outage == "swallows":
            await self.create_future()
        call: DiscoveryCall = protocol()
        call.connection_made(DiscardingTransport())
        if is_outage and self.outage == "opens":
            call.data_received(OLD_LIST)
            return
        if is_outage and self.outage == "falls silent":
            return
        if is_outage:
            head = WATCH_HEAD if self.outage == "trickles a list" else b""
            call.data_received(head)
            for index, byte in enumerate(CHANGED_LIST[len(head) :]):
                self.call_later(0.5 * index, call.data_received, bytes([byte]))
            return
        delay_s, answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        self.call_later(delay_s, call.data_received, answer)

    def record_change(self, event: WatchEvent) -> None:
        statuses = [entry.endpoint.status.value for entry in event.endpoints]
        if "draining" in statuses and not self.change_known_at.done():
            self.change_known_at.set_result(self.time())


class DiscardingTransport(asyncio.Transport):
    def write(self, data: Any) -> None:
        pass

    def abort(self) -> None:
        pass


def seconds_until_known(
    reachable_at_s: float, outage: str, answers: TimedAnswers, seed: int, max_poll_interval_us: int
) -> float:
    loop = DiscoveryLoop(reachable_at_s, outage, list(answers))
    try:
        changed_settings = {
            **settings(),
            "contract": {"mustAskInUs": max_poll_interval_us, "stopSendingWithinUs": 0},
        }
        document = configuration({"h0": "127.0.0.1:9"}, "127.0.0.1:8", settings=changed_settings, seed=seed)
        proxy = ReverseProxy(parse_config(document), loop)
        proxy.clock.now_us = lambda: int(loop.time() * 1e6)  # type: ignore[method-assign]

        def record_then_handle(event: WatchEvent) -> None:
            loop.record_change(event)
            proxy.on_watch_event(event)

        proxy.discovery.on_watch_event = record_then_handle
        proxy.discovery.start(proxy.config.cached_endpoint_list)
        return loop.run_until_complete(loop.change_known_at) - reachable_at_s
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


UNQUEUED, QUEUED, REJECTED = (
    (UNQUEUED_CALL_S, CHANGED_LIST),
    (QUEUED_CALL_S, CHANGED_LIST),
    (QUEUED_CALL_S, UNAVAILABLE_RESPONSE),
)
OUTAGES: dict[str, tuple[str, TimedAnswers]] = {
    "it was down, and has too many callers": ("refuses", [REJECTED, QUEUED]),
    "it was cut off, and has too many callers": ("swallows", [REJECTED, UNQUEUED]),
    "it was cut off, and the next watch falls silent": ("swallows", [(60.0, b""), UNQUEUED]),
    "an open watch falls silent, and the next call is rejected": ("opens", [REJECTED, UNQUEUED]),
    "a call falls silent, and the next queues": ("falls silent", [QUEUED]),
    "an answer's head trickles in, and the next call queues": ("trickles its head", [QUEUED]),
    "a list trickles in, and the next call queues": ("trickles a list", [QUEUED]),
}


@pytest.mark.parametrize("max_poll_interval_s", [1, 10, 600])
@pytest.mark.parametrize("outage_name", OUTAGES)
def test_a_change_is_known_in_time_whichever_call_failed_before(
    outage_name: str, max_poll_interval_s: int
) -> None:
    """Discovery that was cut off, queues calls or falls silent included."""
    outage, answers = OUTAGES[outage_name]
    worst_s = max(
        seconds_until_known(0.1 * tenth, outage, answers, seed, max_poll_interval_s * 1_000_000)
        for tenth in range(20, 160)
        for seed in range(3)
    )
    assert worst_s <= CHANGE_DEADLINE_S


@pytest.mark.parametrize("max_poll_interval_s", [1, 10, 60, 600])
def test_a_change_is_known_in_time_if_the_first_two_calls_queue(max_poll_interval_s: int) -> None:
    """Its time does not grow with the interval, and differs between gateways."""
    delays_s = [
        seconds_until_known(0.0, "", [REJECTED, QUEUED], seed, max_poll_interval_s * 1_000_000)
        - 2 * QUEUED_CALL_S
        for seed in range(40)
    ]
    assert max(delays_s) <= CHANGE_DEADLINE_S - 2 * QUEUED_CALL_S
    assert max(delays_s) - min(delays_s) > 0.8 * min(
        1.0, 0.1 * max_poll_interval_s
    )  # they ask at random all the same
    assert min(delays_s) >= 0
    assert len({round(delay_s, 6) for delay_s in delays_s}) == 40
