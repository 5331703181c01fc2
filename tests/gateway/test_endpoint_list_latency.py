"""How soon a change of the endpoint list is known after an outage of discovery, on a simulated clock."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

import pytest

from load_balancer.config.file import parse_config
from load_balancer.decisions.list_polling import MAX_FIRST_CALL_DELAY_US
from load_balancer.gateway.discovery import CHANGE_DEADLINE_S, QUEUED_CALL_S
from load_balancer.gateway.discovery_call import DiscoveryCall
from load_balancer.gateway.discovery_messages import WatchEvent
from load_balancer.gateway.reverse_proxy import ReverseProxy
from tests.gateway.configurations import configuration, settings
from tests.gateway.stub_discovery import encode_chunk, endpoint_entry, watch_event

FIRST_CALL_DELAY_S = MAX_FIRST_CALL_DELAY_US / 1e6
SIMULATION_LIMIT_S = 300.0
UNQUEUED_CALL_S = 0.2  # time to the answer to a call that does not queue
UNAVAILABLE_RESPONSE = b"HTTP/1.1 503 Any\r\nContent-Length: 0\r\n\r\n"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
OLD_LIST, CHANGED_LIST = (
    WATCH_HEAD + encode_chunk(watch_event(endpoint_entry("h0", "127.0.0.1:9", state), index=8, snapshot=True))
    for state in ("active", "leaving")
)
# The delay in seconds and the bytes of the answer to each call after the outage; the last answer is repeated.
TimedAnswers = list[tuple[float, bytes]]


class SkippingSelector(selectors.DefaultSelector):
    """A selector without input that advances a simulated clock instead of waiting for the next timer."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        assert timeout is not None, "no timer is left"
        self.now_s += max(0.0, timeout)
        assert self.now_s < SIMULATION_LIMIT_S, "the change is never known"
        return super().select(0)


class DiscoveryLoop(asyncio.SelectorEventLoop):
    """An event loop on a simulated clock, whose connections all lead to a simulated discovery.

    Attributes:
        reachable_at_s: When the outage ends.
        outage: What discovery does until then.
        answers: What it answers to calls after that.
        change_known_at: The time at which the change of the list is known.
    """

    def __init__(self, reachable_at_s: float, outage: str, answers: TimedAnswers) -> None:
        self.skipping_selector = SkippingSelector()
        super().__init__(self.skipping_selector)
        self.reachable_at_s, self.outage, self.answers = reachable_at_s, outage, answers
        self.change_known_at: asyncio.Future[float] = self.create_future()

    def time(self) -> float:
        return self.skipping_selector.now_s

    async def create_connection(self, protocol: Any, *_: Any, **__: Any) -> Any:  # type: ignore[override]
        """Connect to discovery, which behaves as in the outage at first and then answers as given."""
        is_outage = self.time() < self.reachable_at_s
        if is_outage and self.outage == "refuses connections":
            raise ConnectionRefusedError
        if is_outage and self.outage == "connecting hangs":
            await self.create_future()
        call: DiscoveryCall = protocol()
        call.connection_made(DiscardingTransport())
        if is_outage and self.outage == "sends one list":
            call.data_received(OLD_LIST)
            return
        if is_outage and self.outage == "sends nothing":
            return
        if is_outage:
            head = WATCH_HEAD if self.outage == "sends a list byte by byte" else b""
            call.data_received(head)
            for index, byte in enumerate(CHANGED_LIST[len(head) :]):
                self.call_later(0.5 * index, call.data_received, bytes([byte]))
            return
        delay_s, answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        self.call_later(delay_s, call.data_received, answer)

    def record_change(self, event: WatchEvent) -> None:
        """Set the time of the first event that reports the change."""
        statuses = [entry.endpoint.status.value for entry in event.endpoints]
        if "draining" in statuses and not self.change_known_at.done():
            self.change_known_at.set_result(self.time())


