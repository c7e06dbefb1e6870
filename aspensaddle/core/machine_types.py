"""The operator's file `deploy/machines.toml`: speeds of machine types and the cost of session groups."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path

from aspensaddle.core.settings import Settings
from aspensaddle.support.files import load_toml
from aspensaddle.support.json_fields import DecodeError, Message, number, obj

DEFAULT_FILE = "deploy/machines.toml"
FILE_VARIABLE = "ASPENSADDLE_MACHINES"  # names another file
DEFAULT_GROUP_COST = 3.0  # mean connection loads
MAX_CORE_SPEED = 1000.0  # of a standard core
MAX_GROUP_COST = 1000.0
MAX_MACHINE_TYPES = 4096


@dataclass(frozen=True, slots=True)
class MachineTypes:
    """What the file tells. `speeds` are those of a core by the name of its machine type, 1 being a standard core."""

    group_cost: float = DEFAULT_GROUP_COST
    speeds: Mapping[str, float] = field(default_factory=dict)

    def into(self, settings: Settings) -> Settings:
        """Return the settings with the speeds, by the number of a machine type, and the group cost."""
        speeds = tuple(self.speeds.get(name, 1.0) for name in settings.machine_types)
        return replace(settings, session_group_cost=self.group_cost, core_speeds=speeds)


def load_machines(environ: Mapping[str, str] = os.environ) -> MachineTypes:
    """Return what the operator's file tells, or the defaults without one.

    Raises `ConfigError` with file, line and field.
    """
    file = Path(environ.get(FILE_VARIABLE, DEFAULT_FILE))
    return load_toml(file, parse_machines) or MachineTypes()


def parse_machines(message: Message) -> MachineTypes:
    """Return the machine types of a decoded file. Raises `DecodeError` with the field and what is allowed."""
    if unknown := sorted(set(message) - {"group_cost", "speed"}):
        raise DecodeError(f"{unknown[0]} is not a setting")
    cost = number(message, "group_cost", DEFAULT_GROUP_COST)
    if not 0 <= cost <= MAX_GROUP_COST:
        raise DecodeError(f"group_cost must be 0 to {MAX_GROUP_COST:g}, not {cost:g}")
    table = obj(message, "speed", {})
    if len(table) > MAX_MACHINE_TYPES:
        raise DecodeError(f"speed has over {MAX_MACHINE_TYPES} machine types")
    return MachineTypes(cost, {name: _parse_speed(table, name) for name in table})


def _parse_speed(table: Message, name: str) -> float:
    try:
        speed = float(number(table, name))
    except DecodeError as error:
        raise DecodeError(f"speed.{error}") from None
    if not 0 < speed <= MAX_CORE_SPEED:
        raise DecodeError(f"speed.{name} must be over 0 and at most {MAX_CORE_SPEED:g}, not {speed:g}")
    return speed
