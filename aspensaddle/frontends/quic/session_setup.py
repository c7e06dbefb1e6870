"""Session setup: from a client's first Initial until a server has accepted the session or it has a final response.

No I/O. The methods are in the order of the steps: start, request a decision, attempt what it says, read the server's
reply, then establish the session or end the attempt. One attempt is in progress at a time, and its path is closed
before the next one starts.
"""

from __future__ import annotations

from heapq import heappop, heappush

from aspensaddle.core.actions import CancelAttempt, Fail, Migrate, Reject, RequestAction, StartAttempt
from aspensaddle.core.events import Outcome, Request
from aspensaddle.frontends.quic.address_limits import HandshakeLimit, ReplyLimit
from aspensaddle.frontends.quic.client_hello import ClientHello, ClientHelloError
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.delivery import AttemptEvidence, DeliveryFailure, SentDatagrams
from aspensaddle.frontends.quic.flight import AddResult, Flight
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED, INTERNAL_ERROR, InitialFrames
from aspensaddle.frontends.quic.packets import Packet, is_version_negotiation_for, parse_long_header_packets
from aspensaddle.frontends.quic.path_table import PathTable
from aspensaddle.frontends.quic.responder import Responder
from aspensaddle.frontends.quic.session import (
    ClientAddress,
    Path,
    Session,
    SetupStage,
    SetupState,
)
from aspensaddle.frontends.quic.session_table import SessionTable
from aspensaddle.support.hashing import stable_hash

RESPONSE_MARGIN_SECONDS = 0.03  # part of the client's deadline that is reserved for sending the response
RETRY_AFTER_SECONDS = 1.0  # Retry-After for clients that are rejected at capacity or during shutdown
MAX_EARLY_REPLIES = 16  # limit of the server datagrams held until one is authenticated
CRYPTO_BUFFER_EXCEEDED = 0x0D  # transport error code


