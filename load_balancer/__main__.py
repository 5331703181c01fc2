"""The gateway's process: start, signals, exit code."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop

from load_balancer.config.file import Config, ConfigError, load_config
from load_balancer.gateway.client_server import ClientServer
from load_balancer.gateway.event_log import configure_logging, flush, log_event
from load_balancer.gateway.proxy import Proxy
from load_balancer.gateway.reload import ConfigReloader, trim_heap


async def serve(config: Config) -> None:
    """Run until told to end, and then until everything taken is answered."""
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    proxy = Proxy(config, loop)
    downstream = ClientServer(config, proxy, loop)
    reloader = ConfigReloader(config, proxy, downstream)
    loop.add_signal_handler(signal.SIGHUP, reloader.tell)
    await proxy.start()
    gc.collect()
    gc.freeze()  # the hosts known stay as long as the process: no collection need look at thousands of them
    trim_heap()
    await downstream.start()
    log_event("gateway.listening", name=config.name, listen=f"{config.listen[0]}:{config.listen[1]}")
    await told.wait()
    await downstream.drain()
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # nor after
    reloader.close()
    proxy.close()


def main() -> int:
    if len(sys.argv) > 1:
        from load_balancer.cli import command

        return int(command(prog_name="python -m load_balancer") or 0)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # before there is a gateway to tell it to, it ends none
    configure_logging(os.environ)
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        log_event("config.invalid", error=error)
        return 2
    gc.freeze()  # what the imports made is never garbage
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config))
    except OSError as error:
        log_event("gateway.start_failed", error=error)
        return 1
    finally:
        flush()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
