"""The program as a process, spoken to over sockets."""

import json
import os
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress

import pytest
from standins import ROOT, SETTINGS, WAIT, until


def test_pushed_lists_are_watched_at_the_agent_and_again_after_it_was_silent(world):
    """What the agent has counts as told: without a watch a runner that has left would be sent to for good."""
    w = world(settings={**SETTINGS, "discovery": "pushed"})
    until(lambda: w.discovery.watches, "a watch")
    w.discovery.change(w.runners[0].target(state="leaving"))
    until(lambda: "draining" in str(w.program.events("endpoints_updated")), "the change")
    for n in range(4):
        with w.client() as c:
            assert c.open(f"c=test-run,d=2500,g={n}") == b"UP s-1\r\n"
    w.discovery.mute = True
    until(lambda: w.program.events("discovery_call_failed"), "the silence")
    w.discovery.mute = False
    w.discovery.change(w.runners[0].target(), w.runners[1].target(state="leaving"))
    until(lambda: '["s-1", "draining"' in json.dumps(w.program.events("endpoints_updated")), "the change")


PROBING = {
    **SETTINGS,
    "report": {"how": "probe", "fields": ["inflight", "x0"]},
    "tariffs": {"probe": 0.003},
    "limits": {**SETTINGS["limits"], "probes": True},
}


def test_runners_are_probed_and_those_that_others_have_filled_get_nothing(world):
    w = world(settings=PROBING)
    w.runners[0].report, w.runners[1].report = b"PONG inflight=90,x0=0.84\r\n", b"PONG inflight=9,x0=0.10\r\n"
    until(lambda: w.program.counts().get("health_checks_ok", 0) >= 4, "reports")
    assert w.runners[0].probes >= 2 and len(w.runners[0].connections) <= 2  # kept from one to the next
    for n in range(3):  # each goes when it is up
        with w.client() as c:
            assert c.open(f"c=test-run,t=acme,d=2500,g={n}") == b"UP s-1\r\n"


@pytest.mark.parametrize(
    "report",
    [
        b"",
        b"NO\r\n",
        b"PONG\r\n",
        b"PONG x0=nan\r\n",
        b"\xff" * 9000,
        b"PONG x0=1",
        b"PONG inflight=9,x0=0.1\r\n" * 2,
    ],
)
def test_a_probe_answered_by_garbage_late_twice_or_not_ends_nothing_and_holds_nobody(world, report):
    w = world(settings=PROBING)
    for r in w.runners:
        r.report = report
    until(lambda: w.program.counts().get("health_checks_started", 0) >= 4, "probes")
    with w.client() as c:
        assert c.open("c=test-run,t=,d=2500,g=5").startswith(b"UP s-")
    assert "internal_errors" not in w.program.counts()


def test_a_connection_lives_from_open_to_bye(world):
    w = world(b"UP r\r\nLOAD 1500.5\r\n")
    with w.client() as c:
        assert c.open("c=draft-save,d=2500,g=5c0f6e1a2b3d4c59,x=1") == b"UP s-0\r\n"
        assert c.line() == b"LOAD 1500.5\r\n"  # told to the balancer and still passed on
        assert c.echo(b"M 1 f79c") == b"M 1 f79c\r\n"
        c.send(b"QUIT\r\n")
        assert c.line() == b"BYE\r\n"
        assert c.line() == b""
    (first,) = w.runners[0].first_lines
    head, d, tail = first.partition(b"d=")
    wait, comma, rest = tail.partition(b",")
    assert head.endswith(b" 7f3a9c21e0b4d655 c=draft-save,") and rest == b"g=5c0f6e1a2b3d4c59,x=1\r\n"
    assert 0 < int(wait) < 2500  # how long the balancer waits, which is less than the client does
    counts = until(lambda: (c := w.program.counts()).get("connections_ended_ok") and c, "the end")
    assert counts["connections_established"] == counts["attempts_established"] == counts["connections_ended_ok"] == 1


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (b"BUSY\r\n", "rejected"),
        (b"ERR\r\n", "error"),
        (b"MOVE\r\n", "cancelled"),
        (b"\xff\r\n", "error"),
        (b"x" * 5000, "connection_lost"),
        (b"half", "connection_lost"),
        (b"LOAD 5\r\nBUSY\r\n", "rejected"),
    ],
)
def test_an_attempt_that_fails_is_told_as_what_it_was_and_tried_elsewhere(world, answer, outcome):
    w = world(answer, b"UP r\r\n")
    for _ in range(4):
        with w.client() as c:
            assert c.open() == b"UP s-1\r\n"
    counts = w.program.counts()
    assert counts[f"attempts_{outcome}"] == len(w.runners[0].first_lines) >= 1
    assert counts["attempts_started"] == counts["attempts_established"] + counts[f"attempts_{outcome}"]


