"""The registry of log events: each one's stable name, level, sentence and fields."""

from __future__ import annotations

from dataclasses import dataclass
from logging import ERROR, INFO, WARNING
from string import Formatter

# How many events are counted apart at a time. It bounds the memory and the output where values never repeat.
MAX_COUNTED_KEYS = 64


@dataclass(frozen=True, slots=True)
class RegisteredEvent:
    """One kind of event.

    Attributes:
        name: Stable name, by which the event is logged.
        level: Level of the `logging` module.
        sentence: What the text form says; `{field}` stands for the field's value.
        meaning: When the event is logged and what follows from it.
        fields: Names of all fields that it may carry, besides those in `COMMON_FIELDS`.
        key: Names of the fields whose values tell an event from its repeats.
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
        """The names of the fields that the sentence holds."""
        return {name for _, name, _, _ in Formatter().parse(self.sentence) if name}


REQUEST_FIELDS = ("request_id", "request_class", "tenant", "settings_version")
COMMON_FIELDS = ("repeated", "exception")
FIELDS = {
    "address": "of the endpoint or of discovery, as host:port",
    "cooldown_s": "seconds until the circuit breaker is half-open and lets trial requests through",
    "endpoint_id": "the endpoint's number, made from its name, the same at every gateway",
    "entry": "an entry of an endpoint list as it came, cut to 200 characters",
    "error": "what was wrong",
    "event_counts": "the events that were counted, each with its number",
    "exception": "the traceback",
    "listen": "the address that clients connect to",
    "logger": "the name of the library's logger",
    "message": "what a library logged",
    "name": "the gateway's, from its configuration",
    "payload": "the message as it came, cut to 200 characters",
    "reason": "why the call ended",
    "repeated": "how often the event was repeated since it was last written; other fields are the last one's",
    "request_class": "the request's class, by name",
    "request_id": "the request's number, counted from the gateway's start",
    "settings_digest": "the beginning of the digest of the settings, hexadecimal",
    "settings_version": "the number of the settings in force; with a request, of those that it arrived under",
    "state": "of the circuit breaker",
    "subject": "the event or action that was handled, cut to 300 characters",
    "suppressed": "lines that the balancer suppressed since its last one, as it logs one in 100 ms at most",
    "tenant": "the request's tenant, by name",
}
EVENTS = {
    event.name: event
    for event in (
        RegisteredEvent(
            "gateway.listening",
            INFO,
            "{name} listens on {listen}",
            "The gateway accepts requests from here on.",
            ("name", "listen", "settings_version"),
        ),
        RegisteredEvent(
            "config.invalid",
            ERROR,
            "load_balancer: {error}",
            "The configuration cannot be used; the process ends with 2.",
            ("error",),
            is_bare=True,
        ),
        RegisteredEvent(
            "gateway.start_failed",
            ERROR,
            "load_balancer: cannot start: {error}",
            "An address or another resource is not available; the process ends with 1.",
            ("error",),
            is_bare=True,
        ),
        RegisteredEvent(
            "config.applied",
            INFO,
            "settings version {settings_version} is in force: digest {settings_digest}",
            "SIGHUP came and other settings hold for requests from now on.",
            ("settings_version", "settings_digest"),
        ),
        RegisteredEvent(
            "config.unchanged",
            INFO,
            "settings version {settings_version} stays in force: digest {settings_digest} is the same",
            "SIGHUP came and the settings are byte for byte those in force.",
            ("settings_version", "settings_digest"),
        ),
        RegisteredEvent(
            "config.rejected",
            WARNING,
            "rejected the new configuration: {error}",
            "SIGHUP came and the file cannot be used; nothing has changed.",
            ("error", "settings_version"),
            ("error",),
        ),
        RegisteredEvent(
            "discovery.address_changed",
            INFO,
            "discovery: address changed to {address}",
            "The configuration names another address of discovery; calls are repeated there.",
            ("address", "settings_version"),
        ),
        RegisteredEvent(
            "discovery.call_failed",
            INFO,
            "discovery: {reason}",
            "A watch or a poll failed; it is retried.",
            ("reason",),
            ("reason",),
        ),
        RegisteredEvent(
            "discovery.entry_skipped",
            WARNING,
            "skipped a list entry: {error}: {entry}",
            "An entry of the endpoint list cannot be read; an endpoint of that name stays as it was.",
            ("error", "entry"),
            ("error",),
        ),
        RegisteredEvent(
            "discovery.message_skipped",
            WARNING,
            "skipped a message of discovery: {error}: {payload}",
            "A message of discovery is not an endpoint list; the list stays as it was.",
            ("error", "payload"),
            ("error",),
        ),
        RegisteredEvent(
            "circuit_breaker.changed",
            INFO,
            "endpoint {endpoint_id}: circuit breaker {state}",
            "A request's outcome opened or closed an endpoint's breaker; with a class, that of this pair.",
            ("endpoint_id", "address", "state", "cooldown_s", "suppressed", *REQUEST_FIELDS),
            ("endpoint_id", "request_class", "tenant"),
        ),
        RegisteredEvent(
            "endpoint_list.unavailable",
            INFO,
            "the endpoint list could not be read; retrying",
            "The balancer has no answer from discovery and asks again.",
            ("suppressed",),
        ),
        RegisteredEvent(
            "request.duplicate_id",
            INFO,
            "request {request_id} arrived twice; the second is ignored",
            "The balancer was given two requests of one number: a fault of the gateway.",
            ("suppressed", *REQUEST_FIELDS),
        ),
        RegisteredEvent(
            "request.unknown_class",
            INFO,
            "request {request_id} is of an unknown class",
            "The balancer was given a request of no known class: a fault of the gateway.",
            ("suppressed", *REQUEST_FIELDS),
        ),
        RegisteredEvent(
            "balancer.suppressed",
            INFO,
            "the balancer suppressed {suppressed} lines",
            "More happened in a short time than the balancer logs.",
            ("suppressed",),
        ),
        RegisteredEvent(
            "balancer.failed",
            ERROR,
            "the balancer failed on {subject}",
            "A decision raised an exception; the request that it concerns is answered 500.",
            ("subject", "error", "endpoint_id", "address", *REQUEST_FIELDS),
            ("error",),
        ),
        RegisteredEvent(
            "action.failed",
            ERROR,
            "failed to carry out {subject}",
            "An action raised an exception; the request that it concerns is answered 500.",
            ("subject", "error", "endpoint_id", "address", *REQUEST_FIELDS),
            ("error",),
        ),
        RegisteredEvent(
            "request.failed",
            ERROR,
            "failed on a request",
            "Reading a request raised an exception; it is answered 500.",
            ("error", *REQUEST_FIELDS),
            ("error",),
        ),
        RegisteredEvent(
            "request.deadline_exceeded",
            WARNING,
            "request {request_id} had no answer at its deadline",
            "Neither the balancer nor an endpoint has ended the request in time; it is answered 504.",
            REQUEST_FIELDS,
        ),
        RegisteredEvent(
            "attempt.orphaned",
            WARNING,
            "an attempt for request {request_id}, which is over",
            "The balancer forwarded a request that has had its answer; nothing is sent.",
            ("endpoint_id", "address", *REQUEST_FIELDS),
        ),
        RegisteredEvent(
            "library.message",
            INFO,
            "{message}",
            "A library logged, as asyncio does of an exception in a callback; the level is the library's.",
            ("logger", "message"),
            ("logger", "message"),
        ),
        RegisteredEvent(
            "log.overflow",
            WARNING,
            "{repeated} other events",
            f"More than {MAX_COUNTED_KEYS} kinds of repeats at a time: these are counted by event alone.",
            ("event_counts",),
        ),
    )
}

# Names that earlier versions logged and the names that replace them, for whoever searches older logs.
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
