"""The settings of a balancer, as the simulator's link and the platform's configuration both write them."""

from __future__ import annotations

from aspensaddle.core.interface import Group, Limits, Prices, Repeat, RequestClass, Rules, Settings
from aspensaddle.support.decode import Message, array, as_object, flag, integer, number, obj, raw, word

REPEATS = {"pure": Repeat.SAFE, "token": Repeat.KEYED, "side_effect": Repeat.UNSAFE}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


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
        classes.append(
            RequestClass(
                aim,
                number(c, "deadline"),
                number(c, "worth", 1.0),
                word(c, "repeat", REPEATS, Repeat.SAFE),
                word(c, "group", GROUPS, Group.ALL),
                number(c, "window", 5.0),
                number({"message-aim": aims[i]}, "message-aim") if i < len(aims) else aim,
            )
        )
    report = obj(m, "report", {})
    return Settings(
        classes=tuple(classes),
        zone=integer(m, "locality", 0),
        zones=max(1, len(array(m, "failure-domains", []))),
        index=integer(m, "index", 0),
        balancers=integer(m, "fleet-size", 1),
        ask_discovery=raw(m, "discovery", "pushed") == "on_request",
        pass_through=raw(family, "mode", "proxy") == "pass",
        groups=flag(family, "groups"),
        tells_delay=flag(family, "tells-delay"),
        kinds=tuple(str(k) for k in array(m, "host-types", [])),
        sized=raw(m, "weights", "none") != "none",
        live_weights=raw(m, "weights", "none") == "live",
        report_fields=tuple(str(f) for f in array(report, "fields", [])),
        tenant_connections=tuple(
            number({"tenant-quota-connections": q}, "tenant-quota-connections", float("inf"))
            for q in array(family, "tenant-quota-connections", [])
        ),
        over_share_worth=number(m, "over-share-worth", 1.0),
        rules=Rules(
            number(rules, "answer-slack", 0.0),
            number(rules, "drain-grace", 1.0),
            number(rules, "cold-share", 0.2),
            number(rules, "warm-after", 20.0),
            number(rules, "tip-multiple", 3.0),
            number(rules, "fall", 2.0),
            number(rules, "must-ask-in", 10.0),
        ),
        limits=Limits(
            integer(limits, "most-tries", 6),
            number(limits, "connect-timeout", 0.25),
            flag(limits, "may-duplicate"),
            flag(limits, "cancel"),
            flag(limits, "probes"),
            flag(limits, "peers"),
            flag(limits, "retry-after"),
            number(limits, "max-retry-after", 1.0),
        ),
        prices=Prices(
            number(prices, "cross-zone", 0.0),
            number(prices, "moves", 0.0),
            number(prices, "probe", 0.0),
            number(prices, "peer", 0.0),
        ),
    )
