"""Executes the run of one seed and judges it; called in a process of its own."""

from __future__ import annotations

import resource
import tempfile
from pathlib import Path

from .harness import run_schedule
from .report import Verdict, judge
from .schedule import draw_schedule


def run_seed(seed: int, logs: Path | None = None) -> Verdict:
    """Execute the run of one seed and judge it; logs are kept in a subfolder of `logs`, if given."""
    raise_descriptor_limit()
    schedule = draw_schedule(seed)
    if logs is not None:
        return judge(schedule, run_schedule(schedule, logs / f"seed-{seed}"))
    with tempfile.TemporaryDirectory() as folder:
        return judge(schedule, run_schedule(schedule, Path(folder)))


def raise_descriptor_limit() -> None:
    """Raise the soft descriptor limit to the hard one: the harness holds its own end of every connection."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
