"""Codec of the simulator's text protocol: parses lines to events and settings, formats actions as lines."""

from __future__ import annotations

import base64
import binascii
import math
from collections.abc import Callable

from msgspec import Raw

from load_balancer.config.errors import SettingsFormatError, ValidationErrors
from load_balancer.config.json_document import decode_document
from load_balancer.config.settings_reader import read_settings
from load_balancer.config.steps import Steps, run_to_completion
from load_balancer.decisions.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    LogEvent,
    PollEndpoints,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    StartHealthCheck,
    SubscribeEndpoints,
)
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus
from load_balancer.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from load_balancer.decisions.settings import Settings
from load_balancer.errors import SettingsError
from load_balancer.load_report_format import parse_load_report
from load_balancer.simulator.errors import WireFormatError
from load_balancer.simulator.fields import (
    Fields,
    flag_field,
    integer_field,
    lookup_field,
    number_field,
    optional_integer_field,
    text_field,
)
from load_balancer.simulator.vocabulary import (
    ALL_GATEWAYS,
    ENDPOINT_STATUSES,
    NO_DATA,
    OUTCOMES,
    Field,
    Message,
    Reply,
)

# By message name, the field whose value is the rest of the line, spaces included.
REST_OF_LINE_FIELD = {Message.INSTANCE_STARTED: Field.SETTINGS}


def split_line(line: str) -> tuple[str, dict[str, str]]:
    """Return the message name and the fields of a line.

    Raises:
        WireFormatError: A field has no `=`.
    """
    name, _, rest = line.partition(" ")
    fields: dict[str, str] = {}
    rest_of_line_field = REST_OF_LINE_FIELD.get(name)
    if rest_of_line_field is not None:
        rest, separator, text = f" {rest}".partition(f" {rest_of_line_field}=")
        if separator:
            fields[rest_of_line_field] = text
    for pair in rest.split():
        key, separator, value = pair.partition("=")
        if not separator:
            raise WireFormatError(f"expected name=value, got '{pair}'")
        fields[key] = value
    return name, fields


def parse_settings(text: str) -> Settings:
    """Return the settings of an instance from their JSON text in its launch message.

    Raises:
        WireFormatError: The settings are invalid.
    """
    try:
        return run_to_completion(_read_settings(text.encode()))
    except (SettingsFormatError, SettingsError, UnicodeEncodeError) as error:
        raise WireFormatError(f"invalid settings: {error}") from None


def _read_settings(data: bytes) -> Steps[Settings]:
    raw = yield from decode_document(data, Raw, ValidationErrors())
    settings, _ = yield from read_settings(raw)
    return settings


def parse_endpoint(fields: Fields) -> Endpoint:
    """Return the endpoint that a line of an endpoint table describes.

    Raises:
        WireFormatError: A field is missing or invalid.
    """
    weight = number_field(fields, Field.WEIGHT, 1.0)
    if not 0.0 < weight < math.inf:
        raise WireFormatError(f"{Field.WEIGHT} is not a finite number above 0")
    endpoint_id = integer_field(fields, Field.ENDPOINT)
    status = EndpointStatus.READY
    if Field.STATUS in fields:
        status = lookup_field(fields, Field.STATUS, ENDPOINT_STATUSES)
    return Endpoint(
        id=endpoint_id,
        status=status,
        weight=weight,
        zone=integer_field(fields, Field.ZONE, 0),
        group=integer_field(fields, Field.GROUP, 0),
        kind=integer_field(fields, Field.KIND, 0),
        started_us=integer_field(fields, Field.STARTED_US, 0),
    )


def _parse_request_arrived(fields: Fields) -> RequestArrived:
    return RequestArrived(
        request_id=text_field(fields, Field.REQUEST_ID),
        request_class=integer_field(fields, Field.REQUEST_CLASS, 0),
        remaining_timeout_us=integer_field(fields, Field.CLIENT_TIMEOUT_US),
        key=optional_integer_field(fields, Field.KEY, base=16),
        work_us=optional_integer_field(fields, Field.WORK_US),
        is_retry=flag_field(fields, Field.RETRY),
        tenant=integer_field(fields, Field.TENANT, 0),
        is_write=flag_field(fields, Field.IS_WRITE),
    )


def _parse_attempt_ended(fields: Fields) -> AttemptEnded:
    return AttemptEnded(
        request_id=text_field(fields, Field.REQUEST_ID),
        attempt=integer_field(fields, Field.ATTEMPT),
        endpoint_id=integer_field(fields, Field.ENDPOINT),
        outcome=lookup_field(fields, Field.OUTCOME, OUTCOMES),
        latency_us=integer_field(fields, Field.LATENCY_US, 0),
        finished=flag_field(fields, Field.FINISHED),
        load_report=parse_load_report(fields.get(Field.LOAD_REPORT, "")),
    )


