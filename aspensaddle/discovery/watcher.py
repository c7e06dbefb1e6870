"""Discovery: the list of runners, kept fresh by a watch. The one owner of how old the list may be.

A watch is called, followed while it lives and called anew when it breaks:

    called --first whole line--> followed --silent, cut or ended--> waited --its time--> called
       |                                                                ^
       +-- refused, hung, cut, no answer that can be used --------------+

What discovery has is known here within `WORST` seconds of when discovery had it and could be reached; the sum is
in `docs/freshness.md` and below. At a new address (`move`) all that is out at the old one is dropped at once.
"""

from __future__ import annotations

import os
import traceback
from random import Random

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.discovery.endpoint_registry import Fleet
from aspensaddle.discovery.endpoint_update import Update, parse_update
from aspensaddle.discovery.json_stream import Answer, DiscoveryError
from aspensaddle.support.address import Address
from aspensaddle.support.counters import Counters
from aspensaddle.support.files import load_json
from aspensaddle.support.json_fields import DecodeError
from aspensaddle.support.log import Log
from aspensaddle.support.sockets import connect

PATH = "/discovery/hosts"
HEARTBEAT = 2.0  # PROTOCOL: an empty line comes so often
TOLD = 6.0  # the letter: a change counts as told so long after discovery had it and could be reached
SILENT = HEARTBEAT + 0.5  # without a whole line
CONNECT_WITHIN = 0.5
HUNG = 1.5  # a call that has no whole line by then gets a second one beside it; the first to answer is followed
ANSWER_WITHIN = 3.5  # a call waits its turn
TURN = 1.0  # of that, for one that is neither hung nor behind too many others
ARRIVES_WITHIN = 4.0  # STANDING: after SIGHUP, what a new address has to tell counts from then on
START_WITHIN = 2.0  # where all who start together ask one service: drawn
WAIT_FIRST, WAIT_LAST = 0.5, 2.0  # after a call that failed, growing; drawn, so that many do not come as one
# Where lists are pushed, the agent that has them answers at once, and what it has counts at once: asked again sooner.
AGENT_ANSWERS_WITHIN, AGENT_WAIT = 0.5, 0.25
# A watch falls silent, and the call after that hangs; or a call is lost in the moment in which discovery returns,
# and the next one hangs.
WORST = max(SILENT, CONNECT_WITHIN + WAIT_LAST, START_WITHIN) + HUNG + CONNECT_WITHIN + TURN
CHUNK = 65536


class _Silent(DiscoveryError):
    """Nothing whole came for too long."""


class _Call:
    """One call that is out."""

    def __init__(self, target: str, takes: int) -> None:
        self.target = target
        self.takes = takes  # lists that had been taken when it began, or when it last gave one
        self.scope = trio.CancelScope()
        self.answered = trio.Event()  # with a whole line, or at its end
        self.followed_since: float | None = None  # its first whole line
        self.silent = False  # so it ended


