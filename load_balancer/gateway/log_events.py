"""The registry of log events: the stable name, level, sentence and fields of each."""

from __future__ import annotations

from dataclasses import dataclass
from logging import ERROR, INFO, WARNING
from string import Formatter

from load_balancer.gateway.log_event_fields import REQUEST_FIELDS

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


EVENTS = {
    event.name: event
    for event in (
        RegisteredEvent(
            "gateway.listening",
            INFO,
            "{name} listens on {listen}",
            "The gateway has started and accepts requests.",
            ("name", "listen", "settings_version", "index", "ready"),
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
            "discovery.list_older",
            WARNING,
            "ignored a list at index {index}: the one in use has index {applied_index}",
            "Discovery sent a list that is older than the one in use; the complete list is fetched.",
            ("index", "applied_index"),
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
            "endpoint_list.applied",
            INFO,
            "applied a list of {endpoints} endpoints ({list_kind}) at index {index}: {ready} ready",
            "A complete list or a change of discovery is in force.",
            ("list_kind", "index", "endpoints", "ready"),
            ("list_kind",),
        ),
        RegisteredEvent(
            "endpoint_list.none_ready",
            WARNING,
            "no endpoint is ready at index {index}",
            "Discovery lists no endpoint that requests may be sent to; they are answered 503 until it does.",
            ("index",),
        ),
        RegisteredEvent(
            "endpoint_list.unavailable",
            INFO,
            "the endpoint list could not be read; retrying",
            "A call of the balancer to discovery failed; the balancer repeats it.",
            ("suppressed",),
        ),
        RegisteredEvent(
            "request.unserved",
            INFO,
            "request {request_id} is answered {status}: {reason}",
            "The balancer answered a request that no endpoint has served.",
            ("status", "reason", *REQUEST_FIELDS),
            ("status", "reason", "request_class"),
        ),
        RegisteredEvent(
            "request.refused",
            INFO,
            "a request is answered {status}: {reason}",
            "A request was answered with an error without asking the balancer: malformed, or over a limit.",
            ("status", "reason"),
            ("status", "reason"),
        ),
        RegisteredEvent(
            "attempt.failed",
            INFO,
            "attempt {attempt} of request {request_id} ended after {latency_ms} ms: {outcome}",
            "An attempt ended without a successful answer.",
            ("attempt", "outcome", "latency_ms", "endpoint_id", "address", *REQUEST_FIELDS),
            ("outcome",),
        ),
        RegisteredEvent(
            "attempt.retried",
            INFO,
            "request {request_id} is sent again as attempt {attempt}",
            "A request is sent to a further endpoint, after a failed attempt or as a hedged request.",
            ("attempt", "endpoint_id", "address", *REQUEST_FIELDS),
        ),
        RegisteredEvent(
            "upstream_connection.closed",
            INFO,
            "closed a connection to an endpoint: {reason}",
            "The gateway or the endpoint closed a connection; each is counted once, by its first reason.",
            ("reason",),
            ("reason",),
        ),
        RegisteredEvent(
            "client_connection.closed",
            INFO,
            "closed a connection of a client: {reason}",
            "The gateway closed a connection of a client; connections that clients close have no event.",
            ("reason",),
            ("reason",),
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
