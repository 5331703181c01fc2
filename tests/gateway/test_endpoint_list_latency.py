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

PROMPT_S = 0.2  # until the answer to a call that does not queue
REFUSED = b"HTTP/1.1 503 Any\r\nContent-Length: 0\r\n\r\n"
OPENED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
OLD, CHANGED = (
    OPENED + encode_chunk(watch_event(endpoint_entry("h0", "127.0.0.1:9", state), index=8, snapshot=True))
    for state in ("active", "leaving")
)
Answers = list[tuple[float, bytes]]  # after so many seconds, from the first call on; the last stands for all


class SkippingSelector(selectors.DefaultSelector):
    """A selector without input, in which the wait for the next timer is over at once."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        assert timeout is not None, "no timer is left"
        self.now_s += max(0.0, timeout)
        return super().select(0)


class DiscoveryLoop(asyncio.SelectorEventLoop):
    def __init__(self, reach_s: float, before: str, answers: Answers) -> None:
        self.skipping = SkippingSelector()
        super().__init__(self.skipping)
        self.reach_s, self.before, self.answers = reach_s, before, answers
        self.known: asyncio.Future[float] = self.create_future()

    def time(self) -> float:
        return self.skipping.now_s

    async def create_connection(self, protocol: Any, *_: Any, **__: Any) -> Any:  # type: ignore[override]
        """Discovery: what it does before it can be reached, and its answers then."""
        early = self.time() < self.reach_s
        if early and self.before == "refuses":
            raise ConnectionRefusedError
        if early and self.before == "swallows":
            await self.create_future()
        call: DiscoveryCall = protocol()
        call.connection_made(Silent())
        if early and self.before == "opens":
            call.data_received(OLD)
            return
        if early and self.before == "falls silent":
            return
        if early:
            head = OPENED if self.before == "trickles a list" else b""
            call.data_received(head)
            for number, byte in enumerate(CHANGED[len(head) :]):
                self.call_later(0.5 * number, call.data_received, bytes([byte]))
            return
        late_s, answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        self.call_later(late_s, call.data_received, answer)

    def note(self, event: WatchEvent) -> None:
        statuses = [endpoint_entry.endpoint.status.value for endpoint_entry in event.endpoints]
        if "draining" in statuses and not self.known.done():
            self.known.set_result(self.time())


class Silent(asyncio.Transport):
    def write(self, data: Any) -> None:
        pass

    def abort(self) -> None:
        pass


def seconds_until_known(reach_s: float, before: str, answers: Answers, seed: int, must_ask_us: int) -> float:
    loop = DiscoveryLoop(reach_s, before, list(answers))
    try:
        changed = {**settings(), "contract": {"mustAskInUs": must_ask_us, "stopSendingWithinUs": 0}}
        raw = configuration({"h0": "127.0.0.1:9"}, "127.0.0.1:8", settings=changed, seed=seed)
        proxy = ReverseProxy(parse_config(raw), loop)
        proxy.clock.now_us = lambda: int(loop.time() * 1e6)  # type: ignore[method-assign]

        def pass_on(event: WatchEvent) -> None:
            loop.note(event)
            proxy.on_watch_event(event)

        proxy.discovery.on_watch_event = pass_on
        proxy.discovery.start(proxy.config.cached_endpoint_list)
        return loop.run_until_complete(loop.known) - reach_s
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


PROMPT, QUEUED, REJECTED = (PROMPT_S, CHANGED), (QUEUED_CALL_S, CHANGED), (QUEUED_CALL_S, REFUSED)
STATES: dict[str, tuple[str, Answers]] = {
    "it was down, and has too many callers": ("refuses", [REJECTED, QUEUED]),
    "it was cut off, and has too many callers": ("swallows", [REJECTED, PROMPT]),
    "it was cut off, and the next watch falls silent": ("swallows", [(60.0, b""), PROMPT]),
    "an open watch falls silent, and the next call is rejected": ("opens", [REJECTED, PROMPT]),
    "a call falls silent, and the next queues": ("falls silent", [QUEUED]),
    "an answer's head trickles in, and the next call queues": ("trickles its head", [QUEUED]),
    "a list trickles in, and the next call queues": ("trickles a list", [QUEUED]),
}


@pytest.mark.parametrize("must_ask_s", [1, 10, 600])
@pytest.mark.parametrize("state", STATES)
def test_a_change_is_known_in_time_whatever_call_just_failed(state: str, must_ask_s: int) -> None:
    """Discovery that was cut off, queues calls or falls silent included."""
    before, answers = STATES[state]
    worst_s = max(
        seconds_until_known(0.1 * tenth, before, answers, seed, must_ask_s * 1_000_000)
        for tenth in range(20, 160)
        for seed in range(3)
    )
    assert worst_s <= CHANGE_DEADLINE_S


@pytest.mark.parametrize("must_ask_s", [1, 10, 60, 600])
def test_the_first_call_may_queue_twice_whatever_the_polling_interval(must_ask_s: int) -> None:
    """Its time does not grow with the interval, and differs between gateways."""
    late = [
        seconds_until_known(0.0, "", [REJECTED, QUEUED], seed, must_ask_s * 1_000_000) - 2 * QUEUED_CALL_S
        for seed in range(40)
    ]
    assert max(late) <= CHANGE_DEADLINE_S - 2 * QUEUED_CALL_S
    assert max(late) - min(late) > 0.8 * min(1.0, 0.1 * must_ask_s)  # they ask at random all the same
    assert min(late) >= 0
    assert len({round(late_s, 6) for late_s in late}) == 40
