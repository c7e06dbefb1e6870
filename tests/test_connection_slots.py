"""Clients that are silent, slow or violate the protocol: their responses, and the shares of descriptors."""

import os
import time
from collections import Counter
from contextlib import ExitStack
from random import Random
from types import SimpleNamespace

import pytest
import trio
from frontend_harness import FrontendHarness
from standins import WAIT, Client, Discovery, Program, Runner, until

from aspensaddle.frontends.line_protocol.connection_slots import (
    MIN_STAGE_SHARE,
    RESERVED_DESCRIPTORS,
    ConnectionSlots,
    ConnectionStage,
)
from aspensaddle.frontends.line_protocol.errors import InvalidOpenError
from aspensaddle.frontends.line_protocol.link import MAX_LINGER_BYTES, Link
from aspensaddle.frontends.line_protocol.open_request import parse_open
from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log


@pytest.fixture
def world(tmp_path):
    made = []

    def make(**config):
        runner = Runner("s-0")
        discovery = Discovery([runner.target()])
        made.extend((runner, discovery, Program(tmp_path, discovery.address, [runner.target()], **config)))
        return SimpleNamespace(runner=runner, program=made[-1], client=lambda: Client(made[-1].address))

    yield make
    for part in reversed(made):
        (part.kill if isinstance(part, Program) else part.close)()


def test_hundreds_who_say_nothing_keep_nobody_out(world):
    w = world(limits={"sockets": 128})
    silent = [w.client() for _ in range(300)]
    with w.client() as c:
        assert c.open().startswith(b"UP ")
        assert c.echo(b"M 1") == b"M 1\r\n"
    answers = [c.line() for c in silent]  # the oldest at once, the rest when their time is over
    assert {b"BUSY", b"ERR"} == {a.split()[0] for a in answers}
    assert all(c.line() == b"" for c in silent)
    for c in silent:
        c.close()
    counts = w.program.counts()
    assert (
        counts["connections_evicted"] >= 200
        and "internal_errors" not in counts
        and "accepts_failed_emfile" not in counts
    )


def test_one_time_for_the_whole_stay_before_an_open(world):
    """A PING must not restart the time limit, else a connection could be held for ever."""
    w = world()
    with w.client() as c:
        start = time.monotonic()
        answers = [c.echo(b"PING")]
        while answers[-1] == b"PONG\r\n":
            time.sleep(0.3)
            try:
                answers.append(c.echo(b"PING"))
            except OSError:  # closed meanwhile
                break
            assert time.monotonic() - start < WAIT
        assert len(answers) < 16


def test_pings_without_end_are_an_error(world):
    w = world()
    with w.client() as c:
        c.send(b"PING\r\n" * 100)
        assert [c.line() for _ in range(17)] == [b"PONG\r\n"] * 16 + [b"ERR\r\n"]


@pytest.mark.parametrize("more", [b"OPEN b k c=test-run,d=900\r\n" * 100, b"PING\r\n", b"z" * 5000])
def test_who_does_not_wait_for_an_answer_gets_an_error_and_no_runner(world, more):
    w = world()
    w.runner.answer = b""  # so that the attempt is out until it is given up
    with w.client() as c:
        c.send(b"OPEN a k c=test-run,d=3000\r\n" + more)
        assert c.line() == b"ERR\r\n"
    with w.client() as c:
        c.send(b"OPEN b k c=test-run,d=3000\r\n")
        until(lambda: any(b" b " in line for line in w.runner.first_lines), "the attempt")
        c.send(more)
        assert c.line() == b"ERR\r\n"
    assert "connections_established" not in w.program.counts()


def test_an_early_line_is_kept_for_the_runner(world):
    w = world()
    with w.client() as c:
        c.send(b"OPEN a k c=test-run,d=3000\r\nM 1\r\n")
        assert c.line() == b"UP s-0\r\n" and c.line() == b"M 1\r\n"


def test_the_id_of_another_s_request_harms_nobody(world):
    w = world()
    with w.client() as good:
        assert good.open().startswith(b"UP ")
        line = w.runner.first_lines[0]
        for _ in range(3):
            with w.client() as bad:
                bad.send(line)
                assert bad.line() == b"ERR\r\n"
        assert good.echo(b"M 1") == b"M 1\r\n"
    assert len(w.runner.first_lines) == 1


def test_who_comes_again_at_once_neither_fills_the_log_nor_holds_up_the_end(world):
    w = world()
    for _ in range(50):
        with w.client() as c:
            c.send(b"frob\r\n")
            assert c.line() == b"ERR\r\n"
    assert w.program.counts()["invalid_requests"] == 50
    assert len(w.program.events("invalid_request")) < 25
    silent = w.client()
    assert w.program.terminate() == 0
    silent.close()


