"""The runners: one attempt of a request at one of them, and probes."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.core.events import Outcome
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.frontends.line_protocol.link import LINE, Broken, Link, TooLong
from aspensaddle.support.counters import Counters
from aspensaddle.support.sockets import NO_DESCRIPTORS, connect

PROBE_WITHIN = 0.5
PROBE_LINKS = 64  # connections for probes at most, kept or out
PROBE_PART = 16  # one of so many descriptors
MOST_FIELDS = 32  # of a report
_FIGURE = re.compile(r"\d{1,12}(\.\d{1,12})?([eE][+-]?\d{1,2})?")

# What the first word of an answer says of the attempt.
ANSWERS = {
    b"UP": Outcome.OK,
    b"BYE": Outcome.OK,
    b"MOVE": Outcome.CANCELLED,
    b"ERR": Outcome.ERROR,
    b"BUSY": Outcome.REJECTED,
}


class FirstLine(Protocol):
    def __call__(self, wait: float) -> bytes:
        """The line that opens the connection, when the balancer waits this long for the answer."""


@dataclass(slots=True)
class Up:
    """A connection that stands: what the runner has said so far, from its UP on."""

    link: Link
    said: bytes


@dataclass(slots=True)
class Failed:
    outcome: Outcome
    said: bytes = b""


def first_word(line: bytes) -> bytes:
    return line.split(None, 1)[0] if line.strip() else b""


def parse_report(line: bytes, fields: tuple[str, ...]) -> dict[str, float] | None:
    """The report behind an answer's first word, `NAME=FIGURE,..`. Only fields of the settings count; a line with
    anything else in it, a field twice or a figure that is none tells nothing."""
    report: dict[str, float] = {}
    for item in line.decode("latin-1").split()[1:2]:
        for pair in item.split(",", MOST_FIELDS):
            name, _, value = pair.partition("=")
            if not _FIGURE.fullmatch(value) or name in report:
                return None
            if name in fields:
                report[name] = float(value)
    return report or None


class Servers:
    def __init__(self, driver: Driver, fleet: EndpointRegistry, counters: Counters, sockets: int = 1024) -> None:
        self.driver, self.fleet, self.counters = driver, fleet, counters
        self._probed: dict[int, Link] = {}  # connections kept for probes
        self._probing = 0  # probes that are out
        self.sockets = sockets

    @property
    def descriptors(self) -> int:
        """How many probes may hold."""
        settings = self.driver.settings
        return min(PROBE_LINKS, self.sockets // PROBE_PART) if settings.limits.health_checks_allowed else 0

    async def attempt(
        self, server: int, first: FirstLine, within: float, may_begin: Callable[[], bool]
    ) -> Up | Failed:
        """Offer a request to a runner. Unless it is up, the attempt's connection is closed on return, so that
        none is still out when the next begins."""
        self.counters.add("attempts")
        deadline = trio.current_time() + within
        link: Link | None = None
        outcome, said = Outcome.NOT_SENT, b""  # until its first byte
        try:
            with trio.move_on_at(deadline):
                connected = await self._connect(server)
                if isinstance(connected, Outcome):
                    outcome = connected
                else:
                    link = connected
                    # No wait between the check and the first byte.
                    if may_begin():
                        outcome = Outcome.TIMED_OUT
                        outcome, said = await self._offer(link, first(deadline - trio.current_time()))
                    if outcome is Outcome.OK and first_word(said) == b"UP":
                        up, link = Up(link, said), None
                        self.counters.add("attempts up")
                        return up
        finally:
            if link is not None:
                link.close()
        self.counters.add(f"attempts {outcome.label}")
        return Failed(outcome, said)

    async def _connect(self, server: int) -> Link | Outcome:
        address = self.fleet.addresses.get(server)
        if address is None:
            return Outcome.NOT_SENT  # left the list since it was chosen
        try:
            stop = trio.current_time() + self.driver.settings.limits.connect_timeout
            with trio.move_on_at(stop):
                return Link(await connect(address))
        except OSError as e:
            if e.errno in NO_DESCRIPTORS:
                self.counters.add("out of descriptors")
                return Outcome.NOT_SENT  # nothing was sent, and the runner has no part in it
            return Outcome.UNREACHABLE
        return Outcome.UNREACHABLE

    async def _offer(self, link: Link, line: bytes) -> tuple[Outcome, bytes]:
        try:
            await link.send(line)
        except Broken:
            return Outcome.UNREACHABLE, b""  # before the line's last byte was written
        loads = b""
        try:
            while (answer := await link.line()) is not None:
                if first_word(answer) != b"LOAD":
                    return ANSWERS.get(first_word(answer), Outcome.ERROR), answer + loads
                loads += answer  # belongs behind the UP
                if len(loads) > LINE:
                    break  # an answer that never ends
        except (Broken, TooLong):
            pass
        return Outcome.CONNECTION_LOST, b""

    async def probe(self, server: int) -> None:
        """Ask a runner for its load, and tell the driver. A report that comes too late is none. The connection is
        kept for the next probe: opening one costs the runner ten times what a probe does."""
        self.counters.add("probes")
        start, outcome, report = trio.current_time(), Outcome.TIMED_OUT, None
        link = self._probed.pop(server, None)
        if link is None and self._probed and len(self._probed) + self._probing >= self.descriptors:
            self._probed.pop(next(iter(self._probed))).close()
        if len(self._probed) + self._probing >= max(1, self.descriptors):
            self.counters.add("probes put off")
            if link is not None:
                link.close()
            self.driver.health_check_completed(server, Outcome.NOT_SENT, 0.0, None)
            return
        self._probing += 1
        try:
            with trio.move_on_after(PROBE_WITHIN):
                connected = link or await self._connect(server)
                if isinstance(connected, Outcome):
                    outcome = connected
                else:
                    link = connected
                    outcome, report = await self._ask(link)
        finally:
            self._probing -= 1
            if link is not None:
                self._keep(server, link, outcome)
        self.counters.add(f"probes {outcome.label}" + ("" if report else " without a report"))
        self.driver.health_check_completed(server, outcome, trio.current_time() - start, report)

    async def _ask(self, link: Link) -> tuple[Outcome, dict[str, float] | None]:
        try:
            await link.send(b"STATS\r\n")
            line = await link.line()
        except (Broken, TooLong):
            return Outcome.CONNECTION_LOST, None
        if line is None:
            return Outcome.CONNECTION_LOST, None
        if first_word(line) != b"PONG":
            return Outcome.ERROR, None
        return Outcome.OK, parse_report(line, self.driver.settings.load_report_fields)

    def _keep(self, server: int, link: Link, outcome: Outcome) -> None:
        """Guards against an answer that comes late being read as the next one's, and against a descriptor for each
        runner of a large fleet."""
        for gone in [s for s in self._probed if s not in self.fleet.addresses]:
            self._probed.pop(gone).close()
        if (
            outcome is Outcome.OK
            and not link.buffered
            and server in self.fleet.addresses
            and server not in self._probed
            and len(self._probed) + self._probing < self.descriptors
        ):
            self._probed[server] = link
        else:
            link.close()
