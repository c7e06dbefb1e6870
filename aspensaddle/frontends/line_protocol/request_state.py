"""State of one request: the balancer's decisions, and whether the client is still connected."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio

from aspensaddle.core.actions import CancelAttempt, Fail, Migrate, Reject, RequestAction, StartAttempt
from aspensaddle.frontends.line_protocol.errors import ConnectionBrokenError
from aspensaddle.frontends.line_protocol.link import MAX_LINE_BYTES, Link
from aspensaddle.frontends.line_protocol.relay import Relay

COMMANDS = (b"OPEN", b"PING", b"STATS")  # commands after which a client has to wait for the response


class RequestState:
    """State of a request from its OPEN to its end; implements the `RequestHandler` protocol of the driver.

    Its actions only record a decision and never wait, so they may be called at any time.

    Attributes:
        client: The client's connection.
        final: The decision that ended the placement without a connection, if any.
        attempt_scope: Cancels the latest attempt, whether it has begun or not; entered once.
        attempts: Number of attempts decided so far.
        placement_scope: Cancels the whole placement.
        relay: Relay of the open connection, if any.
        migration_requested: Whether the client is to be migrated, now or once its connection is open.
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
        """Record an action of the balancer."""
        match action:
            case StartAttempt():
                # The scope is created here, since a cancellation may arrive before the attempt begins.
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

        A client that has ended its sending counts as disconnected: the protocol forbids that before the UP.
        """
        return not self.protocol_violation and self.client.poll() and not self.protocol_violation

    @property
    def protocol_violation(self) -> bool:
        """Whether the client sent another command, or `MAX_LINE_BYTES` or more, before its response.

        Without this, the first of many requests sent at once would be served as if it were the only one.
        """
        return self.client.buffered >= MAX_LINE_BYTES or self.client.has_line_starting_with(COMMANDS)

    # ------------------------------------------------------------ called by the request's task

    async def next_decision(self) -> StartAttempt | Reject | Fail:
        """Wait for the next decision. Once there is a final one, return it at once."""
        await self._decided.wait()
        if self.final is None:
            self._decided = trio.Event()
        decision = self.final or self._next
        assert decision is not None
        return decision

    def renew_attempt_scope(self) -> trio.CancelScope:
        """Replace and return the attempt scope, since a scope can be entered only once.

        The new scope is already cancelled if there is a final decision.
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