def test_a_line_without_end_is_not_read_to_its_end():
    async def main():
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        client = await trio.open_tcp_stream(*listener.socket.getsockname())
        link = Link(await listener.accept())
        sent = 0

        async def flood():
            nonlocal sent
            try:
                while True:
                    await client.send_all(b"k" * 65536)
                    sent += 65536
            except trio.BrokenResourceError:
                pass

        with trio.fail_after(WAIT):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(flood)
                read = 0
                receive = link.receive

                async def counted():
                    nonlocal read
                    more = await receive()
                    read += link.buffered
                    return more

                link.receive = counted
                await link.close_lingering(trio.CancelScope(deadline=trio.current_time() + WAIT))
                assert MAX_LINGER_BYTES <= read < 2 * MAX_LINGER_BYTES
        await listener.aclose()

    trio.run(main)


def test_the_oldest_goes_first_and_one_whose_answer_is_to_come_never():
    async def main():
        slots = ConnectionSlots(Counters(), 128)
        with ExitStack() as stack:
            for _ in range(slots.max_active - 1):
                slots.activate(stack.enter_context(slots.hold(None)))
            most = 128 - RESERVED_DESCRIPTORS - slots.descriptors
            assert most > slots.max_waiting
            held = [stack.enter_context(slots.hold(None)) for _ in range(most)]
            slots.activate(held[0])  # an answer is owed from here on, and a descriptor to its server
            slots.linger(held[3])
            for _ in range(4):
                held.append(stack.enter_context(slots.hold(None)))
            # One descriptor for the server of 0, four for the new ones: the oldest go, by their own tasks.
            assert [i for i, s in enumerate(held) if s.evicted] == [1, 2, 4, 5, 6]
            assert (
                all(held[i].first_line_scope.cancel_called for i in (1, 2, 4, 5, 6))
                and not held[0].first_line_scope.cancel_called
            )
            for s in held[7 : 7 + slots.max_lingering]:
                slots.linger(s)
            assert [i for i, s in enumerate(held) if s.linger_scope.cancel_called] == [3]
            slots.evict_all_waiting()
            slots.abort_all_lingering()
            assert not held[0].linger_scope.cancel_called and held[0].stage is ConnectionStage.ACTIVE
            assert all(s.evicted or s.linger_scope.cancel_called for s in held[1:])
            late = stack.enter_context(slots.hold(None))  # after that nobody waits any more
            assert late.evicted
        assert slots.open == 0

    trio.run(main)


def test_nobody_is_evicted_while_descriptors_are_free():
    """Guards against an eviction beyond a fixed share while the descriptors of active connections stand empty."""

    async def main():
        slots = ConnectionSlots(Counters(), 928)
        with ExitStack() as stack:
            held = [stack.enter_context(slots.hold(None)) for _ in range(272 + 200)]
            for slot in held[200:]:
                slots.activate(slot)
            assert not any(slot.evicted for slot in held)
            # Until all are used: then the oldest that is silent makes room for a newcomer, and is closed first.
            while slots.descriptors < 928 - RESERVED_DESCRIPTORS:
                held.append(stack.enter_context(slots.hold(None)))
            assert not any(slot.evicted for slot in held)
            stack.enter_context(slots.hold(None))
            assert [i for i, slot in enumerate(held) if slot.evicted] == [0]
            slots.linger(held[0])
            assert held[0].linger_scope.cancel_called

    trio.run(main)


def test_a_connection_whose_bytes_have_arrived_is_read_before_it_is_evicted():
    """Guards against a BUSY for a client whose line was in the kernel when its connection was evicted."""
    runner = Runner("s-0")

    async def script(f):
        whole, half, silent = [await f.connect() for _ in range(3)]
        await f.wait_until(lambda: f.frontend.slots.count(ConnectionStage.WAITING) == 3)
        line = b"OPEN 000000000000000%d 7f3a9c21e0b4d655 c=test-run,d=3000\r\n"
        # No pass of the event loop lies between the arrival and the eviction.
        os.write(whole.stream.socket.fileno(), line % 1)
        os.write(half.stream.socket.fileno(), (line % 2)[:20])
        for _ in range(3):
            f.frontend.slots.evict_oldest()
        assert await whole.read_line() == b"UP s-0\r\n"
        await half.send((line % 2)[20:])
        assert await half.read_line() == b"UP s-0\r\n"
        assert (await silent.read_to_end()).startswith(b"BUSY")
        for peer in (whole, half, silent):
            peer.stream.socket.close()
        await f.wait_until_all_closed()

    FrontendHarness([runner]).run(script)


