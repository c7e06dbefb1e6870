"""New configurations while the program runs, and where they come from."""

import copy
import json
import signal
import threading
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio
from standins import SETTINGS, WAIT, Client, Discovery, Program, Runner, until

from aspensaddle.core.events import EndpointUpdateScope
from aspensaddle.daemon.config import ConfigSource
from aspensaddle.discovery.watcher import EndpointWatcher
from aspensaddle.support.config_errors import ConfigError
from aspensaddle.support.counters import Counters


def settings(**more):
    return {**copy.deepcopy(SETTINGS), **more}


class World:
    """Two discoveries that name the same runners, and the program at the first of them."""

    def __init__(self, folder, **config):
        self.runners = [Runner("s-0"), Runner("s-1")]
        self.old, self.new = (Discovery([r.target() for r in self.runners]) for _ in range(2))
        self.program = Program(folder, self.old.address, [r.target() for r in self.runners], **config)
        until(lambda: self.old.watches or self.old.refuse, "the first watch")

    @property
    def there(self):
        return "{}:{}".format(*self.new.address)

    def close(self):
        self.program.kill()
        for s in (self.old, self.new, *self.runners):
            s.close()


@pytest.fixture
def world(tmp_path):
    made = []

    def make(**config):
        made.append(World(tmp_path, **config))
        return made[-1]

    yield make
    for w in made:
        w.close()


def test_discovery_moves_and_what_stands_stands(world):
    w = world()
    with Client(w.program.address) as standing:
        assert standing.open().startswith(b"UP ")
        assert w.program.reload(discovery=w.there)["changed"] == ["discovery"]
        until(lambda: w.new.watches, "a watch at the new address")
        assert standing.echo(b"M 1") == b"M 1\r\n"
        w.new.change(w.runners[0].target(state="leaving"))
        until(lambda: any(e["revision"] == 2 for e in w.program.events("endpoints_updated")), "news from there")
        for _ in range(4):
            with Client(w.program.address) as c:
                assert c.open() == b"UP s-1\r\n"
        assert standing.echo(b"M 2") == b"M 2\r\n"
    counts = w.program.counts()
    assert counts["connections_established"] == 5 and counts["reloads_requested"] == 1  # counted on, not anew


def test_a_bad_file_is_named_and_the_old_one_stays_in_force(world):
    w = world()
    good = dict(w.program.body)
    for change, field in (
        ({"discovery": "nowhere"}, "discovery"),
        ({"limits": {"sockets": 1}}, "limits.sockets"),
        ({"settings": settings(lanes=SETTINGS["lanes"][1:])}, "settings.lanes"),
        ({"settings": settings(limits={"connect-timeout": -1})}, "limits.connect-timeout"),
    ):
        event = w.program.reload(**{**good, **change})
        assert event["event"] == "reload_rejected" and field in event["error"]
    (w.program.folder / "config.json").write_text("{")
    w.program.process.send_signal(signal.SIGHUP)
    until(lambda: any("not JSON" in e["error"] for e in w.program.events("reload_rejected")), "the fifth")
    with Client(w.program.address) as c:
        assert c.open().startswith(b"UP ")
    assert w.old.watches == 1  # undisturbed
    assert w.program.reload(**good)["changed"] == []
    assert w.program.counts()["reloads_rejected"] == 5


def test_it_moves_while_a_call_is_out_and_during_a_second_signal(world):
    w = world()
    w.old.mute = True  # the old one goes on holding its watch and says nothing
    w.program.reload(discovery="127.0.0.1:9")  # nobody listens there
    w.program.reload(discovery=w.there)
    until(lambda: w.new.watches, "a watch at the last address")
    # not only after a back-off, which the driver would have begun with a failure told to it
    assert w.program.process.poll() is None


def test_it_moves_while_it_ends(world):
    w = world()
    with Client(w.program.address) as c:
        assert c.open().startswith(b"UP ")
        ended = []
        thread = threading.Thread(target=lambda: ended.append(w.program.terminate()))
        thread.start()
        until(lambda: w.program.events("shutdown_started"), "the end begun")
        w.program.reload(discovery=w.there)
        assert c.line() == b"MOVE\r\n"
    thread.join(WAIT)
    assert ended == [0]


