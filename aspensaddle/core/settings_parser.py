"""Parser of the balancer settings: maps the field names of the platform to `Settings`.

The protocol of the simulator and the configuration of the platform use the same format for the settings.
"""

from __future__ import annotations

from typing import Any

from aspensaddle.core.settings import (
    DeduplicationScope,
    Idempotency,
    InvalidSettingError,
    Limits,
    RequestClass,
    ServiceRules,
    Settings,
)
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
    raw,
)

IDEMPOTENCY_BY_NAME = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.IDEMPOTENCY_KEY,
    "side_effect": Idempotency.NOT_IDEMPOTENT,
}
DEDUPLICATION_SCOPE_BY_NAME = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
PLATFORM_NAMES = {
    "classes": "lanes",
    "latency_objective": "aim",
    "priority_weight": "worth",
    "deduplication_window": "window",
    "message_latency_objective": "message-aim",
    "zone": "locality",
    "balancer_index": "index",
    "balancer_count": "fleet-size",
    "rules": "guarantees",
    "response_grace": "answer-slack",
    "drain_grace": "drain-grace",
    "initial_capacity_fraction": "cold-share",
    "slow_start_duration": "warm-after",
    "overload_multiple": "tip-multiple",
    "overload_window": "fall",
    "poll_interval": "must-ask-in",
    "max_attempts": "most-tries",
    "connect_timeout": "connect-timeout",
    "max_retry_after": "max-retry-after",
    "health_check_price": "tariffs.probe",
}


def parse_settings(message: Message) -> Settings:
    """Return the settings in `message`. Unknown fields are ignored.

    Raises `DecodeError` with the field name of the platform if a value is missing, of a wrong type or out of range.
    """
    _check_unused_fields(message)
    try:
        return _parse_fields(message)
    except InvalidSettingError as error:
        field = _platform_name(error.setting)
        raise DecodeError(f"{field}: {error.value!r} is not within {error.low} to {error.high}") from None
    except ValueError:
        raise DecodeError("lanes: at least one is needed") from None


def _parse_fields(message: Message) -> Settings:
    family_info = obj(message, "family-info", {})
    weights = raw(message, "weights", "none")
    return Settings(
        classes=_parse_classes(message, family_info),
        zone=integer(message, "locality", 0),
        zone_count=max(1, len(array(message, "failure-domains", []))),
        balancer_index=integer(message, "index", 0),
        balancer_count=integer(message, "fleet-size", 1),
        polls_discovery=raw(message, "discovery", "pushed") == "on_request",
        pass_through=raw(family_info, "mode", "proxy") == "pass",
        session_groups=flag(family_info, "groups"),
        servers_report_latency=flag(family_info, "tells-delay"),
        machine_types=_parse_strings(message, "host-types"),
        weights_are_sizes=weights != "none",
        live_weights=weights == "live",
        load_report_fields=_parse_strings(obj(message, "report", {}), "fields"),
        tenant_connection_quotas=_parse_quotas(family_info),
        rules=_parse_rules(obj(message, "guarantees", {})),
        limits=_parse_limits(obj(message, "limits", {})),
        health_check_price=number(obj(message, "tariffs", {}), "probe", 0.0),
    )


def _parse_classes(message: Message, family_info: Message) -> tuple[RequestClass, ...]:
    message_objectives = array(family_info, "message-aim", [])
    classes = []
    for index, value in enumerate(array(message, "lanes")):
        class_fields = as_object(value, "lanes")
        try:
            classes.append(_parse_class(class_fields, message_objectives[index : index + 1]))
        except DecodeError as error:
            raise DecodeError(f"lanes[{index}].{error}") from None
    return tuple(classes)


def _parse_class(class_fields: Message, message_objectives: list[Any]) -> RequestClass:
    objective = number(class_fields, "aim")
    message_objective = objective
    for value in message_objectives:
        message_objective = number({"message-aim": value}, "message-aim")
    return RequestClass(
        latency_objective=objective,
        deadline=number(class_fields, "deadline"),
        priority_weight=number(class_fields, "worth", 1.0),
        idempotency=choice(class_fields, "repeat", IDEMPOTENCY_BY_NAME, Idempotency.IDEMPOTENT),
        deduplication_scope=choice(class_fields, "group", DEDUPLICATION_SCOPE_BY_NAME, DeduplicationScope.ALL),
        deduplication_window=number(class_fields, "window", 5.0),
        message_latency_objective=message_objective,
    )


def _parse_rules(guarantees: Message) -> ServiceRules:
    return ServiceRules(
        response_grace=number(guarantees, "answer-slack", 0.0),
        drain_grace=number(guarantees, "drain-grace", 1.0),
        initial_capacity_fraction=number(guarantees, "cold-share", 0.2),
        slow_start_duration=number(guarantees, "warm-after", 20.0),
        overload_multiple=number(guarantees, "tip-multiple", 3.0),
        overload_window=number(guarantees, "fall", 2.0),
        poll_interval=number(guarantees, "must-ask-in", 10.0),
    )


def _parse_limits(limits: Message) -> Limits:
    return Limits(
        max_attempts=integer(limits, "most-tries", 6),
        connect_timeout=number(limits, "connect-timeout", 0.25),
        health_checks_allowed=flag(limits, "probes"),
        retry_after_allowed=flag(limits, "retry-after"),
        max_retry_after=number(limits, "max-retry-after", 1.0),
    )


def _parse_quotas(family_info: Message) -> tuple[float, ...]:
    name = "tenant-quota-connections"
    return tuple(number({name: quota}, name, float("inf")) for quota in array(family_info, name, []))


def _parse_strings(message: Message, name: str) -> tuple[str, ...]:
    return tuple(str(value) for value in array(message, name, []))


def _check_unused_fields(message: Message) -> None:
    """Reject invalid values of fields that the balancer does not use, as those of used fields are rejected."""
    limits = obj(message, "limits", {})
    for name in ("may-duplicate", "cancel", "peers"):
        flag(limits, name)
    tariffs = obj(message, "tariffs", {})
    for name in ("cross-zone", "moves", "peer"):
        _require_not_negative(f"tariffs.{name}", number(tariffs, name, 0.0))
    _require_not_negative("over-share-worth", number(message, "over-share-worth", 1.0))


def _require_not_negative(field: str, value: Any) -> None:
    if not value >= 0:  # NaN fails too
        raise DecodeError(f"{field}: {value!r} is not within 0 to inf")


def _platform_name(setting: str) -> str:
    """Return the path of a setting in names of the platform: `classes[0].deadline` becomes `lanes[0].deadline`."""
    parts = []
    for part in setting.split("."):
        name, bracket, index = part.partition("[")
        parts.append(PLATFORM_NAMES.get(name, name) + bracket + index)
    return ".".join(parts)
