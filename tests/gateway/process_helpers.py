"""Gateways that run in processes of their own."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path

from tests.gateway.configurations import configuration
from tests.gateway.http_client import HttpClient
from tests.gateway.stub_discovery import StubDiscovery
from tests.gateway.stub_endpoint import StubEndpoint


def run_process(path: Path | str, **environ: str) -> subprocess.CompletedProcess[str]:
    """Run a gateway's process until it exits; of the ROUTER_ variables it has only those given here."""
    env = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")} | environ
    return subprocess.run(
        [sys.executable, "-m", "load_balancer"],
        env=env | ({"ROUTER_CONFIG": str(path)} if path else {}),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


async def start_process(
    path: Path, **environ: str
) -> tuple[asyncio.subprocess.Process, asyncio.StreamReader]:
    """Start a gateway's process with ROUTER_CONFIG set to the path; returns it and its standard error."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "load_balancer",
        env={**os.environ, "ROUTER_CONFIG": str(path), **environ},
        stderr=asyncio.subprocess.PIPE,
    )
    assert child.stderr is not None
    return child, child.stderr


async def connect(port: int) -> HttpClient:
    return HttpClient(*await asyncio.open_connection("127.0.0.1", port))


async def expect_final_answer(client: HttpClient, status: int = 200) -> None:
    """Read an answer that announces the close of its connection, and expect that close."""
    actual, head, _ = await client.read_response()
    assert actual == status
    assert head["connection"] == "close"
    assert await client.is_closed()


@contextmanager
def reserved_port() -> Iterator[int]:
    """Reserve a port for a listener that sets SO_REUSEADDR.

    The socket is bound and never listens, so that the system gives the port to no other process.
    """
    with socket.socket() as reservation:
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind(("127.0.0.1", 0))
        yield reservation.getsockname()[1]


@asynccontextmanager
async def running_process(
    endpoint: StubEndpoint, tmp_path: Path, sockets: int = 1024, **environ: str
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """Run a gateway's process between the endpoint and a stub of discovery; yields it and its port."""
    discovery = StubDiscovery()
    await endpoint.start()
    await discovery.start()
    with reserved_port() as port:
        path = tmp_path / "config.json"
        listen, limits = f"127.0.0.1:{port}", {"sockets": sockets}
        raw = configuration({"h0": endpoint.address}, discovery.address, listen=listen, limits=limits)
        path.write_text(json.dumps(raw))
        child, stderr = await start_process(path, **environ)
        try:
            while b"listens" not in (line := await stderr.readline()):
                assert b"discovery call failed: no connection" in line or b"could not be read" in line, line
            yield child, port
        finally:
            if child.returncode is None:
                child.kill()
            await child.wait()
            endpoint.stop()
            discovery.stop()
