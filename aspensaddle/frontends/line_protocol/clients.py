"""The clients: from the accept to the end of a connection, one task each."""

from __future__ import annotations

import errno
import math
import traceback
from collections.abc import Mapping
from dataclasses import dataclass, replace

import trio

from aspensaddle.core.actions import Fail, Reject, RejectReason, StartAttempt
from aspensaddle.core.driver import Driver
from aspensaddle.core.events import Outcome
from aspensaddle.core.retry_after import shutdown_retry_after
from aspensaddle.core.settings import Settings
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.frontends.line_protocol.admission import BATCH, Admission, Stage, Stay
from aspensaddle.frontends.line_protocol.link import Broken, Link, TooLong
from aspensaddle.frontends.line_protocol.notes import Notes, Teller
from aspensaddle.frontends.line_protocol.opening import BadOpen, Opened, parse_open
from aspensaddle.frontends.line_protocol.pending import COMMANDS, Pending
from aspensaddle.frontends.line_protocol.relay import Relay
from aspensaddle.frontends.line_protocol.servers import Failed, Servers, Up, first_word
from aspensaddle.support.counters import Counters
from aspensaddle.support.event_loop_lag import EventLoopLagMonitor
from aspensaddle.support.log import Log
from aspensaddle.support.sockets import Listener

ANSWER_MARGIN = 0.03  # of the client's wait: its line's way here, and the answer's way back
LATE_PART = 0.25  # of the same, at most, is kept back for what this process is late itself
ANSWER_WITHIN = 0.5  # for a client to take its answer in
PINGS = 16  # ahead of an OPEN, at most
ADOPT_WITHIN = 38.0  # the pages: one that is not up after 40 s is lost
ADOPT_AGAIN = 0.5
SWEEP = 0.25
NO_ROOM = 0.005  # seconds for those who were told to go, before the next accept


@dataclass(frozen=True, slots=True)
class LinesSettings:
    """What the front takes from the configuration."""

    classes: Mapping[str, int]  # the number of a class by its name
    tenants: Mapping[str, int]
    settings: Settings
    sockets: int  # descriptors that the process may hold


@dataclass(frozen=True, slots=True)
class Ending:
    """How a connection is ended: what its client is still owed, then the end of this side's sending."""

    said: bytes = b""
    reset: bool = False  # as the other side was


