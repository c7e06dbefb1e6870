"""Retries over real sockets, by the idempotency of the request class and its deduplication scope and window."""

from dataclasses import replace

import pytest
import trio
from frontend_harness import REQUEST_CLASS, FrontendHarness, Gate
from standins import StubServer, reset

PURE_CLASS, SIDE_EFFECT_CLASS = {**REQUEST_CLASS, "repeat": "pure"}, {**REQUEST_CLASS, "repeat": "side_effect"}


def token_class(group="all", window=5.0):
    return {**REQUEST_CLASS, "repeat": "token", "group": group, "window": window}


class RetryScenario:
    """A request whose first attempt is held at one of the servers until the test makes it fail.

    Attributes:
        clock_offset: Seconds by which the driver's clock is ahead.
        response: What the client received.
    """

    def __init__(self, request_class, zones=("surabaya", "surabaya"), cells=(0, 0)):
        self.servers = [StubServer(f"s-{i}") for i in range(len(zones))]
        for server in self.servers:
            server.hold_connections = True
        entries = [
            server.endpoint_entry(az=zone, pod_group=cell)
            for server, zone, cell in zip(self.servers, zones, cells, strict=True)
        ]
        self.harness = FrontendHarness(self.servers, request_classes=[request_class], entries=entries)
        self.response, self.clock_offset = b"", 0.0
        clock = self.harness.driver._clock
        self.harness.driver._clock = lambda: clock() + self.clock_offset

    def run(self, failure):
        """Fail the first attempt with `failure`; return the first word of the response and the number of attempts."""

        async def script(harness):
            client = await harness.send_open()
            await harness.wait_until(lambda: any(server.first_lines for server in self.servers))
            first_server = next(server for server in self.servers if server.first_lines)
            connection, _ = await trio.to_thread.run_sync(first_server.next_held_connection)
            for server in self.servers:
                server.hold_connections = False
            await failure(self, connection)
            self.response = await client.read_line()
            client.stream.socket.close()
            await harness.wait_until_all_closed()

        self.harness.run(script)
        return self.response.split()[0], sum(len(server.first_lines) for server in self.servers)


async def reset_connection(scenario, connection):
    reset(connection)


async def send_err(scenario, connection):
    connection.sendall(b"ERR\r\n")


async def send_busy(scenario, connection):
    connection.sendall(b"BUSY\r\n")


async def reset_after_the_window(scenario, connection):
    scenario.clock_offset = 6.0 if scenario.harness.config.settings.classes[0].deduplication_window == 5.0 else 1.0
    reset(connection)


@pytest.mark.parametrize("failure", [reset_connection, send_err])
@pytest.mark.parametrize(
    ("request_class", "zones", "cells", "expected"),
    [
        (PURE_CLASS, ("surabaya", "semarang"), (0, 1), (b"UP", 2)),
        (token_class(), ("surabaya", "semarang"), (0, 1), (b"UP", 2)),
        (token_class("zone"), ("surabaya", "surabaya"), (0, 1), (b"UP", 2)),
        # Retried at the same server, since no other is in its zone.
        (token_class("zone"), ("surabaya", "semarang"), (0, 0), (b"UP", 2)),
        (token_class("cell"), ("surabaya", "semarang"), (3, 3), (b"UP", 2)),
        (token_class("cell"), ("surabaya", "surabaya"), (3, 4), (b"UP", 2)),
        (SIDE_EFFECT_CLASS, ("surabaya", "surabaya"), (0, 0), (b"ERR", 1)),
    ],
    ids=str,
)
def test_attempt_that_may_have_been_executed_is_retried_only_where_a_repeat_has_no_effect(
    failure, request_class, zones, cells, expected
):
    scenario = RetryScenario(request_class, zones, cells)
    assert scenario.run(failure) == expected
    first_server, *retries = [i for i, server in enumerate(scenario.servers) for _ in server.first_lines]
    if request_class["repeat"] == "token" and retries and request_class["group"] != "all":
        locations = zones if request_class["group"] == "zone" else cells
        assert all(locations[i] == locations[first_server] for i in retries)


@pytest.mark.parametrize(
    "request_class", [PURE_CLASS, token_class(), token_class("zone"), token_class("cell"), SIDE_EFFECT_CLASS], ids=str
)
def test_rejected_attempt_is_retried_at_any_server_for_every_class(request_class):
    assert RetryScenario(request_class, ("surabaya", "semarang"), (0, 1)).run(send_busy) == (b"UP", 2)


@pytest.mark.parametrize(
    ("request_class", "expected"),
    [
        (token_class(window=0.8), (b"BUSY", 1)),
        (token_class("zone", 0.8), (b"ERR", 1)),
        (token_class("cell", 0.8), (b"ERR", 1)),
        (SIDE_EFFECT_CLASS, (b"ERR", 1)),
    ],
    ids=str,
)
def test_deduplication_window_that_ends_during_an_attempt_prevents_a_retry(request_class, expected):
    """A request that all servers deduplicate is rejected, so the client may retry it; any other one fails."""
    assert RetryScenario(request_class).run(reset_after_the_window) == expected


@pytest.mark.parametrize(
    ("request_class", "expected"),
    [(token_class(window=0.8), (b"BUSY", 1)), (token_class("zone", 0.8), (b"ERR", 1))],
    ids=str,
)
def test_deduplication_window_that_ends_while_a_retry_connects_prevents_its_first_byte(request_class, expected):
    """The window had not ended when the retry was decided, so the check after the connect must cover it again."""

    async def failure(scenario, connection):
        gate = Gate()
        scenario.harness.connector._connect = gate.hold(scenario.harness.connector._connect)
        reset(connection)
        await gate.reached.wait()
        scenario.clock_offset = 0.9
        gate.opened.set()

    assert RetryScenario(request_class).run(failure) == expected


def test_reload_that_shortens_the_deduplication_window_applies_to_a_pending_request():
    async def failure(scenario, connection):
        gate = Gate()
        scenario.harness.connector._connect = gate.hold(scenario.harness.connector._connect)
        reset(connection)
        await gate.reached.wait()
        scenario.clock_offset = 0.9
        settings = scenario.harness.config.settings
        scenario.harness.driver.configure(
            replace(settings, classes=(replace(settings.classes[0], deduplication_window=0.8),))
        )
        gate.opened.set()

    assert RetryScenario(token_class()).run(failure) == (b"BUSY", 1)


def test_request_whose_connect_takes_too_long_is_rejected_as_not_executed():
    """Guards against failing such a request as if it had been sent; the client may retry what was not executed."""

    async def script(harness):
        gate = Gate()
        harness.connector._connect = gate.hold(harness.connector._connect)
        client = await harness.send_open("c=test-run,d=300")
        await gate.reached.wait()
        assert (await client.read_line()).startswith(b"BUSY")
        client.stream.socket.close()
        await harness.wait_until_all_closed()

    server = StubServer("s-0")
    FrontendHarness([server], request_classes=[SIDE_EFFECT_CLASS]).run(script)
    assert not server.first_lines
