"""The life of a session from its first Initial until it stands or has its final answer.

Free of I/O. It reads from top to bottom: begin, ask the module, try what it says, hear the runner, stand or go
on to the next. One attempt is out at a time, and its path is closed before the next one begins.
"""

from __future__ import annotations

from heapq import heappop, heappush

from aspensaddle.core.actions import CancelAttempt, Fail, Migrate, Reject, RequestAction, StartAttempt
from aspensaddle.core.events import Outcome, Request
from aspensaddle.frontends.quic.client_hello import ClientHello, ClientHelloError
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.flight import AddResult, Flight
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED, INTERNAL_ERROR, InitialFrames
from aspensaddle.frontends.quic.packets import Packet, long_packets, negotiated_away
from aspensaddle.frontends.quic.path_table import PathTable
from aspensaddle.frontends.quic.responder import Responder
from aspensaddle.frontends.quic.session import (
    AmplificationLimit,
    ClientAddress,
    Path,
    Session,
    SetupStage,
    SetupState,
)
from aspensaddle.frontends.quic.session_table import UNREACHED, SessionTable
from aspensaddle.support.hashing import stable_hash

ANSWER_MARGIN = 0.03  # of the client's wait, for the answer's way back
CLOSING_WAIT = 1.0  # told to newcomers while the process ends
EARLY = 16  # datagrams of a runner kept until its reply has shown that it is one
CRYPTO_BUFFER_EXCEEDED = 0x0D


