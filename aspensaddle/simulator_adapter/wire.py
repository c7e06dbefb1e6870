"""The simulator's wire format: decodes JSON messages to events and encodes actions as JSON messages.

No other module knows the field names of events and actions; `host` reads those of the batches around them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

from aspensaddle.core.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    Migrate,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from aspensaddle.core.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionLoadReported,
    Endpoint,
    EndpointsChanged,
    EndpointUpdateScope,
    Event,
    HealthCheckCompleted,
    LoadReport,
    Outcome,
    Request,
    ServerLatencyReported,
    ServerState,
    TimerFired,
)
from aspensaddle.core.load_report_fields import parse_load_report
from aspensaddle.support.json_fields import (
    DecodeError,
    Message,
    array,
    as_object,
    choice,
    flag,
    integer,
    number,
    obj,
    text,
)

EndpointLists: TypeAlias = dict[int, tuple[Endpoint, ...]]  # keys are the lists' numbers on the wire (`set-id`)

OUTCOME_BY_STATE_CODE = {
    "success": Outcome.OK,
    "failure": Outcome.ERROR,
    "overloaded": Outcome.REJECTED,
    "timed_out": Outcome.TIMED_OUT,
    "unreachable": Outcome.UNREACHABLE,
    "broken": Outcome.CONNECTION_LOST,
    "withdrawn": Outcome.CANCELLED,
    "void": Outcome.NOT_SENT,
}
STATE_BY_PHASE = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}
UPDATE_SCOPE_BY_NAME = {
    "INCREMENTAL": EndpointUpdateScope.INCREMENTAL,
    "FULL": EndpointUpdateScope.COMPLETE,
    "SAVED": EndpointUpdateScope.CACHED,
    "FAILED": EndpointUpdateScope.FAILED,
}
CONNECTION_LOAD_TOPIC = 1
SERVER_LATENCY_TOPIC = 2
MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_SECOND = 1e3


def parse_endpoints(message: Message) -> tuple[Endpoint, ...]:
    """Return the endpoints of a PAGE message. Raises `DecodeError` with the name of the field that is not valid."""
    items = [as_object(item, "items") for item in array(message, "items")]
    return tuple(_parse_endpoint(item) for item in items)


def _parse_endpoint(item: Message) -> Endpoint:
    return Endpoint(
        server=integer(item, "server"),
        zone=integer(item, "region-part", 0),
        cell=integer(item, "pod", 0),
        state=choice(item, "phase", STATE_BY_PHASE, ServerState.READY),
        weight=number(item, "capacity-hint", 1.0),
        started_at=number(item, "started-at", 0.0),
        machine_type=integer(item, "generation-hw", -1),
    )


# ---------------------------------------------------------------- events


def _parse_request(message: Message) -> Request:
    flag(message, "mid-flow")  # validated, but not used in any decision
    return Request(
        request_id=text(message, "ref"),
        class_index=integer(message, "grade", 0),
        time_left=number(message, "time-left", 0.0),
        tenant=integer(message, "owner", 0),
        affinity_key=integer(message, "partition-key", None),
        load_hint=number(message, "weight-hint", None),
        session_group=integer(message, "channel", None),
        retried_by_client=flag(message, "repeat"),
        reconnecting=flag(message, "returned"),
    )


def _parse_work_item(message: Message, endpoint_lists: EndpointLists) -> Event:
    number(message, "time-left")  # required in a WORK_ITEM, but not in an ADOPTED
    return _parse_request(message)


def _parse_load_report(message: Message) -> LoadReport | None:
    if message.get("usage") is None:
        return None
    usage = obj(message, "usage")
    for name in usage:
        number(usage, name, None)
    return parse_load_report(usage)


def _parse_returned(message: Message, endpoint_lists: EndpointLists) -> Event:
    _parse_load_report(message)  # validated, but not used in any decision
    return AttemptEnded(
        request_id=text(message, "ref"),
        attempt=integer(message, "n"),
        server=integer(message, "server"),
        outcome=choice(message, "state-code", OUTCOME_BY_STATE_CODE),
        latency=number(message, "lag", 0.0),
        finished=flag(message, "finished"),
    )


def _parse_head_received(message: Message, endpoint_lists: EndpointLists) -> Event:
    return ConnectionEstablished(
        request_id=text(message, "ref"),
        attempt=integer(message, "n"),
        server=integer(message, "server"),
        latency=number(message, "lag", 0.0),
    )


def _parse_status_note(message: Message, endpoint_lists: EndpointLists) -> Event | None:
    topic = integer(message, "topic")
    amount = number(message, "amount")
    if topic == CONNECTION_LOAD_TOPIC:
        load = amount / MICROSECONDS_PER_SECOND
        return ConnectionLoadReported(text(message, "ref"), integer(message, "server"), load)
    if topic == SERVER_LATENCY_TOPIC:
        latency = amount / MILLISECONDS_PER_SECOND
        return ServerLatencyReported(text(message, "ref"), integer(message, "server"), latency)
    return None  # the simulator may add topics


def _parse_backends_changed(message: Message, endpoint_lists: EndpointLists) -> Event:
    scope = choice(message, "scope", UPDATE_SCOPE_BY_NAME)
    if scope is EndpointUpdateScope.FAILED:
        return EndpointsChanged(scope)
    set_id = integer(message, "set-id")
    if set_id not in endpoint_lists:
        raise DecodeError(f"set-id {set_id} is not the number of a list sent before")
    return EndpointsChanged(scope, endpoint_lists[set_id])


def _parse_wakeup(message: Message, endpoint_lists: EndpointLists) -> Event:
    return TimerFired(text(message, "label"))


def _parse_client_gone(message: Message, endpoint_lists: EndpointLists) -> Event:
    return ClientDisconnected(text(message, "ref"))


def _parse_adopted(message: Message, endpoint_lists: EndpointLists) -> Event:
    return ConnectionAdopted(_parse_request(message), integer(message, "server"))


def _parse_probe_done(message: Message, endpoint_lists: EndpointLists) -> Event:
    return HealthCheckCompleted(
        server=integer(message, "server"),
        outcome=choice(message, "state-code", OUTCOME_BY_STATE_CODE),
        latency=number(message, "lag", 0.0),
        report=_parse_load_report(message),
    )


def _validate_datagram(message: Message, endpoint_lists: EndpointLists) -> None:
    """Validate a message from another balancer and ignore it: balancers share no state."""
    integer(message, "src-peer")
    value = text(message, "raw")
    try:
        bytes.fromhex(value)
    except ValueError:
        raise DecodeError(f"raw must be hex digits, not {value!r:.60}") from None


EVENT_PARSERS: dict[str, Callable[[Message, EndpointLists], Event | None]] = {
    "WORK_ITEM": _parse_work_item,
    "RETURNED": _parse_returned,
    "HEAD_RECEIVED": _parse_head_received,
    "STATUS_NOTE": _parse_status_note,
    "BACKENDS_CHANGED": _parse_backends_changed,
    "WAKEUP": _parse_wakeup,
    "CLIENT_GONE": _parse_client_gone,
    "ADOPTED": _parse_adopted,
    "PROBE_DONE": _parse_probe_done,
    "DATAGRAM": _validate_datagram,
}


# ---------------------------------------------------------------- actions

ACTION_ENCODERS: dict[type, Callable[[Any], Message]] = {
    StartAttempt: lambda action: {
        "kind": "TRANSMIT",
        "ref": action.request_id,
        "server": action.server,
        "try-for": action.timeout,
    },
    Reject: lambda action: {"kind": "REFUSE", "ref": action.request_id, "not-before-for": action.retry_after},
    Fail: lambda action: {"kind": "SURRENDER", "ref": action.request_id},
    CancelAttempt: lambda action: {"kind": "CANCEL", "ref": action.request_id, "n": action.attempt},
    Migrate: lambda action: {"kind": "MIGRATE", "ref": action.request_id},
    CheckHealth: lambda action: {"kind": "INSPECT", "server": action.server},
    WatchEndpoints: lambda action: {"kind": "TAIL", "active": True},
    SetTimer: lambda action: {"kind": "SET_ALARM", "label": action.timer, "offset": action.delay},
}


def encode_action(action: Action) -> Message:
    """Return the JSON message for an action."""
    return ACTION_ENCODERS[type(action)](action)
