"""Relay of the lines of an open connection between a client and its server."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.core.events import Outcome
from aspensaddle.frontends.line_protocol.errors import ConnectionBrokenError, LineTooLongError
from aspensaddle.frontends.line_protocol.link import Link, first_word
from aspensaddle.frontends.line_protocol.load_report_parser import ConnectionLoad, LoadReportParser
from aspensaddle.support.counters import Counters

# A server that leaves a line unanswered for this long counts as unreachable. The protocol's limit is 7 s. Of that, up
# to 2 s pass before the client sends its next line, and the periodic check runs four times a second.
SERVER_SILENCE_TIMEOUT_SECONDS = 4.5
SERVER_END_TIMEOUT_SECONDS = 5.0  # time limit for a server to end its sending after the client has
CLIENT_SEND_TIMEOUT_SECONDS = 0.9  # time limit for sending lines to a client; the protocol allows 1 s for a line
MAX_AWAITED_ECHOES = 64  # limit of the client lines whose echo is awaited; the oldest are dropped
SERVER_WORDS = (b"UP", b"BYE", b"MOVE")  # with LOAD, first words of lines that echo no line of the client


class Relay:
    """Relays lines until one side ends its sending or the client is to be migrated.

    Attributes:
        client: The client's connection.
        server: The server's connection.
        request_id: Id of the request that led to the connection.
        load_report_parser: Parser of the server's LOAD lines.
        outcome: How the connection ended.
        client_at_line_end: Whether the client has received only complete lines.
        reset: Whether a connection broke or the client read a line too slowly; the other side is then reset too.
        server_silent: Whether the server left a line unanswered for too long.
    """

    def __init__(
        self,
        client: Link,
        server: Link,
        request_id: str,
        driver: Driver,
        counters: Counters,
        load_report_parser: LoadReportParser,
    ) -> None:
        """Prepare the relay; `run` starts it."""
        self.client, self.server, self.request_id = client, server, request_id
        self.driver, self.counters = driver, counters
        self.load_report_parser = load_report_parser
        self.outcome = Outcome.CANCELLED  # stays if the server does not end the connection
        self.client_at_line_end = True
        self.reset = False
        self.server_silent = False
        self._stopped = False
        self._last_word = b""  # first word of the last line from the server
        self._awaited_echoes: deque[float] = deque(maxlen=MAX_AWAITED_ECHOES)  # send times of lines not echoed yet
        self._scope = trio.CancelScope()

    def stop(self) -> None:
        """End the relay between two lines, so that the client can be migrated."""
        self._stopped = True
        self._scope.cancel()

    def check_silence(self, now: float) -> None:
        """Stop if the server is unreachable: its connection is open, but it answers nothing."""
        if self.echo_overdue(now) > SERVER_SILENCE_TIMEOUT_SECONDS and not self._stopped:
            self.server_silent = True
            self.stop()

    def echo_overdue(self, now: float) -> float:
        """Return how long the oldest line without an echo has waited for it, in seconds."""
        return now - self._awaited_echoes[0] if self._awaited_echoes else 0.0

    async def run(self, response: bytes) -> bool:
        """Relay the server's `response` and all lines after it; return whether the client is to be migrated.

        A client cannot be migrated once sending to it has ended.
        """
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_direction, Outcome.CANCELLED, self._relay_from_client)
                nursery.start_soon(self._run_direction, Outcome.CONNECTION_LOST, self._relay_from_server, response)
        return self._stopped and not self.client.sending_ended

    async def _run_direction(
        self, outcome_of_long_line: Outcome, direction: Callable[..., Awaitable[None]], *args: bytes
    ) -> None:
        try:
            await direction(*args)
        except ConnectionBrokenError:
            self.reset = True
            self._scope.cancel()
        except LineTooLongError:
            self.outcome = outcome_of_long_line  # a line of the client that is too long is not the server's failure
            self._scope.cancel()

    async def _relay_from_client(self) -> None:
        while True:
            if lines := self.client.take_lines():
                now = trio.current_time()
                self.counters.add("lines_received_from_clients", count := lines.count(b"\n"))
                for _ in range(count):
                    self._awaited_echoes.append(now)
                await self._send_to_server(lines)
            if not await self.client.receive():
                break
        if rest := self.client.take_rest():
            await self._send_to_server(rest)
        with suppress(ConnectionBrokenError):
            await self.server.end_sending()
        await trio.sleep(SERVER_END_TIMEOUT_SECONDS)
        self._scope.cancel()

    async def _send_to_server(self, data: bytes) -> None:
        # If the server has closed, its last lines can still be read, and reading detects the end.
        with suppress(ConnectionBrokenError):
            await self.server.send(data)

    async def _relay_from_server(self, response: bytes) -> None:
        # Lines that arrived together with the UP are buffered already.
        lines, more = response + self.server.take_lines(), True
        while more:
            if lines:
                self._report_lines(lines)
                await self._send_to_client(lines)
            try:
                more = await self.server.receive()
            except ConnectionBrokenError:
                self.reset, more = True, False
            lines = self.server.take_lines()
        if rest := lines + self.server.take_rest():
            self._report_lines(rest)
            await self._send_to_client(rest)
        if self._last_word == b"BYE":
            self.outcome = Outcome.OK
        elif self._last_word != b"MOVE" and not self.client.ended:
            self.outcome = Outcome.CONNECTION_LOST
        if not self.reset:
            await self.client.end_sending()  # the connection handler then closes it
        self._scope.cancel()

    async def _send_to_client(self, lines: bytes) -> None:
        # Shielded, since a migration must not cut a line short. A client that does not read is disconnected.
        self.client_at_line_end = False
        with trio.move_on_after(CLIENT_SEND_TIMEOUT_SECONDS, shield=True) as limit:
            await self.client.send(lines)
        if limit.cancelled_caught:
            raise ConnectionBrokenError("send within the time limit of a line")
        self.client_at_line_end = True

    def _report_lines(self, lines: bytes) -> None:
        """Report the loads, latencies and echoes in lines of the server to the driver."""
        now = trio.current_time()
        for line in lines.splitlines():
            word = self._last_word = first_word(line)
            if word == b"LOAD":
                self._report_load(line, now)
            elif self._awaited_echoes and word not in SERVER_WORDS:
                self.driver.record_response_delay(self.request_id, now - self._awaited_echoes.popleft())
        self.counters.add("lines_received_from_servers", lines.count(b"\n"))

    def _report_load(self, line: bytes, now: float) -> None:
        reports = self.load_report_parser.parse(line, now)
        if not reports:
            self.counters.add("invalid_load_reports")
        for report in reports:
            if isinstance(report, ConnectionLoad):
                self.driver.connection_load_reported(self.request_id, report.load)
            else:
                self.driver.server_latency_reported(self.request_id, report.latency)
