"""The clients: from OPEN to the end of a connection, one task each."""

from __future__ import annotations

import errno
import math
import re
import traceback
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, replace
from types import MappingProxyType

import trio

from aspensaddle.core.driver import Driver, RequestAction
from aspensaddle.core.interface import Cancel, Fail, Move, Outcome, Refuse, Request, Send, Settings
from aspensaddle.fleet.runners import Fleet
from aspensaddle.fronts.lines.admission import Admission, Guest
from aspensaddle.fronts.lines.link import LINE, Broken, Link, TooLong
from aspensaddle.fronts.lines.notes import Notes, Teller
from aspensaddle.fronts.lines.relay import Relay
from aspensaddle.fronts.lines.servers import Failed, Servers, Up, first_word
from aspensaddle.support.counters import Counters
from aspensaddle.support.hashing import stable_hash
from aspensaddle.support.log import Log

ANSWER_MARGIN = 0.03  # of the client's wait: its line's way here, and the answer's way back
NO_TENANT = -1  # named, or none that is known: it has no share to be over
PINGS = 16  # ahead of an OPEN, at most
ADOPT_WITHIN = 38.0
ADOPT_AGAIN = 0.5
SWEEP = 0.25
GENTLE = 0.7
NEWCOMERS = 0.45  # after SIGTERM new connections still come for this long
MOVES_OVER = 0.6  # then the standing ones are moved, spread over this
COMMANDS = (b"OPEN", b"PING", b"STATS")  # a client sends one and waits

_D = re.compile(rb"(?<=[ ,])d=\d+(?=[,\s]|$)")
_WORD = re.compile(r"[!-~]{1,128}")
_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?([eE][+-]?\d{1,2})?")


class BadOpen(Exception):
    """A first line that is none."""


@dataclass(slots=True)
class Opened:
    """A client's first line."""

    line: bytes
    request: Request
    at: str | None = None

    def first_line(self, wait: float) -> bytes:
        """The line for the runner: unchanged but for how long it will be waited for."""
        return _D.sub(b"d=%d" % max(1, int(wait * 1000)), self.line, count=1)


def parse_open(line: bytes, classes: Mapping[str, int], groups: bool,
               tenants: Mapping[str, int] = MappingProxyType({})) -> Opened:
    try:
        word, id, key, *rest = line.decode("ascii").rstrip("\r\n").split(" ")
    except (ValueError, UnicodeDecodeError):
        raise BadOpen("not OPEN ID KEY NAME=VALUE,..") from None
    if word != "OPEN" or not _WORD.fullmatch(id) or not _WORD.fullmatch(key) or len(rest) != 1:
        raise BadOpen("not OPEN ID KEY NAME=VALUE,..")
    values: dict[str, str] = {}
    for item in rest[0].split(","):
        name, equals, value = item.partition("=")
        if not name or not equals or name in values or not item.isprintable():
            raise BadOpen(f"not NAME=VALUE: {item:.40}")
        values[name] = value
    cls = classes.get(values.get("c", ""))
    if cls is None:
        raise BadOpen("c names no class")
    wait, hint = values.get("d"), values.get("h")
    # An empty d too: guards against a line whose d can't be written anew, which every runner answers ERR.
    if wait is None and "at" not in values or wait is not None and (not wait.isdigit() or len(wait) > 9):
        raise BadOpen("d is not a number of milliseconds")
    load = None
    if hint is not None:
        if not _NUMBER.fullmatch(hint) or float(hint) >= 1e9:
            raise BadOpen("h is not a number in range")
        load = float(hint)
    request = Request(
        id, cls, int(wait) / 1000 if wait else math.inf, tenants.get(values.get("t", ""), NO_TENANT),
        key=stable_hash(key, 53), load=load,
        group=stable_hash(values["g"], 53) if groups and "g" in values else None,
        repeat=values.get("r") == "1", returning=values.get("again") == "1",
    )
    return Opened(line, request, values.get("at"))


class Case:
    """A request in hand: what the balancer decides of it."""

    def __init__(self) -> None:
        self._decision: Send | Refuse | Fail | None = None
        self._decided = trio.Event()
        self.attempt = trio.CancelScope()
        self.relay: Relay | None = None
        self.move_asked = False
        self.unruly = False  # its client has not waited for its answer

    def act(self, action: RequestAction) -> None:
        match action:
            case Move():
                self.move()
            case Cancel():
                self.attempt.cancel()
            case _:
                self._decision = action
                self._decided.set()

    def move(self) -> None:
        self.move_asked = True
        if self.relay is not None:
            self.relay.stop()

    async def decision(self) -> Send | Refuse | Fail:
        await self._decided.wait()
        self._decided = trio.Event()
        assert self._decision is not None
        return self._decision


@dataclass(frozen=True, slots=True)
class LinesSettings:
    """What the front takes from the configuration."""

    classes: Mapping[str, int]  # the number of a class by its name
    tenants: Mapping[str, int]
    settings: Settings
    sockets: int  # descriptors that the process may hold


