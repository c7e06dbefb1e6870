"""Retry policy: whether a request may be attempted again, and where, without a second effect."""

from __future__ import annotations

from aspensaddle.core.actions import RejectReason
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.server_state import Server
from aspensaddle.core.settings import DeduplicationScope, Idempotency, Limits, RequestClass


def may_retry_on(now: float, request: RequestState, request_class: RequestClass, server: Server) -> bool:
    """Return whether an attempt at a server can have no second effect.

    After an attempt that may have been executed, a request with an idempotency key stays within the scope and the
    window in which duplicates are dropped, and one that is not idempotent is not attempted again.
    """
    first = request.possibly_executed_on
    if first is None or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if not request_class.allows_retry_after(now - request.possibly_executed_at):
        return False
    match request_class.deduplication_scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return server.zone == first.zone
        case DeduplicationScope.CELL:
            return server.cell == first.cell


def attempts_exhausted(request: RequestState, limits: Limits) -> bool:
    """Return whether the request has used all its attempts."""
    return request.attempts >= limits.max_attempts


def give_up_reason(request: RequestState, time_left: float, limits: Limits) -> RejectReason:
    """Return why no further attempt is made; `time_left` are seconds until the deadline."""
    if attempts_exhausted(request, limits):
        return RejectReason.ATTEMPTS_EXHAUSTED
    if time_left <= 0:
        return RejectReason.DEADLINE_EXCEEDED
    return request.no_server_reason
