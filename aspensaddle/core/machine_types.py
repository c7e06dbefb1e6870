"""What an operator's file `deploy/machines.toml` tells of machines, put into the settings of the decisions."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path

from aspensaddle.core.settings import Settings
from aspensaddle.support.files import load_toml
from aspensaddle.support.json_fields import DecodeError, Message, number, obj

FILE = "deploy/machines.toml"  # ASPENSADDLE_MACHINES names another
GROUP_COST = 3.0  # mean loads, where no file tells it
FASTEST, DEAREST, MOST_KINDS = 1000.0, 1000.0, 4096


@dataclass(frozen=True, slots=True)
class Machines:
    group_cost: float = GROUP_COST
    speeds: Mapping[str, float] = field(default_factory=dict)  # of a core, by kind

    def into(self, settings: Settings) -> Settings:
        """The settings with what is known here: speeds by the number of a kind."""
        speeds = tuple(self.speeds.get(kind, 1.0) for kind in settings.machine_types)
        return replace(settings, session_group_cost=self.group_cost, core_speeds=speeds)


def load_machines(environ: Mapping[str, str] = os.environ) -> Machines:
    """The operator's file, or what holds without one. Raises `ConfigError` with file, line and field."""
    return load_toml(Path(environ.get("ASPENSADDLE_MACHINES", FILE)), parse_machines) or Machines()


def parse_machines(m: Message) -> Machines:
    if unknown := sorted(set(m) - {"group_cost", "speed"}):
        raise DecodeError(f"{unknown[0]} is not a setting")
    cost, table = number(m, "group_cost", GROUP_COST), obj(m, "speed", {})
    if not 0 <= cost <= DEAREST:
        raise DecodeError(f"group_cost must be 0 to {DEAREST:g}, not {cost:g}")
    if len(table) > MOST_KINDS:
        raise DecodeError(f"speed has over {MOST_KINDS} kinds")
    speeds = {kind: _speed(table, kind) for kind in table}
    return Machines(cost, speeds)


def _speed(table: Message, kind: str) -> float:
    try:
        speed = float(number(table, kind))
    except DecodeError as e:
        raise DecodeError(f"speed.{e}") from None
    if not 0 < speed <= FASTEST:
        raise DecodeError(f"speed.{kind} must be over 0 and at most {FASTEST:g}, not {speed:g}")
    return speed
