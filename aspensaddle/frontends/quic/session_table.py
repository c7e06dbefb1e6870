"""The sessions that stand: found by their ids and addresses, taken over, moved, ended, swept.

Free of I/O: datagrams leave by the context's wire, what has to be decided goes to the driver.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

from aspensaddle.core.actions import RequestAction
from aspensaddle.core.events import Outcome, Request
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.limits import ExpiringMap, RateLimiter
from aspensaddle.frontends.quic.path_table import MAX_PATHS_PER_SESSION, PathTable
from aspensaddle.frontends.quic.responder import Responder
from aspensaddle.frontends.quic.session import ClientAddress, Path, Session, SessionEnd

MAX_SESSION_CIDS = 8  # latest ids of a session
RESET_MEMORY_SECONDS = 30.0  # how long ids of a session that was reset are answered with a reset
SERVER_SILENCE_SECONDS, MIN_UNANSWERED_DATAGRAMS = (
    4.5,
    3,
)  # a runner that brings nothing back to so many datagrams in so long is lost
SHORT_QUARANTINE_SECONDS = 0.25  # seconds, of a path on which no runner ever spoke
CONFIRMING_BYTES = 128  # octets of a runner after which a session taken over is one; resets alone are fewer
SWEEP_PARTS = 5  # a sweep looks at a part of the sessions, so that none holds datagrams up for long
MIN_SWEPT_SESSIONS = 64

SERVER_GONE = SessionEnd(Outcome.CONNECTION_LOST, True, "runner left")
SERVER_SILENT = SessionEnd(Outcome.CONNECTION_LOST, True, "runner silent")
SERVER_UNREACHABLE = SessionEnd(Outcome.CONNECTION_LOST, True, "runner unreachable")
IDLE_TIMEOUT = SessionEnd(Outcome.OK, False, "idle")  # the end of a session can't be seen from outside
MIGRATED = SessionEnd(Outcome.CANCELLED, True, "moved")
EVICTED = SessionEnd(Outcome.CANCELLED, False, "made room")


class SessionTable:
    def __init__(self, context: Context, paths: PathTable, responder: Responder) -> None:
        self.context, self.paths, self.responder = context, paths, responder
        self.by_id: dict[str, Session] = {}
        self.pending_actions: list[tuple[Session, RequestAction]] = []
        # A session under a client-chosen id, or None where that id has had its final answer.
        self.by_client_cid: ExpiringMap[Session | None] = ExpiringMap(0, 0.0)
        self.by_server_cid: dict[bytes, Session] = {}  # by ids that runners issued
        self.reset_cids: ExpiringMap[bool] = ExpiringMap(0, 0.0)
        self.by_address: dict[ClientAddress, Session] = {}  # those whose ids can't be read
        self._unconfirmed: OrderedDict[str, Session] = OrderedDict()  # taken over, the runner has said too little yet
        self._created_count = 0
        self._remaining_to_sweep: Iterator[Session] = iter(())
        self.configure()

    def configure(self) -> None:
        """Take the bounds in the settings. What is kept already stays."""
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
        return len(self.by_id) >= self.context.settings.most_sessions

    def create(self) -> Session:
        self._created_count += 1
        session = Session(f"quic-{self._created_count}", self.pending_actions, last_active_at=self.context.now)
        self.by_id[session.id] = session
        return session

    # ------------------------------------------------------------ standing

    def adopt(self, client_address: ClientAddress, server: int) -> Session | None:
        """A session that began at another balancer, or here before a restart. Until its runner has said enough
        it is one of a bounded number, of which the oldest makes room: guards against ids made up.
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
        """An id of a session's that its runner issued."""
        if self.by_server_cid.get(dcid) is session or not dcid:
            return
        ids = session.cids
        if len(ids) >= MAX_SESSION_CIDS:
            self.by_server_cid.pop(ids[0], None)
            ids = ids[1:]
        session.cids = (*ids, dcid)
        self.by_server_cid[dcid] = session

    def forward_to_server(
        self, session: Session, data: bytes, client_address: ClientAddress, dcid: bytes = b""
    ) -> None:
        """A client's datagram to the runner of a session that stands."""
        path = session.path
        if path is None or path.client_address != client_address:
            path = self._switch_path(session, client_address)
            if path is None:
                return
        now = self.context.now
        session.last_active_at = path.last_used_at = now
        session.unanswered_datagrams += 1
        if session.unanswered_datagrams == 1:
            session.first_unanswered_at = now
        path.last_datagram_bytes = len(data)
        if dcid:
            path.dcid = dcid
        if path.amplification_limit is not None and path.amplification_limit.record_received(len(data), dcid):
            path.amplification_limit = None
        self.context.transport.send_to_server(data, path)
        if session.migrating and path.dcid:
            self.end(session, MIGRATED)

    def _switch_path(self, session: Session, client_address: ClientAddress) -> Path | None:
        """The path of another address of the client's: one it had, or a new one (RFC 9000, 9)."""
        path = next((p for p in session.other_paths or () if p.client_address == client_address), None)
        if path is None:
            if len(session.all_paths()) >= MAX_PATHS_PER_SESSION:
                self.paths.close((session.other_paths or [])[0])
            path = self.paths.open(session, session.server, client_address)
            if path is None:
                return None
            if session.path is not None:
                self.context.counters.add("quic paths changed")
            if session.by_address:
                self.by_address[client_address] = session
        self.use_path(session, path)
        return path

    def use_path(self, session: Session, path: Path) -> None:
        """Make a path the one that its session uses; the one before is kept behind it."""
        others = [p for p in session.other_paths or () if p is not path]
        if session.path is not None and session.path is not path:
            others.append(session.path)
        session.path, session.other_paths = path, others or None

    def forward_to_client(self, session: Session, path: Path, data: bytes) -> None:
        """A runner's datagram to the client."""
        session.last_active_at = path.last_used_at = self.context.now
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

    # ------------------------------------------------------------ ends

    def migrate(self, session: Session) -> None:
        """The module moves a client. It is told as soon as an id is known that it can be told by."""
        session.migrating = True
        if session.path is not None and session.path.dcid:
            self.end(session, MIGRATED)

    def end(self, session: Session, end: SessionEnd) -> None:
        """The one end of a session that stood."""
        if session.ended:
            return
        self.context.counters.add("quic moved" if end is MIGRATED else f"quic ended {end.outcome.label}")
        self.context.log.event("quic ended", id=session.id, why=end.note)
        if end.send_reset:
            for dcid in session.cids:
                self.reset_cids.put(dcid, True, self.context.now)
            for path in session.all_paths():
                if path.dcid:
                    self.responder.send_stateless_reset(path.dcid, path.last_datagram_bytes, path.client_address)
        self.context.driver.attempt_ended(session.id, end.outcome, finished=True)
        self.remove(session)

    def remove(self, session: Session) -> None:
        """Forget a session and close what it has. What still comes to its client-chosen id must not begin anew."""
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
            # Guards against ids made up in a flood: a runner that never spoke has little more to say.
            self.paths.close(
                path, SHORT_QUARANTINE_SECONDS if session.server >= 0 and not session.server_has_replied else None
            )
        self.context.driver.client_disconnected(session.id)

    def forget_unreadable_cids(self) -> None:
        """Forget ids that no configuration in force reads: one was retired, or a reload left it out."""
        unix_time = self.context.unix_time()
        for dcid in [d for d in self.by_server_cid if not self.context.directory.may_identify_session(d, unix_time)]:
            session = self.by_server_cid.pop(dcid)
            session.cids = tuple(i for i in session.cids if i != dcid)

    def sweep(self) -> None:
        """Look at a part of the sessions: end those that are idle or whose runner is lost."""
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
