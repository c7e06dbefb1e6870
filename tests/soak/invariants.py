"""Invariants that the documents guarantee, checked on the record of a run. Each check yields its violations.

Bounds come from PROTOCOL ("The rules on sockets", "Figures") and STANDING. Times are in seconds.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .record import (
    AttemptHandled,
    AttemptReceived,
    ConnectionEnded,
    ConnectionMigrated,
    ConnectionStale,
    DiscoveryFault,
    EndpointChanged,
    EndpointUpdateSent,
    Event,
    ProcessExited,
    ProcessMeasured,
    ProcessReady,
    ProcessStarted,
    Record,
    RequestSent,
    ResponseReceived,
    ServerEndedConnection,
    ServerFault,
    SignalSent,
)
from .schedule import Deployment

RESPONSE_GRACE_SECONDS = 0.5  # STANDING: a response that arrives later, or never, counts as lost
ADOPTION_TIMEOUT_SECONDS = 40.0
TIMER_SLACK_SECONDS = 0.05  # PROTOCOL: tolerance of 50 ms on every time limit
NOTIFICATION_SECONDS = 6.0
READY_TIMEOUT_SECONDS = 10.0
CLOSE_PROPAGATION_SECONDS = 1.0  # between the server's end of a connection and the client's
MEMORY_GROWTH_FACTOR, MEMORY_GROWTH_BYTES = 1.5, 8 * 2**20  # STANDING, table of growth
MAX_IDLE_DESCRIPTORS = 40  # the same table: descriptors of a process that has no clients
MAX_HARNESS_LAG_SECONDS = 0.25
SILENT_WATCHES = "silent"
# After these faults of its server an adoption is retried, whatever its request class.
RETRIED_ADOPTION_FAULTS = ("reject_requests", "split_response")


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant: its name in reports, the time, and a description."""

    invariant: str
    at: float
    text: str


class RecordIndex:
    """The record of a run, indexed for the checks."""

    def __init__(self, record: Record, deployment: Deployment) -> None:
        self.record, self.deployment = record, deployment
        self.slack = TIMER_SLACK_SECONDS + record.harness_lag
        self.requests = {event.request_id: event for event in record.events_of(RequestSent)}
        self.responses: dict[str, list[ResponseReceived]] = defaultdict(list)
        for response in record.events_of(ResponseReceived):
            self.responses[response.request_id].append(response)
        self.ends = {event.request_id: event for event in record.events_of(ConnectionEnded)}
        self.migrations = {event.request_id: event for event in record.events_of(ConnectionMigrated)}
        self.starts = {event.process: event for event in record.events_of(ProcessStarted)}
        self.kills = {event.process: event for event in record.events_of(SignalSent) if event.signal == "SIGKILL"}
        self.exits = {event.process: event for event in record.events_of(ProcessExited)}

    def killed_before(self, process: int, at: float) -> bool:
        """Whether a process was killed outright (without SIGTERM), as the platform may do, by a time."""
        kill = self.kills.get(process)
        return kill is not None and not kill.is_planned_kill and kill.at <= at

    def is_established(self, request_id: str) -> bool:
        """Whether the connection of a request was established."""
        return any(response.line.startswith("UP") for response in self.responses[request_id])


def check_responses(index: RecordIndex) -> Iterator[Violation]:
    """Each request gets exactly one response, in time."""
    for request_id, request in index.requests.items():
        if request.after_response:
            continue
        responses = index.responses[request_id]
        limit = ADOPTION_TIMEOUT_SECONDS if request.adopted_server else request.deadline + RESPONSE_GRACE_SECONDS
        due_at = request.at + limit + index.slack
        if len(responses) > 1:
            yield Violation(
                "answer", responses[1].at, f"{request_id} got {[response.line for response in responses]}"
            )
        elif responses and responses[0].at > due_at:
            yield Violation("answer", responses[0].at, f"{request_id} waited {responses[0].at - request.at:.2f} s")
        elif not responses and not _may_lack_response(index, request, due_at):
            end = index.ends.get(request_id)
            end_text = "no end either" if end is None else f"end at {end.at:.2f} s, reset {end.was_reset}"
            yield Violation("answer", request.at, f"{request_id} at process {request.process}: none, {end_text}")


def check_adoptions(index: RecordIndex) -> Iterator[Violation]:
    """A connection to a server that stays in the endpoint list is adopted."""
    for request_id, request in index.requests.items():
        responses = index.responses[request_id]
        if request.adopted_server is None or not responses or index.is_established(request_id):
            continue
        responded_at = responses[0].at
        if not _may_fail_adoption(index, request, responded_at):
            text = f"{request_id} at {request.adopted_server} by process {request.process}: {responses[0].line}"
            yield Violation("adoption", responded_at, text)


