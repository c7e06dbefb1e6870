"""Plays one seed in a process of its own."""

from __future__ import annotations

import resource
import tempfile
from pathlib import Path

from .player import play
from .report import Verdict, judge
from .schedule import draw_schedule


def play_seed(seed: int, logs: Path | None = None) -> Verdict:
    """Play one seed and judge it; the processes' logs stay in a folder of `logs`, if given."""
    raise_descriptor_limit()
    schedule = draw_schedule(seed)
    if logs is not None:
        return judge(schedule, play(schedule, logs / f"seed-{seed}"))
    with tempfile.TemporaryDirectory() as folder:
        return judge(schedule, play(schedule, Path(folder)))


def raise_descriptor_limit() -> None:
    """Let the harness hold its own ends of all connections, as far as the machine allows."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
