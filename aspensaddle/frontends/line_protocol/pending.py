"""A request in hand, as the front holds it: what was decided of it, and whether its client still waits."""

from __future__ import annotations

import trio

from aspensaddle.core.actions import CancelAttempt, Fail, Migrate, Reject, RequestAction, StartAttempt
from aspensaddle.frontends.line_protocol.link import LINE, Link
from aspensaddle.frontends.line_protocol.relay import Relay

COMMANDS = (b"OPEN", b"PING", b"STATS")  # a client sends one and waits


class Pending:
    """One request, from its OPEN to its end. It is told what was decided at any moment, also while its task is
    between two steps: nothing here waits, and what comes early is kept."""

    def __init__(self, client: Link) -> None:
        self.client = client
        self.final: Reject | Fail | None = None
        self.attempt = trio.CancelScope()  # of the attempt that was decided last, out or not yet
        self.attempts = 0
        self.scope = trio.CancelScope()  # of the whole placement
        self.relay: Relay | None = None
        self.move_asked = False
        self._next: StartAttempt | None = None
        self._decided = trio.Event()

    # ------------------------------------------------------------ told by the driver

    def act(self, action: RequestAction) -> None:
        match action:
            case StartAttempt():
                # Made here, not as the attempt begins: guards against a cancel that comes before it does, and
                # would have met the scope of the attempt before.
                self.attempt = trio.CancelScope()
                self.attempts += 1
                self._next = action
                self._decided.set()
            case Reject() | Fail():
                self.final = action
                self.attempt.cancel()  # may be out, where the process ends
                self._decided.set()
            case CancelAttempt():
                if action.attempt == self.attempts - 1:
                    self.attempt.cancel()
            case Migrate():
                self.move()

    def move(self) -> None:
        self.move_asked = True
        if self.relay is not None:
            self.relay.stop()

    def client_is_connected(self) -> bool:
        """Whether the client is still there and waits for its answer. A client that has ended its sending has
        gone: nothing in the protocol lets one do so before its UP."""
        return not self.unruly and self.client.look() and not self.unruly

    @property
    def unruly(self) -> bool:
        """Whether the client has not waited for its answer: a line that comes early is kept, but neither a
        command nor more than a line. Guards against serving, as one request, the first of hundreds sent at
        once."""
        return self.client.buffered >= LINE or self.client.holds(COMMANDS)

    # ------------------------------------------------------------ asked by its task

    async def decision(self) -> StartAttempt | Reject | Fail:
        await self._decided.wait()
        if self.final is None:
            self._decided = trio.Event()
        decided = self.final or self._next
        assert decided is not None
        return decided

    async def watch(self) -> None:
        """End the placement when the client goes away or does not wait."""
        while await self.client.fill() and not self.unruly:
            pass
        self.scope.cancel()
