"""The periodic check of established sessions: ends those that are idle or have lost their server. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.path_table import PathTable
from aspensaddle.frontends.quic.session import Session
from aspensaddle.frontends.quic.session_end import IDLE_TIMEOUT, SERVER_GONE, SERVER_SILENT
from aspensaddle.frontends.quic.session_table import SessionTable

SWEEP_PARTS = 5  # each sweep checks a part of the sessions, so that none delays datagrams for long
MIN_SWEPT_SESSIONS = 64


class SessionSweep:
    """Checks a part of the sessions at a time."""

    def __init__(self, context: Context, sessions: SessionTable, paths: PathTable) -> None:
        """Start with no session to check."""
        self._context, self._sessions, self._paths = context, sessions, paths
        self._remaining: Iterator[Session] = iter(())

    def run(self) -> None:
        """Check the next part of the sessions; after the last part, forget what is not needed any more."""
        count = len(self._sessions.by_id) // SWEEP_PARTS
        for _ in range(max(MIN_SWEPT_SESSIONS, count)):
            session = next(self._remaining, None)
            if session is None:
                self._start_over()
                return
            if not session.ended and session.setup is None:
                self._check(session)

    def _start_over(self) -> None:
        self._remaining = iter(list(self._sessions.by_id.values()))
        self._paths.forget_gone_servers()
        self._sessions.server_activity.forget_all_except(self._context.endpoints.addresses)
        if self._context.directory.has_newly_retired(self._context.unix_time()):
            self._sessions.forget_unreadable_cids()

    def _check(self, session: Session) -> None:
        now, idle_seconds = self._context.now, self._context.settings.idle_s
        if session.server not in self._context.endpoints.addresses:
            self._sessions.end(session, SERVER_GONE)
        elif self._sessions.has_lost_its_server(session):
            self._sessions.end(session, SERVER_SILENT)
        elif now - session.last_active_at > idle_seconds:
            self._sessions.end(session, IDLE_TIMEOUT)
        else:
            for path in list(session.other_paths or ()):
                if now - path.last_used_at > idle_seconds:
                    self._paths.close(path)
