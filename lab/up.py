"""A small deployment on loopback to try things on: stand-ins and real gateways, until told to end."""

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

EXAMPLE = ROOT / "deploy" / "example.json"
SERVERS = 5
GATEWAYS = 2
MEMORY_MB = 1000
START_S = 20.0  # until a gateway is ready, at most
POLL_S = 0.02
REQUEST_ID = "0000000000000001"


async def up(raw: dict[str, Any], folder: Path, say: ReportProgress) -> None:
    """Run the deployment that a configuration's object describes until cancelled; no child outlives it.

    Its own addresses are put in the place of those that stand there. `say` is given one line: a command that
    gets a 200.

    Raises:
        ChildError: A child has ended by itself.
    """
    async with Children(MEMORY_MB, folder) as children:
        registry = await children.start("registry", "lab.registry")
        statements = await children.start("statements", "lab.statements")
        discovery = (await registry.execute(StartDiscovery()))["real"]
        port = (await statements.execute(StartEndpoints(seed=1)))["gateway"]
        await registry.execute(SetFleet(endpoints=SERVERS, port=port))
        starting = [start(children, folder, raw, discovery, number) for number in range(GATEWAYS)]
        gateways = await asyncio.gather(*starting)
        say(curl(gateways[0][1], raw["settings"]))
        try:
            while True:
                for child in children.running:
                    child.raise_if_ended()
                await asyncio.sleep(POLL_S)
        finally:
            await asyncio.gather(*(child.end() for child, _ in gateways))


async def start(
    children: Children, folder: Path, raw: dict[str, Any], discovery: str, number: int
) -> tuple[Child, Address]:
    """A gateway of this number, once it is ready."""
    host = f"127.0.1.{number + 1}"
    with socket.create_server((host, 0)) as free:
        port = free.getsockname()[1]
    name = f"gateway-{number}"
    settings = {**raw["settings"], "balancers": GATEWAYS, "index": number}
    own = {"name": name, "listen": f"{host}:{port}", "discovery": discovery, "settings": settings}
    path = folder / f"{name}.json"
    path.write_text(json.dumps({**raw, **own}), encoding="utf-8")
    child = await children.start(name, "load_balancer", ROUTER_CONFIG=str(path))
    async with asyncio.timeout(START_S):
        while not await is_ready(host, port):
            child.raise_if_ended()
            await asyncio.sleep(POLL_S)
    return child, (host, port)


def curl(gateway: Address, settings: dict[str, Any]) -> str:
    """A command that asks for the first route whose requests may be repeated at will."""
    route = next(lane["name"] for lane in settings["lanes"] if lane.get("effect") == "free")
    headers = {"Request-Id": REQUEST_ID, "Request-Class": route, "Request-Timeout-Ms": "2000"}
    if settings.get("tenants"):
        headers["Tenant"] = settings["tenants"][0]["name"]
    words = [word for name, value in headers.items() for word in ("-H", f"{name}: {value}")]
    return shlex.join(["curl", "-i", *words, f"http://{gateway[0]}:{gateway[1]}/{route}?user=00ff"])
