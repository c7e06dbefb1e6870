"""Log events and counters of session setups and their attempts."""

from __future__ import annotations

from aspensaddle.core.events import Outcome
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.session import Session, SetupState


def log_attempt(context: Context, session: Session, setup: SetupState, outcome: Outcome) -> None:
    """Count and log an attempt that ended without a session, before its path is closed."""
    context.counters.add(f"quic attempts {outcome.label}")
    context.log.event(
        "quic attempt ended",
        id=session.id,
        attempt=setup.attempts,
        server=None if setup.path is None else context.endpoints.uid(setup.path.server),
        outcome=outcome.label,
        datagrams=setup.sent.count,
        ms=round(1000 * (context.now - setup.attempt_started_at), 1),
    )


def log_setup(context: Context, session: Session, setup: SetupState, placed: bool) -> None:
    """Log the end of a setup. `placed` states whether the session is established."""
    context.log.event(
        "quic request",
        id=session.id,
        cls=setup.class_index,
        attempts=setup.attempts,
        placed=placed,
        ms=round(1000 * (context.now - setup.started_at), 1),
    )
