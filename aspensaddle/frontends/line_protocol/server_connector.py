"""Connections to servers, and single attempts of requests on them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.core.events import Outcome
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.frontends.line_protocol.errors import ConnectionBrokenError, LineTooLongError
from aspensaddle.frontends.line_protocol.health_checker import HealthChecker
from aspensaddle.frontends.line_protocol.link import MAX_LINE_BYTES, Link, first_word
from aspensaddle.support.counters import Counters
from aspensaddle.support.sockets import DESCRIPTOR_SHORTAGE_ERRNOS, connect

# Outcomes of attempts by the first word of the server's response.
OUTCOMES = {
    b"UP": Outcome.OK,
    b"BYE": Outcome.OK,
    b"MOVE": Outcome.CANCELLED,
    b"ERR": Outcome.ERROR,
    b"BUSY": Outcome.REJECTED,
}


class FirstLine(Protocol):
    """Function that formats the OPEN line for a server."""

    def __call__(self, wait: float) -> bytes:
        """Return the line, with a wait of `wait` seconds for the response."""


@dataclass(slots=True)
class AttemptEstablished:
    """An attempt that became an open connection.

    Attributes:
        link: The connection to the server.
        response: The server's response line, followed by the LOAD lines that came before it.
    """

    link: Link
    response: bytes


@dataclass(slots=True)
class AttemptFailed:
    """An attempt that did not become an open connection.

    Attributes:
        outcome: Reason, or `OK` if the server served the request at once.
        response: Lines received from the server.
    """

    outcome: Outcome
    response: bytes = b""


class ServerConnector:
    """Makes attempts at servers, and owns the health checker."""

    def __init__(self, driver: Driver, endpoints: EndpointRegistry, counters: Counters, sockets: int = 1024) -> None:
        """Start without connections; `sockets` is the number of file descriptors that the process may hold."""
        self.driver, self.endpoints, self.counters = driver, endpoints, counters
        self._health_checker = HealthChecker(
            driver, endpoints, counters, lambda server: self._connect(server), sockets
        )

    @property
    def sockets(self) -> int:
        """Number of file descriptors that the process may hold."""
        return self._health_checker.sockets

    @sockets.setter
    def sockets(self, sockets: int) -> None:
        self._health_checker.sockets = sockets

    @property
    def descriptors(self) -> int:
        """Number of file descriptors that health checks may hold."""
        return self._health_checker.max_connections

    async def check_health(self, server: int) -> None:
        """Check the health of a server and report it to the driver."""
        await self._health_checker.check(server)

    async def attempt(
        self, server: int, first_line: FirstLine, timeout: float, may_start: Callable[[], bool]
    ) -> AttemptEstablished | AttemptFailed:
        """Send a request to a server and wait for its response, for at most `timeout` seconds in all.

        Unless it is established, the connection is closed on return, so that two attempts never overlap.
        """
        self.counters.add("attempts_started")
        deadline = trio.current_time() + timeout
        link: Link | None = None
        outcome, response = Outcome.NOT_SENT, b""  # the outcome if no byte is sent
        try:
            with trio.move_on_at(deadline):
                connected = await self._connect(server)
                if isinstance(connected, Outcome):
                    outcome = connected
                else:
                    link = connected
                    # There must be no checkpoint between this check and the first byte.
                    if may_start():
                        outcome = Outcome.TIMED_OUT
                        outcome, response = await self._send_first_line(
                            link, first_line(deadline - trio.current_time())
                        )
                    if outcome is Outcome.OK and first_word(response) == b"UP":
                        established, link = AttemptEstablished(link, response), None
                        self.counters.add("attempts_established")
                        return established
        finally:
            if link is not None:
                link.close()
        self.counters.add(f"attempts_{outcome.label}")
        return AttemptFailed(outcome, response)

    async def _connect(self, server: int) -> Link | Outcome:
        address = self.endpoints.addresses.get(server)
        if address is None:
            return Outcome.NOT_SENT  # the server left the endpoint list after it was selected
        try:
            deadline = trio.current_time() + self.driver.settings.limits.connect_timeout
            with trio.move_on_at(deadline):
                return Link(await connect(address))
        except OSError as error:
            if error.errno in DESCRIPTOR_SHORTAGE_ERRNOS:
                self.counters.add("connects_failed_no_descriptors")
                return Outcome.NOT_SENT  # this process is short of descriptors; the server has not failed
            return Outcome.UNREACHABLE
        return Outcome.UNREACHABLE

    async def _send_first_line(self, link: Link, line: bytes) -> tuple[Outcome, bytes]:
        """Send the first line; return the outcome and the response, followed by any LOAD lines received before it."""
        try:
            await link.send(line)
        except ConnectionBrokenError:
            return Outcome.UNREACHABLE, b""  # the line was not sent completely
        load_lines = b""
        try:
            while (response := await link.read_line()) is not None:
                if first_word(response) != b"LOAD":
                    return OUTCOMES.get(first_word(response), Outcome.ERROR), response + load_lines
                load_lines += response
                if len(load_lines) > MAX_LINE_BYTES:
                    break  # LOAD lines without a response
        except (ConnectionBrokenError, LineTooLongError):
            pass
        return Outcome.CONNECTION_LOST, b""
