"""Reload of the configuration while the balancer runs, and the sources that the configuration is read from."""

import copy
import json
import signal
import threading
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio
from standins import SETTINGS, TIMEOUT_SECONDS, BalancerProcess, Client, StubDiscovery, StubServer, wait_until

from aspensaddle.core.events import EndpointUpdateScope
from aspensaddle.daemon.config import ConfigSource
from aspensaddle.discovery.watcher import EndpointWatcher
from aspensaddle.support.config_errors import ConfigError
from aspensaddle.support.counters import Counters


def settings(**changes):
    return {**copy.deepcopy(SETTINGS), **changes}


class TwoDiscoveryDeployment:
    """Two discovery services that list the same servers, and a balancer configured with the first of them."""

    def __init__(self, folder, **config):
        self.servers = [StubServer("s-0"), StubServer("s-1")]
        self.old_discovery, self.new_discovery = (
            StubDiscovery([server.endpoint_entry() for server in self.servers]) for _ in range(2)
        )
        self.balancer = BalancerProcess(
            folder, self.old_discovery.address, [server.endpoint_entry() for server in self.servers], **config
        )
        wait_until(lambda: self.old_discovery.watch_count or self.old_discovery.calls_to_reject, "the first watch")

    @property
    def new_address(self):
        return "{}:{}".format(*self.new_discovery.address)

    def close(self):
        self.balancer.kill()
        for stand_in in (self.old_discovery, self.new_discovery, *self.servers):
            stand_in.close()


@pytest.fixture
def deploy_with_two_discoveries(tmp_path):
    """Return a function that makes a `TwoDiscoveryDeployment`."""
    deployments = []

    def make(**config):
        deployments.append(TwoDiscoveryDeployment(tmp_path, **config))
        return deployments[-1]

    yield make
    for deployment in deployments:
        deployment.close()


def test_change_of_the_discovery_address_keeps_established_connections(deploy_with_two_discoveries):
    deployment = deploy_with_two_discoveries()
    with Client(deployment.balancer.address) as established:
        assert established.open().startswith(b"UP ")
        assert deployment.balancer.reload(discovery=deployment.new_address)["changed"] == ["discovery"]
        wait_until(lambda: deployment.new_discovery.watch_count, "a watch at the new address")
        assert established.echo(b"M 1") == b"M 1\r\n"
        deployment.new_discovery.change(deployment.servers[0].endpoint_entry(state="leaving"))
        wait_until(
            lambda: any(event["revision"] == 2 for event in deployment.balancer.events("endpoints_updated")),
            "an update from the new address",
        )
        for _ in range(4):
            with Client(deployment.balancer.address) as client:
                assert client.open() == b"UP s-1\r\n"
        assert established.echo(b"M 2") == b"M 2\r\n"
    counts = deployment.balancer.counts()
    # A reload does not reset the counters.
    assert counts["connections_established"] == 5 and counts["reloads_requested"] == 1


def test_invalid_file_is_rejected_with_its_field_and_the_old_configuration_stays_in_force(
    deploy_with_two_discoveries,
):
    deployment = deploy_with_two_discoveries()
    valid_config = dict(deployment.balancer.config)
    for change, field in (
        ({"discovery": "nowhere"}, "discovery"),
        ({"limits": {"sockets": 1}}, "limits.sockets"),
        ({"settings": settings(lanes=SETTINGS["lanes"][1:])}, "settings.lanes"),
        ({"settings": settings(limits={"connect-timeout": -1})}, "limits.connect-timeout"),
    ):
        event = deployment.balancer.reload(**{**valid_config, **change})
        assert event["event"] == "reload_rejected" and field in event["error"]
    (deployment.balancer.folder / "config.json").write_text("{")
    deployment.balancer.process.send_signal(signal.SIGHUP)
    wait_until(
        lambda: any("not JSON" in rejection["error"] for rejection in deployment.balancer.events("reload_rejected")),
        "the fifth rejected reload",
    )
    with Client(deployment.balancer.address) as client:
        assert client.open().startswith(b"UP ")
    assert deployment.old_discovery.watch_count == 1  # the watch was not interrupted
    assert deployment.balancer.reload(**valid_config)["changed"] == []
    assert deployment.balancer.counts()["reloads_rejected"] == 5


def test_discovery_address_changes_while_a_call_is_in_flight_and_a_second_reload_follows(deploy_with_two_discoveries):
    deployment = deploy_with_two_discoveries()
    deployment.old_discovery.heartbeats_paused = True  # the old service keeps its watch open without heartbeats
    deployment.balancer.reload(discovery="127.0.0.1:9")  # no process listens at this address
    deployment.balancer.reload(discovery=deployment.new_address)
    wait_until(lambda: deployment.new_discovery.watch_count, "a watch at the last address")
    # The watch must not wait for a backoff, which a failure reported to the driver would have started.
    assert deployment.balancer.process.poll() is None


def test_discovery_address_changes_during_the_shutdown(deploy_with_two_discoveries):
    deployment = deploy_with_two_discoveries()
    with Client(deployment.balancer.address) as client:
        assert client.open().startswith(b"UP ")
        exit_statuses = []
        thread = threading.Thread(target=lambda: exit_statuses.append(deployment.balancer.terminate()))
        thread.start()
        wait_until(lambda: deployment.balancer.events("shutdown_started"), "the start of the shutdown")
        deployment.balancer.reload(discovery=deployment.new_address)
        assert client.read_line() == b"MOVE\r\n"
    thread.join(TIMEOUT_SECONDS)
    assert exit_statuses == [0]


