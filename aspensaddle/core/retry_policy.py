"""Retry policy: whether a request may be retried, and on which servers, without taking effect twice."""

from __future__ import annotations

from aspensaddle.core.actions import RejectReason
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.server_state import Server
from aspensaddle.core.settings import DeduplicationScope, Idempotency, Limits, RequestClass


def may_retry_on(now: float, request: RequestState, request_class: RequestClass, server: Server) -> bool:
    """Return whether an attempt at `server` cannot make the request take effect twice.

    Any server is allowed until an attempt may have been executed. After that, an idempotent request may still be
    retried anywhere, a request with an idempotency key only within its deduplication scope and window, and a request
    that is not idempotent nowhere.
    """
    first_server = request.possibly_executed_on
    if first_server is None or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if not request_class.allows_retry_after(now - request.possibly_executed_at):
        return False
    match request_class.deduplication_scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return server.zone == first_server.zone
        case DeduplicationScope.CELL:
            return server.cell == first_server.cell


def attempts_exhausted(request: RequestState, limits: Limits) -> bool:
    """Return whether the request has used all the attempts that the limits allow."""
    return request.attempts >= limits.max_attempts


def give_up_reason(request: RequestState, time_left: float, limits: Limits) -> RejectReason:
    """Return why no further attempt is made. `time_left` is in seconds until the deadline."""
    if attempts_exhausted(request, limits):
        return RejectReason.ATTEMPTS_EXHAUSTED
    if time_left <= 0:
        return RejectReason.DEADLINE_EXCEEDED
    return request.no_server_reason
