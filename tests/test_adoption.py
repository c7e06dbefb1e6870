"""Adoption of connections that were open before the process started: one response, whatever happens meanwhile."""

import pytest
import trio
from frontend_harness import REQUEST_CLASS, FrontendHarness
from standins import StubServer, reset

from aspensaddle.frontends.line_protocol import connection_adopter

ADOPTION_FIELDS = "c=test-run,d=3000,at=s-0"


def adoption_result(harness):
    (event,) = [fields for name, fields in harness.events if name == "connection_adopted"]
    return event["result"]


async def next_attempt(harness):
    return await trio.to_thread.run_sync(harness.servers[0].next_held_connection)


async def wait_for_attempts(harness, count):
    await harness.wait_until(lambda: len(harness.servers[0].first_lines) >= count)


async def close_client(client):
    client.stream.socket.close()


def test_server_that_rejects_at_first_is_retried_until_the_connection_is_established():
    """Guards against entering a cancel scope a second time, which prevented every second attempt of an adoption."""
    server = StubServer("s-0", b"BUSY 100\r\n")

    async def script(harness):
        client = await harness.send_open(ADOPTION_FIELDS)
        await trio.sleep(1.2)
        server.response = b"UP r\r\n"
        assert await client.read_line() == b"UP s-0\r\n"
        assert adoption_result(harness) == "established" and len(server.first_lines) == 3
        await close_client(client)
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)


def test_adoption_needs_no_confirmed_list():
    """Guards against connections that stay lost while discovery is crowded and every call to it fails."""
    server = StubServer("s-0")

    async def script(harness):
        driver = harness.driver
        driver.balancer.state.endpoint_confirmation.confirm_list(driver.now() - 60.0)
        new = await harness.send_open("c=test-run,d=3000", request_id="new")
        assert (await new.read_line()).startswith(b"BUSY")
        adopted = await harness.send_open(ADOPTION_FIELDS, request_id="adopted")
        assert await adopted.read_line() == b"UP s-0\r\n"
        for client in (new, adopted):
            await close_client(client)
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)


def test_reset_attempt_is_retried_if_the_class_allows_it():
    server = StubServer("s-0")
    server.hold_connections = True

    async def script(harness):
        client = await harness.send_open(ADOPTION_FIELDS)
        connection, _ = await next_attempt(harness)
        server.hold_connections = False
        reset(connection)
        assert await client.read_line() == b"UP s-0\r\n"
        await close_client(client)
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)


@pytest.mark.parametrize(("repeat", "expected_attempts"), [("side_effect", 1), ("pure", 6)])
def test_server_that_always_fails_is_tried_as_often_as_class_and_limits_allow(repeat, expected_attempts, monkeypatch):
    monkeypatch.setattr(connection_adopter, "INITIAL_BACKOFF_SECONDS", 0.05)
    server = StubServer("s-0", b"ERR\r\n")

    async def script(harness):
        client = await harness.send_open(ADOPTION_FIELDS)
        response = await client.read_to_end()
        assert response.startswith(b"ERR" if repeat == "side_effect" else b"BUSY")
        assert adoption_result(harness) == ("retry_not_allowed" if repeat == "side_effect" else "attempts_exhausted")
        await close_client(client)
        await harness.wait_until_all_closed()

    FrontendHarness([server], request_classes=[{**REQUEST_CLASS, "repeat": repeat}]).run(script)
    assert len(server.first_lines) == expected_attempts


def test_silent_server_is_retried_after_the_attempt_timeout(monkeypatch):
    monkeypatch.setattr(connection_adopter, "ATTEMPT_TIMEOUT_SECONDS", 0.3)
    server = StubServer("s-0", b"")

    async def script(harness):
        client = await harness.send_open(ADOPTION_FIELDS)
        await wait_for_attempts(harness, 1)
        server.response = b"UP r\r\n"
        assert await client.read_line() == b"UP s-0\r\n"
        await close_client(client)
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)
    assert len(server.first_lines) == 2


def test_adoption_waits_for_an_endpoint_list_that_arrives_after_the_client():
    server = StubServer("s-0")

    async def script(harness):
        client = await harness.send_open(ADOPTION_FIELDS)
        await harness.wait_until(lambda: harness.frontend.pending_requests)
        await trio.sleep(0.7)
        harness.change_endpoints(server.endpoint_entry())
        assert await client.read_line() == b"UP s-0\r\n"
        await close_client(client)
        await harness.wait_until_all_closed()

    FrontendHarness([server], entries=[{**server.endpoint_entry(), "uid": "s-other"}]).run(script)


