"""The public interface: what a `Balancer` is built from, what it is told and what it answers.

Times are seconds. Loads are work a second (seconds of a standard core per second). The module that
decides is `aspensaddle/core/balance.py`; how these types travel on a wire is `aspensaddle/simlink/wire.py`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

# ---------------------------------------------------------------- settings


class Repeat(Enum):
    """Whether a request may run twice."""

    SAFE = "safe"
    KEYED = "keyed"  # a group of servers drops repeats for a while
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers that drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """What a class of requests wants."""

    aim: float = 0.1  # set-up wanted within
    deadline: float = 0.4
    worth: float = 1.0
    repeat: Repeat = Repeat.SAFE
    group: Group = Group.ALL
    window: float = 5.0  # how long the group remembers a keyed request
    message_aim: float = 0.1  # a message on the open connection wanted within

    def repeat_open(self, since: float) -> bool:
        """Whether a repeat may begin so many seconds after the send of the first attempt that may have run."""
        return self.repeat is Repeat.SAFE or self.repeat is Repeat.KEYED and since < self.window

    @property
    def harmless_again(self) -> bool:
        """Whether a client may come again, at any server, after an attempt that may have run."""
        return self.repeat is Repeat.SAFE or self.repeat is Repeat.KEYED and self.group is Group.ALL


@dataclass(slots=True)
class Rules:
    """The figures of the four rules."""

    answer_slack: float = 0.0
    drain_grace: float = 1.0
    cold_share: float = 0.2
    warm_after: float = 20.0
    tip_multiple: float = 3.0
    fall: float = 2.0
    must_ask_in: float = 10.0

    def warmth(self, age: float) -> float:
        """The least part of its capacity that a server has so many seconds after its start."""
        left = 1 - max(0.0, age) / self.warm_after if self.warm_after else 0.0
        return 1 - (1 - self.cold_share) * max(0.0, left)


@dataclass(slots=True)
class Limits:
    """What the deployment allows."""

    max_attempts: int = 6
    connect_timeout: float = 0.25
    second_copies: bool = False
    cancel: bool = True
    probes: bool = False
    peers: bool = False
    retry_after: bool = True
    max_retry_after: float = 1.0


@dataclass(slots=True)
class Prices:
    """What is taken off the result for each unit."""

    cross_zone: float = 0.0
    moves: float = 0.0
    probe: float = 0.0
    peer: float = 0.0


def _check(name: str, value: float, low: float, high: float = float("inf")) -> None:
    if not low <= value <= high:  # NaN fails too
        raise ValueError(f"{name}: {value!r} is not within {low} to {high}")


@dataclass(slots=True)
class Settings:
    """All a balancer is told at its start. Impossible values raise a `ValueError` that names the setting."""

    classes: tuple[RequestClass, ...]
    zone: int = 0
    zones: int = 1
    index: int = 0
    balancers: int = 1
    ask_discovery: bool = False  # the list comes only when asked for
    pass_through: bool = False  # packets pass through; connections outlive their balancer
    groups: bool = False  # servers pay once for each group they hold
    tells_delay: bool = False  # servers tell how long a message takes there
    kinds: tuple[str, ...] = ()  # of machines, by number
    speeds: tuple[float, ...] = ()  # of a core of each kind, a standard one being 1; kinds beyond: 1
    group_cost: float = 3.0  # mean loads that a server pays for each group it holds any of
    sized: bool = True  # listed weights tell sizes
    live_weights: bool = False  # and fall with the load held
    report_fields: tuple[str, ...] = ()
    tenant_connections: tuple[float, ...] = ()  # open connections in each tenant's share, all balancers
    over_share_worth: float = 1.0
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    prices: Prices = field(default_factory=Prices)

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for i, c in enumerate(self.classes):
            for name in ("aim", "deadline", "window", "message_aim"):
                _check(f"classes[{i}].{name}", getattr(c, name), 0.0)
            _check(f"classes[{i}].worth", c.worth, 0.0)
        _check("balancers", self.balancers, 1)
        _check("index", self.index, 0)
        _check("zones", self.zones, 1)
        _check("zone", self.zone, 0, self.zones - 1)
        _check("over_share_worth", self.over_share_worth, 0.0)
        _check("group_cost", self.group_cost, 0.0)
        for name in ("answer_slack", "drain_grace", "warm_after", "fall", "must_ask_in"):
            _check(f"rules.{name}", getattr(self.rules, name), 0.0)
        _check("rules.cold_share", self.rules.cold_share, 0.0, 1.0)
        _check("rules.tip_multiple", self.rules.tip_multiple, 0.0)
        _check("limits.max_attempts", self.limits.max_attempts, 1)
        _check("limits.connect_timeout", self.limits.connect_timeout, 0.0)
        _check("limits.max_retry_after", self.limits.max_retry_after, 0.0)
        for name in ("cross_zone", "moves", "probe", "peer"):
            _check(f"prices.{name}", getattr(self.prices, name), 0.0)


# ---------------------------------------------------------------- events


class ServerState(Enum):
    """What discovery says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What a message from discovery holds."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"  # the whole list as last held before a restart
    FAILED = "failed"  # a call failed or the subscription broke


