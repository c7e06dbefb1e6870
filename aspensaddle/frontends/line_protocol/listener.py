"""Listener that accepts client connections and starts a task for each."""

from __future__ import annotations

import errno

import trio

from aspensaddle.frontends.line_protocol.connection_handler import ConnectionHandler
from aspensaddle.frontends.line_protocol.connection_slots import ACCEPT_BATCH
from aspensaddle.frontends.line_protocol.frontend_state import FrontendState
from aspensaddle.support.sockets import Listener

NO_DESCRIPTOR_PAUSE_SECONDS = 0.005  # pause without accepts in which evicted connections can close


class ClientListener:
    """Accepts client connections as far as descriptors allow."""

    def __init__(self, frontend: FrontendState, handler: ConnectionHandler) -> None:
        """Create a listener that passes connections to `handler`."""
        self._frontend, self._handler = frontend, handler

    async def serve(self, listener: Listener, nursery: trio.Nursery) -> None:
        """Accept connections until cancelled; once the listener is closed, only wait."""
        self._frontend.event_loop_lag.begin()
        try:
            while True:
                try:
                    await listener.wait()
                except trio.ClosedResourceError:  # the process shuts down
                    await trio.sleep_forever()
                if not self.accept(listener, nursery):
                    await trio.sleep(NO_DESCRIPTOR_PAUSE_SECONDS)
        finally:
            self._frontend.event_loop_lag.end()

    def accept(self, listener: Listener, nursery: trio.Nursery) -> bool:
        """Accept the connections that wait, at most one batch; return False for lack of a descriptor."""
        slots, counters, lag = self._frontend.slots, self._frontend.counters, self._frontend.event_loop_lag
        for _ in range(ACCEPT_BATCH):
            if not slots.may_accept():
                if not slots.has_closing:
                    slots.free_descriptor()
                return False
            try:
                stream = listener.accept()
            except OSError as error:
                counters.add(f"accepts_failed_{errno.errorcode.get(error.errno or 0, 'unknown').lower()}")
                slots.free_descriptor()
                return False
            if stream is None:
                break
            counters.add("connections")
            slots.starting += 1
            nursery.start_soon(self._handle, stream, lag.earliest_arrival, lag.passes)
        return True

    async def _handle(self, stream: trio.SocketStream, arrived_at: float, loop_passes: int) -> None:
        self._frontend.slots.starting -= 1
        await self._handler.handle(stream, arrived_at, loop_passes)
