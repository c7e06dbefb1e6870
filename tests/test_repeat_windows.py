"""Repeats through real sockets: by the class's effect, its group of runners and its window, and what is answered."""

from dataclasses import replace

import pytest
import trio
from frontend_harness import REQUEST_CLASS, FrontendHarness, Gate
from standins import Runner, reset

PURE, SIDE = {**REQUEST_CLASS, "repeat": "pure"}, {**REQUEST_CLASS, "repeat": "side_effect"}


def token(group="all", window=5.0):
    return {**REQUEST_CLASS, "repeat": "token", "group": group, "window": window}


class Played:
    """A request whose first attempt is held at one of the runners, and what comes of it."""

    def __init__(self, lane, az=("surabaya", "surabaya"), cells=(0, 0)):
        self.runners = [Runner(f"s-{i}") for i in range(len(az))]
        for r in self.runners:
            r.held = True
        targets = [r.target(az=a, pod_group=c) for r, a, c in zip(self.runners, az, cells, strict=True)]
        self.f = FrontendHarness(self.runners, request_classes=[lane], targets=targets)
        self.answer, self.later = b"", 0.0
        clock = self.f.driver._clock
        self.f.driver._clock = lambda: clock() + self.later

    def run(self, happens):
        async def script(f):
            peer = await f.send_open()
            await f.wait_until(lambda: any(r.first_lines for r in self.runners))
            first = next(r for r in self.runners if r.first_lines)
            connection, _ = await trio.to_thread.run_sync(first.offered)
            for r in self.runners:
                r.held = False
            await happens(self, connection)
            self.answer = await peer.read_line()
            peer.stream.socket.close()
            await f.wait_until_all_closed()

        self.f.run(script)
        return self.answer.split()[0], sum(len(r.first_lines) for r in self.runners)


async def breaks(played, connection):
    reset(connection)


async def errs(played, connection):
    connection.sendall(b"ERR\r\n")


async def refuses(played, connection):
    connection.sendall(b"BUSY\r\n")


async def breaks_after_the_window(played, connection):
    played.later = 6.0 if played.f.config.settings.classes[0].deduplication_window == 5.0 else 1.0
    reset(connection)


@pytest.mark.parametrize("happens", [breaks, errs])
@pytest.mark.parametrize(
    ("lane", "az", "cells", "wanted"),
    [
        (PURE, ("surabaya", "semarang"), (0, 1), (b"UP", 2)),
        (token(), ("surabaya", "semarang"), (0, 1), (b"UP", 2)),
        (token("zone"), ("surabaya", "surabaya"), (0, 1), (b"UP", 2)),
        (token("zone"), ("surabaya", "semarang"), (0, 0), (b"UP", 2)),  # at the same runner: no other is in its zone
        (token("cell"), ("surabaya", "semarang"), (3, 3), (b"UP", 2)),
        (token("cell"), ("surabaya", "surabaya"), (3, 4), (b"UP", 2)),
        (SIDE, ("surabaya", "surabaya"), (0, 0), (b"ERR", 1)),
    ],
    ids=str,
)
def test_an_attempt_that_may_have_run_is_repeated_only_where_that_has_no_second_effect(
    happens, lane, az, cells, wanted
):
    played = Played(lane, az, cells)
    assert played.run(happens) == wanted
    first, *again = [i for i, r in enumerate(played.runners) for _ in r.first_lines]
    if lane["repeat"] == "token" and again and lane["group"] != "all":
        side = az if lane["group"] == "zone" else cells
        assert all(side[i] == side[first] for i in again)


@pytest.mark.parametrize("lane", [PURE, token(), token("zone"), token("cell"), SIDE], ids=str)
def test_one_that_was_refused_may_go_anywhere(lane):
    assert Played(lane, ("surabaya", "semarang"), (0, 1)).run(refuses) == (b"UP", 2)


@pytest.mark.parametrize(
    ("lane", "wanted"),
    [
        (token(window=0.8), (b"BUSY", 1)),
        (token("zone", 0.8), (b"ERR", 1)),
        (token("cell", 0.8), (b"ERR", 1)),
        (SIDE, (b"ERR", 1)),
    ],
    ids=str,
)
def test_a_window_that_ends_while_an_attempt_is_out_ends_the_repeats(lane, wanted):
    """A class that any runner drops the repeats of may be refused; of the others nothing can be promised."""
    assert Played(lane).run(breaks_after_the_window) == wanted


@pytest.mark.parametrize(
    ("lane", "wanted"), [(token(window=0.8), (b"BUSY", 1)), (token("zone", 0.8), (b"ERR", 1))], ids=str
)
def test_a_window_that_ends_while_the_next_connection_comes_up_lets_no_byte_through(lane, wanted):
    """The repeat was chosen within it. Before, only the runner was looked at by then."""

    async def happens(played, connection):
        gate = Gate()
        played.f.connector._connect = gate.hold(played.f.connector._connect)
        reset(connection)
        await gate.reached.wait()
        played.later = 0.9
        gate.opened.set()

    assert Played(lane).run(happens) == wanted


def test_a_reload_that_shortens_the_window_takes_force_under_a_request_in_hand():
    async def happens(played, connection):
        gate = Gate()
        played.f.connector._connect = gate.hold(played.f.connector._connect)
        reset(connection)
        await gate.reached.wait()
        played.later = 0.9
        settings = played.f.config.settings
        played.f.driver.configure(
            replace(settings, classes=(replace(settings.classes[0], deduplication_window=0.8),))
        )
        gate.opened.set()

    assert Played(token()).run(happens) == (b"BUSY", 1)


def test_a_connection_that_was_not_up_in_time_has_never_run():
    """A request that may not be repeated was failed for it, as if it had been sent."""

    async def script(f):
        gate = Gate()
        f.connector._connect = gate.hold(f.connector._connect)
        peer = await f.send_open("c=test-run,d=300")
        await gate.reached.wait()
        assert (await peer.read_line()).startswith(b"BUSY")
        peer.stream.socket.close()
        await f.wait_until_all_closed()

    runner = Runner("s-0")
    FrontendHarness([runner], request_classes=[SIDE]).run(script)
    assert not runner.first_lines
