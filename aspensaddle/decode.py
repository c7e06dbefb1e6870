"""JSON values to typed ones: field by field, with a message that names the field, and the settings.

Both links that carry the settings, the simulator's and the platform's, decode them here.
"""

from __future__ import annotations

from typing import Any, TypeAlias

from aspensaddle.interface import Group, Limits, Prices, Repeat, RequestClass, Rules, Settings

Message: TypeAlias = dict[str, Any]

REPEATS = {"pure": Repeat.SAFE, "token": Repeat.KEYED, "side_effect": Repeat.UNSAFE}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


class DecodeError(Exception):
    """A value that is not what it should be; the text names the field."""


_MISSING = object()


def _get(m: Message, name: str, default: Any) -> Any:
    value = m.get(name)
    if value is None:
        if default is _MISSING:
            raise DecodeError(f"{name} is missing")
        return default
    return value


def number(m: Message, name: str, default: Any = _MISSING) -> Any:
    value = _get(m, name, default)
    if type(value) is float or type(value) is int or value is default:
        return value
    raise DecodeError(f"{name} must be a number, not {value!r:.60}")


def integer(m: Message, name: str, default: Any = _MISSING) -> Any:
    value = _get(m, name, default)
    if type(value) is int or value is default:
        return value
    raise DecodeError(f"{name} must be an integer, not {value!r:.60}")


def text(m: Message, name: str) -> str:
    value = _get(m, name, _MISSING)
    if type(value) is str:
        return value
    raise DecodeError(f"{name} must be a string, not {value!r:.60}")


def flag(m: Message, name: str, default: Any = False) -> bool:
    value = _get(m, name, default)
    if type(value) is bool:
        return value
    raise DecodeError(f"{name} must be true or false, not {value!r:.60}")


def array(m: Message, name: str, default: Any = _MISSING) -> list[Any]:
    value = _get(m, name, default)
    if type(value) is list:
        return value
    raise DecodeError(f"{name} must be an array, not {value!r:.60}")


def obj(m: Message, name: str, default: Any = _MISSING) -> Message:
    value = _get(m, name, default)
    if type(value) is dict:
        return value
    raise DecodeError(f"{name} must be an object, not {value!r:.60}")


def word(m: Message, name: str, table: dict[str, Any], default: Any = _MISSING) -> Any:
    value = _get(m, name, default)
    if type(value) is str and value in table:
        return table[value]
    if value is default:
        return value
    raise DecodeError(f"{name} must be one of {', '.join(table)}, not {value!r:.60}")


def as_object(value: Any, where: str) -> Message:
    if type(value) is not dict:
        raise DecodeError(f"{where} must hold objects, not {value!r:.60}")
    return value


def parse_settings(m: Message) -> Settings:
    """The settings of a balancer. Keys that are unknown are passed over."""
    family = obj(m, "family-info", {})
    limits = obj(m, "limits", {})
    rules = obj(m, "guarantees", {})
    prices = obj(m, "tariffs", {})
    aims = array(family, "message-aim", [])
    classes = []
    for i, lane in enumerate(array(m, "lanes")):
        c = as_object(lane, "lanes")
        aim = number(c, "aim")
        classes.append(RequestClass(
            aim, number(c, "deadline"), number(c, "worth", 1.0), word(c, "repeat", REPEATS, Repeat.SAFE),
            word(c, "group", GROUPS, Group.ALL), number(c, "window", 5.0),
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
        kinds=tuple(str(k) for k in array(m, "host-types", [])),
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
