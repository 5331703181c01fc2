"""The gateway's log: one line per event on standard error, as text or as JSON.

Every event is registered in `log_events`, from which docs/events.md is made:
`python -m load_balancer.gateway.event_log` prints the page. Repeats are counted, see `repeat_counter`.
"""

from __future__ import annotations

import asyncio
import logging
import sys
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any, cast

from structlog import wrap_logger
from structlog.processors import JSONRenderer, LogfmtRenderer, format_exc_info
from structlog.stdlib import BoundLogger, ProcessorFormatter
from structlog.typing import EventDict, WrappedLogger

from load_balancer.gateway.buffer_budget import BufferBudget
from load_balancer.gateway.http_message import Response
from load_balancer.gateway.log_events import EVENTS, RegisteredEvent
from load_balancer.gateway.log_events_page import render_page
from load_balancer.gateway.repeat_counter import Fields, RepeatCounter

LOGGER_NAME = "load_balancer"
# Longer values of fields are cut, as values from outside may have any length.
MAX_VALUE_CHARACTERS = 300
# Keys of an event's dictionary that are not among its fields.
NON_FIELD_KEYS = frozenset(("event", "exc_info", "exception", "_record", "_from_structlog"))


def log_event(name: str, /, **fields: object) -> None:
    """Log a registered event, or count it if it repeats one of the last second.

    Where `error` is an exception and the event is an error of the gateway's own, its traceback is logged too.
    """
    event = EVENTS[name]
    if not _logger.isEnabledFor(event.level):
        return
    error = fields.get("error")
    if isinstance(error, Exception):
        if event.level >= logging.ERROR and not event.is_bare:
            fields |= {"error": repr(error), "exc_info": error}
        else:
            fields["error"] = str(error)
    for field_name, value in fields.items():
        if isinstance(value, str) and len(value) > MAX_VALUE_CHARACTERS:
            fields[field_name] = value[:MAX_VALUE_CHARACTERS]
    _repeat_counter.add(event, fields)


def log_buffers_exhausted(budget: BufferBudget, consequence: str) -> None:
    """Log that a message exceeded the budget, and what was done with it."""
    log_event(
        "buffers.exhausted",
        buffered_bytes=budget.used_bytes,
        buffer_limit_bytes=budget.limit_bytes,
        consequence=consequence,
    )


def log_refusal(response: Response) -> None:
    """Log that a request which the balancer has not seen is answered with an error."""
    log_event("request.refused", status=response.status, reason=response.body.decode().strip())


def flush() -> None:
    """Log the repeats that have been counted but not logged."""
    _repeat_counter.flush()


def configure_logging(environ: Mapping[str, str]) -> None:
    """Send this package's log events and those of libraries to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(make_formatter(environ))
    logging.getLogger(LOGGER_NAME).addHandler(handler)
    logging.basicConfig(level=logging.INFO, handlers=[LibraryHandler()])


def make_formatter(environ: Mapping[str, str]) -> logging.Formatter:
    """Return the formatter that ROUTER_LOG selects: JSON for `json`, else text."""
    if environ.get("ROUTER_LOG") == "json":
        return ProcessorFormatter(
            processors=[
                _order_fields,
                ProcessorFormatter.remove_processors_meta,
                format_exc_info,
                JSONRenderer(),
            ]
        )
    return ProcessorFormatter(processors=[format_exc_info, _render_text])


class LibraryHandler(logging.Handler):
    """A handler that logs the records of libraries as `library.message` events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record of another logger at its level, rounded down to a standard one."""
        if record.name == LOGGER_NAME:
            return
        level = min(max(logging.DEBUG, record.levelno // 10 * 10), logging.CRITICAL)
        error = record.exc_info[1] if record.exc_info else None
        traceback = {"exc_info": error} if error is not None else {}
        log_event(
            "library.message", level=level, logger=record.name, message=record.getMessage(), **traceback
        )


class FormattableEvent(dict[str, Any]):
    """An event as passed to the formatter; a handler with another formatter writes its text form."""

    def __str__(self) -> str:
        return format_sentence(self)


def format_sentence(event_dict: Mapping[str, Any]) -> str:
    """Return an event's sentence, followed by the fields that it does not contain as `key=value`."""
    event = EVENTS[event_dict["event"]]
    excluded = event.sentence_fields | NON_FIELD_KEYS
    other_fields = {name: value for name, value in event_dict.items() if name not in excluded}
    sentence = event.sentence.format_map(event_dict)
    return f"{sentence} {LogfmtRenderer()(None, '', other_fields)}" if other_fields else sentence


# Processors for structlog, which defines their signature


def _wrap_event(logger: WrappedLogger, name: str, event_dict: EventDict) -> tuple[Any, Any]:
    return ProcessorFormatter.wrap_for_formatter(logger, name, FormattableEvent(event_dict))


def _order_fields(_logger: WrappedLogger, _name: str, event_dict: EventDict) -> EventDict:
    record = event_dict["_record"]
    time = datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
    name = event_dict.pop("event")
    return {"time": time, "level": record.levelname.lower(), "event": name, **event_dict}


def _render_text(_logger: WrappedLogger, _name: str, event_dict: EventDict) -> str:
    record = event_dict["_record"]
    line = format_sentence(event_dict)
    if not EVENTS[event_dict["event"]].is_bare:
        line = f"{logging.Formatter().formatTime(record)} {record.levelname} {line}"
    return f"{line}\n{event_dict['exception']}" if "exception" in event_dict else line


_logger = cast(
    BoundLogger,
    wrap_logger(
        logging.getLogger(LOGGER_NAME),
        processors=[_wrap_event],
        wrapper_class=BoundLogger,
    ).bind(),
)


def _write(event: RegisteredEvent, fields: Fields) -> None:
    level = fields.get("level", event.level)  # a library's event has the level of its record
    _logger.log(
        cast(int, level), event.name, **{key: value for key, value in fields.items() if key != "level"}
    )


_repeat_counter = RepeatCounter(_write, asyncio.get_running_loop)

if __name__ == "__main__":
    print(render_page(), end="")
