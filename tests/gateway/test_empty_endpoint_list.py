"""A complete list without endpoints: the whole fleet has been removed, and may return."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from load_balancer.decisions.endpoint import ListKind
from tests.gateway.configurations import configuration, settings
from tests.gateway.discovery_helpers import gateway_with_watch, next_list
from tests.gateway.http_client import encode_request
from tests.gateway.process_helpers import connect, reserved_port, start_process
from tests.gateway.stub_discovery import StubDiscovery, encode_chunk, endpoint_entry, watch_event
from tests.gateway.stub_endpoint import StubEndpoint

DRAIN_GRACE_S = 0.5
SOCKET_SLACK_S = 0.05
REMOVED_FLEET = watch_event(index=44, snapshot=True)


def fleet(endpoint: StubEndpoint) -> list[dict[str, object]]:
    return [endpoint_entry(f"h{n}", endpoint.address) for n in range(10)]


@asynccontextmanager
async def listening_process(path: Path) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a gateway's process from when it listens until it is killed."""
    child, stderr = await start_process(path)
    try:
        while b"listens" not in await stderr.readline():
            assert child.returncode is None
        yield child
    finally:
        if child.returncode is None:
            child.send_signal(signal.SIGKILL)
        await child.wait()


@asynccontextmanager
async def stubs() -> AsyncIterator[tuple[StubEndpoint, StubDiscovery]]:
    endpoint, discovery = StubEndpoint(), StubDiscovery()
    await endpoint.start()
    await discovery.start()
    yield endpoint, discovery
    endpoint.stop()
    discovery.stop()


async def expect_served(port: int, endpoint: StubEndpoint) -> None:
    client = await connect(port)
    client.send(encode_request())
    (await endpoint.requests.get()).respond()
    assert (await client.read_response())[0] == 200


async def offer_requests(port: int, count: int) -> list[int]:
    """Send requests of each class at once; returns their statuses, 0 for one without an answer in 1 s."""

    async def status(request_class: str) -> int:
        client = await connect(port)
        try:
            async with asyncio.timeout(1.0):
                return (await client.request(encode_request(request_class)))[0]
        except TimeoutError:
            return 0
        finally:
            client.writer.close()

    classes = ("look", "pay", "buy")
    return list(await asyncio.gather(*(status(classes[number % 3]) for number in range(count))))


@pytest.mark.parametrize("membership_mode", ["on_request", "pushed"])
@pytest.mark.parametrize("is_killed", [True, False])
async def test_no_request_is_sent_to_a_removed_fleet_after_an_empty_complete_list(
    is_killed: bool, membership_mode: str, tmp_path: Path
) -> None:
    async with stubs() as (endpoint, discovery):
        with reserved_port() as port:
            path = tmp_path / "config.json"
            document: dict[str, Any] = configuration(
                {},
                discovery.address,
                listen=f"127.0.0.1:{port}",
                settings={**settings(maxAttempts=4), "membershipMode": membership_mode},
                known={"index": 43, "snapshot": True, "endpoints": fleet(endpoint)},
            )
            path.write_text(json.dumps(document))
            if is_killed:
                async with listening_process(path):
                    await expect_served(port, endpoint)
            async with listening_process(path):
                await expect_served(port, endpoint)
                while discovery.watches.qsize() < 1 + is_killed:
                    await asyncio.sleep(0.01)
                watch = [discovery.watches.get_nowait()[1] for _ in range(1 + is_killed)][-1]
                watch.write(encode_chunk(REMOVED_FLEET))
                await asyncio.sleep(DRAIN_GRACE_S + SOCKET_SLACK_S)
                statuses = await offer_requests(port, 30)
                sent_to_removed = endpoint.requests.qsize()
                if not sent_to_removed:
                    watch.write(encode_chunk(watch_event(*fleet(endpoint), index=45)))
                    await asyncio.sleep(0.1)
                    await expect_served(port, endpoint)
    assert sent_to_removed == 0
    assert set(statuses) == {503}


READINESS_CHECK = b"GET /health/ready HTTP/1.1\r\n\r\n"


async def test_a_gateway_stays_ready_while_discovery_lists_no_endpoint() -> None:
    async with gateway_with_watch() as (gateway, watch):
        watch.write(encode_chunk(REMOVED_FLEET))
        assert await next_list(gateway) == (ListKind.COMPLETE, [])
        gateway.proxy.upstream.sweep()
        assert (await (await gateway.client()).request(READINESS_CHECK))[0] == 200


@pytest.mark.parametrize("message", [REMOVED_FLEET, watch_event(index=44), "\n"])
async def test_a_gateway_with_an_empty_list_is_ready_once_discovery_answers(message: str) -> None:
    """A gateway that was started while no endpoint is listed got no clients, as if its start had failed."""
    async with gateway_with_watch(known={"index": 44, "endpoints": []}) as (gateway, watch):
        assert (await (await gateway.client()).request(READINESS_CHECK))[0] == 503
        watch.write(encode_chunk(message))
        await next_list(gateway)
        assert (await (await gateway.client()).request(READINESS_CHECK))[0] == 200
