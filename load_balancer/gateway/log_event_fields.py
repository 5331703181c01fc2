"""The fields of log events, and names of earlier versions."""

from __future__ import annotations

REQUEST_FIELDS = ("request_id", "client_request_id", "request_class", "tenant", "settings_version")
COMMON_FIELDS = ("repeated", "exception")
FIELDS = {
    "address": "address of the endpoint or of discovery, as host:port",
    "applied_index": "position of the list in use in discovery's log of changes",
    "attempt": "the attempt's number among those of its request, from 0",
    "buffer_limit_bytes": "how many bytes messages may take on all connections together",
    "buffered_bytes": "how many bytes messages that are being received, served or sent take",
    "client_request_id": "the id that the client gave the request, from its header",
    "consequence": "what was done with the message that exceeded the limit",
    "cooldown_s": "seconds until the circuit breaker becomes half-open and admits trial requests",
    "endpoints": "number of entries of the list or change",
    "endpoint_id": "the endpoint's number: a hash of its name, the same at every gateway",
    "entry": "the entry of the endpoint list as received, cut to 200 characters",
    "error": "the text of the error; for errors of the gateway itself, the exception with its type",
    "event_counts": "the names of the events that were counted, each with its count",
    "exception": "the traceback",
    "index": "position of the list in discovery's log of changes",
    "latency_ms": "milliseconds since the attempt was started",
    "list_kind": "whether the list is complete or a delta, which contains changes only",
    "listen": "the address at which the gateway accepts connections from clients",
    "logger": "the name of the library's logger",
    "message": "what a library logged",
    "name": "the gateway's name in its configuration",
    "outcome": "how the attempt ended, by the balancer's name",
    "payload": "the message of discovery as received, cut to 200 characters",
    "ready": "number of endpoints that requests may be sent to",
    "reason": "why the event happened",
    "repeated": "repeats of the event since it was last written; the other fields are those of the last one",
    "request_class": "the request's class, by name",
    "request_id": "the request's number, counted from the gateway's start",
    "settings_digest": "the first hexadecimal digits of the digest of the settings",
    "settings_version": "the number of the settings in force; for a request, those in force when it arrived",
    "state": "the new state of the circuit breaker",
    "status": "the status of the answer",
    "subject": "the event or action that failed, cut to 300 characters",
    "suppressed": "number of lines suppressed since the balancer's last one; it logs at most one per 100 ms",
    "tenant": "the request's tenant, by name",
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
