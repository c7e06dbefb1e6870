"""Established sessions: lookup by connection ID and address, forwarding, adoption, migration, end and expiry.

No I/O: datagrams are sent by the context's transport, and decisions are left to the driver.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

from aspensaddle.core.actions import RequestAction
from aspensaddle.core.events import Outcome, Request
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.delivery import MAX_QUOTE_BYTES, DeliveryFailure, FailureReason
from aspensaddle.frontends.quic.limits import ExpiringMap, RateLimiter
from aspensaddle.frontends.quic.path_table import MAX_PATHS_PER_SESSION, PathTable
from aspensaddle.frontends.quic.responder import Responder
from aspensaddle.frontends.quic.session import ClientAddress, Path, Session, SessionEnd

MAX_SESSION_CIDS = 8  # limit of the remembered connection IDs of a session, the latest ones
RESET_MEMORY_SECONDS = 30.0  # time for which packets to a reset session's connection IDs get a stateless reset
# A server counts as lost if it has answered none of at least this many datagrams for this time.
SERVER_SILENCE_SECONDS = 4.5
MIN_UNANSWERED_DATAGRAMS = 3
SHORT_QUARANTINE_SECONDS = 0.25  # quarantine of a path on which the server never sent anything
CONFIRMING_BYTES = 128  # an adopted session is confirmed by more bytes from its server; stateless resets have fewer
SWEEP_PARTS = 5  # each sweep checks a part of the sessions, so that none delays datagrams for long
MIN_SWEPT_SESSIONS = 64

SERVER_GONE = SessionEnd(Outcome.CONNECTION_LOST, True, "server left the endpoint list")
SERVER_SILENT = SessionEnd(Outcome.CONNECTION_LOST, True, "server silent")
SERVER_UNREACHABLE = SessionEnd(Outcome.CONNECTION_LOST, True, "server unreachable")
IDLE_TIMEOUT = SessionEnd(Outcome.OK, False, "idle")  # an intermediary cannot see the regular end of a connection
MIGRATED = SessionEnd(Outcome.CANCELLED, True, "moved")
EVICTED = SessionEnd(Outcome.CANCELLED, False, "evicted before its server confirmed it")


class SessionTable:
    """All sessions, and the life of those that are established."""

    def __init__(self, context: Context, paths: PathTable, responder: Responder) -> None:
        """Start without sessions."""
        self.context, self.paths, self.responder = context, paths, responder
        self.by_id: dict[str, Session] = {}
        self.pending_actions: list[tuple[Session, RequestAction]] = []
        # The session of each client-chosen connection ID; None if its final response was sent.
        self.by_client_cid: ExpiringMap[Session | None] = ExpiringMap(0, 0.0)
        self.by_server_cid: dict[bytes, Session] = {}  # keys are connection IDs that servers issued
        self.reset_cids: ExpiringMap[bool] = ExpiringMap(0, 0.0)
        self.by_address: dict[ClientAddress, Session] = {}  # sessions whose connection IDs are not routable
        self._unconfirmed: OrderedDict[str, Session] = OrderedDict()  # adopted sessions that no server has confirmed
        self._created_count = 0
        self._remaining_to_sweep: Iterator[Session] = iter(())
        self.configure()

    def configure(self) -> None:
        """Use the limits in the settings in force. Existing entries stay."""
        settings = self.context.settings
        self.by_client_cid.max_entries, self.by_client_cid.lifetime_seconds = (
            2 * settings.most_sessions,
            settings.initial_s,
        )
        self.reset_cids.max_entries, self.reset_cids.lifetime_seconds = (
            MAX_SESSION_CIDS * settings.most_sessions,
            RESET_MEMORY_SECONDS,
        )
        self._adoption_limiter = RateLimiter(settings.adopted_per_s, self.context.now)

    @property
    def is_full(self) -> bool:
        """Whether there are as many sessions as the settings allow."""
        return len(self.by_id) >= self.context.settings.most_sessions

    def create(self) -> Session:
        """Add a session that is not established yet."""
        self._created_count += 1
        session = Session(f"quic-{self._created_count}", self.pending_actions, last_active_at=self.context.now)
        self.by_id[session.id] = session
        return session

    # Established sessions

    def adopt(self, client_address: ClientAddress, server: int) -> Session | None:
        """Add a session that was established by another balancer, or by this one before a restart.

        Until its server has sent enough, the session counts as unconfirmed. The number of those is bounded, and the
        oldest is evicted, so that forged connection IDs cannot fill the table. Returns None if no session may be
        added.
        """
        if not self._adoption_limiter.try_acquire(self.context.now):
            self.context.counters.add("quic not adopted")
            return None
        while len(self._unconfirmed) >= self.context.settings.most_pending or (self._unconfirmed and self.is_full):
            _, oldest = self._unconfirmed.popitem(last=False)
            self.end(oldest, EVICTED)
        if self.is_full:
            self.context.counters.add("quic over capacity")
            return None
        session = self.create()
        session.server = server
        self._unconfirmed[session.id] = session
        self.context.counters.add("quic adopted")
        self.context.driver.connection_adopted(
            session, Request(session.id, self.context.settings.rules.default_class_index, math.inf), server
        )
        return session

    def add_cid(self, session: Session, dcid: bytes) -> None:
        """Remember a connection ID that the session's server issued, unless it is empty or known."""
        if self.by_server_cid.get(dcid) is session or not dcid:
            return
        known_cids = session.cids
        if len(known_cids) >= MAX_SESSION_CIDS:
            self.by_server_cid.pop(known_cids[0], None)
            known_cids = known_cids[1:]
        session.cids = (*known_cids, dcid)
        self.by_server_cid[dcid] = session

    def forward_to_server(
        self, session: Session, data: bytes, client_address: ClientAddress, dcid: bytes = b""
    ) -> None:
        """Forward a client's datagram to the server of an established session.

        Args:
            session: the session.
            data: the datagram.
            client_address: the address that it came from.
            dcid: the routable connection ID that it was sent to; empty if there is none.
        """
        path = session.path
        if path is None or path.client_address != client_address:
            path = self._switch_path(session, client_address)
            if path is None:
                return
        now = self.context.now
        session.last_active_at = session.last_client_datagram_at = path.last_used_at = now
        session.unanswered_datagrams += 1
        if session.unanswered_datagrams == 1:
            session.first_unanswered_at = now
        path.last_datagram_bytes = len(data)
        path.last_datagram_start = data[:MAX_QUOTE_BYTES]
        if dcid:
            path.dcid = dcid
        if path.amplification_limit is not None and path.amplification_limit.record_received(len(data), dcid):
            path.amplification_limit = None
        self.context.transport.send_to_server(data, path)
        if session.migrating and path.dcid:
            self.end(session, MIGRATED)

    def _switch_path(self, session: Session, client_address: ClientAddress) -> Path | None:
        """Use the path of another address of the client, which is opened if there is none (RFC 9000, 9)."""
        path = next((other for other in session.other_paths or () if other.client_address == client_address), None)
        if path is None:
            if len(session.all_paths()) >= MAX_PATHS_PER_SESSION:
                self.paths.close((session.other_paths or [])[0])
            path = self.paths.open(session, session.server, client_address)
            if path is None:
                return None
            if session.path is not None:
                self.context.counters.add("quic paths changed")
            if session.routed_by_address:
                self.by_address[client_address] = session
        self.use_path(session, path)
        return path

    def use_path(self, session: Session, path: Path) -> None:
        """Make a path the session's current one and keep the former one among its other paths."""
        others = [other for other in session.other_paths or () if other is not path]
        if session.path is not None and session.path is not path:
            others.append(session.path)
        session.path, session.other_paths = path, others or None

    def forward_to_client(self, session: Session, path: Path, data: bytes) -> None:
        """Forward a server's datagram to the client of an established session."""
        session.last_active_at = session.last_server_datagram_at = path.last_used_at = self.context.now
        session.unanswered_datagrams = 0
        session.server_has_replied = True
        if session.id in self._unconfirmed:
            session.bytes_from_server += len(data)
            if session.bytes_from_server > CONFIRMING_BYTES:
                del self._unconfirmed[session.id]
        if path.amplification_limit is not None and not path.amplification_limit.try_consume(len(data)):
            self.context.counters.add("quic over three times")
            return
        self.context.transport.send_to_client(data, path.client_address)

    # Ends of sessions

    def handle_delivery_failure(self, session: Session, path: Path, failure: DeliveryFailure) -> None:
        """Handle the network's report that a datagram of an established session was not delivered to its server.

        Only a closed port shows that the server's process has ended. A missing route may return.
        """
        if failure.reason is FailureReason.PORT_CLOSED and failure.concerns(path.last_datagram_start):
            self.end(session, SERVER_UNREACHABLE)

    def migrate(self, session: Session) -> None:
        """Make the client reconnect elsewhere, as the balancer decided.

        The client is sent a stateless reset, as soon as a connection ID that it uses is known.
        """
        session.migrating = True
        if session.path is not None and session.path.dcid:
            self.end(session, MIGRATED)

    def end(self, session: Session, end: SessionEnd) -> None:
        """End an established session, count and log it, and report it to the driver. Later calls do nothing."""
        if session.ended:
            return
        self.context.counters.add("quic moved" if end is MIGRATED else f"quic ended {end.outcome.label}")
        self._log_end(session, end)
        if end.send_reset:
            for dcid in session.cids:
                self.reset_cids.put(dcid, True, self.context.now)
            for path in session.all_paths():
                if path.dcid:
                    self.responder.send_stateless_reset(path.dcid, path.last_datagram_bytes, path.client_address)
        self.context.driver.attempt_ended(session.id, end.outcome, finished=True)
        self.remove(session)

    def _log_end(self, session: Session, end: SessionEnd) -> None:
        self.context.log.event(
            "quic ended",
            id=session.id,
            why=end.reason,
            server=self.context.endpoints.uid(session.server),
            unanswered=session.unanswered_datagrams,
            client_silent_ms=self._milliseconds_since(session.last_client_datagram_at),
            server_silent_ms=self._milliseconds_since(session.last_server_datagram_at),
        )

    def _milliseconds_since(self, time: float | None) -> int | None:
        return None if time is None else round(1000 * (self.context.now - time))

    def remove(self, session: Session) -> None:
        """Remove a session and close its paths.

        Its client-chosen connection ID is remembered, so that late packets to it do not start a new session.
        """
        session.ended = True
        self.by_id.pop(session.id, None)
        self._unconfirmed.pop(session.id, None)
        if session.setup is not None:
            self.by_client_cid.put(session.setup.dcid, None, self.context.now)
            if session.setup.path is not None:
                self.paths.close(session.setup.path)
        for dcid in session.cids:
            if self.by_server_cid.get(dcid) is session:
                del self.by_server_cid[dcid]
        for path in session.all_paths():
            if self.by_address.get(path.client_address) is session:
                del self.by_address[path.client_address]
            # In a flood of forged connection IDs, slots have to become free soon. A server that never sent anything
            # on a path has little left to send on it.
            self.paths.close(
                path, SHORT_QUARANTINE_SECONDS if session.server >= 0 and not session.server_has_replied else None
            )
        self.context.driver.client_disconnected(session.id)

    def forget_unreadable_cids(self) -> None:
        """Forget connection IDs of configurations that were retired or that a reload has removed."""
        unix_time = self.context.unix_time()
        for dcid in [
            cid for cid in self.by_server_cid if not self.context.directory.may_identify_session(cid, unix_time)
        ]:
            session = self.by_server_cid.pop(dcid)
            session.cids = tuple(cid for cid in session.cids if cid != dcid)

    def sweep(self) -> None:
        """Check a part of the sessions and end those that are idle or whose server is lost."""
        now, idle = self.context.now, self.context.settings.idle_s
        for _ in range(max(MIN_SWEPT_SESSIONS, len(self.by_id) // SWEEP_PARTS)):
            session = next(self._remaining_to_sweep, None)
            if session is None:
                self._remaining_to_sweep = iter(list(self.by_id.values()))
                self.paths.forget_gone_servers()
                if self.context.directory.has_newly_retired(self.context.unix_time()):
                    self.forget_unreadable_cids()
                return
            if session.ended or session.setup is not None:
                continue
            if session.server not in self.context.endpoints.addresses:
                self.end(session, SERVER_GONE)
            elif (
                session.unanswered_datagrams >= MIN_UNANSWERED_DATAGRAMS
                and now - session.first_unanswered_at > SERVER_SILENCE_SECONDS
            ):
                self.end(session, SERVER_SILENT)
            elif now - session.last_active_at > idle:
                self.end(session, IDLE_TIMEOUT)
            else:
                for path in list(session.other_paths or ()):
                    if now - path.last_used_at > idle:
                        self.paths.close(path)
