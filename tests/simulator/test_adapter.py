"""The simulator adapter: invalid lines, stopped instances, and equal output for equal input."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.simulator.script import SETTINGS, START, run_adapter

ROOT = Path(__file__).parent.parent.parent


@pytest.mark.parametrize(
    "line",
    [
        "incoming requestId=t/a",
        "incoming requestId=t/a graceUs=soon",
        "nonsense a=1",
        "outcome requestId=t/a shot=0 host=11 verdict=999",
        "registry index=1 how=diff table=9",
        "registry index=1 how=odd table=0",
        "reminder",
        "dropped requestId",
        "inbox src=1 bytes=*",
        "pong verdict=200",
    ],
)
def test_an_invalid_line_is_reported_and_later_lines_are_handled(line: str) -> None:
    replies, errors = run_adapter(
        *START,
        "begin_batch simTimeUs=2000",
        "instance i=gateway_0",
        line,
        "incoming requestId=t/good graceUs=300000",
        "go",
    )
    assert "line 11" in errors
    assert "Traceback" not in errors
    assert replies.count("next") == 2
    assert any(reply.startswith("pass_on requestId=t/good") for reply in replies)


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("incoming graceUs=9", "field or value 'requestId' is missing or unknown"),
        ("pong host=11 verdict=999", "field or value '999' is missing or unknown"),
        ("registry index=1 how=diff table=9", "field or value '9' is missing or unknown"),
        ("incoming requestId=t/a graceUs=soon", "invalid literal for int() with base 10: 'soon'"),
        ("incoming requestId=t/a graceUs=9 affinity=x", "invalid literal for int() with base 16: 'x'"),
        ("inbox src=1 bytes=a", "bytes is not valid base64: "),
        ("dropped requestId", "expected name=value, got 'requestId'"),
        ("nonsense a=1", "unknown message name"),
    ],
)
def test_an_invalid_line_is_reported_with_number_reason_and_text(line: str, reason: str) -> None:
    _, errors = run_adapter(*START, "instance i=gateway_0", line)
    assert errors.startswith(f"load_balancer: line 10: {reason}")
    assert errors.endswith(f": {line}\n")


@pytest.mark.parametrize(
    ("entry", "reason"),
    [
        ("host host=1 heft=0", "heft is not a finite number above 0"),
        ("host host=1 heft=odd", "could not convert string to float: 'odd'"),
        ("host host=1 status=Odd", "field or value 'Odd' is missing or unknown"),
        ("incoming requestId=t/a graceUs=9", "expected an endpoint of the table"),
    ],
)
def test_an_invalid_entry_of_an_endpoint_table_is_reported(entry: str, reason: str) -> None:
    _, errors = run_adapter("inventory table=0 members=2", entry, "host host=2")
    assert errors == f"load_balancer: line 2: {reason}: {entry}\n"


def test_an_unknown_instance_is_reported() -> None:
    replies, errors = run_adapter(
        "begin_batch simTimeUs=1", "instance i=gateway_8", "incoming requestId=t/a graceUs=9", "go"
    )
    assert replies == ["next"]
    assert "gateway_8" in errors


def test_events_of_finished_requests_are_ignored() -> None:
    replies, errors = run_adapter(
        *START,
        "begin_batch simTimeUs=2000",
        "instance i=gateway_0",
        "outcome requestId=t/old shot=0 host=11 verdict=200 durationUs=5 ended=1",
        "dropped requestId=t/old",
        "reminder keyBack=12345",
        "inbox src=1 bytes=-",
        "pong host=11 verdict=200 durationUs=3",
        "go",
    )
    assert replies == ["next", "next"]
    assert errors == ""


def test_a_stopped_instance_can_be_started_again() -> None:
    replies, errors = run_adapter(
        *START,
        "begin_batch simTimeUs=2000",
        "instance i=gateway_0",
        "destroy",
        f"launch prng=6 bootInfo={SETTINGS}",
        "registry index=1 how=disk table=0",
        "incoming requestId=t/new graceUs=300000",
        "go",
    )
    assert errors == ""
    assert replies[1] == "by i=gateway_0"


def test_the_adapter_gives_the_same_output_for_the_same_input() -> None:
    script = [*START]
    for n in range(40):
        script += [
            f"begin_batch simTimeUs={2000 + n * 1000}",
            "instance i=gateway_0",
            f"incoming requestId=t/{n} graceUs=300000 priority={n % 3}",
            "go",
        ]
    text = "\n".join(script) + "\n"
    outputs = [
        subprocess.run(
            [sys.executable, "-B", "-m", "load_balancer.simulator"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            cwd=ROOT,
        )
        for _ in range(2)
    ]
    assert outputs[0].stdout == outputs[1].stdout
    assert outputs[0].stdout.count("next") == 41
    assert outputs[0].stdout.count("pass_on") >= 2
    assert outputs[0].stderr == ""
