"""Established sessions: lookup by connection ID and address, forwarding, adoption, migration, end and expiry.

No I/O: datagrams are sent by the context's transport, and decisions are left to the driver.
"""

from __future__ import annotations

import math
from collections import OrderedDict

from aspensaddle.core.actions import RequestAction
from aspensaddle.core.events import Outcome, Request
from aspensaddle.frontends.quic.client_delivery import ClientDelivery
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.delivery import DeliveryFailure, FailureReason
from aspensaddle.frontends.quic.departure_evidence import DepartureEvidence
from aspensaddle.frontends.quic.limits import ExpiringMap, FairRateLimiter
from aspensaddle.frontends.quic.path_table import PathTable
from aspensaddle.frontends.quic.responder import Responder
from aspensaddle.frontends.quic.server_silence import ServerActivity
from aspensaddle.frontends.quic.session import CONFIRMING_BYTES, ClientAddress, Path, Session
from aspensaddle.frontends.quic.session_end import (
    EVICTED,
    EVICTED_IDLE,
    MIGRATED,
    SERVER_UNREACHABLE,
    UNREACHABLE_AND_UNCONFIRMED,
    RememberedReset,
    ResetScope,
    SessionEnd,
)
from aspensaddle.frontends.quic.session_eviction import find_most_idle

# The driver has the requests of all front ends. No request id of the line protocol contains a space.
SESSION_ID_PREFIX = "quic "
MAX_SESSION_CIDS = 8  # limit of the remembered connection IDs of a session, the latest ones
RESET_MEMORY_SECONDS = 30.0  # time for which packets to a reset session's connection IDs get a stateless reset
SHORT_QUARANTINE_SECONDS = 0.25  # quarantine of a path on which the server never sent anything


