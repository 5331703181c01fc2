"""Starts, commands, measures and ends the child processes of a run, and enforces its memory bound."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import time
from pathlib import Path
from types import TracebackType
from typing import BinaryIO

import msgspec
import psutil

from lab.child import MAX_LINE_BYTES
from lab.messages import AnswerT, Command
from load_balancer.errors import LoadBalancerError

ROOT = Path(__file__).parent.parent
POLL_S = 0.1  # between two checks of the memory bound
TERMINATION_TIMEOUT_S = 2.0  # from SIGTERM to SIGKILL
ANSWER_TIMEOUT_S = 120.0  # from a command to its answer


class ChildError(LoadBalancerError, RuntimeError):
    """A child process has ended or does not answer."""


class MemoryBoundError(ChildError):
    """A child process was killed because the run exceeded its memory bound."""


class Child:
    """One child process."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.process = process
        self.psutil_process = psutil.Process(process.pid)
        self.over_memory_bound = False
        self.lock = asyncio.Lock()
        self.peak_bytes = 0

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes; 0 once the process has ended."""
        with contextlib.suppress(psutil.Error):
            rss = int(self.psutil_process.memory_info().rss)
            self.peak_bytes = max(self.peak_bytes, rss)
            return rss
        return 0

    def cpu_s(self) -> float:
        """Return the processor time of all threads so far.

        The resolution is a nanosecond where the kernel has a clock for the process, otherwise 10 ms.

        Raises:
            ChildError: The process has ended.
        """
        self.raise_if_ended()
        with contextlib.suppress(OSError, OverflowError):
            return time.clock_gettime(~self.psutil_process.pid << 3 | 2)  # clock_getcpuclockid(3) on Linux
        try:
            times = self.psutil_process.cpu_times()
        except psutil.Error:
            self.raise_if_ended(has_ended=True)
            raise
        return float(times.user + times.system)

    def raise_if_ended(self, has_ended: bool = False) -> None:
        """Check that the process runs.

        Args:
            has_ended: Whether the caller has found that the process has ended.

        Raises:
            MemoryBoundError: The process was killed because of the memory bound.
            ChildError: The process has ended for another reason.
        """
        if self.over_memory_bound:
            raise MemoryBoundError(f"{self.name} was killed because the run exceeded its memory bound")
        if has_ended or self.process.returncode is not None:
            raise ChildError(f"{self.name} ended unexpectedly with exit code {self.process.returncode}")

    async def execute(self, command: Command[AnswerT]) -> AnswerT:
        """Send a command and return the process's answer.

        Raises:
            ChildError: The process has ended or does not answer in time.
        """
        stdin, stdout = self.process.stdin, self.process.stdout
        assert stdin is not None
        assert stdout is not None
        async with self.lock:
            self.raise_if_ended()
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    stdin.write(msgspec.json.encode(command) + b"\n")
                    await stdin.drain()
                    line = await stdout.readline()
            except (TimeoutError, ConnectionError, RuntimeError) as error:  # RuntimeError: closed pipe
                self.raise_if_ended()
                name = command.__struct_config__.tag
                raise ChildError(f"{self.name} did not answer the command {name}: {error!r}") from None
            if not line:
                await self.process.wait()
                self.raise_if_ended(has_ended=True)
            answer: AnswerT = msgspec.json.decode(line, type=command.answer_type)
            return answer

    async def end(self, graceful: bool = True) -> None:
        """End the process and wait until it has ended.

        If `graceful` is set, SIGTERM comes first, and SIGKILL only after TERMINATION_TIMEOUT_S.
        """
        if self.process.returncode is None and graceful:
            with contextlib.suppress(ProcessLookupError):
                self.process.terminate()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TERMINATION_TIMEOUT_S):
                    await self.process.wait()
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        await self.process.wait()


class Children:
    """All child processes of a run, as a context manager: on exit all of them are killed.

    Args:
        memory_mb: Bound on the resident memory of all together, in megabytes.
        logs: Directory for a file with each process's standard error.
    """

    def __init__(self, memory_mb: int, logs: Path) -> None:
        self.memory_bound_bytes = memory_mb * 1_000_000
        self.logs = logs
        self.running: list[Child] = []
        self.log_files: list[BinaryIO] = []
        self.memory_guard: asyncio.Task[None] | None = None
        self.peak_bytes = 0

    async def __aenter__(self) -> Children:
        self.memory_guard = asyncio.get_running_loop().create_task(self.enforce_memory_bound())
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self.memory_guard is not None:
            self.memory_guard.cancel()
        for child in self.running:  # all of them before the first await
            with contextlib.suppress(ProcessLookupError):
                child.process.kill()
        await asyncio.gather(*(child.end(graceful=False) for child in self.running))
        for file in self.log_files:
            file.close()

    async def start(self, name: str, *arguments: str, **environ: str) -> Child:
        """Start a Python module as a child process, in a session of its own.

        An interrupt at the terminal thus reaches the run alone, which ends its children itself.

        Args:
            name: The process's name, also of the log file with its standard error.
            arguments: The module, and its arguments.
            environ: Environment variables to set; no other ROUTER_ variables are passed on.
        """
        environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        log = (self.logs / f"{name}.log").open("wb")
        self.log_files.append(log)
        starting = asyncio.ensure_future(
            asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=ROOT,
                env={**environment, "OPENBLAS_NUM_THREADS": "1", **environ},
                limit=MAX_LINE_BYTES,
                start_new_session=True,
            )
        )
        try:
            process = await asyncio.shield(starting)
        except asyncio.CancelledError:
            await Child(name, await starting).end(graceful=False)  # started, but not yet in `running`
            raise
        child = Child(name, process)
        self.running.append(child)
        return child

    async def end(self, child: Child, graceful: bool = True) -> None:
        """End one child and forget it."""
        await child.end(graceful)
        if child in self.running:
            self.running.remove(child)

    async def enforce_memory_bound(self) -> None:
        """Kill the child with the most memory whenever all together exceed the bound."""
        while True:
            resident = {
                child: child.resident_bytes() for child in self.running if not child.over_memory_bound
            }
            total = sum(resident.values())
            self.peak_bytes = max(self.peak_bytes, total)
            if total > self.memory_bound_bytes:
                largest = max(resident, key=lambda child: resident[child])
                largest.over_memory_bound = True
                with contextlib.suppress(ProcessLookupError):
                    largest.process.kill()
            await asyncio.sleep(POLL_S)
