"""Requests over QUIC that have no final answer yet, for the graceful shutdown. No I/O.

A request is answered by the close of a rejected or failed session, or by an established session. The latter has
reached the client once its handshake is complete. Its remaining packets pass through this process: another one would
forward them from another address, and a client keeps its address until the handshake is confirmed (RFC 9000, 9).
"""

from __future__ import annotations

from aspensaddle.core.actions import Reject, RejectReason
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.session import Session, SetupStage
from aspensaddle.frontends.quic.session_setup import RETRY_AFTER_SECONDS, SessionSetup
from aspensaddle.frontends.quic.session_table import SessionTable


class UnfinishedRequests:
    """Finds the sessions whose clients still wait for a final answer, and rejects those that are being set up."""

    def __init__(self, context: Context, sessions: SessionTable, session_setup: SessionSetup) -> None:
        """Search in `sessions`; `session_setup` gives the answers."""
        self._context = context
        self._sessions = sessions
        self._session_setup = session_setup

    def count(self) -> int:
        """Return how many clients may still wait; one whose deadline has passed waits no longer."""
        return sum(map(self._is_unfinished, self._sessions.by_id.values()))

    def reject_pending(self) -> None:
        """Give the final answer to each session that is being set up.

        It is rejected if its request was not executed or its class allows the client to retry; otherwise it fails.
        """
        for session in list(self._sessions.by_id.values()):
            if session.setup is None:
                continue
            if session.setup.stage is SetupStage.CLIENT_HELLO_INCOMPLETE:  # the driver does not know it yet
                session.handle_action(Reject(session.id, RETRY_AFTER_SECONDS, RejectReason.SHUTTING_DOWN))
            else:
                self._context.driver.reject_on_shutdown(session.id)
        self._session_setup.carry_out_actions()

    def _is_unfinished(self, session: Session) -> bool:
        return session.setup is not None or session.handshake_deadline > self._context.now
