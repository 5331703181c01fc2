"""The log: its formats, the counting of repeats, and the page that lists the events."""

import ast
import json
import logging
import re
import socket
from pathlib import Path
from typing import Any

import pytest

from load_balancer.decisions.actions import Action, LogEvent, Send
from load_balancer.decisions.events import Event, RequestArrived
from load_balancer.gateway import event_log
from load_balancer.gateway.event_log import make_formatter
from load_balancer.gateway.log_event_fields import COMMON_FIELDS, FIELDS, RENAMED_EVENTS, RENAMED_FIELDS
from load_balancer.gateway.log_events import EVENTS, MAX_COUNTED_KEYS, RegisteredEvent
from load_balancer.gateway.log_events_page import render_page
from load_balancer.gateway.repeat_counter import Fields, RepeatCounter
from tests.gateway.configurations import configuration, settings
from tests.gateway.event_loop import run_in_event_loop
from tests.gateway.http_client import encode_request
from tests.gateway.process_helpers import run_process
from tests.gateway.running_gateway import running_gateway

ROOT = Path(__file__).parents[2]


def test_the_page_lists_the_events_of_the_code() -> None:
    """If it fails, `python -m load_balancer.gateway.event_log > docs/events.md` updates the page."""
    assert (ROOT / "docs" / "events.md").read_text() == render_page()
    assert FIELDS.keys() == {name for event in EVENTS.values() for name in event.fields} | set(COMMON_FIELDS)
    assert all(set(event.key) <= set(event.fields) for event in EVENTS.values())


def test_renamed_names_map_to_registered_ones_and_are_not_reused() -> None:
    assert set(RENAMED_EVENTS.values()) <= EVENTS.keys()
    assert set(RENAMED_FIELDS.values()) <= FIELDS.keys()
    assert not RENAMED_EVENTS.keys() & EVENTS.keys()
    assert not RENAMED_FIELDS.keys() & FIELDS.keys()


def test_every_call_logs_a_registered_event_with_its_fields() -> None:
    logged = {"log.overflow"}  # logged by repeat_counter.py without such a call
    for path in sorted((ROOT / "load_balancer").rglob("*.py")):
        for node in (node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Call)):
            function, location = ast.unparse(node.func), f"{path.name}:{node.lineno}"
            bypass = re.fullmatch(r"(log|logging|print)(\.\w+)?", function)
            assert not bypass or path.name in ("cli.py", "event_log.py", "adapter.py"), location
            fields = {field.arg for field in node.keywords}
            if function in ("self.log.write", "self._log.write"):
                name = node.args[1]  # the first argument is the time
            elif function == "log_event" and not isinstance(node.args[0], ast.Attribute):
                name = node.args[0]
            else:
                continue
            assert isinstance(name, ast.Constant), location
            event = EVENTS[name.value]
            assert fields - {None, "level"} <= set(event.fields), location
            assert None in fields or event.sentence_fields <= fields, location
            logged.add(event.name)
    assert logged == EVENTS.keys()


class ManualLoop:
    """A loop whose clock the test sets, with at most one timer."""

    now_s, due_s, call = 0.0, 0.0, None

    def __init__(self) -> None:
        self.written: list[tuple[float, str, Fields]] = []
        self.counter = RepeatCounter(self.write, lambda: self)  # type: ignore[arg-type, return-value]

    def write(self, event: RegisteredEvent, fields: Fields) -> None:
        self.written.append((self.now_s, event.name, fields))

    def time(self) -> float:
        return self.now_s

    def call_later(self, delay_s: float, call: Any) -> Any:
        assert self.call is None
        self.due_s, self.call = self.now_s + delay_s, call
        return self

    def cancel(self) -> None:
        self.call = None

    def run_until(self, until_s: float) -> None:
        while self.call is not None and self.due_s <= until_s:
            self.now_s, call, self.call = max(self.now_s, self.due_s), self.call, None
            call()
        self.now_s = until_s


def test_repeats_are_written_once_a_second_with_their_count() -> None:
    loop, event = ManualLoop(), EVENTS["request.failed"]
    counter, written = loop.counter, loop.written
    for index in range(150):  # 1.5 s of events
        loop.run_until(index / 100)
        counter.add(event, {"error": "a", "request_id": str(index)})
    counter.add(event, {"error": "b"})
    loop.run_until(9.0)
    assert written == [
        (0.0, "request.failed", {"error": "a", "request_id": "0"}),
        (1.0, "request.failed", {"error": "a", "request_id": "99", "repeated": 99}),
        (1.49, "request.failed", {"error": "b"}),
        (2.0, "request.failed", {"error": "a", "request_id": "149", "repeated": 50}),
    ]
    assert loop.call is None
    assert not counter.windows
    counter.add(event, {"error": "a"})
    assert written[-1] == (9.0, "request.failed", {"error": "a"})


