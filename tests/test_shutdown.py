"""Graceful shutdown: each accepted client gets a complete response or a MOVE, and the process ends in time."""

import re
import signal
import socket
import threading
from dataclasses import replace

import pytest
import trio
from frontend_harness import FrontendHarness
from helpers import SETTINGS as MODULE_SETTINGS
from standins import SETTINGS, WAIT, Client, Runner, until

from aspensaddle.daemon.graceful_shutdown import (
    KILL_MARGIN_SECONDS,
    MAX_DEADLINE_SECONDS,
    NEW_CONNECTIONS_SECONDS,
    ShutdownPhases,
)

DEADLINES = [0.1, 0.3, 0.6, 1.2, 1.8, 3.0, 12.0]


@pytest.mark.parametrize("late", [0.0, 0.05, 0.3, 2.0])
@pytest.mark.parametrize("deadline", DEADLINES)
def test_the_phases_follow_from_the_deadlines_and_fit_before_the_kill(deadline, late):
    classes = tuple(replace(MODULE_SETTINGS.classes[0], deadline=d) for d in (deadline, deadline / 2))
    p = ShutdownPhases.from_settings(replace(MODULE_SETTINGS, classes=classes), late)
    killed = min(MAX_DEADLINE_SECONDS, deadline) + KILL_MARGIN_SECONDS
    assert 0 < p.migration_start < p.answer_deadline < p.drain_deadline < p.close_deadline < killed
    assert killed - p.close_deadline >= min(late, killed / 4)
    if late <= 0.05 and deadline <= MAX_DEADLINE_SECONDS:
        assert p.answer_deadline >= deadline  # who was taken right before has its whole time
        assert p.drain_deadline > NEW_CONNECTIONS_SECONDS  # nobody comes any more when the queue is emptied
    if deadline >= 0.6 and late <= 0.05:
        assert p.migration_start > NEW_CONNECTIONS_SECONDS


def lanes(deadline):
    return [{**lane, "deadline": deadline} for lane in SETTINGS["lanes"]]


def taken(w, more="c=test-run,d=900"):
    """A client whose request is out at a runner that is held, and that runner's side."""
    c = w.client()
    Client.count += 1
    c.send(f"OPEN {Client.count:016x} 7f3a9c21e0b4d655 {more}\r\n".encode())
    held = until(lambda: [r for r in w.runners if not r.offers.empty()], "the attempt")[0]
    return c, held.offered()[0]


@pytest.mark.parametrize("deadline", [0.9, 3.0])
def test_at_sigterm_every_place_of_a_request_s_life_ends_with_a_whole_answer(world, deadline):
    w = world(settings={**SETTINGS, "lanes": lanes(deadline)})
    for r in w.runners:
        r.held = True
    resting, half = w.client(), w.client()
    half.send(b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=te")
    never, _ = taken(w)  # is answered by no runner
    later, later_runner = taken(w)
    halved, halved_runner = taken(w)
    halved_runner.sendall(b"UP s")
    idle, idle_runner = taken(w)
    idle_runner.sendall(b"UP s-x\r\n")
    cut, cut_runner = taken(w)
    cut_runner.sendall(b"UP s-x\r\nM 1\r\nM 2")
    out, out_runner = taken(w)
    out_runner.sendall(b"UP s-x\r\n")
    assert idle.line() == cut.line() == out.line() == b"UP s-x\r\n" and cut.line() == b"M 1\r\n"
    out.send(b"M 7\r\n")
    assert out_runner.recv(100) == b"M 7\r\n"
    ended = []
    thread = threading.Thread(target=lambda: ended.append(w.program.terminate()))
    thread.start()
    until(lambda: w.program.events("shutdown_started"), "the signal")
    half.send(b"st-run,d=900\r\n")
    later_runner.sendall(b"UP s-x\r\n")
    halved_runner.sendall(b"-x\r\n")
    new, silent = w.client(), w.client()
    assert new.open().startswith(b"BUSY")
    for c in (resting, half, silent, never):
        assert re.fullmatch(rb"BUSY( \d+)?\r\n", c.rest())
    for c in (idle, cut, out):
        assert c.rest() == b"MOVE\r\n"
    for c in (later, halved):
        assert c.rest() == b"UP s-x\r\nMOVE\r\n"
    thread.join(WAIT)
    assert ended == [0] and "internal_errors" not in w.program.events("counters_reported")[0]["counts"]


def test_hundreds_who_stand_are_all_moved(world):
    w = world(limits={"sockets": 1024})
    standing = []
    for _ in range(200):
        standing.append(w.client())
        assert standing[-1].open("c=test-run,d=3000").startswith(b"UP ")
    thread = threading.Thread(target=w.program.terminate)
    thread.start()
    for c in standing:
        assert c.rest() == b"MOVE\r\n"
        c.close()
    thread.join(WAIT)
    assert w.program.process.returncode == 0


@pytest.mark.parametrize("more", [b"OPEN 1 k c=test-run,d=900\r\n", b"OPEN 1 k c=te", b""])
def test_what_the_kernel_accepted_and_nobody_has_read_is_answered(more):
    """Nothing accepts here but the end itself: a listener closed over its queue resets all of them."""
    runner = Runner("s-0")

    async def script(f):
        peers = [await f.connect() for _ in range(60)]
        for peer in peers:
            if more:
                await peer.send(more)
        f.nursery.start_soon(f.terminate)
        for peer in peers:
            assert re.fullmatch(rb"BUSY( \d+)?\r\n", await peer.read_to_end()) and not peer.was_reset
            peer.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script, accepting=False)
    assert not runner.first_lines


