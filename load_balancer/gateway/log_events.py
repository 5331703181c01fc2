"""The registry of log events: the stable name, level, sentence and fields of each."""

from __future__ import annotations

from dataclasses import dataclass
from logging import ERROR, INFO, WARNING
from string import Formatter

# How many different events are counted separately at a time: the bound on memory and output where the values
# of events never repeat.
MAX_COUNTED_KEYS = 64


@dataclass(frozen=True, slots=True)
class RegisteredEvent:
    """One kind of event.

    Attributes:
        name: Stable name, by which the event is logged.
        level: Level of the `logging` module.
        sentence: The text form of the event; `{field}` stands for the field's value.
        meaning: When the event is logged and what follows from it.
        fields: Names of all fields that it may carry, besides those in `COMMON_FIELDS`.
        key: Names of the fields in which an event and its repeats have the same values.
        is_bare: Whether the text form leaves out time and level.
    """

    name: str
    level: int
    sentence: str
    meaning: str
    fields: tuple[str, ...] = ()
    key: tuple[str, ...] = ()
    is_bare: bool = False

    @property
    def sentence_fields(self) -> set[str]:
        """The names of the fields that the sentence contains."""
        return {name for _, name, _, _ in Formatter().parse(self.sentence) if name}


REQUEST_FIELDS = ("request_id", "request_class", "tenant", "settings_version")
COMMON_FIELDS = ("repeated", "exception")
FIELDS = {
    "address": "address of the endpoint or of discovery, as host:port",
    "buffer_limit_bytes": "how many bytes messages may take on all connections together",
    "buffered_bytes": "how many bytes messages that are being received, served or sent take",
    "consequence": "what was done with the message that exceeded the limit",
    "cooldown_s": "seconds until the circuit breaker becomes half-open and admits trial requests",
    "endpoint_id": "the endpoint's number: a hash of its name, the same at every gateway",
    "entry": "the entry of the endpoint list as received, cut to 200 characters",
    "error": "the text of the error; for errors of the gateway itself, the exception with its type",
    "event_counts": "the names of the events that were counted, each with its count",
    "exception": "the traceback",
    "listen": "the address at which the gateway accepts connections from clients",
    "logger": "the name of the library's logger",
    "message": "what a library logged",
    "name": "the gateway's name in its configuration",
    "payload": "the message of discovery as received, cut to 200 characters",
    "reason": "why the call to discovery failed",
    "repeated": "repeats of the event since it was last written; the other fields are those of the last one",
    "request_class": "the request's class, by name",
    "request_id": "the request's number, counted from the gateway's start",
    "settings_digest": "the first hexadecimal digits of the digest of the settings",
    "settings_version": "the number of the settings in force; for a request, those in force when it arrived",
    "state": "the new state of the circuit breaker",
    "subject": "the event or action that failed, cut to 300 characters",
    "suppressed": "number of lines suppressed since the balancer's last one; it logs at most one per 100 ms",
    "tenant": "the request's tenant, by name",
}
EVENTS = {
    event.name: event
    for event in (
        RegisteredEvent(
            "gateway.listening",
            INFO,
            "{name} listens on {listen}",
            "The gateway has started and accepts requests.",
            ("name", "listen", "settings_version"),
        ),
        RegisteredEvent(
            "config.invalid",
            ERROR,
            "load_balancer: {error}",
            "The configuration cannot be used; the process exits with status 2.",
            ("error",),
            is_bare=True,
        ),
        RegisteredEvent(
            "gateway.start_failed",
            ERROR,
            "load_balancer: cannot start: {error}",
            "An address or another resource is not available; the process exits with status 1.",
            ("error",),
            is_bare=True,
        ),
        RegisteredEvent(
            "config.applied",
            INFO,
            "settings version {settings_version} is in force: digest {settings_digest}",
            "The configuration was reloaded after SIGHUP; the new settings apply to requests from now on.",
            ("settings_version", "settings_digest"),
        ),
        RegisteredEvent(
            "config.unchanged",
            INFO,
            "settings version {settings_version} stays in force: digest {settings_digest} is the same",
            "The configuration was reloaded after SIGHUP; its settings are identical to those in force.",
            ("settings_version", "settings_digest"),
        ),
        RegisteredEvent(
            "config.rejected",
            WARNING,
            "rejected the new configuration, the old one stays in force: {error}",
            "SIGHUP was received, but the configuration cannot be used; nothing has changed.",
            ("error", "settings_version"),
            ("error",),
        ),
        RegisteredEvent(
            "discovery.address_changed",
            INFO,
            "discovery: address changed to {address}",
            "The new configuration names another address of discovery; open calls are repeated there.",
            ("address", "settings_version"),
        ),
        RegisteredEvent(
            "discovery.call_failed",
            INFO,
            "discovery call failed: {reason}; retrying",
            "A watch or a poll failed; it is retried after a wait.",
            ("reason",),
            ("reason",),
        ),
        RegisteredEvent(
            "discovery.call_overdue",
            INFO,
            "discovery has not answered a call; calling again",
            "A watch or a poll has no answer yet; another call is made, and the first answer to any is used.",
        ),
        RegisteredEvent(
            "discovery.entry_skipped",
            WARNING,
            "skipped a list entry: {error}: {entry}",
            "An entry of the endpoint list cannot be read; a known endpoint of that name is unchanged.",
            ("error", "entry"),
            ("error",),
        ),
        RegisteredEvent(
            "discovery.message_skipped",
            WARNING,
            "skipped a message of discovery: {error}: {payload}",
            "A message of discovery is not a valid endpoint list; the known list stays unchanged.",
            ("error", "payload"),
            ("error",),
        ),
        RegisteredEvent(
            "circuit_breaker.changed",
            INFO,
            "endpoint {endpoint_id}: circuit breaker {state}",
            "The outcome of a request changed the state of an endpoint's circuit breaker; with "
            "`request_class`, of the breaker for this class and tenant alone.",
            ("endpoint_id", "address", "state", "cooldown_s", "suppressed", *REQUEST_FIELDS),
            ("endpoint_id", "request_class", "tenant"),
        ),
        RegisteredEvent(
            "endpoint_list.unavailable",
            INFO,
            "the endpoint list could not be read; retrying",
            "A call of the balancer to discovery failed; the balancer repeats it.",
            ("suppressed",),
        ),
        RegisteredEvent(
            "request.duplicate_id",
            INFO,
            "request {request_id} arrived twice; the second is ignored",
            "The balancer received two requests with the same id, which is a bug of the gateway.",
            ("suppressed", *REQUEST_FIELDS),
        ),
        RegisteredEvent(
            "request.unknown_class",
            INFO,
            "request {request_id} has an unknown class and fails",
            "The balancer received a request of a class that does not exist, which is a bug of the gateway.",
            ("suppressed", *REQUEST_FIELDS),
        ),
        RegisteredEvent(
            "balancer.suppressed",
            INFO,
            "the balancer suppressed {suppressed} log lines",
            "The balancer had more to log than one line per 100 ms; the other lines are counted.",
            ("suppressed",),
        ),
        RegisteredEvent(
            "balancer.failed",
            ERROR,
            "the balancer raised an exception for {subject}",
            "A decision raised an exception; the request that it concerns, if any, is answered 500.",
            ("subject", "error", "endpoint_id", "address", *REQUEST_FIELDS),
            ("error",),
        ),
        RegisteredEvent(
            "action.failed",
            ERROR,
            "failed to execute {subject}",
            "An action raised an exception; the request that it concerns, if any, is answered 500.",
            ("subject", "error", "endpoint_id", "address", *REQUEST_FIELDS),
            ("error",),
        ),
        RegisteredEvent(
            "request.failed",
            ERROR,
            "a request failed and is answered 500",
            "Parsing or accepting a request raised an exception; the request is answered 500.",
            ("error", *REQUEST_FIELDS),
            ("error",),
        ),
        RegisteredEvent(
            "request.deadline_exceeded",
            WARNING,
            "request {request_id} had no answer at its deadline and is answered 504",
            "Neither an endpoint nor the balancer answered the request in time; it is answered 504.",
            REQUEST_FIELDS,
        ),
        RegisteredEvent(
            "buffers.exhausted",
            WARNING,
            "messages take {buffered_bytes} bytes, the limit is {buffer_limit_bytes}: {consequence}",
            "The messages of all connections would take more memory than the limit on memory allows.",
            ("buffered_bytes", "buffer_limit_bytes", "consequence"),
            ("consequence",),
        ),
        RegisteredEvent(
            "attempt.orphaned",
            WARNING,
            "dropped an attempt for request {request_id}, which is finished",
            "The balancer started an attempt for a request that is already finished; nothing is sent.",
            ("endpoint_id", "address", *REQUEST_FIELDS),
        ),
        RegisteredEvent(
            "library.message",
            INFO,
            "{message}",
            "A library logged, as asyncio does on an exception in a callback; the level is the library's.",
            ("logger", "message"),
            ("logger", "message"),
        ),
        RegisteredEvent(
            "log.overflow",
            WARNING,
            "{repeated} events beyond the limit on separate counts",
            f"More than {MAX_COUNTED_KEYS} different events in a second; the others are counted by name.",
            ("event_counts",),
        ),
    )
}

# Names in the logs of earlier versions and the names that replace them, for searches in older logs.
RENAMED_EVENTS = {
    "gateway.listens": "gateway.listening",
    "config.refused": "config.invalid",
    "config.taken_over": "config.applied",
    "config.same": "config.unchanged",
    "config.kept": "config.rejected",
    "discovery.moved": "discovery.address_changed",
    "breaker.changed": "circuit_breaker.changed",
    "list.unread": "endpoint_list.unavailable",
    "request.repeated_id": "request.duplicate_id",
    "balancer.unsaid": "balancer.suppressed",
    "request.unanswered": "request.deadline_exceeded",
    "attempt.unowned": "attempt.orphaned",
    "library.said": "library.message",
    "log.others": "log.overflow",
}
RENAMED_FIELDS = {
    "class": "request_class",
    "content": "settings_digest",
    "events": "event_counts",
    "generation": "settings_version",
    "line": "message",
    "request": "request_id",
    "server": "endpoint_id",
    "text": "payload",
    "unsaid": "suppressed",
    "what": "subject",
    "why": "reason",
}
