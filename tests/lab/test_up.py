"""The deployment to try."""

from __future__ import annotations

import http.client
import shlex
import signal
import subprocess
import sys
from urllib.parse import urlsplit

import psutil

from tests.gateway.event_loop import TEST_TIMEOUT_S


def test_the_deployment_to_try_answers_its_curl_and_ends_whole() -> None:
    with subprocess.Popen(
        [sys.executable, "-m", "lab", "up"], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    ) as child:
        assert child.stdout is not None
        words = shlex.split(child.stdout.readline())
        children = psutil.Process(child.pid).children(recursive=True)
        headers = dict(words[n + 1].split(": ", 1) for n, word in enumerate(words) if word == "-H")
        url = urlsplit(words[-1])
        plain = http.client.HTTPConnection(url.netloc, timeout=TEST_TIMEOUT_S)
        plain.request("GET", f"{url.path}?{url.query}", headers=headers)
        answer = plain.getresponse()
        assert (answer.status, answer.read()) == (200, b"0000000000000001 /view-timetable\n")
        plain.close()
        child.send_signal(signal.SIGINT)
        out, err = child.communicate(timeout=60)
    assert child.returncode == 0, err
    assert words[0] == "curl"
    assert not out, err
    assert len(children) == 4
    assert not any(process.is_running() for process in children)