class DiscardingTransport(asyncio.Transport):
    """A transport that drops what is written to it."""

    def write(self, data: Any) -> None:
        pass

    def abort(self) -> None:
        pass


def seconds_until_known(
    reachable_at_s: float, outage: str, answers: TimedAnswers, seed: int, max_poll_interval_us: int
) -> float:
    """Return the time from the end of the outage until the gateway knows the change."""
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
    "connections are refused, then a call is rejected and one queues": (
        "refuses connections",
        [REJECTED, QUEUED],
    ),
    "connecting hangs, then a call is rejected": ("connecting hangs", [REJECTED, UNQUEUED]),
    "connecting hangs, then a watch gets no answer": ("connecting hangs", [(60.0, b""), UNQUEUED]),
    "an open watch sends nothing more, then a call is rejected": ("sends one list", [REJECTED, UNQUEUED]),
    "a call gets no answer, then one queues": ("sends nothing", [QUEUED]),
    "the head of an answer comes byte by byte, then a call queues": ("sends its head byte by byte", [QUEUED]),
    "a list comes byte by byte, then a call queues": ("sends a list byte by byte", [QUEUED]),
}


@pytest.mark.parametrize("max_poll_interval_s", [1, 10, 600])
@pytest.mark.parametrize("outage_name", OUTAGES)
def test_a_change_is_known_in_time_whichever_call_failed_before(
    outage_name: str, max_poll_interval_s: int
) -> None:
    """The deadline must cover the time-out of the pending call, the wait after it and the next call.

    That call may queue, be rejected after queueing or get no answer.
    """
    outage, answers = OUTAGES[outage_name]
    worst_s = max(
        seconds_until_known(0.1 * tenth, outage, answers, seed, max_poll_interval_s * 1_000_000)
        for tenth in range(20, 160)
        for seed in range(3)
    )
    assert worst_s <= CHANGE_DEADLINE_S


@pytest.mark.parametrize("answer_delay_s", [2.9, 4.0, 4.4])
@pytest.mark.parametrize("max_poll_interval_s", [1, 10, 600])
def test_a_change_is_known_in_time_if_discovery_answers_slowly(
    max_poll_interval_s: int, answer_delay_s: float
) -> None:
    """A call that was ended while it queued was never answered, and neither were those after it."""
    worst_s = max(
        seconds_until_known(0.0, "", [(answer_delay_s, CHANGED_LIST)], seed, max_poll_interval_s * 1_000_000)
        for seed in range(10)
    )
    assert worst_s <= CHANGE_DEADLINE_S


@pytest.mark.parametrize("answer_delay_s", [7.0, 15.0])
def test_a_change_is_known_however_long_discovery_queues_calls(answer_delay_s: float) -> None:
    """No deadline can be kept then, but the list must come with the first call to be answered."""
    known_s = seconds_until_known(0.0, "", [(answer_delay_s, CHANGED_LIST)], 1, 10_000_000)
    assert known_s <= answer_delay_s + FIRST_CALL_DELAY_S


@pytest.mark.parametrize("max_poll_interval_s", [1, 10, 60, 600])
def test_a_change_is_known_in_time_if_the_first_two_calls_queue(max_poll_interval_s: int) -> None:
    """A first call delayed in proportion to a long polling interval would miss the deadline.

    Without a random delay, all gateways would make it at once.
    """
    delays_s = [
        seconds_until_known(0.0, "", [REJECTED, QUEUED], seed, max_poll_interval_s * 1_000_000)
        - 2 * QUEUED_CALL_S
        for seed in range(40)
    ]
    assert max(delays_s) <= CHANGE_DEADLINE_S - 2 * QUEUED_CALL_S
    # First calls are still spread at random.
    assert max(delays_s) - min(delays_s) > 0.8 * min(1.0, 0.1 * max_poll_interval_s)
    assert min(delays_s) >= 0
    assert len({round(delay_s, 6) for delay_s in delays_s}) == 40