@pytest.mark.parametrize("state", ["leaving", "left"])
@pytest.mark.parametrize("adoption_stage", ["pause", "attempt"])
def test_server_that_drains_or_leaves_the_list_gets_no_further_attempt(state, adoption_stage):
    server = StubServer("s-0", b"BUSY\r\n" if adoption_stage == "pause" else b"")
    server.hold_connections = adoption_stage == "attempt"

    async def script(harness):
        client = await harness.send_open(ADOPTION_FIELDS)
        await wait_for_attempts(harness, 1)
        if adoption_stage == "attempt":
            connection, _ = await next_attempt(harness)
        harness.change_endpoints(server.endpoint_entry(state=state))
        if adoption_stage == "attempt":
            connection.sendall(b"BUSY\r\n")
        assert (await client.read_to_end()).startswith(b"BUSY")
        assert adoption_result(harness) == "server_unavailable"
        await close_client(client)
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)
    assert len(server.first_lines) == 1


@pytest.mark.parametrize("departure", ["close", "reset"])
@pytest.mark.parametrize("adoption_stage", ["pause", "attempt", "unlisted"])
def test_client_that_disconnects_ends_its_adoption(departure, adoption_stage):
    server = StubServer("s-0", b"BUSY\r\n")
    server.hold_connections = adoption_stage == "attempt"
    entries = [{**server.endpoint_entry(), "uid": "s-other"}] if adoption_stage == "unlisted" else None

    async def script(harness):
        client = await harness.send_open(ADOPTION_FIELDS)
        await harness.wait_until(lambda: harness.frontend.pending_requests)
        if adoption_stage != "unlisted":
            await wait_for_attempts(harness, 1)
        if departure == "close":
            await close_client(client)
        else:
            client.reset()
        await harness.wait_until_all_closed()
        assert adoption_result(harness) == "client_disconnected"

    FrontendHarness([server], entries=entries).run(script)
    assert len(server.first_lines) == (adoption_stage != "unlisted")


@pytest.mark.parametrize("adoption_stage", ["pause", "attempt", "unlisted"])
def test_shutdown_ends_an_adoption_at_once_with_busy(adoption_stage):
    server = StubServer("s-0", b"BUSY\r\n")
    server.hold_connections = adoption_stage == "attempt"
    entries = [{**server.endpoint_entry(), "uid": "s-other"}] if adoption_stage == "unlisted" else None

    async def script(harness):
        client = await harness.send_open(ADOPTION_FIELDS)
        await harness.wait_until(lambda: harness.frontend.pending_requests)
        if adoption_stage != "unlisted":
            await wait_for_attempts(harness, 1)
        started = trio.current_time()
        harness.frontend.accepting_requests = False
        harness.frontend.reject_pending_requests()  # as the shutdown does at the end of its second phase
        assert (await client.read_to_end()).startswith(b"BUSY") and trio.current_time() - started < 0.4
        assert adoption_result(harness) == "shutting_down"
        await close_client(client)
        await harness.wait_until_all_closed()

    FrontendHarness([server], entries=entries).run(script)


@pytest.mark.parametrize(
    ("repeat", "adoption_stage", "expected_response"),
    [
        ("side_effect", "attempt", b"ERR"),  # the server has the line, so the request may have been executed
        ("side_effect", "pause", b"BUSY"),  # the server has rejected the request
        ("pure", "attempt", b"BUSY"),
    ],
)
def test_shutdown_answers_an_adoption_with_busy_only_if_a_retry_by_the_client_is_harmless(
    repeat, adoption_stage, expected_response
):
    """Guards against an attempt that a shutdown cancelled, and that counted as never executed."""
    server = StubServer("s-0", b"BUSY\r\n")
    server.hold_connections = adoption_stage == "attempt"

    async def script(harness):
        client = await harness.send_open(ADOPTION_FIELDS)
        await wait_for_attempts(harness, 1)
        if adoption_stage == "pause":
            await trio.sleep(0.1)
        harness.frontend.accepting_requests = False
        harness.frontend.reject_pending_requests()
        assert (await client.read_to_end()).startswith(expected_response)
        assert adoption_result(harness) == "shutting_down"
        await close_client(client)
        await harness.wait_until_all_closed()

    FrontendHarness([server], request_classes=[{**REQUEST_CLASS, "repeat": repeat}]).run(script)


def test_second_adoption_under_the_same_id_gets_an_error():
    """Guards against two adoptions under one id, where the one that ended last failed with a KeyError."""
    server = StubServer("s-0", b"BUSY\r\n")

    async def script(harness):
        client = await harness.send_open(ADOPTION_FIELDS)
        await wait_for_attempts(harness, 1)
        harness.request_count -= 1
        second_client = await harness.send_open(ADOPTION_FIELDS)
        assert await second_client.read_to_end() == b"ERR\r\n"
        await close_client(second_client)
        await close_client(client)
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)


def test_response_of_a_server_that_serves_at_once_is_passed_on():
    server = StubServer("s-0", b"BYE\r\n")

    async def script(harness):
        client = await harness.send_open(ADOPTION_FIELDS)
        assert await client.read_to_end() == b"BYE\r\n" and adoption_result(harness) == "served"
        await close_client(client)
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)
