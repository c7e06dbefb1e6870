"""What a list of runners says, decoded once into typed values."""

from __future__ import annotations

from dataclasses import dataclass

from aspensaddle.core.events import EndpointUpdateScope, ServerState
from aspensaddle.support.address import Address, parse_address
from aspensaddle.support.json_fields import DecodeError, Message, array, as_object, flag, integer, number, text, word

STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}


@dataclass(slots=True)
class Target:
    """One runner in a list."""

    uid: str
    address: Address | None
    zone: str
    cell: int
    state: ServerState
    weight: float
    started_at: float  # Unix time in seconds; 0: long ago
    model: str = ""


@dataclass(slots=True)
class Update:
    """A whole list, or the changes to one."""

    rev: int = 0
    full: bool = True
    targets: tuple[Target, ...] = ()

    @property
    def scope(self) -> EndpointUpdateScope:
        return EndpointUpdateScope.COMPLETE if self.full else EndpointUpdateScope.INCREMENTAL


def parse_target(m: Message) -> Target:
    state = word(m, "state", STATES, ServerState.READY)
    uid = text(m, "uid")
    if not uid:
        raise DecodeError("uid must not be empty")
    # One that left may come without its address.
    address = (
        None
        if state is ServerState.GONE and m.get("endpoint") is None
        else parse_address(text(m, "endpoint"), "endpoint")
    )
    weight, boot_ms = number(m, "capacity_hint", 1.0), number(m, "boot_ms", 0)
    if not 0 <= weight < 1e9:
        raise DecodeError(f"capacity_hint must be a number from 0 up, not {weight!r:.60}")
    return Target(
        uid,
        address,
        text(m, "az") if m.get("az") is not None else "",
        integer(m, "pod_group", 0),
        state,
        float(weight),
        max(0.0, boot_ms / 1000),
        text(m, "model") if m.get("model") is not None else "",
    )


def parse_update(m: Message) -> Update:
    targets = []
    for i, value in enumerate(array(m, "targets", [])):
        try:
            targets.append(parse_target(as_object(value, "targets")))
        except DecodeError as e:
            raise DecodeError(f"targets[{i}].{e}") from None
    return Update(integer(m, "rev", 0), flag(m, "all"), tuple(targets))