class SessionTable:
    """All sessions, and the life of those that are established."""

    def __init__(self, context: Context, paths: PathTable, responder: Responder, delivery: ClientDelivery) -> None:
        """Start without sessions."""
        self.context, self.paths, self.responder, self.delivery = context, paths, responder, delivery
        self.by_id: dict[str, Session] = {}
        self.pending_actions: list[tuple[Session, RequestAction]] = []
        # The session of each client-chosen connection ID; None if its final response was sent.
        self.by_client_cid: ExpiringMap[Session | None] = ExpiringMap(0, 0.0)
        self.by_server_cid: dict[bytes, Session] = {}  # keys are connection IDs that servers issued
        self.resets: ExpiringMap[RememberedReset] = ExpiringMap(0, 0.0)  # by connection ID
        self.departure_evidence = DepartureEvidence(context.endpoints, context.settings.most_sessions)
        self.server_activity = ServerActivity()
        self.by_address: dict[ClientAddress, Session] = {}  # sessions whose connection IDs are not routable
        self._unconfirmed: OrderedDict[str, Session] = OrderedDict()  # adopted sessions that no server has confirmed
        self._created_count = 0
        self.configure()

    def configure(self) -> None:
        """Use the limits in the settings in force. Existing entries stay."""
        settings = self.context.settings
        self.by_client_cid.max_entries, self.by_client_cid.lifetime_seconds = (
            2 * settings.most_sessions,
            settings.initial_s,
        )
        self.resets.max_entries, self.resets.lifetime_seconds = (
            MAX_SESSION_CIDS * settings.most_sessions,
            RESET_MEMORY_SECONDS,
        )
        self.departure_evidence.configure(settings.most_sessions)
        self._adoption_limiter = FairRateLimiter(settings.adopted_per_s, self.context.now)

    @property
    def is_full(self) -> bool:
        """Whether there are as many sessions as the settings allow."""
        return len(self.by_id) >= self.context.settings.most_sessions

    def create(self) -> Session:
        """Add a session that is not established yet."""
        self._created_count += 1
        session = Session(
            f"{SESSION_ID_PREFIX}{self._created_count}", self.pending_actions, last_active_at=self.context.now
        )
        self.by_id[session.id] = session
        return session

    # Established sessions

    def adopt(self, client_address: ClientAddress, server: int) -> Session | None:
        """Add a session that was established by another balancer, or by this one before a restart.

        Until its server has sent enough, the session counts as unconfirmed. The number of those is bounded, and the
        oldest is evicted, so that forged connection IDs cannot fill the table. In a full table, the place of an idle
        session is taken: a client that changes its connection ID and its address leaves one behind, as nothing tells
        that the new one is its. Returns None if no session may be added.
        """
        if not self._adoption_limiter.try_acquire(client_address, self.context.now):
            self.context.counters.add("quic not adopted")
            return None
        while len(self._unconfirmed) >= self.context.settings.most_pending or (self._unconfirmed and self.is_full):
            _, oldest = self._unconfirmed.popitem(last=False)
            self.end(oldest, EVICTED)
        if self.is_full and (idle := find_most_idle(self.by_id, self.context.now)) is not None:
            self.end(idle, EVICTED_IDLE)
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
        session.last_active_at = session.last_client_datagram_at = now
        path.record_client_datagram(data, dcid, now)
        path.unanswered.record(now, self.server_activity.last_heard_at(session.server))
        if path.address_limit is not None and path.address_limit.record_received(len(data), dcid):
            path.address_limit = None
        self.context.transport.send_to_server(data, path)
        self.delivery.release(path)
        if session.migrating:
            self.migrate(session)

    def has_lost_its_server(self, session: Session) -> bool:
        """Return whether the server of an established session is silent for so long that it counts as lost."""
        path = session.path
        if path is None or not path.is_confirmed:
            return False
        return path.unanswered.show_a_lost_server(
            self.context.now, self.server_activity.last_heard_at(session.server)
        )

    def _switch_path(self, session: Session, client_address: ClientAddress) -> Path | None:
        """Use the path of another address of the client, which is opened if there is none (RFC 9000, 9)."""
        path = next((other for other in session.other_paths or () if other.client_address == client_address), None)
        if path is None:
            path = self.paths.open(session, session.server, client_address)
            if path is None:
                return None
            path.is_confirmed = client_address == session.confirmed_address  # it was closed for lack of sockets
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
        session.server_has_replied = True
        self.deliver(session, path, data)

    def deliver(self, session: Session, path: Path, data: bytes) -> None:
        """Deliver a datagram of an established session. Enough bytes of its server on a path confirm it."""
        self.delivery.deliver(path, data)
        if not path.is_confirmed and path.bytes_from_server > CONFIRMING_BYTES:
            path.is_confirmed, session.confirmed_address = True, path.client_address
            self._unconfirmed.pop(session.id, None)

    # Ends of sessions

    def handle_delivery_failure(self, session: Session, path: Path, failure: DeliveryFailure) -> None:
        """Handle the network's report that a datagram of an established session was not delivered to its server.

        Only a closed port shows that the server's process has ended. A missing route may return.
        """
        if failure.reason is not FailureReason.PORT_CLOSED or not failure.concerns(path.last_datagram_start):
            return
        confirmed = session.id not in self._unconfirmed
        if confirmed or self.departure_evidence.list_covers(path.dcid, self.context.now):
            self.end(session, SERVER_UNREACHABLE)
        else:
            self.end(session, UNREACHABLE_AND_UNCONFIRMED)

    def migrate(self, session: Session) -> None:
        """Make the client reconnect elsewhere, as the balancer decided.

        The client is sent a stateless reset, as soon as a connection ID that it uses is known on a confirmed path.
        """
        session.migrating = True
        if session.path is not None and session.path.dcid and session.path.is_confirmed:
            self.end(session, MIGRATED)

    def end(self, session: Session, end: SessionEnd) -> None:
        """End an established session, count and log it, and report it to the driver. Later calls do nothing."""
        if session.ended:
            return
        outcome = end.outcome
        if outcome is Outcome.CONNECTION_LOST and session.id in self._unconfirmed:
            outcome = Outcome.CANCELLED  # its connection IDs may be forged, so it says nothing about the server
        self.context.counters.add("quic moved" if end is MIGRATED else f"quic ended {outcome.label}")
        self._log_end(session, end)
        self._send_resets(session, end)
        self.context.driver.attempt_ended(session.id, outcome, finished=True)
        self.remove(session)

    def _send_resets(self, session: Session, end: SessionEnd) -> None:
        if end.reset_scope is ResetScope.NONE:
            return
        paths = [path for path in session.all_paths() if path.is_confirmed or end.reset_scope is ResetScope.ALL_PATHS]
        for path in paths:
            if path.dcid:
                self.responder.send_stateless_reset(path.dcid, path.last_datagram_bytes, path.client_address)
        addresses = None if end is MIGRATED else frozenset(path.client_address for path in paths)
        for dcid in session.cids:
            self.resets.put(dcid, RememberedReset(addresses), self.context.now)

    def _log_end(self, session: Session, end: SessionEnd) -> None:
        self.context.log.event(
            "quic ended",
            id=session.id,
            why=end.reason,
            server=self.context.endpoints.uid(session.server),
            unanswered=0 if session.path is None else session.path.unanswered.count,
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