def test_settings_and_limits_are_swapped_and_the_rest_is_named(world):
    w = world()
    lanes = [*copy.deepcopy(SETTINGS["lanes"]), {"name": "new", "aim": 0.3, "deadline": 3.0}]
    with Client(w.program.address) as c:
        assert c.open("c=new,d=3000") == b"ERR\r\n"
    event = w.program.reload(
        name="n9", seed="other", settings=settings(lanes=lanes, locality=1), limits={"sockets": 70}
    )
    assert sorted(event["changed"]) == ["limits", "settings"]
    assert event["needs_restart"] == ["name", "seed", "settings.zone"]
    clients = [Client(w.program.address) for _ in range(40)]
    answers = [c.open("c=new,d=3000")[:2] for c in clients]
    assert {b"UP", b"BU"} == set(answers)  # the new class, under the new limit
    for c in clients:
        c.close()


def test_variables_that_override_the_file_keep_winning(tmp_path):
    def read(source, **body):
        path.write_text(json.dumps({"name": "n0", "listen": "127.0.0.1:1", "settings": SETTINGS, **body}))
        return source.read()

    path = tmp_path / "c.json"
    repeats = ConfigSource({"LB_CONFIG": str(path), "LB_DISCOVERY": "127.0.0.1:2"})
    assert read(repeats, discovery="127.0.0.1:2").discovery == ("127.0.0.1", 2)
    assert read(repeats, discovery="127.0.0.1:3").discovery == ("127.0.0.1", 3)  # it never was an override
    assert read(repeats, discovery="127.0.0.1:2").discovery == ("127.0.0.1", 2)
    wins = ConfigSource({"LB_CONFIG": str(path), "LB_DISCOVERY": "127.0.0.1:2"})
    for port in (3, 4, 2, 5):
        assert read(wins, discovery=f"127.0.0.1:{port}").discovery == ("127.0.0.1", 2)
    with pytest.raises(ConfigError, match="listen"):
        read(wins, listen="nowhere")


class Listed:
    """Where discovery's calls tell what came."""

    def __init__(self):
        self.scopes, self.settings = [], None

    def update_endpoints(self, scope, entries=()):
        self.scopes.append(scope)


def calls(address):
    driver, log = Listed(), SimpleNamespace(event=lambda *_, **more: None)
    return driver, EndpointWatcher(address, driver, SimpleNamespace(apply=lambda update: ()), Counters(), log)


def test_a_new_address_that_refuses_at_first_is_asked_again_and_no_back_off_is_told():
    async def main():
        old, new = Discovery([]), Discovery([])
        new.refuse = 3
        driver, discovery = calls(old.address)
        with trio.fail_after(WAIT):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(discovery.watch)
                while not driver.scopes:
                    await trio.sleep(0.01)
                discovery.change_address(new.address)
                while not new.watches:
                    await trio.sleep(0.01)
                assert old.watches == 1 and EndpointUpdateScope.FAILED not in driver.scopes
                nursery.cancel_scope.cancel()
                new.close()
                old.close()

    trio.run(main)


def test_a_second_watch_does_not_end_the_first():
    """The timer of a back-off that was on while discovery moved asks for one too."""

    async def main():
        server = Discovery([])
        driver, discovery = calls(server.address)
        with trio.fail_after(WAIT):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(discovery.watch)
                while not driver.scopes:
                    await trio.sleep(0.01)
                await discovery.watch()
                assert server.watches == 1 and EndpointUpdateScope.FAILED not in driver.scopes
                nursery.cancel_scope.cancel()
                server.close()

    trio.run(main)


def test_a_signal_before_the_program_is_ready_is_kept_for_it(tmp_path):
    """The receiver is in place before the first PONG, and what came earlier is received then."""
    runner, discovery = Runner("s-0"), Discovery([])
    program = Program(tmp_path, discovery.address, [runner.target()])
    try:
        for _ in range(3):
            program.kill()
            program.log.write_bytes(b"")
            starting = threading.Thread(target=program.start)
            starting.start()
            until(lambda: program.process.poll() is None and blocked(program.process.pid), "the start")
            program.process.send_signal(signal.SIGHUP)
            starting.join(WAIT)
            until(lambda: program.events("config_reloaded"), "the reload")
            assert program.process.poll() is None
    finally:
        program.kill()
        runner.close()
        discovery.close()


def blocked(pid):
    """Whether the program holds SIGHUP back, or receives it already. Before its exec, the process shows the masks
    of this one."""
    try:
        if not Path(f"/proc/{pid}/cmdline").read_bytes().endswith(b"-m\0aspensaddle\0"):
            return False
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    masks = {
        name: int(value, 16)
        for name, value in (line.split(":") for line in text.splitlines() if line.startswith(("SigBlk", "SigCgt")))
    }
    return bool(masks) and any(mask & 1 << (signal.SIGHUP - 1) for mask in masks.values())