def test_a_runner_that_is_down_is_not_the_end(world):
    w = world()
    w.runners[0].close()
    for _ in range(4):
        with w.client() as c:
            assert c.open() == b"UP s-1\r\n"
    assert w.program.counts()["attempts_unreachable"] >= 1


def test_a_connection_that_never_comes_up_is_given_up_by_the_connect_time_out(world):
    w = world()
    w.runners[0].close()
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
        # A queue that is full drops what knocks, as a machine that has vanished would.
        held = [socket.socket() for _ in range(4)]
        for s in held:
            s.setblocking(False)
            s.connect_ex(full.getsockname())
        w.discovery.change(w.runners[0].target(endpoint=f"127.0.0.1:{full.getsockname()[1]}"))
        until(
            lambda: w.discovery.watches and any(e["revision"] == 2 for e in w.program.events("endpoints_updated")),
            "the change",
        )
        for _ in range(4):
            with w.client() as c:
                assert c.open() == b"UP s-1\r\n"
        assert w.program.counts()["attempts_unreachable"] >= 1
        for s in held:
            s.close()


def test_what_no_runner_takes_is_refused_once_and_at_once(world):
    w = world(b"BUSY\r\n")
    with w.client() as c:
        c.sock.settimeout(WAIT)
        answer = c.open("c=test-run,d=100000")
        assert answer.startswith(b"BUSY ") and 0 < int(answer[5:]) <= 1000
        assert c.line() == b""
    assert len(w.runners[0].first_lines) <= 6
    assert w.program.counts()["rejected_attempts_exhausted"] == 1
    assert w.program.events("request")[0]["reject_reason"] == "attempts_exhausted"


def test_a_silent_runner_is_given_up_before_the_client_gives_up(world):
    w = world(b"")
    with w.client() as c:
        start = time.monotonic()
        assert c.open("c=test-run,d=600").startswith(b"BUSY ")
        assert time.monotonic() - start > 0.3  # it was waited for
    assert w.program.counts()["attempts_timed_out"] == 1


@pytest.mark.parametrize(
    "line",
    [
        b"\r\n",
        b"GET / HTTP/1.1\r\n",
        b"OPEN\r\n",
        b"OPEN a b c=nope\r\n",
        b"OPEN a b c=test-run,d=-1\r\n",
        b"\x00\xff\r\n",
        b"y" * 5000,
    ],
)
def test_garbage_gets_an_answer_and_harms_nobody(world, line):
    w = world()
    with w.client() as bad, w.client() as good:
        bad.send(line)
        assert bad.line() == b"ERR\r\n"
        assert good.open().startswith(b"UP ")
    assert "internal_errors" not in w.program.counts()


def test_half_closes_are_mirrored(world):
    w = world(b"UP r\r\n")
    with w.client() as c:
        c.open()
        c.send(b"last words\r\n")
        c.sock.shutdown(socket.SHUT_WR)
        assert c.line() == b"last words\r\n"
        assert c.line() == b""


def test_a_runner_that_dies_takes_its_connections_with_it(world):
    w = world(b"UP r\r\n")
    with w.client() as c:
        c.open()
        w.runners[0].close()
        with suppress(ConnectionResetError):
            assert c.line() == b""


