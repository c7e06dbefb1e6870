"""Adoption of connections that stood before the process started: whatever meets it, one answer and no early end."""

import pytest
import trio
from frontend_harness import REQUEST_CLASS, FrontendHarness
from standins import Runner, reset

from aspensaddle.frontends.line_protocol import connection_adopter

ADOPT = "c=test-run,d=3000,at=s-0"


def result(f):
    (event,) = [fields for name, fields in f.events if name == "connection_adopted"]
    return event["result"]


async def offered(f):
    return await trio.to_thread.run_sync(f.servers[0].offered)


async def attempts(f, count):
    await f.wait_until(lambda: len(f.servers[0].first_lines) >= count)


async def leaves(peer):
    peer.stream.socket.close()


def test_a_server_that_refuses_for_a_while_still_gets_its_connection_back():
    """Guards against a cancel scope that is entered a second time: no adoption was ever tried twice."""
    runner = Runner("s-0", b"BUSY 100\r\n")

    async def script(f):
        peer = await f.send_open(ADOPT)
        await trio.sleep(1.2)
        runner.answer = b"UP r\r\n"
        assert await peer.read_line() == b"UP s-0\r\n"
        assert result(f) == "established" and len(runner.first_lines) == 3
        await leaves(peer)
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)


def test_a_server_that_resets_gets_its_connection_back_where_the_class_allows_another_attempt():
    runner = Runner("s-0")
    runner.held = True

    async def script(f):
        peer = await f.send_open(ADOPT)
        connection, _ = await offered(f)
        runner.held = False
        reset(connection)
        assert await peer.read_line() == b"UP s-0\r\n"
        await leaves(peer)
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)


@pytest.mark.parametrize(("repeat", "lines"), [("side_effect", 1), ("pure", 6)])
def test_a_server_that_always_resets_is_tried_as_often_as_class_and_settings_allow(repeat, lines, monkeypatch):
    monkeypatch.setattr(connection_adopter, "INITIAL_BACKOFF_SECONDS", 0.05)
    runner = Runner("s-0", b"ERR\r\n")

    async def script(f):
        peer = await f.send_open(ADOPT)
        answer = await peer.read_to_end()
        assert answer.startswith(b"ERR" if repeat == "side_effect" else b"BUSY")
        assert result(f) == ("retry_not_allowed" if repeat == "side_effect" else "attempts_exhausted")
        await leaves(peer)
        await f.wait_until_all_closed()

    FrontendHarness([runner], request_classes=[{**REQUEST_CLASS, "repeat": repeat}]).run(script)
    assert len(runner.first_lines) == lines


def test_a_silent_server_is_tried_again(monkeypatch):
    monkeypatch.setattr(connection_adopter, "ATTEMPT_TIMEOUT_SECONDS", 0.3)
    runner = Runner("s-0", b"")

    async def script(f):
        peer = await f.send_open(ADOPT)
        await attempts(f, 1)
        runner.answer = b"UP r\r\n"
        assert await peer.read_line() == b"UP s-0\r\n"
        await leaves(peer)
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)
    assert len(runner.first_lines) == 2


def test_a_list_that_comes_after_the_client_is_waited_for():
    runner = Runner("s-0")

    async def script(f):
        peer = await f.send_open(ADOPT)
        await f.wait_until(lambda: f.frontend.pending_requests)
        await trio.sleep(0.7)
        f.change_endpoints(runner.target())
        assert await peer.read_line() == b"UP s-0\r\n"
        await leaves(peer)
        await f.wait_until_all_closed()

    FrontendHarness([runner], targets=[{**runner.target(), "uid": "s-other"}]).run(script)


@pytest.mark.parametrize("state", ["leaving", "left"])
@pytest.mark.parametrize("stage", ["pause", "attempt"])
def test_a_server_that_drains_or_leaves_gets_no_other_attempt(state, stage):
    runner = Runner("s-0", b"BUSY\r\n" if stage == "pause" else b"")
    runner.held = stage == "attempt"

    async def script(f):
        peer = await f.send_open(ADOPT)
        await attempts(f, 1)
        if stage == "attempt":
            connection, _ = await offered(f)
        f.change_endpoints(runner.target(state=state))
        if stage == "attempt":
            connection.sendall(b"BUSY\r\n")
        assert (await peer.read_to_end()).startswith(b"BUSY")
        assert result(f) == "server_unavailable"
        await leaves(peer)
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)
    assert len(runner.first_lines) == 1


@pytest.mark.parametrize("leave", ["close", "reset"])
@pytest.mark.parametrize("stage", ["pause", "attempt", "unlisted"])
def test_a_client_that_leaves_ends_its_adoption(leave, stage):
    runner = Runner("s-0", b"BUSY\r\n")
    runner.held = stage == "attempt"
    targets = [{**runner.target(), "uid": "s-other"}] if stage == "unlisted" else None

    async def script(f):
        peer = await f.send_open(ADOPT)
        await f.wait_until(lambda: f.frontend.pending_requests)
        if stage != "unlisted":
            await attempts(f, 1)
        if leave == "close":
            await leaves(peer)
        else:
            peer.reset()
        await f.wait_until_all_closed()
        assert result(f) == "client_disconnected"

    FrontendHarness([runner], targets=targets).run(script)
    assert len(runner.first_lines) == (stage != "unlisted")


@pytest.mark.parametrize("stage", ["pause", "attempt", "unlisted"])
def test_the_shutdown_ends_an_adoption_with_an_answer(stage):
    runner = Runner("s-0", b"BUSY\r\n")
    runner.held = stage == "attempt"
    targets = [{**runner.target(), "uid": "s-other"}] if stage == "unlisted" else None

    async def script(f):
        peer = await f.send_open(ADOPT)
        await f.wait_until(lambda: f.frontend.pending_requests)
        if stage != "unlisted":
            await attempts(f, 1)
        started = trio.current_time()
        f.frontend.accepting_requests = False
        f.frontend.reject_pending_requests()  # as the shutdown does at the end of its second phase
        assert (await peer.read_to_end()).startswith(b"BUSY") and trio.current_time() - started < 0.4
        assert result(f) == "shutting_down"
        await leaves(peer)
        await f.wait_until_all_closed()

    FrontendHarness([runner], targets=targets).run(script)


def test_an_id_that_is_being_adopted_cannot_be_used_again():
    """Guards against two adoptions under one id, of which the second to end failed with a KeyError."""
    runner = Runner("s-0", b"BUSY\r\n")

    async def script(f):
        peer = await f.send_open(ADOPT)
        await attempts(f, 1)
        f.request_count -= 1
        again = await f.send_open(ADOPT)
        assert await again.read_to_end() == b"ERR\r\n"
        await leaves(again)
        await leaves(peer)
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)


def test_a_server_that_serves_at_once_answers_the_client():
    runner = Runner("s-0", b"BYE\r\n")

    async def script(f):
        peer = await f.send_open(ADOPT)
        assert await peer.read_to_end() == b"BYE\r\n" and result(f) == "served"
        await leaves(peer)
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)
