"""The log: its forms, what repeats, and the page that lists the events."""

from __future__ import annotations

import ast
import asyncio
import json
import logging
import re
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from rosedeal.gateway import logs
from rosedeal.gateway.logs import EVENTS, FIELDS, MOST_KEYS, Fields, Registered, Repeats, formatter, page
from rosedeal.interface import Action, Event, Log, RequestArrived, Send
from tests.sockets import ask, gateway, run, settings
from tests.test_process import start

ROOT = Path(__file__).parent.parent


def test_the_page_lists_the_events_of_the_code() -> None:
    """`python -m rosedeal.gateway.logs > docs/events.md` mends it."""
    assert (ROOT / "docs" / "events.md").read_text() == page()
    for event in EVENTS.values():
        assert set(event.fields) <= FIELDS.keys() and set(event.key) <= set(event.fields)


def calls() -> Iterator[tuple[str, str, set[str], bool]]:
    """Each call that tells of an event: where, the event, its fields, and whether it unpacks others."""
    for path in sorted((ROOT / "rosedeal").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            name, given = getattr(node.func, "id", getattr(node.func, "attr", "")), node.args
            if isinstance(node.func, ast.Attribute) and name in ("info", "warning", "exception"):
                assert ast.unparse(node.func.value) not in ("log", "logging"), f"{path.name}: past the events"
            said = "line" if path.name == "choice.py" else ""
            if name == "log" and said and ast.unparse(node.func) == "self.log":
                given = node.args
            elif name != "tell" or not isinstance(node.func, ast.Name):
                continue
            fields = {"class" if k.arg == "klass" else k.arg for k in node.keywords if k.arg} | {said} - {""}
            if isinstance(given[0], ast.Constant):
                open_ended = any(k.arg is None for k in node.keywords)
                yield f"{path.name}:{node.lineno}", str(given[0].value), fields, open_ended


def test_every_call_tells_of_a_registered_event_with_its_fields() -> None:
    told = set()
    for where, name, fields, open_ended in calls():
        event = EVENTS[name]
        assert fields - {"level"} <= set(event.fields), where
        assert open_ended or event.named <= fields, f"{where}: the sentence holds more than is told"
        told.add(name)
    assert EVENTS.keys() - told == {"log.others"}  # told of by logs.py itself


class Loop:
    """A loop whose time is set by hand; `running` is None where no loop runs."""

    def __init__(self) -> None:
        self.now = 0.0
        self.due: list[tuple[float, Callable[[], None], asyncio.TimerHandle]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Any:
        class Handle:
            def cancel(handle) -> None:
                self.due = [due for due in self.due if due[2] is not handle]

        handle: Any = Handle()
        self.due.append((self.now + delay_s, call, handle))
        return handle

    def run_until(self, until: float) -> None:
        while self.due and min(self.due, key=lambda due: due[0])[0] <= until:
            due = min(self.due, key=lambda due: due[0])
            self.due.remove(due)
            self.now = max(self.now, due[0])
            due[1]()
        self.now = until


Told = list[tuple[float, str, Fields]]


def repeats(loop: Loop) -> tuple[Repeats, Told]:
    told: Told = []

    def tell(event: Registered, fields: Fields) -> None:
        told.append((loop.now, event.name, fields))

    return Repeats(tell, lambda: loop), told  # type: ignore[arg-type, return-value]


def test_repeats_are_told_once_a_second_with_their_count() -> None:
    loop = Loop()
    counted, told = repeats(loop)
    event = EVENTS["request.failed"]
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
    assert not loop.due and not counted.windows  # nothing ticks where nothing waits
    counted.add(event, {"error": "a"})
    assert told[-1] == (9.0, "request.failed", {"error": "a"})


@pytest.mark.parametrize("end", ["timer", "flush", "another loop", "late timer"])
def test_every_event_is_told_or_counted(end: str) -> None:
    """Beyond the keys that are kept, by event alone; what is held does not grow with what comes."""
    loop = Loop()
    counted, told = repeats(loop)
    came = 0
    for came in range(30 * MOST_KEYS):
        counted.add(EVENTS["library.said"], {"line": str(came // 3), "logger": "x"})
    assert len(told) == len(counted.windows) == MOST_KEYS and len(loop.due) == 1
    if end == "timer":
        loop.run_until(1.0)
    elif end == "flush":
        counted.flush()
    elif end == "another loop":
        counted.running = lambda: Loop()  # type: ignore[assignment, return-value]
        counted.add(EVENTS["list.unread"], {"line": ""})
        assert not loop.due
    else:
        came, loop.now = came + 1, 1.5
        counted.add(EVENTS["library.said"], {"line": "0", "logger": "x"})
        loop.run_until(3.0)
    (others,) = (fields for _, name, fields in told if name == "log.others")
    assert others["events"] == f"library.said:{others['repeated']}"
    shown = [fields.get("repeated", 1) for _, name, fields in told if name in ("library.said", "log.others")]
    assert sum(n for n in shown if isinstance(n, int)) == came + 1


def lines(environ: dict[str, str], say: Callable[[], None]) -> list[str]:
    """What `say` logs, as set up for a process."""
    written: list[str] = []
    form = formatter(environ)

    class Kept(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            written.append(form.format(record))

    handlers = ((logging.getLogger("rosedeal"), Kept()), (logging.getLogger(), logs.Library()))
    for logger, handler in handlers:
        logger.addHandler(handler)
    level = logging.getLogger().level
    logging.getLogger().setLevel(logging.INFO)
    try:
        say()
        logs.flush()
    finally:
        logging.getLogger().setLevel(level)
        for logger, handler in handlers:
            logger.removeHandler(handler)
    return written


def say_all() -> None:
    async def test() -> None:
        line = "server 5: breaker open for 2 s"
        logs.tell("breaker.changed", line=line, server=5, klass="buy card", state="open")
        logs.tell("discovery.moved", address="a:1")
        logs.tell("config.refused", error=ValueError("no name"))
        logging.getLogger("asyncio").error("two\nlines %s", "and more")
        for _ in range(2):
            try:
                raise RuntimeError("a fault")
            except RuntimeError as error:
                logs.tell("request.failed", error=error, request="7")

    run(test())


def test_the_text_form_is_a_sentence_and_the_other_fields() -> None:
    breaker, moved, refused, library, fault, again = lines({}, say_all)
    stamp = r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3} "
    sentence = "server 5: breaker open for 2 s"
    assert re.fullmatch(stamp + f'INFO {sentence} server=5 state=open class="buy card"', breaker)
    assert re.fullmatch(stamp + "INFO discovery: moved to a:1", moved)
    assert refused == "rosedeal: no name"
    assert re.fullmatch(stamp + "ERROR two\nlines and more logger=asyncio", library)
    first, *traceback = fault.splitlines()
    assert re.fullmatch(
        stamp + r"ERROR failed on a request error=\"?RuntimeError\('a fault'\)\"? request=7", first
    )
    assert traceback[0].startswith("Traceback") and traceback[-1] == "RuntimeError: a fault"
    assert again.endswith("repeated=1")


def test_the_json_form_is_one_object_a_line() -> None:
    assert not any("\n" in line for line in lines({"ROUTER_LOG": "json"}, say_all))
    said = [json.loads(line) for line in lines({"ROUTER_LOG": "json"}, say_all)]
    assert all(re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}\+00:00", one.pop("time")) for one in said)
    assert said[0] == {
        "level": "info",
        "event": "breaker.changed",
        "line": "server 5: breaker open for 2 s",
        "server": 5,
        "class": "buy card",
        "state": "open",
    }
    assert said[3] == {
        "level": "error",
        "event": "library.said",
        "logger": "asyncio",
        "line": "two\nlines and more",
    }
    assert said[4]["exception"].endswith("RuntimeError: a fault")
    assert said[5]["repeated"] == 1 and "exception" not in said[5]
    for one in said:
        assert one.keys() <= {"level", "event", *EVENTS[one["event"]].fields, *logs.EVERYWHERE}


def test_a_process_asked_for_json_writes_nothing_else(tmp_path: Path) -> None:
    (line,) = start("", ROUTER_LOG="json").stderr.splitlines()
    assert json.loads(line)["event"] == "config.refused"


def test_what_concerns_a_request_names_it(caplog: pytest.LogCaptureFixture) -> None:
    """With its class and tenant by name, and the server by address; what the balancer left out is counted."""

    async def test() -> None:
        tenants = [{"name": "acme"}, {"name": "zeta"}]
        async with gateway(settings={**settings(), "tenants": tenants}) as it:
            (server,) = it.proxy.upstream.hosts
            send: Any = Send
            it.proxy.balancer.unsaid = 3
            handle = it.proxy.balancer.handle

            def broken(now_us: int, event: Event) -> list[Action]:
                if isinstance(event, RequestArrived):
                    fields = (("server", server), ("klass", 0), ("tenant", 1))
                    return [Log("breaker.changed", fields), send("1", server, "no number")]
                return handle(now_us, event)

            it.proxy.balancer.handle = broken  # type: ignore[method-assign]
            assert (await (await it.client()).ask(ask(Tenant="zeta")))[0] == 500
            it.proxy.sweep()
            said: list[Any] = [r.msg for r in caplog.records if isinstance(r.msg, dict)]
            breaker, failed, unsaid = (one for one in said if not one["event"].startswith("discovery"))
            klass = it.proxy.config.names.classes[0]
            assert (breaker["class"], breaker["tenant"]) == (klass, "zeta")
            assert breaker["address"] == it.host.address
            assert (failed["request"], failed["class"], failed["tenant"]) == ("1", klass, "zeta")
            assert unsaid == {"event": "balancer.unsaid", "unsaid": 3} and not it.proxy.balancer.unsaid

    caplog.set_level(logging.INFO)
    run(test())
