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
from aspensaddle.frontends.quic.path_table import MOST_OF_SESSION, PathTable
from aspensaddle.frontends.quic.responder import Responder
from aspensaddle.frontends.quic.session import ClientAddress, Path, Session, SessionEnd

IDS_KEPT = 8  # latest ids of a session
MOVED_FOR = 30.0  # how long ids of a session that was reset are answered with a reset
SILENT, SILENT_ASKS = 4.5, 3  # a runner that brings nothing back to so many datagrams in so long is lost
SHORT_REST = 0.25  # seconds, of a path on which no runner ever spoke
SURE = 128  # octets of a runner after which a session taken over is one; resets alone are fewer
SWEEP_PARTS = 5  # a sweep looks at a part of the sessions, so that none holds datagrams up for long
LEAST_SWEPT = 64

LEFT = SessionEnd(Outcome.CONNECTION_LOST, True, "runner left")
LOST = SessionEnd(Outcome.CONNECTION_LOST, True, "runner silent")
UNREACHED = SessionEnd(Outcome.CONNECTION_LOST, True, "runner unreachable")
IDLE = SessionEnd(Outcome.OK, False, "idle")  # the end of a session can't be seen from outside
MOVED = SessionEnd(Outcome.CANCELLED, True, "moved")
UNSURE = SessionEnd(Outcome.CANCELLED, False, "made room")


