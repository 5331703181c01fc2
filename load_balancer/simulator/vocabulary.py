"""Names and values in the simulator's text protocol, mapped to the terms of this package.

A line is a message name and fields of the form `name=value`. Only this module has the protocol's own names;
the codec and the adapter use the constants.
"""

from __future__ import annotations

from load_balancer.decisions.endpoint import EndpointStatus, ListKind
from load_balancer.decisions.events import Outcome


class Message:
    """Names of the lines that the simulator sends."""

    BATCH_STARTED = "begin_batch"
    BATCH_ENDED = "go"
    INSTANCE_SELECTED = "instance"  # selects the instance that the following lines are for
    INSTANCE_STARTED = "launch"
    INSTANCE_STOPPED = "destroy"
    ENDPOINT_TABLE = "inventory"  # followed by the number of endpoint lines in its `members` field
    ENDPOINT = "host"
    ENDPOINT_LIST_RECEIVED = "registry"
    REQUEST_ARRIVED = "incoming"
    ATTEMPT_ENDED = "outcome"
    CLIENT_DISCONNECTED = "dropped"
    STREAM_STARTED = "streaming"
    TIMER_FIRED = "reminder"
    HEALTH_CHECK_ENDED = "pong"
    PEER_MESSAGE_RECEIVED = "inbox"


class Reply:
    """Names of the lines that are sent to the simulator."""

    INSTANCE_SELECTED = "by"  # names the instance that the following lines come from
    BATCH_ENDED = "next"
    SEND = "pass_on"
    REJECT = "bounce"
    FAIL = "surrender"
    CANCEL = "retract"
    SET_TIMER = "notify_me"
    SUBSCRIBE_ENDPOINTS = "track"
    POLL_ENDPOINTS = "snapshot"
    START_HEALTH_CHECK = "ask_load"
    CLOSE_IDLE_CONNECTIONS = "hang_up"
    SEND_PEER_MESSAGE = "broadcast_to"
    LOG_EVENT = "journal_line"


class Field:
    """Names of the fields of lines, in both directions."""

    ATTEMPT = "shot"
    KEY = "affinity"
    CLIENT_TIMEOUT_US = "graceUs"
    DATA = "bytes"
    DUE_US = "dueAtUs"
    ENDPOINT = "host"
    ENDPOINT_COUNT = "members"
    FINISHED = "ended"
    GATEWAY_INDEX = "src"
    GROUP = "group"
    INSTANCE = "i"
    IS_WRITE = "isWrite"
    KIND = "classOfHost"
    LATENCY_US = "durationUs"
    LIST_KIND = "how"
    LOAD_REPORT = "pressure"
    LOG_LINE = "line"
    OUTCOME = "verdict"
    RECEIVER = "dest"
    REQUEST_CLASS = "priority"
    REQUEST_ID = "requestId"
    RETRY = "retry"
    RETRY_AFTER_US = "comeBackUs"
    SEED = "prng"
    SETTINGS = "bootInfo"
    STARTED_US = "sinceUs"
    STATUS = "status"
    SUBSCRIBED = "on"
    TABLE = "table"
    TENANT = "customer"
    TIME_US = "simTimeUs"
    TIMEOUT_US = "maxWaitUs"
    TOKEN = "keyBack"
    WEIGHT = "heft"
    WORK_US = "costUs"
    ZONE = "campus"


NO_DATA = "-"
ALL_GATEWAYS = -1
TRUE = "1"

ENDPOINT_STATUSES = {
    "Ready": EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.GONE,
}
LIST_KINDS = {
    "diff": ListKind.DELTA,
    "snapshot": ListKind.COMPLETE,
    "disk": ListKind.CACHED,
    "error": ListKind.ERROR,
}
OUTCOMES = {
    "200": Outcome.OK,
    "502": Outcome.ERROR,
    "429": Outcome.REJECTED,
    "408": Outcome.TIMEOUT,
    "521": Outcome.CONNECT_FAILED,
    "520": Outcome.RESET,
    "444": Outcome.CANCELLED,
    "409": Outcome.NOT_SENT,
}