LAST = {
    "safe": ({"repeat": "pure"}, b"BUSY"),
    "any": ({"repeat": "token", "group": "all"}, b"BUSY"),
    "zone": ({"repeat": "token", "group": "zone"}, b"ERR"),
    "once": ({"repeat": "side_effect"}, b"ERR"),
}


def test_who_is_still_out_at_the_last_is_answered_by_what_may_have_run(world):
    """Their deadlines are beyond the kill."""
    w = world(
        settings={
            **SETTINGS,
            "lanes": [
                {**SETTINGS["lanes"][0], "name": name, "deadline": 30.0, **repeat}
                for name, (repeat, _) in LAST.items()
            ],
        }
    )
    for r in w.runners:
        r.held = True
    out = {name: taken(w, f"c={name},d=30000")[0] for name in LAST}
    assert w.program.terminate() == 0
    for name, (_, answer) in LAST.items():
        assert re.fullmatch(answer + rb"( \d+)?\r\n", out[name].rest()), name
    whys = [e["reject_reason"] for e in w.program.events("request")]
    assert whys.count("shutting_down") == sum(answer == b"BUSY" for _, answer in LAST.values()) > 0


def test_a_drain_and_a_reload_told_meanwhile_do_not_hold_up_the_end(world):
    w = world()
    until(lambda: w.discovery.watches, "a watch")
    c = w.client()
    assert c.open().startswith(b"UP ")
    w.program.process.send_signal(signal.SIGTERM)
    until(lambda: w.program.events("shutdown_started"), "the signal")
    w.drain(w.runners[0])
    w.program.process.send_signal(signal.SIGHUP)
    w.program.process.send_signal(signal.SIGTERM)
    assert c.rest() == b"MOVE\r\n"
    assert w.program.process.wait(WAIT) == 0 and len(w.program.events("shutdown_started")) == 1


def test_a_request_read_after_its_connection_was_shut_is_not_sent_on(world):
    """Some clients rest until the balancer ends them, and send in that very moment."""
    w = world()
    resting = [w.client() for _ in range(10)]
    w.program.process.send_signal(signal.SIGTERM)
    for n, c in enumerate(resting):
        assert c.line().startswith(b"BUSY")
        c.send(b"OPEN %016x 7f3a9c21e0b4d655 c=test-run,d=900\r\n" % n)
        c.sock.shutdown(socket.SHUT_WR)
        assert c.rest() == b""
    assert w.program.process.wait(WAIT) == 0
    assert not any(r.first_lines for r in w.runners)


def test_a_client_that_never_ends_its_side_holds_the_end_up_for_no_longer_than_its_phase():
    runner = Runner("s-0")

    async def script(f):
        peers = [await f.send_open() for _ in range(5)]
        for peer in peers:
            await peer.read_line()
        await f.terminate()
        assert not f.frontend.slots.open
        for peer in peers:
            assert (await peer.read_to_end()).endswith(b"MOVE\r\n") and not peer.was_reset
            peer.stream.socket.close()
        await trio.sleep(0)

    FrontendHarness([runner]).run(script)


def test_a_request_in_hand_counts_until_its_answer_is_out_and_is_waited_for_at_the_end():
    """A runner's answer that comes after the newcomers' phase still makes a connection, which is then moved."""
    runner = Runner("s-0")
    runner.held = True

    async def script(f):
        peer = await f.send_open()
        connection, _ = await trio.to_thread.run_sync(runner.offered)
        assert f.frontend.unfinished_connections == f.frontend.slots.active == 1
        f.nursery.start_soon(f.terminate)
        await f.wait_until(lambda: f.frontend.migrating_all)
        connection.sendall(b"UP s-0\r\n")
        assert await peer.read_to_end() == b"UP s-0\r\nMOVE\r\n" and not peer.was_reset
        assert (
            f.frontend.unfinished_connections == 0 and f.driver.now() < f.driver._attempts_end_at
        )  # at once, not with the last
        peer.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)


def test_who_is_given_up_in_the_moment_of_its_up_is_told_as_that():
    runner = Runner("s-0")
    front = FrontendHarness([runner])
    attempt = front.connector.attempt

    async def and_given_up(*args):
        tried = await attempt(*args)
        front.frontend.reject_pending_requests()
        return tried

    async def script(f):
        f.connector.attempt = and_given_up
        peer = await f.send_open()
        assert (await peer.read_to_end()).startswith(b"BUSY")
        peer.stream.socket.close()
        await f.wait_until_all_closed()

    front.run(script)
    assert [more["reject_reason"] for name, more in front.events if name == "request"] == ["shutting_down"]
    assert front.counters["rejected_shutting_down"] == 1