@pytest.mark.parametrize("trigger", ["timer", "flush", "another loop", "late timer"])
def test_every_event_is_written_or_counted(trigger: str) -> None:
    """Beyond `MAX_COUNTED_KEYS`, repeats are counted by event name alone, so that memory stays limited."""
    loop, event, event_count = ManualLoop(), EVENTS["library.message"], 30 * MAX_COUNTED_KEYS
    counter, written = loop.counter, loop.written
    for index in range(event_count):
        counter.add(event, {"message": str(index // 3), "logger": "x"})
    assert len(written) == len(counter.windows) == MAX_COUNTED_KEYS
    if trigger == "flush":
        counter.flush()
    elif trigger == "another loop":
        counter.get_loop = ManualLoop  # type: ignore[assignment]
    else:
        loop.now_s = 1.0 if trigger == "timer" else 1.5
    if trigger in ("another loop", "late timer"):
        event_count += 1
        counter.add(event, {"message": "0", "logger": "x"})
    if trigger != "another loop":
        loop.run_until(9.0)
    assert loop.call is None
    (overflow,) = (fields for _, name, fields in written if name == "log.overflow")
    assert overflow["event_counts"] == f"library.message:{overflow['repeated']}"
    assert sum(int(str(fields.get("repeated", 1))) for *_, fields in written) == event_count


@pytest.mark.parametrize("log_format", ["text", "json"])
def test_events_are_written_as_text_or_json(
    log_format: str, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def log_sample_events() -> None:
        event_log.log_event(
            "circuit_breaker.changed", endpoint_id=5, request_class="buy card", state="open", cooldown_s=2.0
        )
        event_log.log_event("config.invalid", error=ValueError("no name"))
        record = {"name": "asyncio", "levelno": logging.ERROR, "msg": "two\nlines %s", "args": ("more",)}
        event_log.LibraryHandler().handle(logging.makeLogRecord(record))
        for _ in range(2):
            try:
                raise RuntimeError("a fault")
            except RuntimeError as error:
                event_log.log_event("request.failed", error=error, request_id="7")

    event_log.flush()
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(caplog.handler, "formatter", make_formatter({"ROUTER_LOG": log_format}))
    run_in_event_loop(log_sample_events())
    event_log.flush()
    failure_line = (
        r"""ERROR a request failed and is answered 500 error="?RuntimeError\('a fault'\)"? request_id=7"""
    )
    expected = rf"""@INFO endpoint 5: circuit breaker open request_class="buy card" cooldown_s=2.0
load_balancer: no name
@ERROR two\nlines more logger=asyncio
@{failure_line}\nTraceback (?s:.*)\nRuntimeError: a fault
@{failure_line} repeated=1\n""".replace("@", r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3} ")
    if log_format == "text":
        assert re.fullmatch(expected, caplog.text)
        return
    logged = [json.loads(line) for line in caplog.text.splitlines()]
    assert all(re.fullmatch(r"\d{4}-\d\d-\d\dT[\d:]{8}\.\d{3}\+00:00", event.pop("time")) for event in logged)
    breaker_event, _, library_event, first_failure, repeated_failure = logged
    expected_breaker = {
        "level": "info",
        "event": "circuit_breaker.changed",
        "endpoint_id": 5,
        "request_class": "buy card",
        "state": "open",
    }
    assert breaker_event == expected_breaker | {"cooldown_s": 2.0}
    assert library_event == {
        "level": "error",
        "event": "library.message",
        "logger": "asyncio",
        "message": "two\nlines more",
    }
    assert first_failure["exception"].endswith("RuntimeError: a fault")
    assert repeated_failure.keys() == {"level", "event", "error", "request_id", "repeated"}


def test_a_process_set_to_json_writes_every_event_as_json(tmp_path: Path) -> None:
    """Repeats that are still only counted when a start fails must be written although the loop is closed."""
    path = tmp_path / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listen = f"127.0.0.1:{listening.getsockname()[1]}"
        raw = configuration({}, "127.0.0.1:1", listen=listen, known={"endpoints": [7, 8, 9]})
        path.write_text(json.dumps(raw))
        events = [json.loads(line) for line in run_process(path, ROUTER_LOG="json").stderr.splitlines()]
    assert (
        sum(event.get("repeated", 1) for event in events if event["event"] == "discovery.entry_skipped") == 3
    )
    assert [event["event"] for event in events].count("gateway.start_failed") == 1
    (last_line,) = run_process("", ROUTER_LOG="json").stderr.splitlines()
    assert json.loads(last_line)["event"] == "config.invalid"


async def test_an_event_of_a_request_names_the_request(caplog: pytest.LogCaptureFixture) -> None:
    """It names the class, the tenant and the endpoint's address too; suppressed lines are counted."""
    caplog.set_level(logging.INFO)
    async with running_gateway(
        settings={**settings(), "tenants": [{"name": "acme"}, {"name": "zeta"}]}
    ) as gateway:
        (endpoint_id,) = gateway.proxy.upstream.endpoints
        send: Any = Send
        gateway.proxy.balancer.log.suppressed = 3
        handle = gateway.proxy.balancer.handle

        def handle_with_invalid_action(now_us: int, event: Event) -> list[Action]:
            if isinstance(event, RequestArrived):
                fields = (("endpoint_id", endpoint_id), ("request_class", 0), ("tenant", 1))
                return [
                    LogEvent("circuit_breaker.changed", (*fields, ("state", "open"))),
                    send("1", endpoint_id, "no number"),
                ]
            return handle(now_us, event)

        gateway.proxy.balancer.handle = handle_with_invalid_action  # type: ignore[method-assign]
        assert (await (await gateway.client()).request(encode_request(Tenant="zeta")))[0] == 500
        gateway.proxy.sweep()
        events: list[Any] = [record.msg for record in caplog.records if record.name == "load_balancer"]
        breaker_event, failed_event, suppressed_event = (
            event for event in events if not event["event"].startswith("discovery")
        )
        request_fields = {
            "request_class": gateway.proxy.config.names.classes[0],
            "tenant": "zeta",
            "endpoint_id": endpoint_id,
        }
        request_fields["address"] = gateway.endpoint.address
        assert breaker_event == request_fields | {"event": "circuit_breaker.changed", "state": "open"}
        assert (
            failed_event.items() >= (request_fields | {"event": "action.failed", "request_id": "1"}).items()
        )
        assert suppressed_event == {"event": "balancer.suppressed", "suppressed": 3}
        assert not gateway.proxy.balancer.log.suppressed
