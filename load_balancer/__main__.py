"""Entry point: runs a command if there are arguments, and otherwise the gateway."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop

from load_balancer.config.errors import ConfigError
from load_balancer.config.file import load_config
from load_balancer.config.gateway_config import Config
from load_balancer.gateway.client_server import ClientServer
from load_balancer.gateway.event_log import configure_logging, flush, log_event
from load_balancer.gateway.reload import ConfigReloader, trim_heap
from load_balancer.gateway.reverse_proxy import ReverseProxy

EXIT_OK = 0
EXIT_START_FAILED = 1
EXIT_CONFIG_INVALID = 2


async def serve(config: Config) -> None:
    """Run the gateway until SIGTERM or SIGINT, and then until every accepted request is answered.

    Raises:
        OSError: The gateway cannot listen on an address of the configuration.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    proxy = ReverseProxy(config, loop)
    client_server = ClientServer(config, proxy, loop)
    reloader = ConfigReloader(config, proxy, client_server)
    loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)
    await proxy.start()
    gc.collect()
    gc.freeze()  # exempts the cached endpoints, which live as long as the process, from garbage collection
    trim_heap()
    await client_server.start()
    log_event(
        "gateway.listening",
        name=config.name,
        listen=f"{config.listen[0]}:{config.listen[1]}",
        index=proxy.discovery.index,
        ready=proxy.upstream.ready_count,
    )
    await stop_requested.wait()
    await client_server.drain()
    loop.remove_signal_handler(signal.SIGHUP)
    _ignore_sighup()  # until the process ends
    reloader.close()
    proxy.close()


def _ignore_sighup() -> None:
    """Ignore SIGHUP, whose default action ends the process, while there is no gateway to reload."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def run_gateway() -> int:
    """Run the gateway that the environment configures, and return its exit code."""
    _ignore_sighup()
    configure_logging(os.environ)
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        log_event("config.invalid", error=error)
        return EXIT_CONFIG_INVALID
    gc.freeze()  # exempts imported modules from garbage collection
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config))
    except OSError as error:
        flush()  # logs the counts of repeated events before the last line
        log_event("gateway.start_failed", error=error)
        return EXIT_START_FAILED
    finally:
        flush()
    return EXIT_OK


def main() -> int:
    """Run a command if there are arguments, and otherwise the gateway; return the exit code."""
    if len(sys.argv) > 1:
        from load_balancer.cli import cli  # not imported by a gateway, to save memory

        return int(cli(prog_name="python -m load_balancer") or 0)
    return run_gateway()


if __name__ == "__main__":
    raise SystemExit(main())
