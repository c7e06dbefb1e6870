"""The simulator's wire: JSON messages to events, actions to JSON messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

from aspensaddle.interface import (
    Action, Adopted, Cancel, ClientGone, CloseIdle, DelayNote, Ended, Established, Event, Fail, FetchList,
    Group, Limits, ListScope, LoadNote, Move, Outcome, PeerMessage, Prices, Probe, ProbeResult, Refuse,
    Repeat, Report, Request, RequestClass, Rules, Send, ServerEntry, ServersChanged, ServerState, SetTimer,
    Settings, Tell, TimerFired, WatchList,
)

Message: TypeAlias = dict[str, Any]
Lists: TypeAlias = dict[int, tuple[ServerEntry, ...]]

OUTCOMES = {
    "success": Outcome.OK, "failure": Outcome.ERROR, "overloaded": Outcome.FULL,
    "timed_out": Outcome.TIMED_OUT, "unreachable": Outcome.UNREACHABLE, "broken": Outcome.BROKEN,
    "withdrawn": Outcome.CANCELLED, "void": Outcome.VOID,
}
STATES = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}
SCOPES = {
    "INCREMENTAL": ListScope.CHANGES, "FULL": ListScope.FULL, "SAVED": ListScope.SAVED,
    "FAILED": ListScope.FAILED,
}
REPEATS = {"pure": Repeat.SAFE, "token": Repeat.KEYED, "side_effect": Repeat.UNSAFE}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
LOAD_CHANGED, MESSAGES_SLOW = 1, 2  # topics of a status note


class WireError(Exception):
    """A message that is not what the wire says; the text tells what is wrong."""


_MISSING = object()


def _get(m: Message, name: str, default: Any) -> Any:
    value = m.get(name)
    if value is None:
        if default is _MISSING:
            raise WireError(f"{name} is missing")
        return default
    return value


def number(m: Message, name: str, default: Any = _MISSING) -> Any:
    value = _get(m, name, default)
    if type(value) is float or type(value) is int or value is default:
        return value
    raise WireError(f"{name} must be a number, not {value!r:.60}")


def integer(m: Message, name: str, default: Any = _MISSING) -> Any:
    value = _get(m, name, default)
    if type(value) is int or value is default:
        return value
    raise WireError(f"{name} must be an integer, not {value!r:.60}")


def text(m: Message, name: str) -> str:
    value = _get(m, name, _MISSING)
    if type(value) is str:
        return value
    raise WireError(f"{name} must be a string, not {value!r:.60}")


def flag(m: Message, name: str, default: Any = False) -> bool:
    value = _get(m, name, default)
    if type(value) is bool:
        return value
    raise WireError(f"{name} must be true or false, not {value!r:.60}")


def array(m: Message, name: str, default: Any = _MISSING) -> list[Any]:
    value = _get(m, name, default)
    if type(value) is list:
        return value
    raise WireError(f"{name} must be an array, not {value!r:.60}")


def obj(m: Message, name: str, default: Any = _MISSING) -> Message:
    value = _get(m, name, default)
    if type(value) is dict:
        return value
    raise WireError(f"{name} must be an object, not {value!r:.60}")


def _word(m: Message, name: str, table: dict[str, Any], default: Any = _MISSING) -> Any:
    value = _get(m, name, default)
    if type(value) is str and value in table:
        return table[value]
    if value is default:
        return value
    raise WireError(f"{name} must be one of {', '.join(table)}, not {value!r:.60}")


def _object(value: Any, where: str) -> Message:
    if type(value) is not dict:
        raise WireError(f"{where} must hold objects, not {value!r:.60}")
    return value


def parse_entries(m: Message) -> tuple[ServerEntry, ...]:
    """The lines of a PAGE."""
    return tuple(
        ServerEntry(
            integer(e, "server"), integer(e, "region-part", 0), integer(e, "pod", 0),
            _word(e, "phase", STATES, ServerState.READY), number(e, "capacity-hint", 1.0),
            number(e, "started-at", 0.0),
        )
        for e in (_object(e, "items") for e in array(m, "items"))
    )


def parse_settings(m: Message) -> Settings:
    """The options of a LAUNCH. Keys that are unknown are passed over."""
    family = obj(m, "family-info", {})
    limits = obj(m, "limits", {})
    rules = obj(m, "guarantees", {})
    prices = obj(m, "tariffs", {})
    aims = array(family, "message-aim", [])
    classes = []
    for i, lane in enumerate(array(m, "lanes")):
        c = _object(lane, "lanes")
        aim = number(c, "aim")
        classes.append(RequestClass(
            aim, number(c, "deadline"), number(c, "worth", 1.0), _word(c, "repeat", REPEATS, Repeat.SAFE),
            _word(c, "group", GROUPS, Group.ALL), number(c, "window", 5.0),
            number({"message-aim": aims[i]}, "message-aim") if i < len(aims) else aim,
        ))
    report = obj(m, "report", {})
    return Settings(
        classes=tuple(classes),
        zone=integer(m, "locality", 0),
        zones=max(1, len(array(m, "failure-domains", []))),
        index=integer(m, "index", 0),
        balancers=integer(m, "fleet-size", 1),
        ask_discovery=_get(m, "discovery", "pushed") == "on_request",
        pass_through=_get(family, "mode", "proxy") == "pass",
        groups=flag(family, "groups"),
        live_weights=_get(m, "weights", "none") == "live",
        report_fields=tuple(str(f) for f in array(report, "fields", [])),
        tenant_connections=tuple(
            number({"tenant-quota-connections": q}, "tenant-quota-connections", float("inf"))
            for q in array(family, "tenant-quota-connections", [])
        ),
        over_share_worth=number(m, "over-share-worth", 1.0),
        rules=Rules(
            number(rules, "answer-slack", 0.0), number(rules, "drain-grace", 1.0),
            number(rules, "cold-share", 0.2), number(rules, "warm-after", 20.0),
            number(rules, "tip-multiple", 3.0), number(rules, "fall", 2.0),
            number(rules, "must-ask-in", 10.0),
        ),
        limits=Limits(
            integer(limits, "most-tries", 6), number(limits, "connect-timeout", 0.25),
            flag(limits, "may-duplicate"), flag(limits, "cancel"), flag(limits, "probes"),
            flag(limits, "peers"), flag(limits, "retry-after"), number(limits, "max-retry-after", 1.0),
        ),
        prices=Prices(
            number(prices, "cross-zone", 0.0), number(prices, "moves", 0.0),
            number(prices, "probe", 0.0), number(prices, "peer", 0.0),
        ),
    )


# ---------------------------------------------------------------- events


def _request(m: Message) -> Request:
    return Request(
        text(m, "ref"), integer(m, "grade", 0), number(m, "time-left", 0.0), integer(m, "owner", 0),
        integer(m, "partition-key", None), number(m, "weight-hint", None), integer(m, "channel", None),
        flag(m, "repeat"), flag(m, "mid-flow"), flag(m, "returned"),
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
        text(m, "ref"), integer(m, "n"), integer(m, "server"), _word(m, "state-code", OUTCOMES),
        number(m, "lag", 0.0), flag(m, "finished"), _report(m),
    )


def _status_note(m: Message, lists: Lists) -> Event | None:
    topic, amount = integer(m, "topic"), number(m, "amount")
    if topic == LOAD_CHANGED:
        return LoadNote(text(m, "ref"), integer(m, "server"), amount / 1e6)  # microseconds a second
    if topic == MESSAGES_SLOW:
        return DelayNote(text(m, "ref"), integer(m, "server"), amount / 1e3)  # milliseconds
    return None  # a topic that later versions add


def _backends_changed(m: Message, lists: Lists) -> Event:
    scope = _word(m, "scope", SCOPES)
    if scope is ListScope.FAILED:
        return ServersChanged(scope)
    number_of_list = integer(m, "set-id")
    if number_of_list not in lists:
        raise WireError(f"set-id {number_of_list} names no list sent before")
    return ServersChanged(scope, lists[number_of_list])


def _bytes(m: Message, name: str) -> bytes:
    value = text(m, name)
    try:
        return bytes.fromhex(value)
    except ValueError:
        raise WireError(f"{name} must be hex digits, not {value!r:.60}") from None


EVENTS: dict[str, Callable[[Message, Lists], Event | None]] = {
    "WORK_ITEM": _work_item,
    "RETURNED": _returned,
    "HEAD_RECEIVED": lambda m, _: Established(
        text(m, "ref"), integer(m, "n"), integer(m, "server"), number(m, "lag", 0.0)),
    "STATUS_NOTE": _status_note,
    "BACKENDS_CHANGED": _backends_changed,
    "WAKEUP": lambda m, _: TimerFired(text(m, "label")),
    "CLIENT_GONE": lambda m, _: ClientGone(text(m, "ref")),
    "ADOPTED": lambda m, _: Adopted(_request(m), integer(m, "server")),
    "PROBE_DONE": lambda m, _: ProbeResult(
        integer(m, "server"), _word(m, "state-code", OUTCOMES), number(m, "lag", 0.0), _report(m)),
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