def _may_fail_adoption(index: RecordIndex, request: RequestSent, responded_at: float) -> bool:
    """Whether the process was signalled to end, or the server drained, left or had a fault that is not retried."""
    end_signals = ("SIGTERM", "SIGKILL")
    if any(
        signal.process == request.process and signal.at <= responded_at and signal.signal in end_signals
        for signal in index.record.events_of(SignalSent)
    ):
        return True
    changes = index.record.events_of(EndpointChanged)
    if any(change.server == request.adopted_server and change.at <= responded_at for change in changes):
        return True
    return any(
        fault.server == request.adopted_server
        and fault.fault not in RETRIED_ADOPTION_FAULTS
        and fault.at <= responded_at
        for fault in index.record.events_of(ServerFault)
    )


def _may_lack_response(index: RecordIndex, request: RequestSent, due_at: float) -> bool:
    """Whether the client left, the process was killed outright, or many idle clients made it close the connection."""
    end = index.ends.get(request.request_id)
    if end is not None and end.by_client and end.at <= due_at:
        return True
    return index.killed_before(request.process, due_at) or index.record.has_idle_clients


def check_executions(index: RecordIndex) -> Iterator[Violation]:
    """Requests are executed twice only where their class allows it, and never if sent after a response."""
    received: dict[tuple[str, str], list[float]] = defaultdict(list)
    for attempt in index.record.events_of(AttemptReceived):
        received[attempt.request_id, attempt.server].append(attempt.at)
    executed: dict[str, list[AttemptHandled]] = defaultdict(list)
    for handled in index.record.events_of(AttemptHandled):
        if handled.outcome != "BUSY":
            executed[handled.request_id].append(handled)
    for request_id, attempts in executed.items():
        request = index.requests.get(request_id)
        if request is None:
            yield Violation("execution", attempts[0].at, f"{request_id} was sent by no client")
            continue
        if request.after_response:
            yield Violation(
                "execution",
                attempts[0].at,
                f"{request_id} was sent after the response on its connection and was forwarded",
            )
        first_sent = min(received[request_id, attempts[0].server], default=attempts[0].at)
        for repeated in attempts[1:]:
            repeat_sent = max(
                (at for at in received[request_id, repeated.server] if at <= repeated.at), default=repeated.at
            )
            if not index.deployment.request_class(request.class_name).allows_repeat(
                repeat_sent - first_sent - index.slack
            ):
                text = (
                    f"{request_id} of {request.class_name} ran {repeat_sent - first_sent:.2f} s after its first run"
                )
                yield Violation("execution", repeated.at, text)


def notification_time(index: RecordIndex, process: int, server: str, change: EndpointChanged) -> float:
    """Return when a process counts as notified of a change.

    That is when discovery sent it the change, at the latest NOTIFICATION_SECONDS after all of these: the change, the
    start of the process, and any discovery fault that may have delayed the notification.
    """
    start = index.starts[process]
    latest = max(change.at, start.at) + NOTIFICATION_SECONDS
    for fault in sorted(index.record.events_of(DiscoveryFault), key=lambda fault: fault.at):
        if fault.fault != SILENT_WATCHES and fault.at <= latest:
            latest = max(latest, fault.until + NOTIFICATION_SECONDS)
    updates_sent = [
        update.at
        for update in index.record.events_of(EndpointUpdateSent)
        if update.balancer == start.balancer
        and update.server == server
        and update.state != "active"
        and update.at >= max(change.at, start.at)
    ]
    return min([latest, *updates_sent])


def check_drains(index: RecordIndex) -> Iterator[Violation]:
    """No attempt goes to a server after the drain grace, counted from the notification of its drain or leaving."""
    changes: dict[str, list[EndpointChanged]] = defaultdict(list)
    for change in index.record.events_of(EndpointChanged):
        changes[change.server].append(change)
    for attempt in index.record.events_of(AttemptReceived):
        request = index.requests.get(attempt.request_id)
        if request is None:
            continue
        earlier_changes = [change for change in changes[attempt.server] if change.at <= attempt.at]
        change_to_inactive = _change_to_inactive(earlier_changes)
        if change_to_inactive is None:
            continue
        notified_at = notification_time(index, request.process, attempt.server, change_to_inactive)
        if attempt.at > notified_at + index.deployment.drain_grace + index.slack:
            text = (
                f"{attempt.request_id} went to {attempt.server}, notified at {notified_at:.2f} s,"
                f" by process {request.process}"
            )
            yield Violation("drain", attempt.at, text)


def _change_to_inactive(changes: list[EndpointChanged]) -> EndpointChanged | None:
    """Return the change since which a server has not been active, or None if it is active."""
    first_change = None
    for change in changes:
        if change.state == "active":
            first_change = None
        elif first_change is None:
            first_change = change
    return first_change