def test_settings_and_limits_are_replaced_and_fields_that_need_a_restart_are_named(deploy_with_two_discoveries):
    deployment = deploy_with_two_discoveries()
    request_classes = [*copy.deepcopy(SETTINGS["lanes"]), {"name": "new", "aim": 0.3, "deadline": 3.0}]
    with Client(deployment.balancer.address) as client:
        assert client.open("c=new,d=3000") == b"ERR\r\n"
    event = deployment.balancer.reload(
        name="n9", seed="other", settings=settings(lanes=request_classes, locality=1), limits={"sockets": 70}
    )
    assert sorted(event["changed"]) == ["limits", "settings"]
    assert event["needs_restart"] == ["name", "seed", "settings.zone"]
    clients = [Client(deployment.balancer.address) for _ in range(40)]
    responses = [client.open("c=new,d=3000")[:2] for client in clients]
    assert {b"UP", b"BU"} == set(responses)  # the new request class, and the new limit on sockets
    for client in clients:
        client.close()


def test_variables_that_override_the_file_at_startup_take_precedence_after_reloads(tmp_path):
    def read(source, **fields):
        path.write_text(json.dumps({"name": "n0", "listen": "127.0.0.1:1", "settings": SETTINGS, **fields}))
        return source.read()

    path = tmp_path / "config.json"
    repeating_source = ConfigSource({"LB_CONFIG": str(path), "LB_DISCOVERY": "127.0.0.1:2"})
    assert read(repeating_source, discovery="127.0.0.1:2").discovery == ("127.0.0.1", 2)
    # The variable repeated the file at the first read, so it overrides nothing.
    assert read(repeating_source, discovery="127.0.0.1:3").discovery == ("127.0.0.1", 3)
    assert read(repeating_source, discovery="127.0.0.1:2").discovery == ("127.0.0.1", 2)
    overriding_source = ConfigSource({"LB_CONFIG": str(path), "LB_DISCOVERY": "127.0.0.1:2"})
    for port in (3, 4, 2, 5):
        assert read(overriding_source, discovery=f"127.0.0.1:{port}").discovery == ("127.0.0.1", 2)
    with pytest.raises(ConfigError, match="listen"):
        read(overriding_source, listen="nowhere")


class RecordingDriver:
    """Stands in for the driver and records the scope of each update."""

    def __init__(self):
        self.scopes, self.settings = [], None

    def update_endpoints(self, scope, entries=()):
        self.scopes.append(scope)


def create_watcher(address):
    driver, log = RecordingDriver(), SimpleNamespace(event=lambda *_, **fields: None)
    return driver, EndpointWatcher(address, driver, SimpleNamespace(apply=lambda update: ()), Counters(), log)


def test_new_address_that_rejects_at_first_is_called_again_and_reports_no_failure():
    async def main():
        old_discovery, new_discovery = StubDiscovery([]), StubDiscovery([])
        new_discovery.calls_to_reject = 3
        driver, watcher = create_watcher(old_discovery.address)
        with trio.fail_after(TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watcher.watch)
                while not driver.scopes:
                    await trio.sleep(0.01)
                watcher.change_address(new_discovery.address)
                while not new_discovery.watch_count:
                    await trio.sleep(0.01)
                assert old_discovery.watch_count == 1 and EndpointUpdateScope.FAILED not in driver.scopes
                nursery.cancel_scope.cancel()
                new_discovery.close()
                old_discovery.close()

    trio.run(main)


def test_second_watch_does_not_end_the_first():
    """The timer of a backoff that was running when the address changed requests a second watch."""

    async def main():
        discovery = StubDiscovery([])
        driver, watcher = create_watcher(discovery.address)
        with trio.fail_after(TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watcher.watch)
                while not driver.scopes:
                    await trio.sleep(0.01)
                await watcher.watch()
                assert discovery.watch_count == 1 and EndpointUpdateScope.FAILED not in driver.scopes
                nursery.cancel_scope.cancel()
                discovery.close()

    trio.run(main)


def test_sighup_before_the_balancer_is_ready_is_delivered_once_it_is(tmp_path):
    """The signal receiver is installed before the first PONG, and delivers a signal that was sent earlier."""
    server, discovery = StubServer("s-0"), StubDiscovery([])
    balancer = BalancerProcess(tmp_path, discovery.address, [server.endpoint_entry()])
    try:
        for _ in range(3):
            balancer.kill()
            balancer.log.write_bytes(b"")
            starting = threading.Thread(target=balancer.start)
            starting.start()
            wait_until(
                lambda: balancer.process.poll() is None and blocks_or_handles_sighup(balancer.process.pid),
                "the start",
            )
            balancer.process.send_signal(signal.SIGHUP)
            starting.join(TIMEOUT_SECONDS)
            wait_until(lambda: balancer.events("config_reloaded"), "the reload")
            assert balancer.process.poll() is None
    finally:
        balancer.kill()
        server.close()
        discovery.close()


def blocks_or_handles_sighup(pid):
    """Return whether the balancer has blocked SIGHUP or handles it already.

    Before its exec, the child process still has the signal masks of the test process.
    """
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
