"""Health checks of servers with the STATS command, whose response carries a load report."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.core.events import Outcome
from aspensaddle.core.load_report_fields import parse_load_report
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.frontends.line_protocol.errors import ConnectionBrokenError, LineTooLongError
from aspensaddle.frontends.line_protocol.link import Link, first_word
from aspensaddle.support.counters import Counters

HEALTH_CHECK_TIMEOUT_SECONDS = 0.5
MAX_HEALTH_CHECK_CONNECTIONS = 64  # limit of the connections for health checks, idle or in use
DESCRIPTORS_PER_HEALTH_CHECK = 16  # health checks may hold one in this many of the process's descriptors
MAX_REPORT_FIELDS = 32
STATS = b"STATS\r\n"

_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?([eE][+-]?\d{1,2})?")


def parse_report(line: bytes, fields: tuple[str, ...]) -> dict[str, float] | None:
    """Parse the report after the first word of a response, `NAME=NUMBER,..`.

    Fields other than `fields` are ignored. Returns None if the line has none of `fields`, is malformed, has a field
    twice or an invalid number.
    """
    report: dict[str, float] = {}
    for item in line.decode("latin-1").split()[1:2]:
        for pair in item.split(",", MAX_REPORT_FIELDS):
            name, _, value = pair.partition("=")
            if not _NUMBER.fullmatch(value) or name in report:
                return None
            if name in fields:
                report[name] = float(value)
    return report or None


class HealthChecker:
    """Makes health checks and keeps their connections.

    Attributes:
        sockets: File descriptors that the process may hold.
    """

    def __init__(
        self,
        driver: Driver,
        endpoints: EndpointRegistry,
        counters: Counters,
        connect: Callable[[int], Awaitable[Link | Outcome]],
        sockets: int,
    ) -> None:
        """Start without connections; `connect` opens one to a server or returns why it failed."""
        self._driver, self._endpoints, self._counters = driver, endpoints, counters
        self.sockets = sockets
        self._connect = connect
        self._idle: dict[int, Link] = {}  # connections kept for the next health check, by server
        self._in_progress = 0

    @property
    def max_connections(self) -> int:
        """Number of descriptors that health checks may hold."""
        if not self._driver.settings.limits.health_checks_allowed:
            return 0
        return min(MAX_HEALTH_CHECK_CONNECTIONS, self.sockets // DESCRIPTORS_PER_HEALTH_CHECK)

    async def check(self, server: int) -> None:
        """Request a load report from a server and pass it to the driver; a late report is not used.

        The connection is kept for the next health check, to spare the server the cost of a new one. The check is
        deferred if all allowed connections are idle or in use.
        """
        self._counters.add("health_checks_started")
        started_at = trio.current_time()
        link = self._idle.pop(server, None)
        if not self._has_room(link):
            self._counters.add("health_checks_deferred")
            if link is not None:
                link.close()
            self._driver.health_check_completed(server, Outcome.NOT_SENT, 0.0, None)
            return
        outcome, report = Outcome.TIMED_OUT, None
        self._in_progress += 1
        try:
            with trio.move_on_after(HEALTH_CHECK_TIMEOUT_SECONDS):
                connected = link or await self._connect(server)
                if isinstance(connected, Outcome):
                    outcome = connected
                else:
                    link = connected
                    outcome, report = await self._request_report(link)
        finally:
            self._in_progress -= 1
            if link is not None:
                self._keep_or_close(server, link, outcome)
        self._counters.add(f"health_checks_{outcome.label}" + ("" if report else "_without_report"))
        latency = trio.current_time() - started_at
        self._driver.health_check_completed(server, outcome, latency, parse_load_report(report) if report else None)

    def _has_room(self, link: Link | None) -> bool:
        """Return whether another check may begin; close the oldest idle connection if a new one needs its place."""
        if link is None and self._idle and self._connections >= self.max_connections:
            self._idle.pop(next(iter(self._idle))).close()
        return self._connections < max(1, self.max_connections)

    @property
    def _connections(self) -> int:
        return len(self._idle) + self._in_progress

    async def _request_report(self, link: Link) -> tuple[Outcome, dict[str, float] | None]:
        try:
            await link.send(STATS)
            line = await link.read_line()
        except (ConnectionBrokenError, LineTooLongError):
            return Outcome.CONNECTION_LOST, None
        if line is None:
            return Outcome.CONNECTION_LOST, None
        if first_word(line) != b"PONG":
            return Outcome.ERROR, None
        return Outcome.OK, parse_report(line, self._driver.settings.load_report_fields)

    def _keep_or_close(self, server: int, link: Link, outcome: Outcome) -> None:
        """Keep a connection whose response is complete, as far as descriptors allow; close any other.

        If a response is incomplete, what arrives later could be read as the response to the next health check.
        """
        for departed in [known for known in self._idle if known not in self._endpoints.addresses]:
            self._idle.pop(departed).close()
        if (
            outcome is Outcome.OK
            and not link.buffered
            and server in self._endpoints.addresses
            and server not in self._idle
            and self._connections < self.max_connections
        ):
            self._idle[server] = link
        else:
            link.close()
