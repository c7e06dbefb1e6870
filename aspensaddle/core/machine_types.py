"""The operator's file `deploy/machines.toml`: core speeds of machine types and the cost of session groups."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path

from aspensaddle.core.settings import Settings
from aspensaddle.support.files import load_toml
from aspensaddle.support.json_fields import DecodeError, Message, number, obj

DEFAULT_FILE = "deploy/machines.toml"
FILE_VARIABLE = "ASPENSADDLE_MACHINES"  # environment variable with the path of another file
DEFAULT_GROUP_COST = 3.0  # the load that a session group adds to a server, in mean connection loads
MAX_CORE_SPEED = 1000.0  # multiple of a standard core's speed
MAX_GROUP_COST = 1000.0
MAX_MACHINE_TYPES = 4096


@dataclass(frozen=True, slots=True)
class MachineTypes:
    """The contents of the file.

    `speeds` maps the name of a machine type to the speed of its cores; a standard core has 1. `group_cost` is the
    load that a server bears for each session group it holds, in mean connection loads.
    """

    group_cost: float = DEFAULT_GROUP_COST
    speeds: Mapping[str, float] = field(default_factory=dict)

    def apply_to(self, settings: Settings) -> Settings:
        """Return the settings with the group cost and the core speeds. A machine type without a speed has 1."""
        speeds = tuple(self.speeds.get(name, 1.0) for name in settings.machine_types)
        return replace(settings, session_group_cost=self.group_cost, core_speeds=speeds)


def load_machine_types(environ: Mapping[str, str] = os.environ) -> MachineTypes:
    """Return the contents of the operator's file, or the defaults if there is none.

    Raises `ConfigError` with file, line and field.
    """
    file = Path(environ.get(FILE_VARIABLE, DEFAULT_FILE))
    return load_toml(file, parse_machine_types) or MachineTypes()


def parse_machine_types(message: Message) -> MachineTypes:
    """Return the machine types of a decoded file. Raises `DecodeError` with the field and the allowed values."""
    if unknown := sorted(set(message) - {"group_cost", "speed"}):
        raise DecodeError(f"{unknown[0]} is not a setting")
    cost = number(message, "group_cost", DEFAULT_GROUP_COST)
    if not 0 <= cost <= MAX_GROUP_COST:
        raise DecodeError(f"group_cost must be 0 to {MAX_GROUP_COST:g}, not {cost:g}")
    table = obj(message, "speed", {})
    if len(table) > MAX_MACHINE_TYPES:
        raise DecodeError(f"speed has more than {MAX_MACHINE_TYPES} machine types")
    return MachineTypes(cost, {name: _parse_speed(table, name) for name in table})


def _parse_speed(table: Message, name: str) -> float:
    try:
        speed = float(number(table, name))
    except DecodeError as error:
        raise DecodeError(f"speed.{error}") from None
    if not 0 < speed <= MAX_CORE_SPEED:
        raise DecodeError(f"speed.{name} must be over 0 and at most {MAX_CORE_SPEED:g}, not {speed:g}")
    return speed