class SessionSetup:
    """Sets sessions up: sends their requests to the driver and carries out its actions."""

    def __init__(self, context: Context, sessions: SessionTable, paths: PathTable, responder: Responder) -> None:
        """Start without sessions."""
        self.context, self.sessions, self.paths, self.responder = context, sessions, paths, responder
        self.pending_count = 0  # sessions that are being set up
        self._timers: list[tuple[float, int, Session]] = []  # a heap of due time, timer ID and session
        self._timer_count = 0

    # Datagrams from clients

    def start(
        self,
        data: bytes,
        client_address: ClientAddress,
        packets: list[Packet],
        flight: Flight,
        first_frames: InitialFrames,
        original_dcid: bytes,
        validated: bool,
    ) -> Session | None:
        """Start a session with a client's first Initial, whose first packet holds `first_frames`.

        `original_dcid` is the connection ID that the client chose first; `validated` states whether a token has
        validated its address. Returns None if the client was rejected for lack of capacity.
        """
        packet = packets[0]
        if self.pending_count >= self.context.settings.most_pending or self.sessions.is_full:
            self.context.counters.add("quic over capacity")
            self.responder.reject(flight.keys, packet.version, packet.scid, client_address, RETRY_AFTER_SECONDS)
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
            None if validated else HandshakeLimit(),
        )
        self.pending_count += 1
        self.sessions.by_client_cid.put(packet.dcid, session, self.context.now)
        self.context.counters.add("quic requests")
        # The ClientHello determines the request class; until it is complete, the default class's deadline applies.
        default_class = self.context.driver.settings.classes[self.context.settings.rules.default_class_index]
        self._start_timer(session, setup, default_class.deadline - RESPONSE_MARGIN_SECONDS)
        self.add_client_datagram(session, setup, data, packets, first_frames)
        return session

    def add_client_datagram(
        self,
        session: Session,
        setup: SetupState,
        data: bytes,
        packets: list[Packet],
        first_frames: InitialFrames | None = None,
    ) -> None:
        """Handle a client's datagram to its client-chosen connection ID during setup."""
        if session.ended:
            return
        if setup.address_limit is not None:
            setup.address_limit.record_received(len(data), b"")
        try:
            result = setup.flight.add_datagram(data, packets, first_frames)
        except ClientHelloError as error:
            self.context.counters.add("quic bad hellos")
            self.context.log.rate_limited_event("quic bad hello", why=str(error))
            self._close(session, setup, CRYPTO_BUFFER_EXCEEDED, b"", "quic failed")
            return
        if result is AddResult.DROPPED:
            self.context.counters.add("quic datagrams dropped")
        elif setup.stage is SetupStage.ATTEMPTING and setup.path is not None:
            self._send_to_server(setup, setup.path, data)
        elif setup.stage is SetupStage.CLIENT_HELLO_INCOMPLETE and self._may_request_decision(setup):
            self._request_decision(session, setup)
        if setup.flight.client_closed:  # the server of the current attempt has been sent the datagram
            self.context.counters.add("quic clients left")
            self._finish(session, setup, placed=False)

    def _may_request_decision(self, setup: SetupState) -> bool:
        if setup.flight.client_closed:
            return False
        return setup.flight.client_hello is not None or not self.context.settings.rules.need_client_hello

    # Decisions of the balancer

    def _request_decision(self, session: Session, setup: SetupState) -> None:
        setup.stage = SetupStage.AWAITING_DECISION
        if self.context.shutting_down:
            self._reject(session, setup, RETRY_AFTER_SECONDS)
            return
        settings = self.context.driver.settings
        setup.class_index, group = self.context.settings.rules.classify(setup.flight.client_hello or ClientHello())
        time_left = (
            settings.classes[setup.class_index].deadline
            - RESPONSE_MARGIN_SECONDS
            - (self.context.now - setup.started_at)
        )
        setup.timer_id = 0  # the driver responds within the deadline
        self.context.driver.submit(
            session,
            Request(
                session.id,
                setup.class_index,
                time_left,
                affinity_key=stable_hash(setup.original_dcid, 53),
                session_group=stable_hash(group, 53) if group and settings.session_groups else None,
                client_request_id=f"quic cid {setup.original_dcid.hex()}",
            ),
        )

    def carry_out_actions(self) -> None:
        """Carry out the actions that the driver has queued, and those that it queues meanwhile."""
        pending_actions = self.sessions.pending_actions
        done = 0
        while done < len(pending_actions):
            session, action = pending_actions[done]
            done += 1
            if session.ended:
                continue
            try:
                self._carry_out(session, action)
            except Exception as error:  # an internal error ends one session, not the front end
                self.context.counters.add("internal_errors")
                self.context.log.event("internal_error", error=repr(error), session=session.id)
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

    # Attempts

    def _start_attempt(self, session: Session, setup: SetupState, action: StartAttempt) -> None:
        """Start an attempt: send the client's datagrams so far to a server."""
        context = self.context
        context.counters.add("quic attempts")
        setup.attempts += 1
        setup.attempt_started_at, setup.sent = context.now, SentDatagrams()
        setup.stage = SetupStage.ATTEMPTING
        speaks_quic = context.endpoints.uid(action.server) in context.directory.uids
        setup.path = self.paths.open(session, action.server, setup.client_address) if speaks_quic else None
        if setup.path is None or not context.driver.may_start_attempt(session.id):
            self._end_attempt(session, setup, Outcome.NOT_SENT)
            return
        setup.path.address_limit = setup.address_limit
        for data in setup.flight.datagrams:
            self._send_to_server(setup, setup.path, data)
        if not setup.sent.count:
            self._end_attempt(session, setup, Outcome.NOT_SENT)
            return
        reply_timeout = context.settings.reply_within_s or context.driver.settings.limits.connect_timeout
        self._start_timer(session, setup, min(action.timeout, reply_timeout))

    def _send_to_server(self, setup: SetupState, path: Path, data: bytes) -> None:
        if self.context.transport.send_to_server(data, path):
            setup.sent.record(data, setup.flight.role(data))

    def _end_attempt(self, session: Session, setup: SetupState, outcome: Outcome) -> None:
        """End the attempt and report its outcome to the driver, which decides what follows.

        The attempt's path is closed, so late packets of its server are dropped.
        """
        self._log_attempt(session, setup, outcome)
        setup.timer_id, setup.stage = 0, SetupStage.AWAITING_DECISION
        if setup.path is not None:
            self.paths.close(setup.path)
            setup.path = None
        setup.early_replies.clear()
        is_final = setup.bound_to_server
        self.context.driver.attempt_ended(session.id, outcome, finished=is_final)
        if is_final:  # no other server accepts the token that this one issued
            self._close(session, setup, INTERNAL_ERROR, b"ERR", "quic failed")

    def _log_attempt(self, session: Session, setup: SetupState, outcome: Outcome) -> None:
        context = self.context
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

    def handle_server_reply(self, session: Session, setup: SetupState, path: Path, data: bytes) -> None:
        """Handle a server's datagram during an attempt.

        Only packets that the keys of the client's Initial decrypt, or that prove in another way that the server has
        seen it, have an effect.
        """
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
                # After a repeated Initial, the refusal may be that of a process that was started after another one
                # had received the first Initial and executed the request.
                rejected = frames.close_code == CONNECTION_REFUSED and not setup.sent.has_repeats
                self._end_attempt(session, setup, Outcome.REJECTED if rejected else Outcome.ERROR)
                return
            if frames.crypto:
                self._establish(session, setup, path, packet.scid)
                return

    def _handle_redirect(self, session: Session, setup: SetupState, path: Path, data: bytes, dcid: bytes) -> None:
        """Pass on a server's Retry or Version Negotiation, as part of the same attempt at the same server.

        The client then sends a new flight, to the connection ID in the Retry or with another version, so with other
        keys.
        """
        if setup.bound_to_server:
            return  # a client accepts only one
        setup.bound_to_server = True
        setup.early_replies.clear()
        self.sessions.by_client_cid.put(setup.dcid, None, self.context.now)
        setup.dcid, setup.flight = dcid, Flight(dcid)
        self.sessions.by_client_cid.put(dcid, session, self.context.now)
        self.sessions.delivery.deliver(path, data)

    def _establish(self, session: Session, setup: SetupState, path: Path, scid: bytes) -> None:
        """Establish the session: the server has accepted it and uses the connection ID `scid`."""
        context = self.context
        context.counters.add("quic attempts ok")
        context.counters.add("quic placed")
        self._finish(session, setup, placed=True)
        session.server, session.path, session.setup = path.server, path, None
        session.handshake_deadline = setup.started_at + context.driver.settings.classes[setup.class_index].deadline
        session.last_active_at = session.last_server_datagram_at = path.last_used_at = context.now
        if isinstance(path.address_limit, HandshakeLimit):
            path.address_limit.validating_cid = scid
        if context.directory.is_routable(scid):
            self.sessions.add_cid(session, scid)
        else:
            # Connection IDs that are not routable are found by an exact match only. After the client changes to one
            # that is not known here, it is found by its address.
            context.counters.add("quic by address")
            session.routed_by_address = True
            if path.address_limit is not None and not scid:
                path.address_limit = ReplyLimit(path.bytes_from_client)  # no connection ID can validate the address
            self.sessions.add_cid(session, scid)
            self.sessions.by_address[path.client_address] = session
        for data in setup.early_replies:
            self.sessions.deliver(session, path, data)
        # Further packets to the client-chosen connection ID belong to the session.
        self.sessions.by_client_cid.put(setup.dcid, session, context.now)
        context.driver.connection_established(session.id)
        if session.migrating:
            self.sessions.migrate(session)

    def handle_delivery_failure(
        self, session: Session, setup: SetupState, path: Path, failure: DeliveryFailure
    ) -> None:
        """Handle the network's report that a datagram to the server of an attempt was not delivered."""
        if setup.path is not path:
            return
        match setup.sent.evidence_of(failure):
            case AttemptEvidence.NOT_EXECUTED:
                self._end_attempt(session, setup, Outcome.UNREACHABLE)
            case AttemptEvidence.SERVER_LOST:
                self._end_attempt(session, setup, Outcome.CONNECTION_LOST)

    # Timers

    def _start_timer(self, session: Session, setup: SetupState, delay: float) -> None:
        """Start a timer of `delay` seconds, which replaces the session's earlier one."""
        self._timer_count += 1
        setup.timer_id = self._timer_count
        heappush(self._timers, (self.context.now + delay, self._timer_count, session))

    def next_timer(self) -> float | None:
        """Return when the next timer is due, in seconds of the context's clock; None if there is none."""
        while self._timers and not self._is_current(self._timers[0]):
            heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def run_timers(self) -> None:
        """Run the timers that are due."""
        while (due_at := self.next_timer()) is not None and due_at <= self.context.now:
            session = heappop(self._timers)[2]
            setup = session.setup
            assert setup is not None
            if setup.stage is SetupStage.ATTEMPTING:
                self._end_attempt(session, setup, Outcome.TIMED_OUT)
            else:  # the ClientHello is still incomplete, so nothing was executed
                self.context.counters.add("quic incomplete hellos")
                self._reject(session, setup, 0.0)
            self.carry_out_actions()

    def _is_current(self, timer: tuple[float, int, Session]) -> bool:
        setup = timer[2].setup
        return not timer[2].ended and setup is not None and setup.timer_id == timer[1]

    # Final responses

    def _reject(self, session: Session, setup: SetupState, retry_after: float) -> None:
        self.responder.reject(setup.flight.keys, setup.version, setup.scid, setup.client_address, retry_after)
        self._finish(session, setup, placed=False)

    def _close(self, session: Session, setup: SetupState, code: int, reason: bytes, counter: str) -> None:
        self.responder.close_connection(
            setup.flight.keys, setup.version, setup.scid, setup.client_address, code, reason, counter
        )
        self._finish(session, setup, placed=False)

    def _abort(self, session: Session) -> None:
        """End a session after an internal error; if it was being set up, its client still gets a final response."""
        if session.setup is not None and not session.ended:
            self._close(session, session.setup, INTERNAL_ERROR, b"ERR", "quic failed")
        elif not session.ended:
            self.sessions.remove(session)

    def _finish(self, session: Session, setup: SetupState, placed: bool) -> None:
        """End the setup and log it. `placed` states whether the session is established; else it is removed."""
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
