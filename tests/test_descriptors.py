"""Budget of descriptors: at the process's limit, discovery, draining and shutdown still have theirs."""

import re
import threading

import pytest
from standins import SETTINGS, WAIT, Discovery, until

from aspensaddle.frontends.line_protocol.connection_slots import ACCEPT_BATCH, RESERVED_DESCRIPTORS
from aspensaddle.frontends.line_protocol.health_checker import MAX_HEALTH_CHECK_CONNECTIONS
from aspensaddle.frontends.line_protocol.server_connector import ServerConnector

PROBING = {
    **SETTINGS,
    "report": {"how": "probe", "fields": ["inflight", "x0"]},
    "tariffs": {"probe": 0.003},
    "limits": {**SETTINGS["limits"], "probes": True},
}


def fill(w, most):
    """Clients that stand until no more are taken, and many that rest."""
    standing, resting = [], []
    for _ in range(most):
        c = w.client()
        if not c.open().startswith(b"UP "):
            c.close()
            break
        standing.append(c)
        resting.append(w.client())
    resting += [w.client() for _ in range(most)]
    return standing, resting


@pytest.mark.parametrize(
    "limit", [{"limits": {"sockets": 128}}, {"files": 128}, {"files": 128, "settings": PROBING}], ids=str
)
def test_a_process_that_clients_have_filled_moves_its_discovery_hears_of_a_drain_and_ends(world, limit):
    w = world(**limit)
    for r in w.runners:
        r.report = b"PONG inflight=1,x0=0.01\r\n"
    until(lambda: w.discovery.watches, "a watch")
    w.discovery.close()  # it is down: calls are refused
    until(lambda: w.program.events("discovery_call_failed"), "a call that failed")
    standing, resting = fill(w, 128)
    assert len(standing) >= (5 if "settings" in limit else 30)  # by their reports, probed runners are full before
    held = [w.program.descriptors()]
    new = Discovery([r.target() for r in w.runners])
    try:
        w.program.reload(discovery=f"{new.address[0]}:{new.address[1]}")
        until(lambda: new.watches, "discovery's connection")
        held.append(w.program.descriptors())
        w.discovery = new
        w.drain(w.runners[0])
        assert standing[0].echo(b"M 1") == b"M 1\r\n"
        ended = []
        thread = threading.Thread(target=lambda: ended.append(w.program.terminate()))
        thread.start()
        for c in standing:
            assert c.rest() == b"MOVE\r\n"
            c.close()
        for c in resting:
            assert re.fullmatch(rb"BUSY( \d+)?\r\n|ERR\r\n", c.rest())
            c.close()
        thread.join(WAIT)
        assert ended == [0] and max(held) <= 128
        counts = w.program.events("counters_reported")[-1]["counts"]
        assert not {n for n in counts if n.startswith(("accepts_failed_", "connects_failed_", "internal_errors"))}
    finally:
        new.close()


def test_clients_that_rest_while_discovery_is_down_do_not_keep_it_out(world):
    """More of them than there are descriptors, all the time."""
    w = world(files=96)
    until(lambda: w.discovery.watches, "a watch")
    w.discovery.close()
    until(lambda: len(w.program.events("discovery_call_failed")) > 1, "calls that failed")
    resting = [w.client() for _ in range(300)]
    new = Discovery([r.target() for r in w.runners])
    try:
        w.program.reload(discovery=f"{new.address[0]}:{new.address[1]}")
        until(lambda: new.watches, "discovery's connection")
        with w.client() as c:
            assert c.open().startswith(b"UP ")
    finally:
        new.close()
    for c in resting:
        c.close()
    assert "accepts_failed_emfile" not in w.program.counts()


def test_the_fixed_part_of_the_sum_is_what_an_idle_process_holds(world):
    """Listener, watch, loop, signals, standard streams: what is set aside covers it, with a second call and a file."""
    w = world()
    until(lambda: w.discovery.watches, "a watch")
    until(lambda: w.program.descriptors() <= RESERVED_DESCRIPTORS - ACCEPT_BATCH - 2 - 2, "an idle process")


@pytest.mark.parametrize(
    ("probes", "sockets", "most"),
    [(False, 1024, 0), (True, 64, 4), (True, 128, 8), (True, 1024, 64), (True, 65536, MAX_HEALTH_CHECK_CONNECTIONS)],
)
def test_probes_stand_in_the_sum(probes, sockets, most):
    class Settings:
        class limits:
            pass

    class Driver:
        settings = Settings

    Settings.limits.health_checks_allowed = probes
    assert ServerConnector(Driver, None, None, sockets).descriptors == most