def test_a_runner_that_brings_nothing_back_loses_its_clients_by_move(world):
    w = world(b"UP r\r\n")
    with w.client() as c:
        c.open()
        w.runners[0].mute = True
        c.send(b"M 1\r\n")
        start = time.monotonic()
        assert c.line() == b"MOVE\r\n" and c.line() == b""
        assert time.monotonic() - start > 2


def test_nothing_new_goes_to_a_runner_told_to_drain(world):
    w = world()
    until(lambda: w.discovery.watches, "a watch")
    w.discovery.change(w.runners[0].target(state="leaving"))
    until(lambda: any(e["revision"] == 2 for e in w.program.events("endpoints_updated")), "the change")
    for _ in range(6):
        with w.client() as c:
            assert c.open() == b"UP s-1\r\n"
    w.discovery.change(w.runners[0].target(state="active"), w.runners[1].target(state="left"))
    until(lambda: any(e["revision"] == 3 for e in w.program.events("endpoints_updated")), "the change back")
    with w.client() as c:
        assert c.open() == b"UP s-0\r\n"


def test_a_watch_that_fails_or_falls_silent_is_opened_again(world):
    w = world()
    w.discovery.refuse = 2
    until(lambda: w.discovery.watches, "a watch after refusals")
    w.discovery.mute = True  # as a machine that vanished
    until(lambda: w.discovery.watches > 1, "a second watch")


def test_adopted_connections_go_where_they_were(world):
    w = world()
    for _ in range(3):
        with w.client() as c:
            assert c.open("c=test-run,d=1000,at=s-1") == b"UP s-1\r\n"
    assert w.program.counts()["connections_established"] == 3


def test_before_it_ends_it_moves_all_and_answers_who_still_comes(world):
    w = world()
    standing = [w.client() for _ in range(5)]
    for c in standing:
        assert c.open().startswith(b"UP ")
    ended = []
    thread = threading.Thread(target=lambda: ended.append(w.program.terminate()))
    thread.start()
    until(lambda: w.program.events("shutdown_started"), "the signal")
    with w.client() as late:
        assert late.open().startswith(b"BUSY ")
    for c in standing:
        assert c.line() == b"MOVE\r\n" and c.line() == b""
        c.close()
    thread.join(WAIT)
    assert ended == [0]
    (counters,) = w.program.events("counters_reported")  # printed at exit
    assert counters["counts"]["connections_migrated"] == 5


@pytest.mark.parametrize("limit", [{"limits": {"sockets": 80}}, {"files": 80}])
def test_descriptors_are_bound(world, limit):
    w = world(**limit)
    clients = [w.client() for _ in range(45)]
    answers = [c.open() for c in clients]
    assert {a.split()[0] for a in answers} == {b"UP", b"BUSY"}  # refused, but none is left without
    for c in clients:
        c.close()

    def room():
        with w.client() as c:
            return c.open().startswith(b"UP ")

    until(room, "room again")
    counts = w.program.counts()
    assert "internal_errors" not in counts and "connects_failed_no_descriptors" not in counts


def test_more_connections_than_descriptors_wait_their_turn(world):
    w = world(files=64)
    idle = [w.client() for _ in range(100)]  # no line, so no answer is owed
    for c in idle:
        c.close()
    with w.client() as c:
        assert c.open().startswith(b"UP ")


def test_wrong_configuration_is_one_clear_line(tmp_path):
    def start(**environ):
        done = subprocess.run(
            [sys.executable, "-m", "aspensaddle"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=WAIT,
            env={**os.environ, "ASPENSADDLE_QUIC": "/nowhere", **environ},
        )
        assert done.returncode == 2 and done.stdout == "" and done.stderr.count("\n") == 1
        return done.stderr

    path = tmp_path / "c.json"
    assert "LB_CONFIG" in start(LB_CONFIG="")
    assert str(path) in start(LB_CONFIG=str(path))
    for body, field in (
        ("{", "not JSON"),
        ("{}", "settings"),
        ('{"settings": {"lanes": [{}]}}', "settings.lanes[0].aim"),
        (json.dumps({"settings": {"lanes": []}, "name": "n"}), "settings.lanes"),
    ):
        path.write_text(body)
        assert field in start(LB_CONFIG=str(path))