def send_lines(clients, manner):
    """The first lines of clients that return, at once, late by up to a second or in pieces; seeded."""
    lines = {c: b"OPEN %016x 7f3a9c21e0b4d655 c=test-run,d=3000,at=s-0\r\n" % n for n, c in enumerate(clients)}
    if manner == "at once":
        for client, line in lines.items():
            client.send(line)
        return
    draw, due = Random(7), []
    for client, line in lines.items():
        cut = draw.randrange(1, len(line) - 1) if manner == "in pieces" else 0
        moments = sorted(draw.uniform(0.0, 1.0) for _ in range(2))
        due += [(moments[0], id(client), client, line[:cut]), (moments[1], id(client), client, line[cut:])]
    start = time.monotonic()
    for moment, _, client, part in sorted(due):
        time.sleep(max(0.0, start + moment - time.monotonic()))
        client.send(part)


@pytest.mark.parametrize("manner", ["at once", "late", "in pieces"])
@pytest.mark.parametrize("idle", [0, 200])
@pytest.mark.parametrize("count", [272, 500])
def test_all_clients_that_return_together_get_their_connections_back(world, count, idle, manner):
    """Guards against the eviction of returning clients; the limit of the pages is 384 over the standing ones."""
    w = world(limits={"sockets": 384 + 2 * count})
    before = [w.client() for _ in range(idle // 2)]
    clients = [w.client() for _ in range(count)]
    after = [w.client() for _ in range(idle - idle // 2)]
    send_lines(clients, manner)
    answers = Counter(c.line() for c in clients)
    for c in (*clients, *before, *after):
        c.close()
    counts = w.program.counts()
    assert answers == {b"UP s-0\r\n": count}, (answers, counts)
    assert "connections_evicted" not in counts and counts["adoptions_established"] == count


@pytest.mark.parametrize("sockets", [64, 80, 128, 512, 1024, 4096])
@pytest.mark.parametrize("reserve", [0, 4, 64])
def test_the_shares_of_descriptors_add_up_to_what_there_is(sockets, reserve):
    if reserve > sockets // 16:
        reserve = sockets // 16
    slots = ConnectionSlots(Counters(), sockets, reserve)
    sides = 2 * slots.max_active + slots.max_waiting + slots.max_lingering
    assert reserve + RESERVED_DESCRIPTORS + sides <= sockets
    assert slots.max_active >= 4 and min(slots.max_waiting, slots.max_lingering) >= MIN_STAGE_SHARE


@pytest.mark.parametrize("limit", [{"limits": {"sockets": 928}}, {"files": 928}], ids=str)
def test_clients_that_return_into_a_crowd_get_their_connections_back(world, limit):
    """Idle clients hold every descriptor that is free: those that return are given theirs, none beyond the limit."""
    w = world(**limit)
    crowd = [w.client() for _ in range(1200)]
    clients = [w.client() for _ in range(272)]
    crowd += [w.client() for _ in range(100)]
    send_lines(clients, "at once")
    answers = Counter(c.line() for c in clients)
    held = w.program.descriptors()
    for c in (*clients, *crowd):
        c.close()
    counts = w.program.counts()
    assert answers == {b"UP s-0\r\n": 272}, (answers, counts)
    assert held <= 928 and counts["connections_evicted"] and "connects_failed_no_descriptors" not in counts


@pytest.mark.parametrize(
    "line",
    [
        b"OPEN i k c=test-run,d=\r\n",  # every runner answered it ERR, and was blamed for it
        b"OPEN i k c=test-run\r\n",
        b"OPEN i k c=test-run,d=1 0\r\n",
        b"OPEN i k c=test-run,d=1,d=2\r\n",
        b"OPEN i k c=test-run,d=9,h=nan\r\n",
        b"OPEN i k c=test-run,d=9,h=1_0\r\n",
        b"OPEN i k c=test-run,d=9,h=1e99\r\n",
        b"OPEN i k c=test-run,d=9,h=-1\r\n",
        b"OPEN " + b"i" * 200 + b" k c=test-run,d=9\r\n",
        b"OPEN i\x00 k c=test-run,d=9\r\n",
        b"OPEN i k c=test-run,d=9,g=\x07\r\n",
    ],
)
def test_first_lines_that_a_runner_could_not_use_go_to_none(line):
    with pytest.raises(InvalidOpenError):
        parse_open(line, {"test-run": 0}, True)


def test_an_event_at_will_is_logged_now_and_then_and_counted(monkeypatch):
    log, lines = Log("n0", 1), []
    monkeypatch.setattr(log, "event", lambda event, **more: lines.append((event, more)))
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr("aspensaddle.support.log.time.monotonic", lambda: clock.now)
    for _ in range(5):
        log.rate_limited_event("x", n=1)
    clock.now += 1.5
    log.rate_limited_event("x", n=2)
    log.close()
    assert lines == [("x", {"n": 1, "suppressed": 0}), ("x", {"n": 2, "suppressed": 4})]