def check_connections(index: RecordIndex) -> Iterator[Violation]:
    """Established connections are kept or migrated: none is cut off, stale, or still open at the planned kill."""
    server_ends = {event.request_id: event.at for event in index.record.events_of(ServerEndedConnection)}
    for request_id, request in index.requests.items():
        if not index.is_established(request_id) or request_id in index.migrations:
            continue
        end, kill = index.ends.get(request_id), index.kills.get(request.process)
        if kill is not None and kill.is_planned_kill and (end is None or end.at >= kill.at):
            yield Violation("connection", kill.at, f"{request_id} was open at the kill of process {request.process}")
        elif end is not None and not end.by_client and not _may_end(index, request, end, server_ends):
            end_text = "reset" if end.was_reset else "closed"
            yield Violation(
                "connection", end.at, f"{request_id} at process {request.process} was {end_text} without MOVE"
            )
    for request_id, ended_at in server_ends.items():
        end = index.ends.get(request_id)
        if (
            end is not None
            and index.is_established(request_id)
            and end.at > ended_at + CLOSE_PROPAGATION_SECONDS + index.slack
        ):
            yield Violation("connection", end.at, f"{request_id} outlived its server's end at {ended_at:.2f} s")
    for stale in index.record.events_of(ConnectionStale):
        yield Violation("connection", stale.at, f"{stale.request_id} echoed nothing and was kept")


def _may_end(index: RecordIndex, request: RequestSent, end: ConnectionEnded, server_ends: dict[str, float]) -> bool:
    ended_by_server = server_ends.get(request.request_id)
    if ended_by_server is not None and ended_by_server <= end.at + index.slack:
        return True
    return index.killed_before(request.process, end.at)


def check_processes(index: RecordIndex) -> Iterator[Violation]:
    """Each process is ready in time, ends with 0 after SIGTERM before its kill, and counts no internal error."""
    ready = {event.process: event.at for event in index.record.events_of(ProcessReady)}
    terminated: dict[int, float] = {}
    for signal in index.record.events_of(SignalSent):
        if signal.signal == "SIGTERM":
            terminated.setdefault(signal.process, signal.at)
    for process, start in index.starts.items():
        due = start.at + READY_TIMEOUT_SECONDS + index.slack
        ended_early = process in terminated and process not in ready
        if not ended_early and ready.get(process, float("inf")) > due:
            yield Violation("process", due, f"process {process} was not ready in {READY_TIMEOUT_SECONDS} s")
    for process, exit_event in index.exits.items():
        kill = index.kills.get(process)
        if exit_event.internal_errors:
            yield Violation(
                "process", exit_event.at, f"process {process}: {exit_event.internal_errors} internal errors"
            )
        if kill is not None and kill.is_planned_kill:
            yield Violation("process", kill.at, f"process {process} had not exited before its kill")
        # SIGTERM kills a process that has not installed its signal handlers yet.
        expected = {0} if process in ready else {0, -15}
        if kill is None and (process not in terminated or exit_event.code not in expected):
            yield Violation("process", exit_event.at, f"process {process} exited with {exit_event.code}")


def check_growth(index: RecordIndex) -> Iterator[Violation]:
    """Memory does not grow between the halves of a process's life, and few descriptors are open without clients."""
    by_process: dict[int, list[ProcessMeasured]] = defaultdict(list)
    for measured in index.record.events_of(ProcessMeasured):
        by_process[measured.process].append(measured)
    ready = {event.process: event.at for event in index.record.events_of(ProcessReady)}
    for process, samples in by_process.items():
        for sample in samples:
            if sample.without_clients and sample.descriptors > MAX_IDLE_DESCRIPTORS:
                text = f"process {process} holds {sample.descriptors} descriptors without clients"
                yield Violation("growth", sample.at, text)
            if sample.descriptors > index.deployment.sockets:
                text = f"process {process} holds {sample.descriptors} of {index.deployment.sockets}"
                yield Violation("growth", sample.at, text)
        served = [sample for sample in samples if process in ready and sample.at > ready[process]]
        half = len(served) // 2
        if half:
            early = max(sample.memory_bytes for sample in served[:half])
            late = max(sample.memory_bytes for sample in served[half:])
            if late > MEMORY_GROWTH_FACTOR * early + MEMORY_GROWTH_BYTES:
                yield Violation("growth", served[half].at, f"process {process} grew from {early} to {late} bytes")


CHECKS: tuple[Callable[[RecordIndex], Iterator[Violation]], ...] = (
    check_responses,
    check_adoptions,
    check_executions,
    check_drains,
    check_connections,
    check_processes,
    check_growth,
)


def is_judged(record: Record) -> bool:
    """Whether the harness ran on time; a run on a machine that is too busy is inconclusive."""
    return record.harness_lag <= MAX_HARNESS_LAG_SECONDS


def find_violations(record: Record, deployment: Deployment) -> list[Violation]:
    """Return all violations of a run, sorted by time."""
    index = RecordIndex(record, deployment)
    return sorted((violation for check in CHECKS for violation in check(index)), key=lambda violation: violation.at)


def events_around(record: Record, at: float, seconds: float) -> list[Event]:
    """Return the events within `seconds` of a time."""
    return sorted((event for event in record.events if abs(event.at - at) <= seconds), key=lambda event: event.at)
