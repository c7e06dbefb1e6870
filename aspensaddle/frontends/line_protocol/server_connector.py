"""Connections to servers: one attempt of a request, and health checks."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.core.events import Outcome
from aspensaddle.discovery.endpoint_registry import Fleet
from aspensaddle.frontends.line_protocol.errors import ConnectionBrokenError, LineTooLongError
from aspensaddle.frontends.line_protocol.link import MAX_LINE_BYTES, Link, first_word
from aspensaddle.support.counters import Counters
from aspensaddle.support.sockets import NO_DESCRIPTORS, connect

HEALTH_CHECK_TIMEOUT_SECONDS = 0.5
MAX_HEALTH_CHECK_CONNECTIONS = 64  # kept or in use
DESCRIPTORS_PER_HEALTH_CHECK = 16  # one of so many may be a health check's
MAX_REPORT_FIELDS = 32
_FIGURE = re.compile(r"\d{1,12}(\.\d{1,12})?([eE][+-]?\d{1,2})?")

# Outcome of an attempt by the first word of the server's response.
OUTCOMES = {
    b"UP": Outcome.OK,
    b"BYE": Outcome.OK,
    b"MOVE": Outcome.CANCELLED,
    b"ERR": Outcome.ERROR,
    b"BUSY": Outcome.REJECTED,
}


class FirstLine(Protocol):
    """Makes the line that opens a connection."""

    def __call__(self, wait: float) -> bytes:
        """Return the line for a balancer that waits `wait` seconds for the response."""


@dataclass(slots=True)
class AttemptEstablished:
    """An attempt that became an open connection.

    Attributes:
        link: The connection to the server.
        response: What the server has sent, from its UP on.
    """

    link: Link
    response: bytes


@dataclass(slots=True)
class AttemptFailed:
    """An attempt that did not become an open connection.

    Attributes:
        outcome: Why; `OK` if the server served the request at once.
        response: What the server has sent.
    """

    outcome: Outcome
    response: bytes = b""


def parse_report(line: bytes, fields: tuple[str, ...]) -> dict[str, float] | None:
    """Parse the report behind the first word of a response, `NAME=FIGURE,..`.

    Only `fields` count. Returns None for a line with anything else in it, a field twice or a figure that is none.
    """
    report: dict[str, float] = {}
    for item in line.decode("latin-1").split()[1:2]:
        for pair in item.split(",", MAX_REPORT_FIELDS):
            name, _, value = pair.partition("=")
            if not _FIGURE.fullmatch(value) or name in report:
                return None
            if name in fields:
                report[name] = float(value)
    return report or None


class ServerConnector:
    """Makes attempts and health checks at servers."""

    def __init__(self, driver: Driver, endpoints: Fleet, counters: Counters, sockets: int = 1024) -> None:
        """Start without connections; `sockets` is the number of descriptors that the process may hold."""
        self.driver, self.endpoints, self.counters = driver, endpoints, counters
        self.sockets = sockets
        self._idle_health_checks: dict[int, Link] = {}  # connections kept for the next health check
        self._health_checks_in_progress = 0

    @property
    def descriptors(self) -> int:
        """Descriptors that health checks may hold."""
        if not self.driver.settings.limits.health_checks_allowed:
            return 0
        return min(MAX_HEALTH_CHECK_CONNECTIONS, self.sockets // DESCRIPTORS_PER_HEALTH_CHECK)

    # ------------------------------------------------------------ attempts

    async def attempt(
        self, server: int, first_line: FirstLine, timeout: float, may_start: Callable[[], bool]
    ) -> AttemptEstablished | AttemptFailed:
        """Offer a request to a server for at most `timeout` seconds.

        Unless it is established, the connection is closed on return, so two attempts never overlap.
        """
        self.counters.add("attempts_started")
        deadline = trio.current_time() + timeout
        link: Link | None = None
        outcome, response = Outcome.NOT_SENT, b""  # until the first byte
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
                        outcome, response = await self._offer(link, first_line(deadline - trio.current_time()))
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
            return Outcome.NOT_SENT  # left the endpoint list since it was chosen
        try:
            deadline = trio.current_time() + self.driver.settings.limits.connect_timeout
            with trio.move_on_at(deadline):
                return Link(await connect(address))
        except OSError as error:
            if error.errno in NO_DESCRIPTORS:
                self.counters.add("connects_failed_no_descriptors")
                return Outcome.NOT_SENT  # not the server's failure
            return Outcome.UNREACHABLE
        return Outcome.UNREACHABLE

    async def _offer(self, link: Link, line: bytes) -> tuple[Outcome, bytes]:
        """Send the first line; return the outcome and the response, with the LOAD lines before it moved behind."""
        try:
            await link.send(line)
        except ConnectionBrokenError:
            return Outcome.UNREACHABLE, b""  # before the last byte of the line was written
        load_lines = b""
        try:
            while (response := await link.read_line()) is not None:
                if first_word(response) != b"LOAD":
                    return OUTCOMES.get(first_word(response), Outcome.ERROR), response + load_lines
                load_lines += response
                if len(load_lines) > MAX_LINE_BYTES:
                    break  # a response that never ends
        except (ConnectionBrokenError, LineTooLongError):
            pass
        return Outcome.CONNECTION_LOST, b""

    # ------------------------------------------------------------ health checks

    async def probe(self, server: int) -> None:
        """Ask a server for its load and report it to the driver; a late report counts as none.

        The connection is kept for the next health check, since opening one costs the server ten times as much.
        """
        self.counters.add("health_checks_started")
        started_at = trio.current_time()
        link = self._idle_health_checks.pop(server, None)
        if not self._has_room_for_health_check(link):
            self.counters.add("health_checks_deferred")
            if link is not None:
                link.close()
            self.driver.health_check_completed(server, Outcome.NOT_SENT, 0.0, None)
            return
        outcome, report = Outcome.TIMED_OUT, None
        self._health_checks_in_progress += 1
        try:
            with trio.move_on_after(HEALTH_CHECK_TIMEOUT_SECONDS):
                connected = link or await self._connect(server)
                if isinstance(connected, Outcome):
                    outcome = connected
                else:
                    link = connected
                    outcome, report = await self._request_report(link)
        finally:
            self._health_checks_in_progress -= 1
            if link is not None:
                self._keep_or_close(server, link, outcome)
        self.counters.add(f"health_checks_{outcome.label}" + ("" if report else "_without_report"))
        self.driver.health_check_completed(server, outcome, trio.current_time() - started_at, report)

    def _has_room_for_health_check(self, link: Link | None) -> bool:
        """Return whether one more may begin; close the oldest kept connection if that is needed for a new one."""
        if link is None and self._idle_health_checks and self._health_check_connections >= self.descriptors:
            self._idle_health_checks.pop(next(iter(self._idle_health_checks))).close()
        return self._health_check_connections < max(1, self.descriptors)

    @property
    def _health_check_connections(self) -> int:
        return len(self._idle_health_checks) + self._health_checks_in_progress

    async def _request_report(self, link: Link) -> tuple[Outcome, dict[str, float] | None]:
        try:
            await link.send(b"STATS\r\n")
            line = await link.read_line()
        except (ConnectionBrokenError, LineTooLongError):
            return Outcome.CONNECTION_LOST, None
        if line is None:
            return Outcome.CONNECTION_LOST, None
        if first_word(line) != b"PONG":
            return Outcome.ERROR, None
        return Outcome.OK, parse_report(line, self.driver.settings.load_report_fields)

    def _keep_or_close(self, server: int, link: Link, outcome: Outcome) -> None:
        """Keep a connection whose response is complete, as far as descriptors allow.

        On any other, a late response could be read as that of the next health check.
        """
        for departed in [s for s in self._idle_health_checks if s not in self.endpoints.addresses]:
            self._idle_health_checks.pop(departed).close()
        if (
            outcome is Outcome.OK
            and not link.buffered
            and server in self.endpoints.addresses
            and server not in self._idle_health_checks
            and self._health_check_connections < self.descriptors
        ):
            self._idle_health_checks[server] = link
        else:
            link.close()
