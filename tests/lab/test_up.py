"""The example deployment that `lab up` starts."""

from __future__ import annotations

import http.client
import shlex
import signal
import subprocess
import sys
from urllib.parse import urlsplit

import psutil

from tests.gateway.event_loop import TEST_TIMEOUT_S


def test_example_deployment_answers_its_curl_command_and_ends_its_children() -> None:
    """The printed command must get a 200 through a gateway; SIGINT must leave no child process behind."""
    with subprocess.Popen(
        [sys.executable, "-m", "lab", "up"], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    ) as child:
        assert child.stdout is not None
        arguments = shlex.split(child.stdout.readline())
        children = psutil.Process(child.pid).children(recursive=True)
        headers = dict(
            arguments[index + 1].split(": ", 1)
            for index, argument in enumerate(arguments)
            if argument == "-H"
        )
        url = urlsplit(arguments[-1])
        connection = http.client.HTTPConnection(url.netloc, timeout=TEST_TIMEOUT_S)
        connection.request("GET", f"{url.path}?{url.query}", headers=headers)
        answer = connection.getresponse()
        assert (answer.status, answer.read()) == (200, b"0000000000000001 /view-timetable\n")
        connection.close()
        child.send_signal(signal.SIGINT)
        out, err = child.communicate(timeout=60)
    assert child.returncode == 0, err
    assert arguments[0] == "curl"
    assert not out, err
    assert len(children) == 4
    assert not any(process.is_running() for process in children)
