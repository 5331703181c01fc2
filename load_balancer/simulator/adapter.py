"""Runs balancers for the simulator: batches from standard input, one reply to each on standard output.

Each instance has its own `Balancer`, and instances share no state. The adapter makes no decisions itself. An
invalid line is reported on standard error and skipped.
"""

from __future__ import annotations

import gc
import io
import sys
from collections.abc import Callable
from typing import TextIO

from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.endpoint import Endpoint, ListKind
from load_balancer.decisions.events import EndpointListReceived, Event
from load_balancer.simulator.codec import (
    PARSERS,
    format_action,
    parse_endpoint,
    parse_settings,
    split_line,
)
from load_balancer.simulator.errors import WireFormatError
from load_balancer.simulator.fields import Fields, integer_field, lookup_field, text_field
from load_balancer.simulator.vocabulary import LIST_KINDS, Field, Message, Reply

MAX_REPORTED_LENGTH = 200  # the maximum number of characters of an invalid line in a report


class SimulatorAdapter:
    """Reads the simulator's lines and answers each batch.

    Args:
        source: Where the lines come from.
        sink: Where replies go.
        errors: Where invalid lines are reported.
    """

    def __init__(self, source: TextIO, sink: TextIO, errors: TextIO) -> None:
        self._source = source
        self._sink = sink
        self._errors = errors
        self._balancers: dict[str, Balancer] = {}
        self._endpoint_tables: dict[str, tuple[Endpoint, ...]] = {}
        self._instance = ""
        self._reply_instance = ""  # the instance that the reply's last lines come from
        self._now_us = 0
        self._line_number = 0
        self._reply: list[str] = []
        self._handlers: dict[str, Callable[[Fields], None]] = {
            Message.BATCH_STARTED: self._start_batch,
            Message.INSTANCE_SELECTED: self._select_instance,
            Message.ENDPOINT_TABLE: self._read_endpoint_table,
            Message.ENDPOINT_LIST_RECEIVED: self._deliver_endpoint_list,
            Message.INSTANCE_STARTED: self._start_instance,
            Message.INSTANCE_STOPPED: self._stop_instance,
        }

    def run(self) -> None:
        """Read lines until the source ends."""
        for line in self._source:
            self._line_number += 1
            line = line.rstrip("\r\n")
            try:
                self._read_line(line)
            except (KeyError, ValueError) as error:  # also raised by a balancer for an invalid event
                self._report(line, error)

    def _report(self, line: str, error: KeyError | ValueError) -> None:
        if isinstance(error, KeyError):
            reason = f"field or value {error} is missing or unknown"
        else:
            reason = str(error)
        excerpt = line[:MAX_REPORTED_LENGTH]
        message = f"load_balancer: line {self._line_number}: {reason}: {excerpt}"
        print(message, file=self._errors, flush=True)

    def _read_line(self, line: str) -> None:
        if line == Message.BATCH_ENDED:
            self._finish_batch()
            return
        if not line:
            return
        name, fields = split_line(line)
        parser = PARSERS.get(name)
        handler = self._handlers.get(name)
        if parser is not None:
            self._deliver(parser(fields))
        elif handler is not None:
            handler(fields)
        else:
            raise WireFormatError("unknown message name")

    def _start_batch(self, fields: Fields) -> None:
        self._reply = []
        self._instance = ""
        self._reply_instance = ""
        self._now_us = integer_field(fields, Field.TIME_US)

    def _finish_batch(self) -> None:
        self._reply.append(f"{Reply.BATCH_ENDED}\n")
        self._sink.write("\n".join(self._reply))
        self._sink.flush()
        self._reply = []

    def _select_instance(self, fields: Fields) -> None:
        self._instance = ""  # stays empty if the line has no name
        self._instance = text_field(fields, Field.INSTANCE)

    def _start_instance(self, fields: Fields) -> None:
        self._balancers.pop(self._instance, None)
        if not self._instance:
            raise WireFormatError("launch without a selected instance")
        settings = parse_settings(text_field(fields, Field.SETTINGS))
        seed = integer_field(fields, Field.SEED)
        self._balancers[self._instance] = Balancer(settings, seed)

    def _stop_instance(self, _fields: Fields) -> None:
        if self._balancers.pop(self._instance, None) is None:
            raise WireFormatError(f"unknown instance '{self._instance}'")

    def _read_endpoint_table(self, fields: Fields) -> None:
        endpoints: list[Endpoint] = []
        for _ in range(integer_field(fields, Field.ENDPOINT_COUNT)):
            line = self._source.readline()
            self._line_number += 1
            line = line.rstrip("\r\n")
            try:
                endpoints.append(_parse_endpoint_line(line))
            except WireFormatError as error:
                self._report(line, error)
        self._endpoint_tables[text_field(fields, Field.TABLE)] = tuple(endpoints)

    def _deliver_endpoint_list(self, fields: Fields) -> None:
        kind = lookup_field(fields, Field.LIST_KIND, LIST_KINDS)
        endpoints: tuple[Endpoint, ...] = ()
        if kind is not ListKind.ERROR:
            endpoints = lookup_field(fields, Field.TABLE, self._endpoint_tables)
        self._deliver(EndpointListReceived(kind, endpoints))

    def _deliver(self, event: Event) -> None:
        balancer = self._balancers.get(self._instance)
        if balancer is None:
            raise WireFormatError(f"unknown instance '{self._instance}'")
        actions = balancer.handle(self._now_us, event)
        if not actions:
            return
        if self._reply_instance != self._instance:
            self._reply_instance = self._instance
            self._reply.append(f"{Reply.INSTANCE_SELECTED} {Field.INSTANCE}={self._instance}")
        self._reply.extend(map(format_action, actions))


def _parse_endpoint_line(line: str) -> Endpoint:
    name, fields = split_line(line)
    if name != Message.ENDPOINT:
        raise WireFormatError("expected an endpoint of the table")
    return parse_endpoint(fields)


def main() -> int:
    """Run the adapter on the standard streams, and return the exit code."""
    gc.freeze()  # exempts imported modules from garbage collection
    if isinstance(sys.stdin, io.TextIOWrapper):
        sys.stdin.reconfigure(encoding="utf-8", errors="replace", newline="\n")
    SimulatorAdapter(sys.stdin, sys.stdout, sys.stderr).run()
    return 0
