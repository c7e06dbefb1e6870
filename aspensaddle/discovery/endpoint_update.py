"""Endpoint lists as the platform sends them, decoded into typed values.

No other module uses the wire names of an endpoint list's fields.
"""

from __future__ import annotations

from dataclasses import dataclass

from aspensaddle.core.events import EndpointUpdateScope, ServerState
from aspensaddle.support.address import Address, parse_address
from aspensaddle.support.json_fields import (
    DecodeError,
    Message,
    array,
    as_object,
    choice,
    flag,
    integer,
    number,
    text,
)

WIRE_STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}
MAX_WEIGHT = 1e9  # exclusive upper limit


@dataclass(slots=True)
class EndpointRecord:
    """One server in an endpoint list.

    Attributes:
        uid: The platform's name of the server.
        address: The address where it listens; None only for a server that is gone.
        zone: The name of its zone, empty if not given.
        cell: The number of its cell.
        state: Its state.
        weight: Its listed capacity.
        started_at: When it started, in seconds of Unix time; 0 if long ago.
        machine_type: The name of its machine type, empty if not given.
    """

    uid: str
    address: Address | None
    zone: str
    cell: int
    state: ServerState
    weight: float
    started_at: float
    machine_type: str = ""


@dataclass(slots=True)
class EndpointListUpdate:
    """A complete endpoint list, or the changes to one.

    Attributes:
        revision: The service's version of the list after this update.
        complete: Whether servers that are not listed are gone.
        endpoints: The listed servers, in the order of the list.
    """

    revision: int = 0
    complete: bool = True
    endpoints: tuple[EndpointRecord, ...] = ()

    @property
    def scope(self) -> EndpointUpdateScope:
        """Whether the update is a complete list, in the core's terms."""
        return EndpointUpdateScope.COMPLETE if self.complete else EndpointUpdateScope.INCREMENTAL


def parse_endpoint(message: Message) -> EndpointRecord:
    """Decode one server of a list.

    Raises:
        DecodeError: If a field is missing or wrong.
    """
    state = choice(message, "state", WIRE_STATES, ServerState.READY)
    uid = text(message, "uid")
    if not uid:
        raise DecodeError("uid must not be empty")
    address = _parse_endpoint_address(message, state)
    weight, boot_ms = number(message, "capacity_hint", 1.0), number(message, "boot_ms", 0)
    if not 0 <= weight < MAX_WEIGHT:
        raise DecodeError(f"capacity_hint must be a number from 0 to under {MAX_WEIGHT:g}, not {weight!r:.60}")
    return EndpointRecord(
        uid=uid,
        address=address,
        zone=_optional_text(message, "az"),
        cell=integer(message, "pod_group", 0),
        state=state,
        weight=float(weight),
        started_at=max(0.0, boot_ms / 1000),
        machine_type=_optional_text(message, "model"),
    )


def parse_endpoint_list(message: Message) -> EndpointListUpdate:
    """Decode an endpoint list or a change to one.

    Raises:
        DecodeError: If a field is missing or wrong; the text names the entry.
    """
    endpoints = []
    for index, value in enumerate(array(message, "targets", [])):
        try:
            endpoints.append(parse_endpoint(as_object(value, "targets")))
        except DecodeError as error:
            raise DecodeError(f"targets[{index}].{error}") from None
    return EndpointListUpdate(integer(message, "rev", 0), flag(message, "all"), tuple(endpoints))


def _parse_endpoint_address(message: Message, state: ServerState) -> Address | None:
    if state is ServerState.GONE and message.get("endpoint") is None:
        return None
    return parse_address(text(message, "endpoint"), "endpoint")


def _optional_text(message: Message, name: str) -> str:
    return text(message, name) if message.get(name) is not None else ""
