"""Settings of a balancer: request classes, service rules and limits of a deployment.

Durations are in seconds, loads in standard core seconds per second. `aspensaddle/core/settings_parser.py` reads the
settings in the format of the platform.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class InvalidSettingError(ValueError):
    """A setting has a value outside its range.

    `setting` is the attribute path, such as `classes[0].deadline`; `low` and `high` are the allowed range.
    """

    def __init__(self, setting: str, value: float, low: float, high: float) -> None:
        """Store the setting, its value and the allowed range."""
        super().__init__(f"{setting}: {value!r} is not within {low} to {high}")
        self.setting = setting
        self.value = value
        self.low = low
        self.high = high


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEY = "idempotency_key"  # the servers of a scope drop duplicates within a window
    NOT_IDEMPOTENT = "not_idempotent"


class DeduplicationScope(Enum):
    """The set of servers that jointly drop duplicates of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """Objectives of one request class, and whether its requests may be retried.

    `latency_objective` is the target time to establish a connection, `message_latency_objective` the target latency
    of a message on an established one, `deduplication_window` the time within which servers drop duplicates; all in
    seconds.
    """

    latency_objective: float = 0.1
    deadline: float = 0.4
    priority_weight: float = 1.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 5.0
    message_latency_objective: float = 0.1

    def allows_retry_after(self, elapsed: float) -> bool:
        """Return whether a retry may start `elapsed` seconds after the first attempt that may have been executed."""
        if self.idempotency is Idempotency.IDEMPOTENCY_KEY:
            return elapsed < self.deduplication_window
        return self.idempotency is Idempotency.IDEMPOTENT

    @property
    def client_may_retry(self) -> bool:
        """Whether a client may retry, at any server, after an attempt that may have been executed."""
        if self.idempotency is Idempotency.IDEMPOTENCY_KEY:
            return self.deduplication_scope is DeduplicationScope.ALL
        return self.idempotency is Idempotency.IDEMPOTENT


@dataclass(slots=True)
class ServiceRules:
    """Parameters of the service rules that every balancer must keep.

    `overload_multiple` limits the load that all balancers together send to a server that is warming up, within any
    `overload_window` seconds, as a multiple of its capacity. `poll_interval` limits the age of the endpoint list.
    A server has at least `initial_capacity_fraction` of its capacity when it starts, and all of it
    `slow_start_duration` later. An attempt may reach a draining server up to `drain_grace` after the balancer was
    notified that the server drains.
    """

    response_grace: float = 0.0
    drain_grace: float = 1.0
    initial_capacity_fraction: float = 0.2
    slow_start_duration: float = 20.0
    overload_multiple: float = 3.0
    overload_window: float = 2.0
    poll_interval: float = 10.0

    def capacity_fraction(self, age: float) -> float:
        """Return the fraction of its capacity that a server has at least, `age` seconds after its start."""
        remaining = 1 - max(0.0, age) / self.slow_start_duration if self.slow_start_duration else 0.0
        return 1 - (1 - self.initial_capacity_fraction) * max(0.0, remaining)


@dataclass(slots=True)
class Limits:
    """Limits of the deployment. `connect_timeout` and `max_retry_after` are in seconds."""

    max_attempts: int = 6
    connect_timeout: float = 0.25
    health_checks_allowed: bool = False
    retry_after_allowed: bool = True
    max_retry_after: float = 1.0


def _require_range(setting: str, value: float, low: float, high: float = float("inf")) -> None:
    if not low <= value <= high:  # NaN fails too
        raise InvalidSettingError(setting, value, low, high)


@dataclass(slots=True)
class Settings:
    """All settings of one balancer.

    `machine_types` are the names of the machine types by index, `core_speeds` the core speed of each (1 is a standard
    core). `session_group_cost` is what each session group with a connection at a server costs that server, in mean
    connection loads. `tenant_connection_quotas` limit the connections of each tenant at all balancers together.
    `health_check_price` is what one health check subtracts from the operators' score.

    Raises `InvalidSettingError` for a value out of range, and `ValueError` without request classes.
    """

    classes: tuple[RequestClass, ...]
    zone: int = 0
    zone_count: int = 1
    balancer_index: int = 0
    balancer_count: int = 1
    polls_discovery: bool = False
    pass_through: bool = False  # packets are forwarded unread; connections outlive the balancer process
    session_groups: bool = False
    servers_report_latency: bool = False
    machine_types: tuple[str, ...] = ()
    core_speeds: tuple[float, ...] = ()
    session_group_cost: float = 3.0
    weights_are_sizes: bool = True
    live_weights: bool = False  # listed weights fall as the load of a server grows
    load_report_fields: tuple[str, ...] = ()
    tenant_connection_quotas: tuple[float, ...] = ()
    rules: ServiceRules = field(default_factory=ServiceRules)
    limits: Limits = field(default_factory=Limits)
    health_check_price: float = 0.0

    def __post_init__(self) -> None:
        """Check the ranges of the values."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for index, request_class in enumerate(self.classes):
            for name in (
                "latency_objective",
                "deadline",
                "deduplication_window",
                "message_latency_objective",
                "priority_weight",
            ):
                _require_range(f"classes[{index}].{name}", getattr(request_class, name), 0.0)
        _require_range("balancer_count", self.balancer_count, 1)
        _require_range("balancer_index", self.balancer_index, 0)
        _require_range("zone_count", self.zone_count, 1)
        _require_range("zone", self.zone, 0, self.zone_count - 1)
        _require_range("session_group_cost", self.session_group_cost, 0.0)
        for name in ("response_grace", "drain_grace", "slow_start_duration", "overload_window", "poll_interval"):
            _require_range(f"rules.{name}", getattr(self.rules, name), 0.0)
        _require_range("rules.initial_capacity_fraction", self.rules.initial_capacity_fraction, 0.0, 1.0)
        _require_range("rules.overload_multiple", self.rules.overload_multiple, 0.0)
        _require_range("limits.max_attempts", self.limits.max_attempts, 1)
        _require_range("limits.connect_timeout", self.limits.connect_timeout, 0.0)
        _require_range("limits.max_retry_after", self.limits.max_retry_after, 0.0)
        _require_range("health_check_price", self.health_check_price, 0.0)