class SessionTable:
    def __init__(self, ctx: Context, paths: PathTable, answers: Responder) -> None:
        self.ctx, self.paths, self.answers = ctx, paths, answers
        self.all: dict[str, Session] = {}
        self.decisions: list[tuple[Session, RequestAction]] = []
        # A session under a client-chosen id, or None where that id has had its final answer.
        self.chosen: ExpiringMap[Session | None] = ExpiringMap(0, 0.0)
        self.routes: dict[bytes, Session] = {}  # by ids that runners issued
        self.moved: ExpiringMap[bool] = ExpiringMap(0, 0.0)
        self.by_address: dict[ClientAddress, Session] = {}  # those whose ids can't be read
        self._unsure: OrderedDict[str, Session] = OrderedDict()  # taken over, the runner has said too little yet
        self._count = 0
        self._sweeping: Iterator[Session] = iter(())
        self.configure()

    def configure(self) -> None:
        """Take the bounds in the settings. What is kept already stays."""
        settings = self.ctx.settings
        self.chosen.most, self.chosen.lasts = 2 * settings.most_sessions, settings.initial_s
        self.moved.most, self.moved.lasts = IDS_KEPT * settings.most_sessions, MOVED_FOR
        self._adoptions = RateLimiter(settings.adopted_per_s, self.ctx.now)

    @property
    def full(self) -> bool:
        return len(self.all) >= self.ctx.settings.most_sessions

    def new(self) -> Session:
        self._count += 1
        session = Session(f"quic-{self._count}", self.decisions, seen=self.ctx.now)
        self.all[session.id] = session
        return session

    # ------------------------------------------------------------ standing

    def adopt(self, peer: ClientAddress, server: int) -> Session | None:
        """A session that began at another balancer, or here before a restart. Until its runner has said enough
        it is one of a bounded number, of which the oldest makes room: guards against ids made up.
        """
        if not self._adoptions.take(self.ctx.now):
            self.ctx.counters.add("quic not adopted")
            return None
        while len(self._unsure) >= self.ctx.settings.most_pending or (self._unsure and self.full):
            _, oldest = self._unsure.popitem(last=False)
            self.end(oldest, UNSURE)
        if self.full:
            self.ctx.counters.add("quic over capacity")
            return None
        session = self.new()
        session.server = server
        self._unsure[session.id] = session
        self.ctx.counters.add("quic adopted")
        self.ctx.driver.connection_adopted(
            session, Request(session.id, self.ctx.settings.rules.default, math.inf), server
        )
        return session

    def learn(self, session: Session, dcid: bytes) -> None:
        """An id of a session's that its runner issued."""
        if self.routes.get(dcid) is session or not dcid:
            return
        ids = session.ids
        if len(ids) >= IDS_KEPT:
            self.routes.pop(ids[0], None)
            ids = ids[1:]
        session.ids = (*ids, dcid)
        self.routes[dcid] = session

    def forward(self, session: Session, data: bytes, peer: ClientAddress, dcid: bytes = b"") -> None:
        """A client's datagram to the runner of a session that stands."""
        path = session.path
        if path is None or path.peer != peer:
            path = self._switch(session, peer)
            if path is None:
                return
        now = self.ctx.now
        session.seen = path.used = now
        session.asked += 1
        if session.asked == 1:
            session.asked_at = now
        path.size = len(data)
        if dcid:
            path.dcid = dcid
        if path.budget is not None and path.budget.got(len(data), dcid):
            path.budget = None
        self.ctx.wire.to_runner(data, path)
        if session.moving and path.dcid:
            self.end(session, MOVED)

    def _switch(self, session: Session, peer: ClientAddress) -> Path | None:
        """The path of another address of the client's: one it had, or a new one (RFC 9000, 9)."""
        path = next((p for p in session.others or () if p.peer == peer), None)
        if path is None:
            if len(session.paths()) >= MOST_OF_SESSION:
                self.paths.close((session.others or [])[0])
            path = self.paths.open(session, session.server, peer)
            if path is None:
                return None
            if session.path is not None:
                self.ctx.counters.add("quic paths changed")
            if session.by_address:
                self.by_address[peer] = session
        self.use(session, path)
        return path

    def use(self, session: Session, path: Path) -> None:
        """Make a path the one that its session uses; the one before is kept behind it."""
        others = [p for p in session.others or () if p is not path]
        if session.path is not None and session.path is not path:
            others.append(session.path)
        session.path, session.others = path, others or None

    def replied(self, session: Session, path: Path, data: bytes) -> None:
        """A runner's datagram to the client."""
        session.seen = path.used = self.ctx.now
        session.asked = 0
        session.heard = True
        if session.id in self._unsure:
            session.replied += len(data)
            if session.replied > SURE:
                del self._unsure[session.id]
        if path.budget is not None and not path.budget.spend(len(data)):
            self.ctx.counters.add("quic over three times")
            return
        self.ctx.wire.to_client(data, path.peer)

    # ------------------------------------------------------------ ends

    def move(self, session: Session) -> None:
        """The module moves a client. It is told as soon as an id is known that it can be told by."""
        session.moving = True
        if session.path is not None and session.path.dcid:
            self.end(session, MOVED)

    def end(self, session: Session, end: SessionEnd) -> None:
        """The one end of a session that stood."""
        if session.ended:
            return
        self.ctx.counters.add("quic moved" if end is MOVED else f"quic ended {end.outcome.label}")
        self.ctx.log.event("quic ended", id=session.id, why=end.note)
        if end.reset:
            for dcid in session.ids:
                self.moved.put(dcid, True, self.ctx.now)
            for path in session.paths():
                if path.dcid:
                    self.answers.reset(path.dcid, path.size, path.peer)
        self.ctx.driver.attempt_ended(session.id, end.outcome, finished=True)
        self.drop(session)

    def drop(self, session: Session) -> None:
        """Forget a session and close what it has. What still comes to its client-chosen id must not begin anew."""
        session.ended = True
        self.all.pop(session.id, None)
        self._unsure.pop(session.id, None)
        if session.placing is not None:
            self.chosen.put(session.placing.dcid, None, self.ctx.now)
            if session.placing.path is not None:
                self.paths.close(session.placing.path)
        for dcid in session.ids:
            if self.routes.get(dcid) is session:
                del self.routes[dcid]
        for path in session.paths():
            if self.by_address.get(path.peer) is session:
                del self.by_address[path.peer]
            # Guards against ids made up in a flood: a runner that never spoke has little more to say.
            self.paths.close(path, SHORT_REST if session.server >= 0 and not session.heard else None)
        self.ctx.driver.client_disconnected(session.id)

    def unlearn(self) -> None:
        """Forget ids that no configuration in force reads: one was retired, or a reload left it out."""
        unix = self.ctx.unix()
        for dcid in [d for d in self.routes if not self.ctx.directory.reads(d, unix)]:
            session = self.routes.pop(dcid)
            session.ids = tuple(i for i in session.ids if i != dcid)

    def sweep(self) -> None:
        """Look at a part of the sessions: end those that are idle or whose runner is lost."""
        now, idle = self.ctx.now, self.ctx.settings.idle_s
        for _ in range(max(LEAST_SWEPT, len(self.all) // SWEEP_PARTS)):
            session = next(self._sweeping, None)
            if session is None:
                self._sweeping = iter(list(self.all.values()))
                self.paths.forget()
                if self.ctx.directory.retiring(self.ctx.unix()):
                    self.unlearn()
                return
            if session.ended or session.placing is not None:
                continue
            if session.server not in self.ctx.fleet.addresses:
                self.end(session, LEFT)
            elif session.asked >= SILENT_ASKS and now - session.asked_at > SILENT:
                self.end(session, LOST)
            elif now - session.seen > idle:
                self.end(session, IDLE)
            else:
                for path in list(session.others or ()):
                    if now - path.used > idle:
                        self.paths.close(path)
