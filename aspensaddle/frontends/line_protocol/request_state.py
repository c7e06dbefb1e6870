"""State of one request: what the balancer decided, and whether the client still waits."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio

from aspensaddle.core.actions import CancelAttempt, Fail, Migrate, Reject, RequestAction, StartAttempt
from aspensaddle.frontends.line_protocol.errors import ConnectionBrokenError
from aspensaddle.frontends.line_protocol.link import MAX_LINE_BYTES, Link
from aspensaddle.frontends.line_protocol.relay import Relay

COMMANDS = (b"OPEN", b"PING", b"STATS")  # a client sends one and waits for the response


class RequestState:
    """One request from its OPEN to its end; the `RequestHandler` of the driver.

    Actions only take note and never wait, so they may arrive at any moment.

    Attributes:
        client: The client's connection.
        final: The decision that ended the placement without a connection.
        attempt_scope: Cancels the attempt decided last, whether it has begun or not; entered once.
        attempts: Attempts decided so far.
        placement_scope: Cancels the whole placement.
        relay: Relay of the open connection.
        migration_requested: The client is to be migrated, now or once its connection is open.
    """

    def __init__(self, client: Link) -> None:
        """Start without a decision."""
        self.client = client
        self.final: Reject | Fail | None = None
        self.attempt_scope = trio.CancelScope()
        self.attempts = 0
        self.placement_scope = trio.CancelScope()
        self.relay: Relay | None = None
        self.migration_requested = False
        self._next: StartAttempt | None = None
        self._decided = trio.Event()

    # ------------------------------------------------------------ called by the driver

    def handle_action(self, action: RequestAction) -> None:
        """Take note of an action of the balancer."""
        match action:
            case StartAttempt():
                # A new scope here, since a cancellation may arrive before the attempt begins.
                self.attempt_scope = trio.CancelScope()
                self.attempts += 1
                self._next = action
                self._decided.set()
            case Reject() | Fail():
                self.final = action
                self.attempt_scope.cancel()  # an attempt may be in progress when the process shuts down
                self._decided.set()
            case CancelAttempt():
                if action.attempt == self.attempts - 1:
                    self.attempt_scope.cancel()
            case Migrate():
                self.migrate()

    def migrate(self) -> None:
        """Migrate the client away from its server."""
        self.migration_requested = True
        if self.relay is not None:
            self.relay.stop()

    def client_is_connected(self) -> bool:
        """Return whether the client still waits for its response.

        One that has ended its sending has left: the protocol does not allow it before the UP.
        """
        return not self.protocol_violation and self.client.poll() and not self.protocol_violation

    @property
    def protocol_violation(self) -> bool:
        """Whether the client has sent a command, or has `MAX_LINE_BYTES` or more unread, before its response.

        Without this, the first of many requests sent at once would be served as if it were the only one.
        """
        return self.client.buffered >= MAX_LINE_BYTES or self.client.has_line_starting_with(COMMANDS)

    # ------------------------------------------------------------ called by the request's task

    async def next_decision(self) -> StartAttempt | Reject | Fail:
        """Wait for the next decision. A final one is returned at once from then on."""
        await self._decided.wait()
        if self.final is None:
            self._decided = trio.Event()
        decision = self.final or self._next
        assert decision is not None
        return decision

    def renew_attempt_scope(self) -> trio.CancelScope:
        """Return a new scope for the next step of this request; a scope can be entered only once.

        It is cancelled already if the request was decided meanwhile.
        """
        self.attempt_scope = trio.CancelScope()
        if self.final is not None:
            self.attempt_scope.cancel()
        return self.attempt_scope

    async def run_while_client_waits(self, place: Callable[[], Awaitable[None]]) -> None:
        """Run `place`, and cancel it when the client disconnects or violates the protocol."""
        async with trio.open_nursery() as nursery:
            self.placement_scope = nursery.cancel_scope
            nursery.start_soon(self.watch)
            await place()
            nursery.cancel_scope.cancel()

    async def watch(self) -> None:
        """Cancel the placement when the client disconnects or violates the protocol."""
        with suppress(ConnectionBrokenError):
            while await self.client.receive() and not self.protocol_violation:
                pass
        self.placement_scope.cancel()
