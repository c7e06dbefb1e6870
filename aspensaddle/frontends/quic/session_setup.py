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
from aspensaddle.frontends.quic.packets import Packet, is_version_negotiation_for, parse_long_header_packets
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
from aspensaddle.frontends.quic.session_table import SERVER_UNREACHABLE, SessionTable
from aspensaddle.support.hashing import stable_hash

RESPONSE_MARGIN_SECONDS = 0.03  # of the client's wait, for the answer's way back
REJECTION_RETRY_AFTER_SECONDS = 1.0  # told to newcomers while the process ends
MAX_EARLY_REPLIES = 16  # datagrams of a runner kept until its reply has shown that it is one
CRYPTO_BUFFER_EXCEEDED = 0x0D


class SessionSetup:
    def __init__(self, context: Context, sessions: SessionTable, paths: PathTable, responder: Responder) -> None:
        self.context, self.sessions, self.paths, self.responder = context, sessions, paths, responder
        self.pending_count = 0  # sessions that do not stand yet
        self._timers: list[tuple[float, int, Session]] = []
        self._timer_count = 0

    # ------------------------------------------------------------ what the client sends

    def start(
        self,
        data: bytes,
        client_address: ClientAddress,
        packets: list[Packet],
        flight: Flight,
        opened: InitialFrames,
        original_dcid: bytes,
        proven: bool,
    ) -> Session | None:
        """A client opens a connection. `original_dcid`: the id that it made up first; `proven`: its address is."""
        packet = packets[0]
        if self.pending_count >= self.context.settings.most_pending or self.sessions.is_full:
            self.context.counters.add("quic over capacity")
            self.responder.reject(
                flight.keys, packet.version, packet.scid, client_address, REJECTION_RETRY_AFTER_SECONDS
            )
            return None
        session = self.sessions.create()
        setup = session.setup = SetupState(
            flight,
            packet.version,
            packet.dcid,
            packet.scid,
            self.context.now,
            original_dcid,
            client_address,
            None if proven else AmplificationLimit(validating_cid=b""),
        )
        self.pending_count += 1
        self.sessions.by_client_cid.put(packet.dcid, session, self.context.now)
        self.context.counters.add("quic requests")
        # The class is not known before the ClientHello is whole: the default one's wait binds until then.
        default = self.context.driver.settings.classes[self.context.settings.rules.default_class_index]
        self._start_timer(session, setup, default.deadline - RESPONSE_MARGIN_SECONDS)
        self.add_client_datagram(session, setup, data, packets, opened)
        return session

    def add_client_datagram(
        self,
        session: Session,
        setup: SetupState,
        data: bytes,
        packets: list[Packet],
        opened: InitialFrames | None = None,
    ) -> None:
        """A client's datagram to the id that it made up, while its session is being placed."""
        if setup.amplification_limit is not None:
            setup.amplification_limit.record_received(len(data), b"")
        try:
            taken = setup.flight.add_datagram(data, packets, opened)
        except ClientHelloError as e:
            self.context.counters.add("quic bad hellos")
            self.context.log.rate_limited_event("quic bad hello", why=str(e))
            self._close(session, setup, CRYPTO_BUFFER_EXCEEDED, b"", "quic failed")
            return
        if taken is AddResult.DROPPED:
            self.context.counters.add("quic datagrams dropped")
        elif setup.stage is SetupStage.ATTEMPTING and setup.path is not None:
            self.context.transport.send_to_server(data, setup.path)
        elif setup.stage is SetupStage.CLIENT_HELLO_INCOMPLETE and (
            setup.flight.client_hello or not self.context.settings.rules.need_client_hello
        ):
            self._request_decision(session, setup)

    # ------------------------------------------------------------ what the module says

    def _request_decision(self, session: Session, setup: SetupState) -> None:
        setup.stage = SetupStage.AWAITING_DECISION
        if self.context.shutting_down:
            self._reject(session, setup, REJECTION_RETRY_AFTER_SECONDS)
            return
        settings = self.context.driver.settings
        setup.class_index, group = self.context.settings.rules.classify(setup.flight.client_hello or ClientHello())
        wait = (
            settings.classes[setup.class_index].deadline
            - RESPONSE_MARGIN_SECONDS
            - (self.context.now - setup.started_at)
        )
        setup.timer_id = 0  # the module's answer comes in time
        self.context.driver.submit(
            session,
            Request(
                session.id,
                setup.class_index,
                wait,
                affinity_key=stable_hash(setup.original_dcid, 53),
                session_group=stable_hash(group, 53) if group and settings.session_groups else None,
            ),
        )

    def carry_out_actions(self) -> None:
        """Carry out what the module has decided, as long as it decides more in answer."""
        pending_actions = self.sessions.pending_actions
        done = 0
        while done < len(pending_actions):  # it grows meanwhile
            session, action = pending_actions[done]
            done += 1
            if session.ended:
                continue
            try:
                self._carry_out(session, action)
            except Exception as e:  # a fault ends one session, not the front
                self.context.counters.add("internal_errors")
                self.context.log.event("internal_error", error=repr(e), session=session.id)
                self._abort(session)
        pending_actions.clear()

    def _carry_out(self, session: Session, action: RequestAction) -> None:
        setup = session.setup
        match action:
            case Migrate():
                if setup is None:
                    self.sessions.migrate(session)
                else:
                    session.migrating = True
            case CancelAttempt():
                if setup is not None and setup.stage is SetupStage.ATTEMPTING:
                    self._end_attempt(session, setup, Outcome.CANCELLED)
            case StartAttempt() if setup is not None:
                self._start_attempt(session, setup, action)
            case Reject() if setup is not None:
                self.context.counters.add(f"quic refused: {action.reason.value}")
                self._reject(session, setup, action.retry_after)
            case Fail() if setup is not None:
                self._close(session, setup, INTERNAL_ERROR, b"ERR", "quic failed")

    # ------------------------------------------------------------ one attempt

    def _start_attempt(self, session: Session, setup: SetupState, send: StartAttempt) -> None:
        """Offer what the client has sent to a runner."""
        context = self.context
        context.counters.add("quic attempts")
        setup.attempts += 1
        setup.stage = SetupStage.ATTEMPTING
        fit = context.endpoints.uid(send.server) in context.directory.uids  # else not a runner that speaks QUIC
        setup.path = self.paths.open(session, send.server, setup.client_address) if fit else None
        if setup.path is None or not context.driver.may_start_attempt(session.id):
            self._end_attempt(session, setup, Outcome.NOT_SENT)
            return
        setup.path.amplification_limit = setup.amplification_limit
        for data in setup.flight.datagrams:
            context.transport.send_to_server(data, setup.path)
        reply_within = context.settings.reply_within_s or context.driver.settings.limits.connect_timeout
        self._start_timer(session, setup, min(send.timeout, reply_within))

    def _end_attempt(self, session: Session, setup: SetupState, outcome: Outcome) -> None:
        """The attempt is over: late packets of its runner reach nobody. The module says what is next."""
        self.context.counters.add(f"quic attempts {outcome.label}")
        setup.timer_id, setup.stage = 0, SetupStage.AWAITING_DECISION
        if setup.path is not None:
            self.paths.close(setup.path)
            setup.path = None
        setup.early_replies.clear()
        bound = setup.bound_to_server
        self.context.driver.attempt_ended(session.id, outcome, finished=bound)
        if bound:  # its token is worth nothing at another runner
            self._close(session, setup, INTERNAL_ERROR, b"ERR", "quic failed")

    def handle_server_reply(self, session: Session, setup: SetupState, path: Path, data: bytes) -> None:
        """A runner's datagram in an attempt. Only what opens under the keys of the client's own Initial counts."""
        if setup.path is not path:
            return
        if len(setup.early_replies) < MAX_EARLY_REPLIES:
            setup.early_replies.append(data)
        if is_version_negotiation_for(data, setup.version, setup.dcid, setup.scid):
            self._handle_redirect(session, setup, path, data, setup.dcid)
            return
        for packet in parse_long_header_packets(data):
            if packet.is_retry_for(setup.dcid):
                self._handle_redirect(session, setup, path, data, packet.scid)
                return
            frames = setup.flight.keys.decrypt(packet, from_client=False)
            if frames is None:
                continue
            if frames.close_code is not None:
                refused = frames.close_code == CONNECTION_REFUSED
                self._end_attempt(session, setup, Outcome.REJECTED if refused else Outcome.ERROR)
                return
            if frames.crypto:
                self._establish(session, setup, path, packet.scid)
                return

    def _handle_redirect(self, session: Session, setup: SetupState, path: Path, data: bytes, dcid: bytes) -> None:
        """A Retry or a Version Negotiation: the client comes again, under the id in the Retry or with another
        version, and has other keys. It is the same attempt, at the same runner.
        """
        if setup.bound_to_server:
            return  # a client takes one only
        setup.bound_to_server = True
        setup.early_replies.clear()
        self.sessions.by_client_cid.put(setup.dcid, None, self.context.now)
        setup.dcid, setup.flight = dcid, Flight(dcid)
        self.sessions.by_client_cid.put(dcid, session, self.context.now)
        self._send_to_client(path, data)

    def _establish(self, session: Session, setup: SetupState, path: Path, scid: bytes) -> None:
        """The runner has taken the session."""
        context = self.context
        context.counters.add("quic attempts ok")
        context.counters.add("quic placed")
        self._finish(session, setup, placed=True)
        session.server, session.path, session.setup = path.server, path, None
        session.last_active_at = path.last_used_at = context.now
        if path.amplification_limit is not None:
            path.amplification_limit.validating_cid = scid
        if context.directory.is_routable(scid):
            self.sessions.add_cid(session, scid)
        else:
            # Its ids can't be read: they are found by heart, and by the client's address where they change.
            context.counters.add("quic by address")
            session.by_address = True
            if path.amplification_limit is not None and not scid:
                path.amplification_limit.validating_cid = None
            self.sessions.add_cid(session, scid)
            self.sessions.by_address[path.client_address] = session
        for data in setup.early_replies:
            self._send_to_client(path, data)
        # What still comes to the id that the client made up is its session's.
        self.sessions.by_client_cid.put(setup.dcid, session, context.now)
        context.driver.connection_established(session.id)
        if session.migrating:
            self.sessions.migrate(session)

    def _send_to_client(self, path: Path, data: bytes) -> None:
        if path.amplification_limit is not None and not path.amplification_limit.try_consume(len(data)):
            self.context.counters.add("quic over three times")
            return
        self.context.transport.send_to_client(data, path.client_address)

    def handle_unreachable_server(self, path: Path) -> None:
        """An ICMP error: no process listens there."""
        session = path.session
        setup = session.setup
        if setup is None:
            self.sessions.end(session, SERVER_UNREACHABLE)
        elif setup.path is path:
            self._end_attempt(session, setup, Outcome.UNREACHABLE)

    # ------------------------------------------------------------ time

    def _start_timer(self, session: Session, setup: SetupState, within: float) -> None:
        self._timer_count += 1
        setup.timer_id = self._timer_count
        heappush(self._timers, (self.context.now + within, self._timer_count, session))

    def next_timer(self) -> float | None:
        """When the next timer is due, on the context's clock."""
        while self._timers and not self._is_current(self._timers[0]):
            heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def run_timers(self) -> None:
        while (at := self.next_timer()) is not None and at <= self.context.now:
            session = heappop(self._timers)[2]
            setup = session.setup
            assert setup is not None
            if setup.stage is SetupStage.ATTEMPTING:
                self._end_attempt(session, setup, Outcome.TIMED_OUT)
            else:  # its ClientHello has not become whole; nothing has run
                self.context.counters.add("quic incomplete hellos")
                self._reject(session, setup, 0.0)
            self.carry_out_actions()

    def _is_current(self, timer: tuple[float, int, Session]) -> bool:
        setup = timer[2].setup
        return not timer[2].ended and setup is not None and setup.timer_id == timer[1]

    # ------------------------------------------------------------ the final answer

    def _reject(self, session: Session, setup: SetupState, wait: float) -> None:
        self.responder.reject(setup.flight.keys, setup.version, setup.scid, setup.client_address, wait)
        self._finish(session, setup, placed=False)

    def _close(self, session: Session, setup: SetupState, code: int, reason: bytes, count: str) -> None:
        self.responder.close_connection(
            setup.flight.keys, setup.version, setup.scid, setup.client_address, code, reason, count
        )
        self._finish(session, setup, placed=False)

    def _abort(self, session: Session) -> None:
        """What a fault has left of a session: its client gets its final answer all the same."""
        if session.setup is not None and not session.ended:
            self._close(session, session.setup, INTERNAL_ERROR, b"ERR", "quic failed")
        elif not session.ended:
            self.sessions.remove(session)

    def _finish(self, session: Session, setup: SetupState, placed: bool) -> None:
        self.pending_count -= 1
        setup.timer_id = 0
        self.context.log.event(
            "quic request",
            id=session.id,
            cls=setup.class_index,
            attempts=setup.attempts,
            placed=placed,
            ms=round(1000 * (self.context.now - setup.started_at), 1),
        )
        if not placed:
            self.sessions.remove(session)
