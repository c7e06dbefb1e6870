"""Reports the result of a run: its seed and schedule, the violations, and the command that repeats it."""

from __future__ import annotations

from dataclasses import dataclass

from .invariants import Violation, events_around, find_violations, is_judged
from .record import ConnectionMigrated, Event, Record, RequestSent, ResponseReceived
from .schedule import Schedule

AROUND_SECONDS = 0.5
MAX_LINES = 40


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a run: whether it was judged, which invariants it violated, and the lines of its report."""

    seed: int
    is_judged: bool
    violated_invariants: tuple[str, ...]
    lines: tuple[str, ...]


def judge(schedule: Schedule, record: Record) -> Verdict:
    """Check the invariants on a record and return the verdict."""
    violations = find_violations(record, schedule.deployment)
    judged = is_judged(record)
    report = [_summary(schedule, record, violations)]
    if violations and judged:
        report += _details(schedule, record, violations)
    invariants = tuple(sorted({violation.invariant for violation in violations})) if judged else ()
    return Verdict(schedule.seed, judged, invariants, tuple(report))


def _summary(schedule: Schedule, record: Record, violations: list[Violation]) -> str:
    requests, responses = len(record.events_of(RequestSent)), record.events_of(ResponseReceived)
    established = sum(response.line.startswith("UP") for response in responses)
    migrated = len(record.events_of(ConnectionMigrated))
    if not is_judged(record):
        result = "NOT JUDGED, the machine was too busy"
    else:
        result = f"BROKEN: {violations[0].invariant}" if violations else "kept"
    return (
        f"seed {schedule.seed}: {result}; {requests} requests, {established} connections, {migrated} moved,"
        f" harness lag {1000 * record.harness_lag:.0f} ms"
    )


def _details(schedule: Schedule, record: Record, violations: list[Violation]) -> list[str]:
    """Return the schedule, the violations, and the events around the first violation."""
    first = violations[0]
    concerned = sorted(
        (event for event in record.events if _concerns_violation(event, first.text)), key=lambda event: event.at
    )
    around = events_around(record, first.at, AROUND_SECONDS)
    return [
        *schedule.lines(),
        *(f"{violation.at:7.2f} s {violation.invariant}: {violation.text}" for violation in violations[:MAX_LINES]),
        "events of the first:",
        *(f"  {event}" for event in concerned[:MAX_LINES]),
        f"events within {AROUND_SECONDS} s of it:",
        *(f"  {event}" for event in around[:MAX_LINES]),
        f"again: python -m tests.soak --seed {schedule.seed}",
    ]


def _concerns_violation(event: Event, text: str) -> bool:
    request_id = getattr(event, "request_id", None)
    return request_id is not None and request_id in text