class Clients:
    def __init__(
        self,
        config: LinesSettings,
        driver: Driver,
        servers: Servers,
        fleet: EndpointRegistry,
        counters: Counters,
        log: Log,
        reserve: int = 0,
    ) -> None:
        self.driver, self.servers, self.fleet = driver, servers, fleet
        self.counters, self.log = counters, log
        self.lateness = EventLoopLagMonitor()
        self.placing: dict[str, Pending] = {}  # no answer is decided yet
        self.standing: dict[str, Pending] = {}
        self.newcomers = True  # False: they are refused, as the process ends
        self._starting = 0  # connections that are accepted, and their tasks not begun
        self.moving = False  # who stands from now on is moved at once
        self.config = config
        self._tellers: dict[int, Teller] = {}
        self._reserve = reserve
        self.admission = Admission(counters, config.sockets)
        self.configure(config)

    def configure(self, config: LinesSettings) -> None:
        """Other settings and limits for those who come from now on."""
        self.config = config
        self.servers.sockets = config.sockets
        self.admission.configure(config.sockets, self._reserve + self.servers.descriptors)

    # ------------------------------------------------------------ accepting

    async def serve(self, listener: Listener, nursery: trio.Nursery) -> None:
        self.lateness.begin()
        try:
            while True:
                try:
                    await listener.wait()
                except trio.ClosedResourceError:  # the process ends
                    await trio.sleep_forever()
                if not self.accept(listener, nursery):
                    await trio.sleep(NO_ROOM)
        finally:
            self.lateness.end()

    def accept(self, listener: Listener, nursery: trio.Nursery) -> bool:
        """Take in what has come, a batch at most; False where there was no descriptor for it."""
        for _ in range(BATCH):
            if not self.admission.room(self._starting):
                self.admission.make_room()
                return False
            try:
                stream = listener.accept()
            except OSError as e:
                self.counters.add(f"accept {errno.errorcode.get(e.errno or 0, 'failed')}")
                self.admission.make_room()
                return False
            if stream is None:
                break
            self.counters.add("connections")
            self._starting += 1
            nursery.start_soon(self._client, stream, self.lateness.since, self.lateness.passes)
        return True

    async def _client(self, stream: trio.SocketStream, since: float, passes: int) -> None:
        """One connection, and the one owner of its end. A fault of this program ends it and no other."""
        link = Link(stream)
        self._starting -= 1
        with self.admission.stay(link) as stay:
            try:
                try:
                    ending = await self._visit(link, stay, since, passes)
                except Broken:
                    return
                except Exception as e:
                    self.counters.add("faults")
                    self.log.event("fault", error=repr(e), trace=_trace(e))
                    # Also a request that a fault has hit gets its final answer.
                    ending = Ending(b"" if link.answered else b"ERR\r\n")
                await self._end(link, stay, ending)
            except Broken:
                pass
            finally:
                link.close()

    async def _end(self, link: Link, stay: Stay, ending: Ending) -> None:
        """The answer whole, the sending ended, read out within a bound, closed. Shielded: guards against the end
        of the process between an answer that was decided and its last byte."""
        if ending.reset:
            link.reset()
            return
        if ending.said:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + ANSWER_WITHIN):
                await link.send(ending.said)
        self.admission.linger(stay)
        await link.linger(stay.ending)

    async def _visit(self, link: Link, stay: Stay, since: float, passes: int) -> Ending:
        """From the accept to what the client is owed last: a first line within its time, then what it asks for."""
        opened: Opened | None = None
        try:
            with stay.first:
                opened = await self._first(link)
            if opened is None and stay.turned_out:
                return Ending(self._busy())
            if opened is None and stay.first.cancelled_caught:
                raise BadOpen("no whole first line in time")
            if opened is not None and opened.request.request_id in self.driver:
                raise BadOpen("the id is in use")  # another's request, which goes on
            if opened is not None and link.holds(COMMANDS):
                raise BadOpen("commands that did not wait for an answer")
        except (BadOpen, TooLong) as e:
            self.counters.add("bad first lines")
            self.log.rate_limited_event("bad first line", why=str(e) or "too long")
            return Ending(b"ERR\r\n")
        if opened is None:
            return Ending()  # no whole line, no request
        self.counters.add("requests")
        link.answered = False  # a PONG was none
        if not self.newcomers or opened.at is None and self.admission.full:
            # A process that ends, or has no descriptors left, can't keep a connection.
            self.counters.add("refused: full" if self.newcomers else "refused while closing")
            return Ending(self._busy())
        self.admission.ask(stay)
        if opened.at is not None:
            return await self._adopt(link, opened, opened.at)
        # A line that was there when the connection was accepted came, at the earliest, with it.
        came = since if self.lateness.passes <= passes + 2 else self.lateness.since
        return await self._request(link, opened, came)

    def _busy(self) -> bytes:
        return _busy(shutdown_retry_after(self.config.settings.limits))

    async def _first(self, link: Link) -> Opened | None:
        """The OPEN; None where the connection ends before it."""
        pings = 0
        while (line := await link.line()) is not None:
            if line.strip() != b"PING":
                return parse_open(line, self.config.classes, self.config.settings.session_groups, self.config.tenants)
            if (pings := pings + 1) > PINGS:
                raise BadOpen("too many commands")
            self.counters.add("pings")
            await link.send(b"PONG\r\n")
        return None

    # ------------------------------------------------------------ the life of a request

    async def _request(self, client: Link, opened: Opened, came: float) -> Ending:
        """Place a request and stay until its end; what its client is still owed."""
        request = opened.request
        start = trio.current_time()
        wait = min(request.time_left, self.config.settings.classes[request.class_index].deadline)
        # The time counts from when the line came; an answer that is due finds this process as late as it is.
        late = start - came + min(self.lateness.recent(start), LATE_PART * wait)
        request = replace(request, time_left=wait - ANSWER_MARGIN - late)
        pending = Pending(client)
        up: Up | None = None
        given: Reject | Fail | None = None  # what the answer says, where the module or the driver decided it
        answer = b""
        server = -1
        async with trio.open_nursery() as nursery:
            pending.scope = nursery.cancel_scope
            nursery.start_soon(_watch, pending)
            try:
                self.placing[request.request_id] = pending
                self.driver.submit(pending, request)
                while up is None and not answer:
                    decision = await pending.decision()
                    if not isinstance(decision, StartAttempt):
                        given, answer = decision, _answer(decision)
                    elif not pending.client_is_connected():
                        break
                    else:
                        server = decision.server
                        tried = await self._attempt(pending, opened, decision)
                        if isinstance(tried, Up):
                            up = tried
                        elif pending.final is not None:
                            continue  # given up while it was out
                        elif tried.outcome is Outcome.OK:  # served to its end at once
                            self.driver.attempt_ended(request.request_id, tried.outcome, finished=True)
                            answer = tried.said
                        else:
                            self.driver.attempt_ended(request.request_id, tried.outcome)
            finally:
                del self.placing[request.request_id]
                if up is None and not answer:
                    self.driver.client_disconnected(request.request_id)
            nursery.cancel_scope.cancel()
        if up is not None and pending.final is not None:
            up.link.close()  # given up in the moment in which it came up
            up, given, answer = None, pending.final, _answer(pending.final)
        if up is None and not answer and pending.unruly:
            answer = b"ERR\r\n"
        why = given.reason.value if isinstance(given, Reject) else None
        self.log.event(
            "request",
            id=request.request_id,
            key=request.affinity_key,
            cls=request.class_index,
            group=request.session_group,
            again=request.reconnecting,
            attempts=pending.attempts,
            left=request.time_left,
            at=self.fleet.uid(server) if server >= 0 else None,
            ms=round(1000 * (trio.current_time() - start), 1),
            answer="UP" if up else answer.decode("latin-1").strip() or "gone",
            why=why,
        )
        if up is not None:
            self.driver.connection_established(request.request_id)
            return await self._stand(client, pending, opened, server, up)
        if why:
            self.counters.add(f"refused: {why}")
        self.counters.add(f"answers {first_word(answer).decode('latin-1')}" if answer else "clients gone")
        return Ending(answer)

    async def _attempt(self, pending: Pending, opened: Opened, send: StartAttempt) -> Up | Failed:
        tried: Up | Failed = Failed(Outcome.CANCELLED)
        with pending.attempt:
            tried = await self.servers.attempt(
                send.server, opened.first_line, send.timeout, lambda: self.driver.may_start_attempt(send.request_id)
            )
        return tried

    async def _adopt(self, client: Link, opened: Opened, at: str) -> Ending:
        """A connection that was open at that runner before the run: taken over, not placed."""
        pending, request = Pending(client), opened.request
        tried: Up | Failed = Failed(Outcome.NOT_SENT)
        stop = trio.current_time() + ADOPT_WITHIN
        server: int | None = None
        async with trio.open_nursery() as nursery:
            pending.scope = nursery.cancel_scope
            nursery.start_soon(_watch, pending)
            try:
                self.placing[request.request_id] = pending
                while isinstance(tried, Failed) and trio.current_time() < stop and pending.final is None:
                    if (server := self.fleet.find(at)) is not None:
                        with pending.attempt:
                            tried = await self.servers.attempt(
                                server, opened.first_line, stop - trio.current_time(), pending.client_is_connected
                            )
                    if isinstance(tried, Failed):
                        with pending.attempt:
                            await trio.sleep(ADOPT_AGAIN)
            finally:
                del self.placing[request.request_id]
            nursery.cancel_scope.cancel()
        self.log.event(
            "adopted",
            id=request.request_id,
            key=request.affinity_key,
            cls=request.class_index,
            group=request.session_group,
            at=at,
            up=isinstance(tried, Up),
        )
        if isinstance(tried, Up) and server is not None:
            self.driver.connection_adopted(pending, request, server)
            return await self._stand(client, pending, opened, server, tried)
        return Ending(b"ERR\r\n" if pending.unruly else self._busy())

    async def _stand(self, client: Link, pending: Pending, opened: Opened, server: int, up: Up) -> Ending:
        """Pass all lines on until a side ends or the client is moved."""
        id = opened.request.request_id
        start = trio.current_time()
        relay = pending.relay = Relay(
            client, up.link, id, self.driver, self.counters, Notes(self.config.settings, self._teller(server), start)
        )
        self.standing[id] = pending
        self.counters.add("answers UP")
        moved = True
        try:
            if pending.move_asked or self.moving:
                relay.stop()
            moved = await relay.run(up.said)
        finally:
            del self.standing[id]
            outcome = Outcome.CONNECTION_LOST if relay.silent else relay.outcome
            self.driver.attempt_ended(id, outcome, finished=True)
            if relay.reset and not moved:
                up.link.reset()
            else:
                up.link.look()  # guards against a reset, over what the runner says in this moment
                up.link.close()
        self.counters.add("moved" if moved else f"ended {outcome.label}")
        self.log.event(
            "ended",
            id=id,
            outcome="moved" if moved else outcome.label,
            load=relay.notes.load,
            stood=round(trio.current_time() - start, 3),
        )
        if not moved:
            return Ending(reset=relay.reset)
        self.log.event("moved", id=id, silent=relay.silent)
        return Ending(b"MOVE\r\n", reset=not relay.whole)  # half a line can't be followed by another

    def _teller(self, server: int) -> Teller:
        for gone in [s for s in self._tellers if s not in self.fleet.addresses]:
            del self._tellers[gone]
        return self._tellers.setdefault(server, Teller())

    # ------------------------------------------------------------ all of them

    async def sweep(self) -> None:
        """Look after lines that have not come back."""
        while True:
            due = trio.current_time() + SWEEP
            await trio.sleep(SWEEP)
            now = trio.current_time()
            self.driver.record_event_loop_lag(now - due)
            for id, pending in list(self.standing.items()):
                if pending.relay is not None:
                    pending.relay.sweep(now)
                    if (overdue := pending.relay.overdue(now)) > SWEEP:
                        self.driver.record_response_delay(id, overdue)

    def give_up_all(self) -> None:
        """Have all who are still being placed answered as they are."""
        for id, pending in list(self.placing.items()):
            if id in self.driver:
                self.driver.reject_on_shutdown(id)
            else:
                pending.act(
                    Reject(id, 0.0, RejectReason.SHUTTING_DOWN)
                )  # not placed but taken over: it stood where it was

    @property
    def left(self) -> int:
        """Connections whose answer is not out, and those that stand."""
        return self.admission.count(Stage.ASKING)


async def _watch(pending: Pending) -> None:
    try:
        await pending.watch()
    except Broken:
        pending.scope.cancel()


def _answer(final: Reject | Fail) -> bytes:
    return _busy(final.retry_after) if isinstance(final, Reject) else b"ERR\r\n"


def _busy(wait: float) -> bytes:
    ms = math.ceil(wait * 1000)
    return b"BUSY %d\r\n" % ms if ms > 0 else b"BUSY\r\n"


def _trace(e: BaseException) -> str:
    return "".join(traceback.format_exception(e))[-2000:]