class Clients:
    def __init__(self, config: LinesSettings, driver: Driver, servers: Servers, fleet: Fleet,
                 counters: Counters, log: Log, reserve: int = 0) -> None:
        self.driver, self.servers, self.fleet = driver, servers, fleet
        self.counters, self.log = counters, log
        self.cases: dict[str, Case] = {}  # those that stand
        self.closing = False
        self.config = config
        self._tellers: dict[int, Teller] = {}
        self.admission = Admission(counters, config.sockets, reserve)

    def configure(self, config: LinesSettings) -> None:
        """Other settings and limits for those who come from now on."""
        self.config = config
        self.admission.configure(config.sockets)

    # ------------------------------------------------------------ accepting

    async def serve(self, listener: trio.SocketListener, nursery: trio.Nursery) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError as e:
                self.counters.add(f"accept {errno.errorcode.get(e.errno or 0, 'failed')}")
                self.admission.shed_oldest()
                await trio.sleep(0.02)
                continue
            self.counters.add("connections")
            nursery.start_soon(self._client, stream)

    async def _client(self, stream: trio.SocketStream) -> None:
        """One connection. A fault of this program ends it and no other."""
        link = Link(stream)
        with self.admission.guest(link) as guest:
            try:
                await self._visit(link, guest)
            except Broken:
                pass
            except Exception as e:
                self.counters.add("faults")
                self.log.event("fault", error=repr(e), trace=_trace(e))
                if not link.answered:  # also a request that a fault has hit gets its final answer
                    with suppress(Broken):
                        await self._say(link, b"ERR\r\n")
            finally:
                link.close()

    async def _visit(self, link: Link, guest: Guest) -> None:
        """From the accept to the end: a first line within its time, then what it asks for."""
        opened: Opened | None = None
        try:
            with guest.scope:
                opened = await self._first(link)
            if guest.scope.cancelled_caught and not guest.shed:
                raise BadOpen("no whole first line in time")
            if opened is not None and opened.request.id in self.driver:
                raise BadOpen("the id is in use")  # another's request, which goes on
            if opened is not None and link.holds(COMMANDS):
                raise BadOpen("commands that did not wait for an answer")
        except (BadOpen, TooLong) as e:
            self.counters.add("bad first lines")
            self.log.seldom("bad first line", why=str(e) or "too long")
            self.admission.turned_away(guest)
            await self._say(link, b"ERR\r\n")
            return
        if opened is None:
            return  # no whole line, no request
        self.counters.add("requests")
        link.answered = False  # a PONG was none
        if opened.at is None and (self.closing or self.admission.full):
            # A process that ends, or has no descriptors left, can't keep a connection.
            self.counters.add("refused while closing" if self.closing else "refused: full")
            self.admission.turned_away(guest)
            await self._say(link, b"BUSY %d\r\n" % (1000 * NEWCOMERS))
            return
        with self.admission.admitted(guest):
            if opened.at is not None:
                answer = await self._adopt(link, opened, opened.at)
            else:
                answer = await self._request(link, opened)
        if answer:
            await self._say(link, answer)

    async def _first(self, link: Link) -> Opened | None:
        """The OPEN; None where the connection ends before it."""
        pings = 0
        while (line := await link.line()) is not None:
            if line.strip() != b"PING":
                return parse_open(line, self.config.classes, self.config.settings.groups, self.config.tenants)
            if (pings := pings + 1) > PINGS:
                raise BadOpen("too many commands")
            self.counters.add("pings")
            await link.send(b"PONG\r\n")
        return None

    # ------------------------------------------------------------ the life of a request

    async def _request(self, client: Link, opened: Opened) -> bytes:
        """Place a request and stay until its end; the answer that its client is still owed."""
        request = opened.request
        wait = min(request.time_left, self.config.settings.classes[request.cls].deadline)
        request = replace(request, time_left=wait - ANSWER_MARGIN)
        case = Case()
        start = trio.current_time()
        up: Up | None = None
        answer = b""
        attempts, server = 0, -1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_until_gone, client, case, nursery.cancel_scope)
            try:
                self.driver.request(case, request)
                while up is None and not answer:
                    decision = await case.decision()
                    if isinstance(decision, Refuse):
                        answer = _busy(decision.retry_after)
                    elif isinstance(decision, Fail):
                        answer = b"ERR\r\n"
                    else:
                        attempts, server = attempts + 1, decision.server
                        tried = await self._attempt(case, opened, decision)
                        if isinstance(tried, Up):
                            up = tried
                        elif tried.outcome is Outcome.OK:  # served to its end at once
                            self.driver.ended(request.id, tried.outcome, finished=True)
                            answer = tried.said
                        else:
                            self.driver.ended(request.id, tried.outcome)
            finally:
                if up is None and not answer:
                    self.driver.gone(request.id)
            nursery.cancel_scope.cancel()
        if up is None and not answer and case.unruly:
            answer = b"ERR\r\n"
        self.log.event("request", id=request.id, key=request.key, cls=request.cls, group=request.group,
                       again=request.returning, attempts=attempts, left=request.time_left,
                       at=self.fleet.uid(server) if attempts else None,
                       ms=round(1000 * (trio.current_time() - start), 1),
                       answer="UP" if up else answer.decode("latin-1").strip() or "gone")
        if up is not None:
            self.driver.established(request.id)
            await self._stand(client, case, opened, server, up)
        elif answer:
            self.counters.add(f"answers {first_word(answer).decode('latin-1')}")
            return answer
        else:
            self.counters.add("clients gone")
        return b""

    async def _attempt(self, case: Case, opened: Opened, send: Send) -> Up | Failed:
        tried: Up | Failed = Failed(Outcome.CANCELLED)
        with trio.CancelScope() as case.attempt:
            tried = await self.servers.attempt(send.server, opened.first_line, send.timeout)
        return tried

    async def _adopt(self, client: Link, opened: Opened, at: str) -> bytes:
        """A connection that was open at that runner before the run: taken over, not placed."""
        case, request = Case(), opened.request
        tried: Up | Failed = Failed(Outcome.VOID)
        stop = trio.current_time() + ADOPT_WITHIN
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_until_gone, client, case, nursery.cancel_scope)
            while isinstance(tried, Failed) and trio.current_time() < stop:
                if (server := self.fleet.find(at)) is not None:
                    tried = await self.servers.attempt(
                        server, opened.first_line, stop - trio.current_time(), adopt=True)
                if isinstance(tried, Failed):
                    await trio.sleep(ADOPT_AGAIN)
            nursery.cancel_scope.cancel()
        self.log.event("adopted", id=request.id, key=request.key, cls=request.cls, group=request.group, at=at,
                       up=isinstance(tried, Up))
        if isinstance(tried, Up) and server is not None:
            self.driver.adopted(case, request, server)
            await self._stand(client, case, opened, server, tried)
            return b""
        return b"BUSY\r\n"

    async def _stand(self, client: Link, case: Case, opened: Opened, server: int, up: Up) -> None:
        """Pass all lines on until a side ends or the client is moved."""
        id = opened.request.id
        start = trio.current_time()
        relay = case.relay = Relay(client, up.link, id, self.driver, self.counters,
                                   Notes(self.config.settings, self._teller(server), start))
        self.cases[id] = case
        self.counters.add("answers UP")
        moved = True
        try:
            if case.move_asked:
                relay.stop()
            moved = await relay.run(up.said)
        finally:
            del self.cases[id]
            outcome = Outcome.BROKEN if relay.silent else relay.outcome
            self.driver.ended(id, outcome, finished=True)
            if relay.reset and not moved:
                up.link.reset()
            else:
                up.link.close()
        self.counters.add("moved" if moved else f"ended {outcome.label}")
        self.log.event("ended", id=id, outcome="moved" if moved else outcome.label, load=relay.notes.load,
                       stood=round(trio.current_time() - start, 3))
        if moved and relay.whole:
            self.log.event("moved", id=id, silent=relay.silent)
            await client.send(b"MOVE\r\n")
            await client.close_gently(GENTLE)
        elif relay.reset:
            client.reset()

    def _teller(self, server: int) -> Teller:
        for gone in [s for s in self._tellers if s not in self.fleet.addresses]:
            del self._tellers[gone]
        return self._tellers.setdefault(server, Teller())

    async def _say(self, client: Link, answer: bytes) -> None:
        """The final answer."""
        await client.send(answer)
        await client.close_gently(GENTLE)

    # ------------------------------------------------------------ all of them

    async def sweep(self) -> None:
        """Look after lines that have not come back."""
        while True:
            due = trio.current_time() + SWEEP
            await trio.sleep(SWEEP)
            now = trio.current_time()
            self.driver.late(now - due)
            for id, case in list(self.cases.items()):
                if case.relay is not None:
                    case.relay.sweep(now)
                    if (overdue := case.relay.overdue(now)) > SWEEP:
                        self.driver.waited(id, overdue)

    async def drain(self) -> None:
        """Before the process ends: refuse who still comes, move all who stand, and wait for them to leave."""
        self.closing = True
        await trio.sleep(NEWCOMERS)
        standing = list(self.cases.values())
        for case in standing:
            case.move()
            await trio.sleep(MOVES_OVER / len(standing))
        self.admission.shed_all()
        # Not all connections: those that come and are turned away again and again would hold up the end.
        while self.admission.asking:
            for case in list(self.cases.values()):  # those that were on their way
                case.move()
            await trio.sleep(0.02)


async def _until_gone(client: Link, case: Case, scope: trio.CancelScope) -> None:
    """End a placement when the client goes away, or does not wait for its answer: a line that comes early is
    kept, but neither a command nor more than a line. Guards against serving, as one request, the first of
    hundreds sent at once."""
    with suppress(Broken):
        while not case.unruly and await client.fill():
            case.unruly = client.buffered >= LINE or client.holds(COMMANDS)
    scope.cancel()


def _busy(wait: float) -> bytes:
    ms = math.ceil(wait * 1000)
    return b"BUSY %d\r\n" % ms if ms > 0 else b"BUSY\r\n"


def _trace(e: BaseException) -> str:
    return "".join(traceback.format_exception(e))[-2000:]
