"""A small example deployment on loopback: stand-ins and real gateways that run until cancelled."""

from __future__ import annotations

import asyncio
import json
import shlex
import socket
from pathlib import Path
from typing import Any

from lab.messages import Address, SetFleet, StartDiscovery, StartEndpoints
from lab.processes import ROOT, Child, Children
from lab.rig import ReportProgress, is_ready

EXAMPLE_CONFIG = ROOT / "deploy" / "example.json"
ENDPOINT_COUNT = 5
GATEWAY_COUNT = 2
MEMORY_MB = 1000
START_TIMEOUT_S = 20.0  # a gateway must be ready within this time after its start
POLL_S = 0.02
REQUEST_ID = "0000000000000001"


async def run_deployment(raw: dict[str, Any], folder: Path, print_command: ReportProgress) -> None:
    """Run the deployment that a configuration describes until cancelled; all child processes then end.

    Args:
        raw: The decoded configuration file; its addresses are replaced by those of this deployment.
        folder: The directory for configuration files and logs.
        print_command: Called once, with a curl command that gets a 200 through a gateway.

    Raises:
        ChildError: A child process has ended unexpectedly.
        TimeoutError: A gateway was not ready in time.
    """
    async with Children(MEMORY_MB, folder) as children:
        registry = await children.start("registry", "lab.registry")
        statements = await children.start("statements", "lab.statements")
        discovery = (await registry.execute(StartDiscovery()))["real"]
        port = (await statements.execute(StartEndpoints(seed=1)))["gateway"]
        await registry.execute(SetFleet(endpoints=ENDPOINT_COUNT, port=port))
        starting = [
            start_gateway(children, folder, raw, discovery, number) for number in range(GATEWAY_COUNT)
        ]
        gateways = await asyncio.gather(*starting)
        print_command(curl_command(gateways[0][1], raw["settings"]))
        try:
            while True:
                for child in children.running:
                    child.raise_if_ended()
                await asyncio.sleep(POLL_S)
        finally:
            await asyncio.gather(*(child.end() for child, _ in gateways))


async def start_gateway(
    children: Children, folder: Path, raw: dict[str, Any], discovery: str, number: int
) -> tuple[Child, Address]:
    """Start gateway `number` and return it with its address once it is ready.

    Raises:
        ChildError: The gateway has ended.
        TimeoutError: The gateway was not ready in time.
    """
    host = f"127.0.1.{number + 1}"
    with socket.create_server((host, 0)) as reserved:
        port = reserved.getsockname()[1]
    name = f"gateway-{number}"
    settings = {**raw["settings"], "balancers": GATEWAY_COUNT, "index": number}
    overrides = {"name": name, "listen": f"{host}:{port}", "discovery": discovery, "settings": settings}
    path = folder / f"{name}.json"
    path.write_text(json.dumps({**raw, **overrides}), encoding="utf-8")
    child = await children.start(name, "load_balancer", ROUTER_CONFIG=str(path))
    async with asyncio.timeout(START_TIMEOUT_S):
        while not await is_ready(host, port):
            child.raise_if_ended()
            await asyncio.sleep(POLL_S)
    return child, (host, port)


def curl_command(gateway: Address, settings: dict[str, Any]) -> str:
    """Return a curl command that requests the first route whose requests are safe to repeat."""
    route = next(lane["name"] for lane in settings["lanes"] if lane.get("effect") == "free")
    headers = {"Request-Id": REQUEST_ID, "Request-Class": route, "Request-Timeout-Ms": "2000"}
    if settings.get("tenants"):
        headers["Tenant"] = settings["tenants"][0]["name"]
    header_arguments = [
        argument for name, value in headers.items() for argument in ("-H", f"{name}: {value}")
    ]
    return shlex.join(
        ["curl", "-i", *header_arguments, f"http://{gateway[0]}:{gateway[1]}/{route}?user=00ff"]
    )