@dataclass(slots=True)
class ServerEntry:
    """One line of the server list."""

    server: int
    zone: int = 0
    cell: int = 0
    state: ServerState = ServerState.READY
    weight: float = 1.0
    started_at: float = 0.0  # 0: long ago
    kind: int = -1  # of machine, its place in the settings; -1: none of them


class Outcome(Enum):
    """How an attempt ended. `proven_unrun` tells those after which nothing can have run."""

    OK = ("ok", False)
    ERROR = ("error", False)
    FULL = ("full", True)
    TIMED_OUT = ("timed out", False)
    UNREACHABLE = ("unreachable", True)
    BROKEN = ("broken", False)
    CANCELLED = ("cancelled", False)
    VOID = ("void", True)

    def __init__(self, label: str, proven_unrun: bool) -> None:
        self.label = label
        self.proven_unrun = proven_unrun


Report: TypeAlias = Mapping[str, float]


@dataclass(slots=True)
class Started:
    """The first event a balancer gets."""


@dataclass(slots=True)
class ServersChanged:
    scope: ListScope
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True)
class Request:
    """A client asks for a connection: one final answer is owed."""

    id: str
    cls: int
    time_left: float
    tenant: int = 0
    key: int | None = None
    load: float | None = None  # hint of its load
    group: int | None = None
    repeat: bool = False
    mid_flow: bool = False
    returning: bool = False


@dataclass(slots=True)
class Adopted:
    """A connection that already flowed through this balancer at its start."""

    request: Request
    server: int


@dataclass(slots=True)
class Established:
    """The connection stands."""

    id: str
    attempt: int
    server: int
    latency: float


@dataclass(slots=True)
class Ended:
    """An attempt, or the connection it became, has ended."""

    id: str
    attempt: int
    server: int
    outcome: Outcome
    latency: float = 0.0
    finished: bool = False
    report: Report | None = None


@dataclass(slots=True)
class ClientGone:
    id: str


@dataclass(slots=True)
class ProbeResult:
    server: int
    outcome: Outcome
    latency: float = 0.0
    report: Report | None = None


@dataclass(slots=True)
class LoadNote:
    """The load of a connection is now this."""

    id: str
    server: int
    load: float


@dataclass(slots=True)
class DelayNote:
    """A message takes this long at a server now."""

    id: str
    server: int
    delay: float


@dataclass(slots=True)
class PeerMessage:
    sender: int
    data: bytes


@dataclass(slots=True)
class TimerFired:
    token: str


Event: TypeAlias = (
    Started
    | ServersChanged
    | Request
    | Adopted
    | Established
    | Ended
    | ClientGone
    | ProbeResult
    | LoadNote
    | DelayNote
    | PeerMessage
    | TimerFired
)

# ---------------------------------------------------------------- actions


@dataclass(slots=True)
class Send:
    """Begin an attempt. Attempts of a request are numbered from 0 in the order of their sends."""

    id: str
    server: int
    timeout: float


class Why(Enum):
    """The cause of a refusal, as the log and the counters name it."""

    PRESSURE = "pressure"  # too many of the servers that hold something are slow
    OVER_SHARE = "over share"  # the same for a tenant over its share, who is turned away sooner
    STORM = "storm"  # a client that comes again while breaks are seen, or the load is beyond what is borne
    COLD = "cold"  # only cold servers were left, and the bound on what they are sent held it back
    HOME_BUSY = "home busy"  # the server that the group and the client belong to is cold and has got its part
    NO_CANDIDATE = "no candidate"  # no server is ready, has room and may be sent this
    ATTEMPTS_SPENT = "attempts spent"
    TIME_UP = "time up"
    STOPPING = "stopping"  # the process ends


@dataclass(slots=True)
class Refuse:
    """Final: rejected, trying again is harmless."""

    id: str
    retry_after: float
    why: Why


@dataclass(slots=True)
class Fail:
    """Final: failed, nothing is promised."""

    id: str


@dataclass(slots=True)
class Cancel:
    id: str
    attempt: int


@dataclass(slots=True)
class Move:
    """End an open connection politely; its client comes again."""

    id: str


@dataclass(slots=True)
class Probe:
    server: int


@dataclass(slots=True)
class CloseIdle:
    server: int


@dataclass(slots=True)
class FetchList:
    """Ask discovery for the whole list once."""


@dataclass(slots=True)
class WatchList:
    """Ask discovery for changes from now on."""

    on: bool = True


@dataclass(slots=True)
class Tell:
    peer: int | None  # None: all
    data: bytes


@dataclass(slots=True)
class SetTimer:
    token: str
    delay: float


Action: TypeAlias = Send | Refuse | Fail | Cancel | Move | Probe | CloseIdle | FetchList | WatchList | Tell | SetTimer
