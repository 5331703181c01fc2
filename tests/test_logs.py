"""The log: its forms, what repeats, and the page that lists the events."""

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
from load_balancer.gateway import event_log as logs
from load_balancer.gateway.event_log import (
    EVENTS,
    EVERYWHERE,
    FIELDS,
    MOST_KEYS,
    Fields,
    Registered,
    Repeats,
    formatter,
    page,
)
from tests.sockets import ask, configuration, gateway, run, settings
from tests.test_process import start

ROOT = Path(__file__).parent.parent


def test_the_page_lists_the_events_of_the_code() -> None:
    """`python -m load_balancer.gateway.event_log > docs/events.md` mends it."""
    assert (ROOT / "docs" / "events.md").read_text() == page()
    assert FIELDS.keys() == {name for event in EVENTS.values() for name in event.fields} | set(EVERYWHERE)
    assert all(set(event.key) <= set(event.fields) for event in EVENTS.values())


def test_every_call_tells_of_a_registered_event_with_its_fields() -> None:
    told = {"log.others"}  # by logs.py
    for path in sorted((ROOT / "load_balancer").rglob("*.py")):
        for node in (node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Call)):
            called, where = ast.unparse(node.func), f"{path.name}:{node.lineno}"
            past = re.fullmatch(r"(log|logging|print)(\.\w+)?", called)
            assert not past or path.name in ("cli.py", "event_log.py", "adapter.py"), where
            fields = {"class" if field.arg == "klass" else field.arg for field in node.keywords}
            if called in ("self.log.write", "self._log.write"):
                name = node.args[1]  # after the time
            elif called == "log_event" and not isinstance(node.args[0], ast.Attribute):
                name = node.args[0]
            else:
                continue
            assert isinstance(name, ast.Constant), where
            event = EVENTS[name.value]
            assert fields - {None, "level"} <= set(event.fields), where
            assert None in fields or event.named <= fields, where
            told.add(event.name)
    assert told == EVENTS.keys()


class Loop:
    """A loop whose time is set by hand; it has one timer at most."""

    now, due, call = 0.0, 0.0, None

    def __init__(self) -> None:
        self.told: list[tuple[float, str, Fields]] = []
        self.counted = Repeats(self.tell, lambda: self)  # type: ignore[arg-type, return-value]

    def tell(self, event: Registered, fields: Fields) -> None:
        self.told.append((self.now, event.name, fields))

    def time(self) -> float:
        return self.now

    def call_later(self, delay_s: float, call: Any) -> Any:
        assert self.call is None
        self.due, self.call = self.now + delay_s, call
        return self

    def cancel(self) -> None:
        self.call = None

    def run_until(self, until: float) -> None:
        while self.call is not None and self.due <= until:
            self.now, call, self.call = max(self.now, self.due), self.call, None
            call()
        self.now = until


def test_repeats_are_told_once_a_second_with_their_count() -> None:
    loop, event = Loop(), EVENTS["request.failed"]
    counted, told = loop.counted, loop.told
    for n in range(150):  # for a second and a half
        loop.run_until(n / 100)
        counted.add(event, {"error": "a", "request": str(n)})
    counted.add(event, {"error": "b"})
    loop.run_until(9.0)
    assert told == [
        (0.0, "request.failed", {"error": "a", "request": "0"}),
        (1.0, "request.failed", {"error": "a", "request": "99", "repeated": 99}),
        (1.49, "request.failed", {"error": "b"}),
        (2.0, "request.failed", {"error": "a", "request": "149", "repeated": 50}),
    ]
    assert loop.call is None and not counted.windows  # nothing ticks where nothing waits
    counted.add(event, {"error": "a"})
    assert told[-1] == (9.0, "request.failed", {"error": "a"})


