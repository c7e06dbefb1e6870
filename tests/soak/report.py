"""Prints what a run showed: its seed and schedule, the first broken promise, and how to play it again."""

from __future__ import annotations

from dataclasses import dataclass

from .promises import Violation, events_around, is_judged, violations
from .record import ConnectionMoved, Event, Record, RequestSent, ResponseReceived
from .schedule import Schedule

AROUND_SECONDS = 0.5
MAX_LINES = 40


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a run showed: whether it was judged, the promises that it broke, and the report of it."""

    seed: int
    is_judged: bool
    broken_promises: tuple[str, ...]
    lines: tuple[str, ...]


def judge(schedule: Schedule, record: Record) -> Verdict:
    """Check the promises on a record."""
    broken = violations(record, schedule.deployment)
    judged = is_judged(record)
    report = [_summary(schedule, record, broken)]
    if broken and judged:
        report += _details(schedule, record, broken)
    promises = tuple(sorted({violation.promise for violation in broken})) if judged else ()
    return Verdict(schedule.seed, judged, promises, tuple(report))


def _summary(schedule: Schedule, record: Record, broken: list[Violation]) -> str:
    requests, answers = len(record.of(RequestSent)), record.of(ResponseReceived)
    established = sum(answer.line.startswith("UP") for answer in answers)
    moved = len(record.of(ConnectionMoved))
    if not is_judged(record):
        word = "NOT JUDGED, the machine was too busy"
    else:
        word = f"BROKEN: {broken[0].promise}" if broken else "kept"
    return (
        f"seed {schedule.seed}: {word}; {requests} requests, {established} connections, {moved} moved,"
        f" harness lag {1000 * record.harness_lag:.0f} ms"
    )


def _details(schedule: Schedule, record: Record, broken: list[Violation]) -> list[str]:
    """Return the schedule, what was broken, and the events around the first."""
    first = broken[0]
    named = sorted((event for event in record.events if _is_named(event, first.text)), key=lambda event: event.at)
    around = events_around(record, first.at, AROUND_SECONDS)
    return [
        *schedule.lines(),
        *(f"{violation.at:7.2f} s {violation.promise}: {violation.text}" for violation in broken[:MAX_LINES]),
        "events of the first:",
        *(f"  {event}" for event in named[:MAX_LINES]),
        f"events within {AROUND_SECONDS} s of it:",
        *(f"  {event}" for event in around[:MAX_LINES]),
        f"again: python -m tests.soak --seed {schedule.seed}",
    ]


def _is_named(event: Event, text: str) -> bool:
    request_id = getattr(event, "request_id", None)
    return request_id is not None and request_id in text
