"""Session setup: from a client's first Initial until a server has accepted the session or it has a final response.

No I/O. The methods are in the order of the steps: start, request a decision, attempt what it says, read the server's
reply, then establish the session or end the attempt. One attempt is in progress at a time, and its path is closed
before the next one starts.
"""

from __future__ import annotations

from aspensaddle.core.actions import CancelAttempt, Fail, Migrate, Reject, RequestAction, StartAttempt
from aspensaddle.core.events import Outcome
from aspensaddle.frontends.quic.address_limits import HandshakeLimit
from aspensaddle.frontends.quic.client_hello import ClientHelloError
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.delivery import AttemptEvidence, DeliveryFailure, SentDatagrams
from aspensaddle.frontends.quic.flight import AddResult, Flight
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED, INTERNAL_ERROR, InitialFrames
from aspensaddle.frontends.quic.packets import Packet
from aspensaddle.frontends.quic.path_table import PathTable
from aspensaddle.frontends.quic.responder import Responder
from aspensaddle.frontends.quic.server_replies import Accepted, Closed, Redirected, read_server_reply
from aspensaddle.frontends.quic.session import ClientAddress, Path, Session, SetupStage, SetupState
from aspensaddle.frontends.quic.session_establishment import establish_session, follow_redirect
from aspensaddle.frontends.quic.session_table import SessionTable
from aspensaddle.frontends.quic.setup_log import log_attempt, log_setup
from aspensaddle.frontends.quic.setup_request import RESPONSE_MARGIN_SECONDS, build_request
from aspensaddle.frontends.quic.setup_timers import SetupTimers

RETRY_AFTER_SECONDS = 1.0  # Retry-After for clients that are rejected at capacity or during shutdown
MAX_EARLY_REPLIES = 16  # limit of the server datagrams held until one is authenticated
CRYPTO_BUFFER_EXCEEDED = 0x0D  # transport error code


class SessionSetup:
    """Sets sessions up: sends their requests to the driver and carries out its actions."""

    def __init__(self, context: Context, sessions: SessionTable, paths: PathTable, responder: Responder) -> None:
        """Start without sessions."""
        self.context, self.sessions, self.paths, self.responder = context, sessions, paths, responder
        self.pending_count = 0  # sessions that are being set up
        self._timers = SetupTimers()

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
        self._timers.start(session, setup, self.context.now + default_class.deadline - RESPONSE_MARGIN_SECONDS)
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
        request = build_request(self.context, session, setup)
        setup.class_index, setup.timer_id = request.class_index, 0  # the driver responds within the deadline
        self.context.driver.submit(session, request)

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
        self._timers.start(session, setup, self.context.now + min(action.timeout, reply_timeout))

    def _send_to_server(self, setup: SetupState, path: Path, data: bytes) -> None:
        if self.context.transport.send_to_server(data, path):
            setup.sent.record(data, setup.flight.role(data))

    def _end_attempt(self, session: Session, setup: SetupState, outcome: Outcome) -> None:
        """End the attempt and report its outcome to the driver, which decides what follows.

        The attempt's path is closed, so late packets of its server are dropped.
        """
        log_attempt(self.context, session, setup, outcome)
        setup.timer_id, setup.stage = 0, SetupStage.AWAITING_DECISION
        if setup.path is not None:
            self.paths.close(setup.path)
            setup.path = None
        setup.early_replies.clear()
        is_final = setup.bound_to_server
        self.context.driver.attempt_ended(session.id, outcome, finished=is_final)
        if is_final:  # no other server accepts the token that this one issued
            self._close(session, setup, INTERNAL_ERROR, b"ERR", "quic failed")

    def handle_server_reply(self, session: Session, setup: SetupState, path: Path, data: bytes) -> None:
        """Handle a server's datagram during an attempt.

        Only packets that the keys of the client's Initial decrypt, or that prove in another way that the server has
        seen it, have an effect.
        """
        if setup.path is not path:
            return
        if len(setup.early_replies) < MAX_EARLY_REPLIES:
            setup.early_replies.append(data)
        match read_server_reply(setup, data):
            case Redirected(dcid):
                follow_redirect(self.context, self.sessions, session, setup, path, data, dcid)
            case Closed(code):
                # After a repeated Initial, the refusal may be that of a process that was started after another one
                # had received the first Initial and executed the request.
                rejected = code == CONNECTION_REFUSED and not setup.sent.has_repeats
                self._end_attempt(session, setup, Outcome.REJECTED if rejected else Outcome.ERROR)
            case Accepted(scid):
                self._establish(session, setup, path, scid)

    def _establish(self, session: Session, setup: SetupState, path: Path, scid: bytes) -> None:
        """Establish the session: the server has accepted it and uses the connection ID `scid`."""
        context = self.context
        context.counters.add("quic attempts ok")
        context.counters.add("quic placed")
        self._finish(session, setup, placed=True)
        establish_session(context, self.sessions, session, setup, path, scid)
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

    def next_timer(self) -> float | None:
        """Return when the next timer is due, in seconds of the context's clock; None if there is none."""
        return self._timers.next_due_at()

    def run_timers(self) -> None:
        """Run the timers that are due."""
        while (session := self._timers.pop_due(self.context.now)) is not None:
            setup = session.setup
            assert setup is not None
            if setup.stage is SetupStage.ATTEMPTING:
                self._end_attempt(session, setup, Outcome.TIMED_OUT)
            else:  # the ClientHello is still incomplete, so nothing was executed
                self.context.counters.add("quic incomplete hellos")
                self._reject(session, setup, 0.0)
            self.carry_out_actions()

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
        log_setup(self.context, session, setup, placed)
        if not placed:
            self.sessions.remove(session)
