"""One call to the discovery service: connect, send the request and read values until the response ends."""

from __future__ import annotations

import os
from collections.abc import Callable
from enum import Enum

import trio

from aspensaddle.discovery import watch_policy
from aspensaddle.discovery.errors import (
    ConnectTimeoutError,
    DiscoveryConnectionError,
    FailureReason,
    WatchTimeoutError,
)
from aspensaddle.discovery.json_stream import JsonStreamDecoder
from aspensaddle.support.address import Address
from aspensaddle.support.sockets import connect

READ_BYTES = 4096  # what is read before other tasks run; it may hold hundreds of chunks and values


class CallStage(Enum):
    """Progress of a call."""

    CONNECTING = "connecting"
    WAITING = "waiting"  # connected, without a complete line yet
    FOLLOWED = "followed"


class WatchCall:
    """One call that is in flight.

    Attributes:
        target: The path and query of the request.
        updates_seen: How many updates the watcher had applied when the call began, or with the last one from this
            call.
        scope: Cancel scope of the call.
        started_at: Time at which the call began.
        connected: Whether its connection was established.
        responded_or_ended: Set with the first complete line, or when the call ends without one.
        followed_since: Time of the first complete line; None before it.
        failure: Why the call failed; None while it is in flight, or if it ended without a failure.
    """

    def __init__(self, target: str, updates_seen: int) -> None:
        self.target = target
        self.updates_seen = updates_seen
        self.scope = trio.CancelScope()
        self.started_at = trio.current_time()
        self.connected = False
        self.responded_or_ended = trio.Event()
        self.followed_since: float | None = None
        self.failure: FailureReason | None = None

    @property
    def age(self) -> float:
        """Seconds since the call began."""
        return trio.current_time() - self.started_at

    @property
    def stage(self) -> CallStage:
        """Progress of the call."""
        if self.followed_since is not None:
            return CallStage.FOLLOWED
        return CallStage.WAITING if self.connected else CallStage.CONNECTING

    def was_followed(self) -> bool:
        """Whether the call was followed for longer than a heartbeat interval, which a rejected one never is."""
        if self.followed_since is None:
            return False
        return trio.current_time() > self.followed_since + watch_policy.HEARTBEAT_SECONDS

    async def read(self, address: Address, *, is_local_agent: bool, on_value: Callable[[bytes], None]) -> None:
        """Pass each value to `on_value` until the response is complete; a heartbeat is an empty value.

        Raises:
            DiscoveryError: If the call fails, is silent for too long or its response can't be used.
        """
        decoder = JsonStreamDecoder(address, self.target)
        deadline = trio.current_time() + watch_policy.response_timeout(is_local_agent=is_local_agent)
        stream = None
        try:
            stream = await _connect(address)
            self.connected = True
            await stream.send_all(decoder.request())
            while not decoder.complete:
                data = await _receive(stream, deadline)
                for value in decoder.receive(data):
                    on_value(value)
                    deadline = trio.current_time() + watch_policy.SILENCE_TIMEOUT_SECONDS
        except (OSError, trio.BrokenResourceError) as error:
            raise DiscoveryConnectionError(str(error), was_connected=self.connected) from None
        finally:
            if stream is not None:
                stream.socket.close()


async def _connect(address: Address) -> trio.SocketStream:
    with trio.move_on_after(watch_policy.CONNECT_TIMEOUT_SECONDS):
        return await connect(address)
    raise ConnectTimeoutError(watch_policy.CONNECT_TIMEOUT_SECONDS)


async def _receive(stream: trio.SocketStream, deadline: float) -> bytes:
    with trio.move_on_at(deadline):
        return bytes(await stream.receive_some(READ_BYTES))
    try:  # data that arrived in time but that this process reads late must not count as a timeout
        return os.read(stream.socket.fileno(), READ_BYTES)
    except BlockingIOError:
        raise WatchTimeoutError from None