class SessionSetup:
    def __init__(self, ctx: Context, sessions: SessionTable, paths: PathTable, answers: Responder) -> None:
        self.ctx, self.sessions, self.paths, self.answers = ctx, sessions, paths, answers
        self.pending = 0  # sessions that do not stand yet
        self._timers: list[tuple[float, int, Session]] = []
        self._count = 0

    # ------------------------------------------------------------ what the client sends

    def begin(
        self,
        data: bytes,
        peer: ClientAddress,
        packets: list[Packet],
        flight: Flight,
        opened: InitialFrames,
        original: bytes,
        proven: bool,
    ) -> Session | None:
        """A client opens a connection. `original`: the id that it made up first; `proven`: its address is."""
        packet = packets[0]
        if self.pending >= self.ctx.settings.most_pending or self.sessions.full:
            self.ctx.counters.add("quic over capacity")
            self.answers.refuse(flight.keys, packet.version, packet.scid, peer, CLOSING_WAIT)
            return None
        session = self.sessions.new()
        placing = session.placing = SetupState(
            flight,
            packet.version,
            packet.dcid,
            packet.scid,
            self.ctx.now,
            original,
            peer,
            None if proven else AmplificationLimit(proof=b""),
        )
        self.pending += 1
        self.sessions.chosen.put(packet.dcid, session, self.ctx.now)
        self.ctx.counters.add("quic requests")
        # The class is not known before the ClientHello is whole: the default one's wait binds until then.
        default = self.ctx.driver.settings.classes[self.ctx.settings.rules.default]
        self._wait(session, placing, default.deadline - ANSWER_MARGIN)
        self.take(session, placing, data, packets, opened)
        return session

    def take(
        self,
        session: Session,
        placing: SetupState,
        data: bytes,
        packets: list[Packet],
        opened: InitialFrames | None = None,
    ) -> None:
        """A client's datagram to the id that it made up, while its session is being placed."""
        if placing.budget is not None:
            placing.budget.got(len(data), b"")
        try:
            taken = placing.flight.take(data, packets, opened)
        except ClientHelloError as e:
            self.ctx.counters.add("quic bad hellos")
            self.ctx.log.rate_limited_event("quic bad hello", why=str(e))
            self._close(session, placing, CRYPTO_BUFFER_EXCEEDED, b"", "quic failed")
            return
        if taken is AddResult.DROPPED:
            self.ctx.counters.add("quic datagrams dropped")
        elif placing.stage is SetupStage.TRYING and placing.path is not None:
            self.ctx.wire.to_runner(data, placing.path)
        elif placing.stage is SetupStage.HELLO and (placing.flight.hello or not self.ctx.settings.rules.ask):
            self._ask(session, placing)

    # ------------------------------------------------------------ what the module says

    def _ask(self, session: Session, placing: SetupState) -> None:
        placing.stage = SetupStage.ASKED
        if self.ctx.closing:
            self._refuse(session, placing, CLOSING_WAIT)
            return
        settings = self.ctx.driver.settings
        placing.cls, group = self.ctx.settings.rules.choose(placing.flight.hello or ClientHello())
        wait = settings.classes[placing.cls].deadline - ANSWER_MARGIN - (self.ctx.now - placing.started)
        placing.timer = 0  # the module's answer comes in time
        self.ctx.driver.submit(
            session,
            Request(
                session.id,
                placing.cls,
                wait,
                affinity_key=stable_hash(placing.original, 53),
                session_group=stable_hash(group, 53) if group and settings.session_groups else None,
            ),
        )

    def settle(self) -> None:
        """Carry out what the module has decided, as long as it decides more in answer."""
        decisions = self.sessions.decisions
        done = 0
        while done < len(decisions):  # it grows meanwhile
            session, action = decisions[done]
            done += 1
            if session.ended:
                continue
            try:
                self._carry_out(session, action)
            except Exception as e:  # a fault ends one session, not the front
                self.ctx.counters.add("internal_errors")
                self.ctx.log.event("internal_error", error=repr(e), session=session.id)
                self._abort(session)
        decisions.clear()

    def _carry_out(self, session: Session, action: RequestAction) -> None:
        placing = session.placing
        match action:
            case Migrate():
                if placing is None:
                    self.sessions.move(session)
                else:
                    session.moving = True
            case CancelAttempt():
                if placing is not None and placing.stage is SetupStage.TRYING:
                    self._failed(session, placing, Outcome.CANCELLED)
            case StartAttempt() if placing is not None:
                self._try(session, placing, action)
            case Reject() if placing is not None:
                self.ctx.counters.add(f"quic refused: {action.reason.value}")
                self._refuse(session, placing, action.retry_after)
            case Fail() if placing is not None:
                self._close(session, placing, INTERNAL_ERROR, b"ERR", "quic failed")

    # ------------------------------------------------------------ one attempt

    def _try(self, session: Session, placing: SetupState, send: StartAttempt) -> None:
        """Offer what the client has sent to a runner."""
        ctx = self.ctx
        ctx.counters.add("quic attempts")
        placing.attempts += 1
        placing.stage = SetupStage.TRYING
        fit = ctx.fleet.uid(send.server) in ctx.directory.uids  # else not a runner that speaks QUIC
        placing.path = self.paths.open(session, send.server, placing.peer) if fit else None
        if placing.path is None or not ctx.driver.may_start_attempt(session.id):
            self._failed(session, placing, Outcome.NOT_SENT)
            return
        placing.path.budget = placing.budget
        for data in placing.flight.datagrams:
            ctx.wire.to_runner(data, placing.path)
        reply_within = ctx.settings.reply_within_s or ctx.driver.settings.limits.connect_timeout
        self._wait(session, placing, min(send.timeout, reply_within))

    def _failed(self, session: Session, placing: SetupState, outcome: Outcome) -> None:
        """The attempt is over: late packets of its runner reach nobody. The module says what is next."""
        self.ctx.counters.add(f"quic attempts {outcome.label}")
        placing.timer, placing.stage = 0, SetupStage.ASKED
        if placing.path is not None:
            self.paths.close(placing.path)
            placing.path = None
        placing.early.clear()
        bound = placing.bound
        self.ctx.driver.attempt_ended(session.id, outcome, finished=bound)
        if bound:  # its token is worth nothing at another runner
            self._close(session, placing, INTERNAL_ERROR, b"ERR", "quic failed")

    def reply(self, session: Session, placing: SetupState, path: Path, data: bytes) -> None:
        """A runner's datagram in an attempt. Only what opens under the keys of the client's own Initial counts."""
        if placing.path is not path:
            return
        if len(placing.early) < EARLY:
            placing.early.append(data)
        if negotiated_away(data, placing.version, placing.dcid, placing.scid):
            self._redirected(session, placing, path, data, placing.dcid)
            return
        for packet in long_packets(data):
            if packet.is_retry_for(placing.dcid):
                self._redirected(session, placing, path, data, packet.scid)
                return
            frames = placing.flight.keys.open(packet, from_client=False)
            if frames is None:
                continue
            if frames.closed is not None:
                refused = frames.closed == CONNECTION_REFUSED
                self._failed(session, placing, Outcome.REJECTED if refused else Outcome.ERROR)
                return
            if frames.crypto:
                self._stands(session, placing, path, packet.scid)
                return

    def _redirected(self, session: Session, placing: SetupState, path: Path, data: bytes, dcid: bytes) -> None:
        """A Retry or a Version Negotiation: the client comes again, under the id in the Retry or with another
        version, and has other keys. It is the same attempt, at the same runner.
        """
        if placing.bound:
            return  # a client takes one only
        placing.bound = True
        placing.early.clear()
        self.sessions.chosen.put(placing.dcid, None, self.ctx.now)
        placing.dcid, placing.flight = dcid, Flight(dcid)
        self.sessions.chosen.put(dcid, session, self.ctx.now)
        self._send(path, data)

    def _stands(self, session: Session, placing: SetupState, path: Path, scid: bytes) -> None:
        """The runner has taken the session."""
        ctx = self.ctx
        ctx.counters.add("quic attempts ok")
        ctx.counters.add("quic placed")
        self._over(session, placing, placed=True)
        session.server, session.path, session.placing = path.server, path, None
        session.seen = path.used = ctx.now
        if path.budget is not None:
            path.budget.proof = scid
        if ctx.directory.routable(scid):
            self.sessions.learn(session, scid)
        else:
            # Its ids can't be read: they are found by heart, and by the client's address where they change.
            ctx.counters.add("quic by address")
            session.by_address = True
            if path.budget is not None and not scid:
                path.budget.proof = None
            self.sessions.learn(session, scid)
            self.sessions.by_address[path.peer] = session
        for data in placing.early:
            self._send(path, data)
        # What still comes to the id that the client made up is its session's.
        self.sessions.chosen.put(placing.dcid, session, ctx.now)
        ctx.driver.connection_established(session.id)
        if session.moving:
            self.sessions.move(session)

    def _send(self, path: Path, data: bytes) -> None:
        if path.budget is not None and not path.budget.spend(len(data)):
            self.ctx.counters.add("quic over three times")
            return
        self.ctx.wire.to_client(data, path.peer)

    def unreachable(self, path: Path) -> None:
        """An ICMP error: no process listens there."""
        session = path.session
        placing = session.placing
        if placing is None:
            self.sessions.end(session, UNREACHED)
        elif placing.path is path:
            self._failed(session, placing, Outcome.UNREACHABLE)

    # ------------------------------------------------------------ time

    def _wait(self, session: Session, placing: SetupState, within: float) -> None:
        self._count += 1
        placing.timer = self._count
        heappush(self._timers, (self.ctx.now + within, self._count, session))

    def next_timer(self) -> float | None:
        """When the next timer is due, on the context's clock."""
        while self._timers and not self._counts(self._timers[0]):
            heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def run_timers(self) -> None:
        while (at := self.next_timer()) is not None and at <= self.ctx.now:
            session = heappop(self._timers)[2]
            placing = session.placing
            assert placing is not None
            if placing.stage is SetupStage.TRYING:
                self._failed(session, placing, Outcome.TIMED_OUT)
            else:  # its ClientHello has not become whole; nothing has run
                self.ctx.counters.add("quic incomplete hellos")
                self._refuse(session, placing, 0.0)
            self.settle()

    def _counts(self, timer: tuple[float, int, Session]) -> bool:
        placing = timer[2].placing
        return not timer[2].ended and placing is not None and placing.timer == timer[1]

    # ------------------------------------------------------------ the final answer

    def _refuse(self, session: Session, placing: SetupState, wait: float) -> None:
        self.answers.refuse(placing.flight.keys, placing.version, placing.scid, placing.peer, wait)
        self._over(session, placing, placed=False)

    def _close(self, session: Session, placing: SetupState, code: int, reason: bytes, count: str) -> None:
        self.answers.close(placing.flight.keys, placing.version, placing.scid, placing.peer, code, reason, count)
        self._over(session, placing, placed=False)

    def _abort(self, session: Session) -> None:
        """What a fault has left of a session: its client gets its final answer all the same."""
        if session.placing is not None and not session.ended:
            self._close(session, session.placing, INTERNAL_ERROR, b"ERR", "quic failed")
        elif not session.ended:
            self.sessions.drop(session)

    def _over(self, session: Session, placing: SetupState, placed: bool) -> None:
        self.pending -= 1
        placing.timer = 0
        self.ctx.log.event(
            "quic request",
            id=session.id,
            cls=placing.cls,
            attempts=placing.attempts,
            placed=placed,
            ms=round(1000 * (self.ctx.now - placing.started), 1),
        )
        if not placed:
            self.sessions.drop(session)
