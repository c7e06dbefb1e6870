"""The lines of a connection that stands, both ways, until one side ends or its client is moved."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.core.events import Outcome
from aspensaddle.frontends.line_protocol.errors import ConnectionBrokenError, LineTooLongError
from aspensaddle.frontends.line_protocol.link import Link
from aspensaddle.frontends.line_protocol.notes import Load, Notes
from aspensaddle.frontends.line_protocol.servers import first_word
from aspensaddle.support.counters import Counters

# A line's wait after which the runner is held to be cut off. The rule is 7 s of silence: a client's next line
# leaves within 2 s of it, and it is looked for four times a second.
SILENT = 4.5
RUNNER_END_WITHIN = 5.0  # for a runner to end its side once its client has
LINE_HELD = 0.9  # the rule: a second
NO_ECHO = (b"UP", b"BYE", b"MOVE")  # a runner's own words; any other line is a client's that comes back


class Relay:
    """Passes lines between a client and its runner until one side ends or the balancer moves the client."""

    def __init__(self, client: Link, runner: Link, id: str, driver: Driver, counters: Counters, notes: Notes) -> None:
        self.client, self.runner, self.id = client, runner, id
        self.driver, self.counters, self.notes = driver, counters, notes
        self.outcome = Outcome.CANCELLED  # until the runner says or does something else
        self.whole = True  # the client has whole lines only
        self.reset = False  # a side has gone with a reset, which is passed on
        self.silent = False
        self._stopped = False
        self._word = b""  # the last from the runner
        self._out: deque[float] = deque(maxlen=64)  # when the lines left that have not come back
        self._scope = trio.CancelScope()

    def stop(self) -> None:
        self._stopped = True
        self._scope.cancel()

    def sweep(self, now: float) -> None:
        """Guards against a runner that was cut off: it keeps its connections open and says nothing."""
        if self._out and now - self._out[0] > SILENT and not self._stopped:
            self.silent = True
            self.stop()

    def overdue(self, now: float) -> float:
        return now - self._out[0] if self._out else 0.0

    async def run(self, said: bytes) -> bool:
        """True where the client is to be moved. It can't be once its side was ended: nothing may follow that."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._guard, Outcome.CANCELLED, self._from_client)
                nursery.start_soon(self._guard, Outcome.CONNECTION_LOST, self._from_runner, said)
        return self._stopped and not self.client.sending_ended

    async def _guard(self, too_long: Outcome, pump: Callable[..., Awaitable[None]], *args: bytes) -> None:
        try:
            await pump(*args)
        except ConnectionBrokenError:
            self.reset = True
            self._scope.cancel()
        except LineTooLongError:
            self.outcome = too_long  # a client's endless line says nothing against its runner
            self._scope.cancel()

    async def _from_client(self) -> None:
        while True:
            if lines := self.client.take_lines():
                now = trio.current_time()
                self.counters.add("lines from clients", count := lines.count(b"\n"))
                for _ in range(count):
                    self._out.append(now)
                await self._to_runner(lines)
            if not await self.client.fill():
                break
        if rest := self.client.take_rest():
            await self._to_runner(rest)
        with suppress(ConnectionBrokenError):
            await self.runner.end_sending()
        await trio.sleep(RUNNER_END_WITHIN)
        self._scope.cancel()

    async def _to_runner(self, data: bytes) -> None:
        # Guards against losing the last lines of a runner that has closed already: what it said can still be
        # read, and reading finds the end.
        with suppress(ConnectionBrokenError):
            await self.runner.send(data)

    async def _from_runner(self, said: bytes) -> None:
        # Lines that came in one piece with the UP are in the link's buffer already: held, they would wait for
        # the runner's next.
        lines, more = said + self.runner.take_lines(), True
        while more:
            if lines:
                self._note(lines)
                await self._to_client(lines)
            try:
                more = await self.runner.fill()
            except ConnectionBrokenError:
                self.reset, more = True, False
            lines = self.runner.take_lines()
        if rest := lines + self.runner.take_rest():
            self._note(rest)
            await self._to_client(rest)
        if self._word == b"BYE":
            self.outcome = Outcome.OK
        elif self._word != b"MOVE" and not self.client.ended:
            self.outcome = Outcome.CONNECTION_LOST
        if not self.reset:
            await self.client.end_sending()  # who ends the connection then reads it out
        self._scope.cancel()

    async def _to_client(self, lines: bytes) -> None:
        # Not to be cut off by a move halfway through a line; a client that does not read is.
        self.whole = False
        with trio.move_on_after(LINE_HELD, shield=True) as limit:
            await self.client.send(lines)
        if limit.cancelled_caught:
            raise ConnectionBrokenError("send within the time for one line")
        self.whole = True

    def _note(self, lines: bytes) -> None:
        now = trio.current_time()
        for line in lines.splitlines():
            word = self._word = first_word(line)
            if word == b"LOAD":
                notes = self.notes.read(line, now)
                if not notes:
                    self.counters.add("bad LOAD lines")
                for note in notes:
                    if isinstance(note, Load):
                        self.driver.connection_load_reported(self.id, note.load)
                    else:
                        self.driver.server_latency_reported(self.id, note.delay)
            elif self._out and word not in NO_ECHO:
                self.driver.record_response_delay(self.id, now - self._out.popleft())
        self.counters.add("lines from runners", lines.count(b"\n"))