def _parse_client_disconnected(fields: Fields) -> ClientDisconnected:
    return ClientDisconnected(text_field(fields, Field.REQUEST_ID))


def _parse_stream_started(fields: Fields) -> StreamStarted:
    return StreamStarted(text_field(fields, Field.REQUEST_ID), integer_field(fields, Field.ATTEMPT))


def _parse_timer_fired(fields: Fields) -> TimerFired:
    return TimerFired(integer_field(fields, Field.TOKEN))


def _parse_health_check_ended(fields: Fields) -> HealthCheckEnded:
    return HealthCheckEnded(
        endpoint_id=integer_field(fields, Field.ENDPOINT),
        outcome=lookup_field(fields, Field.OUTCOME, OUTCOMES),
        latency_us=integer_field(fields, Field.LATENCY_US, 0),
        load_report=parse_load_report(fields.get(Field.LOAD_REPORT, "")),
    )


def _parse_peer_message_received(fields: Fields) -> PeerMessageReceived:
    text = text_field(fields, Field.DATA)
    try:
        data = b"" if text == NO_DATA else base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise WireFormatError(f"{Field.DATA} is not valid base64: {error}") from None
    except ValueError as error:  # a character that is not ASCII
        raise WireFormatError(str(error)) from None
    return PeerMessageReceived(integer_field(fields, Field.GATEWAY_INDEX), data)


PARSERS: dict[str, Callable[[Fields], Event]] = {
    Message.REQUEST_ARRIVED: _parse_request_arrived,
    Message.ATTEMPT_ENDED: _parse_attempt_ended,
    Message.CLIENT_DISCONNECTED: _parse_client_disconnected,
    Message.STREAM_STARTED: _parse_stream_started,
    Message.TIMER_FIRED: _parse_timer_fired,
    Message.HEALTH_CHECK_ENDED: _parse_health_check_ended,
    Message.PEER_MESSAGE_RECEIVED: _parse_peer_message_received,
}
"""Functions that parse a line's fields to an event, by message name; they may raise WireFormatError."""


def format_action(action: Action) -> str:
    """Return the line that requests an action from the simulator."""
    match action:
        case Send() | Reject() | Fail() | Cancel():
            return _format_request_action(action)
        case SubscribeEndpoints() | PollEndpoints() | StartHealthCheck() | CloseIdleConnections():
            return _format_endpoint_action(action)
        case SetTimer():
            return f"{Reply.SET_TIMER} {Field.DUE_US}={action.due_us} {Field.TOKEN}={action.token}"
        case SendPeerMessage():
            receiver = ALL_GATEWAYS if action.gateway_index is None else action.gateway_index
            data = base64.b64encode(action.data).decode() or NO_DATA
            return f"{Reply.SEND_PEER_MESSAGE} {Field.RECEIVER}={receiver} {Field.DATA}={data}"
        case LogEvent():
            return f"{Reply.LOG_EVENT} {Field.LOG_LINE}={action.line}"


def _format_request_action(action: Send | Reject | Fail | Cancel) -> str:
    request = f"{Field.REQUEST_ID}={action.request_id}"
    match action:
        case Send():
            timeout = f"{Field.TIMEOUT_US}={action.timeout_us}"
            return f"{Reply.SEND} {request} {timeout} {Field.ENDPOINT}={action.endpoint_id}"
        case Reject():
            return f"{Reply.REJECT} {request} {Field.RETRY_AFTER_US}={action.retry_after_us}"
        case Fail():
            return f"{Reply.FAIL} {request}"
        case Cancel():
            return f"{Reply.CANCEL} {request} {Field.ATTEMPT}={action.attempt}"


def _format_endpoint_action(
    action: SubscribeEndpoints | PollEndpoints | StartHealthCheck | CloseIdleConnections,
) -> str:
    match action:
        case SubscribeEndpoints():
            return f"{Reply.SUBSCRIBE_ENDPOINTS} {Field.SUBSCRIBED}={int(action.active)}"
        case PollEndpoints():
            return Reply.POLL_ENDPOINTS
        case StartHealthCheck():
            return f"{Reply.START_HEALTH_CHECK} {Field.ENDPOINT}={action.endpoint_id}"
        case CloseIdleConnections():
            return f"{Reply.CLOSE_IDLE_CONNECTIONS} {Field.ENDPOINT}={action.endpoint_id}"