class Discovery:
    """Keeps a watch, and tells the driver what comes."""

    def __init__(
        self,
        address: Address,
        driver: Driver,
        fleet: Fleet,
        counters: Counters,
        log: Log,
        seed: int = 0,
        agent: bool = False,
    ) -> None:
        self.agent = agent  # of this balancer alone, which costs nothing
        self.address, self.driver, self.fleet = address, driver, fleet
        self.counters, self.log = counters, log
        self.rev = 0
        self.watching = False
        self._random = Random(seed)
        self._off = trio.CancelScope()  # ends the watch
        self._calls: list[_Call] = []  # that are out, the oldest first
        self._moved, self._moved_at = trio.Event(), float("-inf")
        self._takes = 0  # lists taken

    def move(self, address: Address) -> None:
        """Ask at another address from now on. What is out at the old one, where it could wait in vain or tell what
        is no longer so, is dropped, and so is a back-off that the old address has earned."""
        self.address = address
        self._moved_at = trio.current_time()
        for call in self._calls:
            call.scope.cancel()
        self._moved.set()

    async def start(self) -> None:
        """Begin the watch: of the agent from the first moment, of one service among all that start together."""
        await trio.sleep(0.0 if self.agent else self._random.uniform(0.0, START_WITHIN))
        await self.watch()

    async def watch(self) -> None:
        """Keep a watch until it is stopped. One that is on already is what is asked for."""
        if self.watching:
            return
        self.watching = True
        failures = 0
        try:
            with trio.CancelScope() as self._off:
                while True:
                    self._moved = trio.Event()
                    wait = await self._follow()
                    failures = 0 if wait is not None or self._moved.is_set() else failures + 1
                    with trio.move_on_after(self._back_off(failures) if wait is None else wait):
                        await self._moved.wait()
        finally:
            self.watching = False

    def _back_off(self, failures: int) -> float:
        """Drawn, so that hundreds that failed together do not come again as one, and never so long that a change
        could count as told before the call after it. A new place that is still coming up earns none."""
        arriving = trio.current_time() < self._moved_at + ARRIVES_WITHIN
        most = AGENT_WAIT if self.agent else WAIT_FIRST if arriving else WAIT_LAST
        longest = min(most, WAIT_FIRST * 2 ** min(max(0, failures - 1), 10))
        return self._random.uniform(longest / 2, longest)

    async def _follow(self) -> float | None:
        """One watch, from its call to its end. The seconds until the next; None where it was never followed."""
        first = second = _Call(f"{PATH}?watch=1&from={self.rev}", self._takes)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._try, first)
            with trio.move_on_after(HUNG):
                await first.answered.wait()
            if not first.answered.is_set() and not self.agent:
                self.counters.add("discovery calls beside one that hangs")
                second = _Call(f"{PATH}?watch=1&from={self.rev}", self._takes)
                nursery.start_soon(self._try, second)
                await second.answered.wait()
        for call in (first, second):
            if call.followed_since is not None and trio.current_time() > call.followed_since + HEARTBEAT:
                # Silence comes at many times; who was cut off was so together with others.
                return 0.0 if call.silent else self._random.uniform(0.0, WAIT_FIRST)
        return None

    async def _try(self, call: _Call) -> None:
        """One call until its end, whatever that is."""
        self.counters.add("discovery calls")
        self._calls.append(call)
        try:
            with call.scope:
                await self._read(call)
                self.log.event("discovery ended", target=call.target)
        except Exception as e:
            call.silent = isinstance(e, _Silent)
            self.counters.add("discovery failures")
            self.log.event("discovery failed", target=call.target, why=str(e))
            if not isinstance(e, DiscoveryError | DecodeError):  # a fault of this program's own ends no other task
                self.counters.add("faults")
                self.log.event("fault", error=repr(e), trace="".join(traceback.format_exception(e))[-2000:])
        finally:
            self._calls.remove(call)
            call.answered.set()

    async def _read(self, call: _Call) -> None:
        answer, stream = Answer(self.address, call.target), None
        deadline = trio.current_time() + (AGENT_ANSWERS_WITHIN if self.agent else ANSWER_WITHIN)
        try:
            with trio.move_on_after(CONNECT_WITHIN):
                stream = await connect(self.address)
            if stream is None:
                raise DiscoveryError("the connection did not come up")
            await stream.send_all(answer.ask())
            while not answer.whole:
                data = await self._some(stream, deadline)
                for value in answer.receive(data):
                    if value:
                        self._take(call, parse_update(load_json(value)))
                    deadline = trio.current_time() + SILENT
                    self._answered(call)
        except (OSError, trio.BrokenResourceError) as e:
            raise DiscoveryError(str(e) or "the connection broke") from None
        finally:
            if stream is not None:
                stream.socket.close()

    async def _some(self, stream: trio.SocketStream, deadline: float) -> bytes:
        with trio.move_on_at(deadline):
            return bytes(await stream.receive_some(CHUNK))
        try:  # guards against calling a sender silent for what this process has come to late
            return os.read(stream.socket.fileno(), CHUNK)
        except BlockingIOError:
            raise _Silent("no whole line came in time") from None

    def _answered(self, call: _Call) -> None:
        """It is followed from now on; another beside it is not needed any more."""
        if call.followed_since is None:
            call.followed_since = trio.current_time()
            call.answered.set()
            for other in self._calls:
                if other is not call:
                    other.scope.cancel()

    def _take(self, call: _Call, update: Update) -> None:
        if update.rev < self.rev and not (update.full and call.takes == self._takes):
            # Older than what is known: asked for before that came. A whole list that counts from lower, asked for
            # after all that is known, is that of a discovery that started anew.
            self.counters.add("lists passed over")
            return
        if update.targets or update.full:
            self.log.event(
                "list",
                rev=update.rev,
                full=update.full,
                targets=[[t.uid, t.state.value, t.started_at, t.weight, t.model] for t in update.targets],
            )
        self.counters.add("lists")
        self.driver.update_endpoints(update.scope, self.fleet.take(update))
        # After that: a fault on the way must not lose the change for good.
        self.rev = update.rev
        self._takes += 1
        call.takes = self._takes
