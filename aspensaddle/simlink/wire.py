"""The simulator's wire: JSON messages to events, actions to JSON messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

from aspensaddle.core.interface import (
    Action,
    Adopted,
    Cancel,
    ClientGone,
    CloseIdle,
    DelayNote,
    Ended,
    Established,
    Event,
    Fail,
    FetchList,
    ListScope,
    LoadNote,
    Move,
    Outcome,
    PeerMessage,
    Probe,
    ProbeResult,
    Refuse,
    Report,
    Request,
    Send,
    ServerEntry,
    ServersChanged,
    ServerState,
    SetTimer,
    Tell,
    TimerFired,
    WatchList,
)
from aspensaddle.support.decode import DecodeError, Message, array, as_object, flag, integer, number, obj, text, word

Lists: TypeAlias = dict[int, tuple[ServerEntry, ...]]

OUTCOMES = {
    "success": Outcome.OK,
    "failure": Outcome.ERROR,
    "overloaded": Outcome.FULL,
    "timed_out": Outcome.TIMED_OUT,
    "unreachable": Outcome.UNREACHABLE,
    "broken": Outcome.BROKEN,
    "withdrawn": Outcome.CANCELLED,
    "void": Outcome.VOID,
}
STATES = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}
SCOPES = {
    "INCREMENTAL": ListScope.CHANGES,
    "FULL": ListScope.FULL,
    "SAVED": ListScope.SAVED,
    "FAILED": ListScope.FAILED,
}
LOAD_CHANGED, MESSAGES_SLOW = 1, 2  # topics of a status note


def parse_entries(m: Message) -> tuple[ServerEntry, ...]:
    """The lines of a PAGE."""
    return tuple(
        ServerEntry(
            integer(e, "server"),
            integer(e, "region-part", 0),
            integer(e, "pod", 0),
            word(e, "phase", STATES, ServerState.READY),
            number(e, "capacity-hint", 1.0),
            number(e, "started-at", 0.0),
            integer(e, "generation-hw", -1),
        )
        for e in (as_object(e, "items") for e in array(m, "items"))
    )


# ---------------------------------------------------------------- events


def _request(m: Message) -> Request:
    return Request(
        text(m, "ref"),
        integer(m, "grade", 0),
        number(m, "time-left", 0.0),
        integer(m, "owner", 0),
        integer(m, "partition-key", None),
        number(m, "weight-hint", None),
        integer(m, "channel", None),
        flag(m, "repeat"),
        flag(m, "mid-flow"),
        flag(m, "returned"),
    )


def _work_item(m: Message, lists: Lists) -> Event:
    number(m, "time-left")
    return _request(m)


def _report(m: Message) -> Report | None:
    usage = obj(m, "usage", None) if m.get("usage") is not None else None
    if usage is not None:
        for name in usage:
            number(usage, name, None)
    return usage


def _returned(m: Message, lists: Lists) -> Event:
    return Ended(
        text(m, "ref"),
        integer(m, "n"),
        integer(m, "server"),
        word(m, "state-code", OUTCOMES),
        number(m, "lag", 0.0),
        flag(m, "finished"),
        _report(m),
    )


def _status_note(m: Message, lists: Lists) -> Event | None:
    topic, amount = integer(m, "topic"), number(m, "amount")
    if topic == LOAD_CHANGED:
        return LoadNote(text(m, "ref"), integer(m, "server"), amount / 1e6)  # microseconds a second
    if topic == MESSAGES_SLOW:
        return DelayNote(text(m, "ref"), integer(m, "server"), amount / 1e3)  # milliseconds
    return None  # a topic that later versions add


def _backends_changed(m: Message, lists: Lists) -> Event:
    scope = word(m, "scope", SCOPES)
    if scope is ListScope.FAILED:
        return ServersChanged(scope)
    number_of_list = integer(m, "set-id")
    if number_of_list not in lists:
        raise DecodeError(f"set-id {number_of_list} names no list sent before")
    return ServersChanged(scope, lists[number_of_list])


def _bytes(m: Message, name: str) -> bytes:
    value = text(m, name)
    try:
        return bytes.fromhex(value)
    except ValueError:
        raise DecodeError(f"{name} must be hex digits, not {value!r:.60}") from None


EVENTS: dict[str, Callable[[Message, Lists], Event | None]] = {
    "WORK_ITEM": _work_item,
    "RETURNED": _returned,
    "HEAD_RECEIVED": lambda m, _: Established(
        text(m, "ref"), integer(m, "n"), integer(m, "server"), number(m, "lag", 0.0)
    ),
    "STATUS_NOTE": _status_note,
    "BACKENDS_CHANGED": _backends_changed,
    "WAKEUP": lambda m, _: TimerFired(text(m, "label")),
    "CLIENT_GONE": lambda m, _: ClientGone(text(m, "ref")),
    "ADOPTED": lambda m, _: Adopted(_request(m), integer(m, "server")),
    "PROBE_DONE": lambda m, _: ProbeResult(
        integer(m, "server"), word(m, "state-code", OUTCOMES), number(m, "lag", 0.0), _report(m)
    ),
    "DATAGRAM": lambda m, _: PeerMessage(integer(m, "src-peer"), _bytes(m, "raw")),
}


# ---------------------------------------------------------------- actions

ACTIONS: dict[type, Callable[[Any], Message]] = {
    Send: lambda a: {"kind": "TRANSMIT", "ref": a.id, "server": a.server, "try-for": a.timeout},
    Refuse: lambda a: {"kind": "REFUSE", "ref": a.id, "not-before-for": a.retry_after},
    Fail: lambda a: {"kind": "SURRENDER", "ref": a.id},
    Cancel: lambda a: {"kind": "CANCEL", "ref": a.id, "n": a.attempt},
    Move: lambda a: {"kind": "MIGRATE", "ref": a.id},
    Probe: lambda a: {"kind": "INSPECT", "server": a.server},
    CloseIdle: lambda a: {"kind": "FREE_LINKS", "server": a.server},
    FetchList: lambda a: {"kind": "GET_LIST"},
    WatchList: lambda a: {"kind": "TAIL", "active": a.on},
    Tell: lambda a: {"kind": "BROADCAST_TO", "whom": a.peer, "raw": a.data.hex()},
    SetTimer: lambda a: {"kind": "SET_ALARM", "label": a.token, "offset": a.delay},
}


def render(action: Action) -> Message:
    return ACTIONS[type(action)](action)