@pytest.mark.parametrize("end", ["timer", "flush", "another loop", "late timer"])
def test_every_event_is_told_or_counted(end: str) -> None:
    """Beyond the keys that are kept, by event alone; what is held does not grow with what comes."""
    loop, event, came = Loop(), EVENTS["library.said"], 30 * MOST_KEYS
    counted, told = loop.counted, loop.told
    for n in range(came):
        counted.add(event, {"line": str(n // 3), "logger": "x"})
    assert len(told) == len(counted.windows) == MOST_KEYS
    if end == "flush":
        counted.flush()
    elif end == "another loop":
        counted.running = Loop  # type: ignore[assignment]
    else:
        loop.now = 1.0 if end == "timer" else 1.5
    if end in ("another loop", "late timer"):
        came += 1
        counted.add(event, {"line": "0", "logger": "x"})
    if end != "another loop":
        loop.run_until(9.0)
    assert loop.call is None
    (others,) = (fields for _, name, fields in told if name == "log.others")
    assert others["events"] == f"library.said:{others['repeated']}"
    assert sum(int(str(fields.get("repeated", 1))) for *_, fields in told) == came


@pytest.mark.parametrize("form", ["text", "json"])
def test_the_forms(form: str, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch) -> None:
    async def say() -> None:
        logs.log_event("breaker.changed", server=5, klass="buy card", state="open", cooldown_s=2.0)
        logs.log_event("config.refused", error=ValueError("no name"))
        record = {"name": "asyncio", "levelno": logging.ERROR, "msg": "two\nlines %s", "args": ("more",)}
        logs.Library().handle(logging.makeLogRecord(record))
        for _ in range(2):
            try:
                raise RuntimeError("a fault")
            except RuntimeError as error:
                logs.log_event("request.failed", error=error, request="7")

    logs.flush()
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(caplog.handler, "formatter", formatter({"ROUTER_LOG": form}))
    run(say())
    logs.flush()
    fault = r"""ERROR failed on a request error="?RuntimeError\('a fault'\)"? request=7"""
    expected = rf"""@INFO server 5: breaker open cooldown_s=2.0 class="buy card"
load_balancer: no name
@ERROR two\nlines more logger=asyncio
@{fault}\nTraceback (?s:.*)\nRuntimeError: a fault
@{fault} repeated=1\n""".replace("@", r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3} ")
    if form == "text":
        assert re.fullmatch(expected, caplog.text)
        return
    said = [json.loads(line) for line in caplog.text.splitlines()]
    assert all(re.fullmatch(r"\d{4}-\d\d-\d\dT[\d:]{8}\.\d{3}\+00:00", one.pop("time")) for one in said)
    breaker, _, library, raised, again = said
    changed = {"level": "info", "event": "breaker.changed", "server": 5, "class": "buy card", "state": "open"}
    assert breaker == changed | {"cooldown_s": 2.0}
    assert library == {
        "level": "error",
        "event": "library.said",
        "logger": "asyncio",
        "line": "two\nlines more",
    }
    assert raised["exception"].endswith("RuntimeError: a fault")
    assert again.keys() == {"level", "event", "error", "request", "repeated"}


def test_a_process_asked_for_json_writes_nothing_else_and_all_of_it(tmp_path: Path) -> None:
    """What is counted when a start fails, its loop closed, is told too."""
    path = tmp_path / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        listen = f"127.0.0.1:{taken.getsockname()[1]}"
        raw = configuration({}, "127.0.0.1:1", listen=listen, known={"endpoints": [7, 8, 9]})
        path.write_text(json.dumps(raw))
        said = [json.loads(line) for line in start(path, ROUTER_LOG="json").stderr.splitlines()]
    assert sum(one.get("repeated", 1) for one in said if one["event"] == "discovery.entry_skipped") == 3
    assert [one["event"] for one in said].count("gateway.start_failed") == 1
    (line,) = start("", ROUTER_LOG="json").stderr.splitlines()
    assert json.loads(line)["event"] == "config.refused"


def test_what_concerns_a_request_names_it(caplog: pytest.LogCaptureFixture) -> None:
    """With its class and tenant by name, and the server by address; what the balancer left out is counted."""

    async def test() -> None:
        async with gateway(settings={**settings(), "tenants": [{"name": "acme"}, {"name": "zeta"}]}) as it:
            (server,) = it.proxy.upstream.hosts
            send: Any = Send
            it.proxy.balancer.log.suppressed = 3
            handle = it.proxy.balancer.handle

            def broken(now_us: int, event: Event) -> list[Action]:
                if isinstance(event, RequestArrived):
                    fields = (("server", server), ("klass", 0), ("tenant", 1))
                    return [
                        LogEvent("breaker.changed", (*fields, ("state", "open"))),
                        send("1", server, "no number"),
                    ]
                return handle(now_us, event)

            it.proxy.balancer.handle = broken  # type: ignore[method-assign]
            assert (await (await it.client()).ask(ask(Tenant="zeta")))[0] == 500
            it.proxy.sweep()
            said: list[Any] = [record.msg for record in caplog.records if record.name == "load_balancer"]
            breaker, failed, unsaid = (one for one in said if not one["event"].startswith("discovery"))
            about = {"class": it.proxy.config.names.classes[0], "tenant": "zeta", "server": server}
            about["address"] = it.host.address
            assert breaker == about | {"event": "breaker.changed", "state": "open"}
            assert failed.items() >= (about | {"event": "action.failed", "request": "1"}).items()
            assert (
                unsaid == {"event": "balancer.unsaid", "unsaid": 3} and not it.proxy.balancer.log.suppressed
            )

    caplog.set_level(logging.INFO)
    run(test())
