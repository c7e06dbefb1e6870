"""Budget of file descriptors: at the limit of the process, discovery, draining and shutdown still work."""

import re
import threading

import pytest
from standins import SETTINGS, TIMEOUT_SECONDS, StubDiscovery, wait_until

from aspensaddle.frontends.line_protocol.connection_slots import ACCEPT_BATCH, RESERVED_DESCRIPTORS
from aspensaddle.frontends.line_protocol.health_checker import MAX_HEALTH_CHECK_CONNECTIONS
from aspensaddle.frontends.line_protocol.server_connector import ServerConnector

HEALTH_CHECK_SETTINGS = {
    **SETTINGS,
    "report": {"how": "probe", "fields": ["inflight", "x0"]},
    "tariffs": {"probe": 0.003},
    "limits": {**SETTINGS["limits"], "probes": True},
}


def fill_with_clients(deployment, max_clients):
    """Open connections until one is rejected, and many silent ones; return both lists."""
    established, silent = [], []
    for _ in range(max_clients):
        client = deployment.client()
        if not client.open().startswith(b"UP "):
            client.close()
            break
        established.append(client)
        silent.append(deployment.client())
    silent += [deployment.client() for _ in range(max_clients)]
    return established, silent


@pytest.mark.parametrize(
    "limit",
    [
        {"limits": {"sockets": 128}},
        {"max_descriptors": 128},
        {"max_descriptors": 128, "settings": HEALTH_CHECK_SETTINGS},
    ],
    ids=str,
)
def test_process_at_its_descriptor_limit_switches_discovery_receives_a_drain_and_shuts_down(deploy, limit):
    deployment = deploy(**limit)
    for server in deployment.servers:
        server.load_report = b"PONG inflight=1,x0=0.01\r\n"
    wait_until(lambda: deployment.discovery.watch_count, "a watch")
    deployment.discovery.close()  # discovery is down: calls fail
    wait_until(lambda: deployment.balancer.events("discovery_call_failed"), "a failed call")
    established, silent = fill_with_clients(deployment, 128)
    # With health checks, the reports of the servers show them as full earlier.
    assert len(established) >= (5 if "settings" in limit else 30)
    descriptor_counts = [deployment.balancer.descriptors()]
    new_discovery = StubDiscovery([server.endpoint_entry() for server in deployment.servers])
    try:
        deployment.balancer.reload(discovery=f"{new_discovery.address[0]}:{new_discovery.address[1]}")
        wait_until(lambda: new_discovery.watch_count, "a watch of the new discovery")
        descriptor_counts.append(deployment.balancer.descriptors())
        deployment.discovery = new_discovery
        deployment.drain(deployment.servers[0])
        assert established[0].echo(b"M 1") == b"M 1\r\n"
        exit_codes = []
        thread = threading.Thread(target=lambda: exit_codes.append(deployment.balancer.terminate()))
        thread.start()
        for client in established:
            assert client.read_to_end() == b"MOVE\r\n"
            client.close()
        for client in silent:
            assert re.fullmatch(rb"BUSY( \d+)?\r\n|ERR\r\n", client.read_to_end())
            client.close()
        thread.join(TIMEOUT_SECONDS)
        assert exit_codes == [0] and max(descriptor_counts) <= 128
        counts = deployment.balancer.events("counters_reported")[-1]["counts"]
        assert not {n for n in counts if n.startswith(("accepts_failed_", "connects_failed_", "internal_errors"))}
    finally:
        new_discovery.close()


def test_silent_clients_beyond_the_descriptor_limit_do_not_prevent_a_discovery_call(deploy):
    """They connect while discovery is down and stay connected."""
    deployment = deploy(max_descriptors=96)
    wait_until(lambda: deployment.discovery.watch_count, "a watch")
    deployment.discovery.close()
    wait_until(lambda: len(deployment.balancer.events("discovery_call_failed")) > 1, "failed calls")
    silent = [deployment.client() for _ in range(300)]
    new_discovery = StubDiscovery([server.endpoint_entry() for server in deployment.servers])
    try:
        deployment.balancer.reload(discovery=f"{new_discovery.address[0]}:{new_discovery.address[1]}")
        wait_until(lambda: new_discovery.watch_count, "a watch of the new discovery")
        with deployment.client() as client:
            assert client.open().startswith(b"UP ")
    finally:
        new_discovery.close()
    for client in silent:
        client.close()
    assert "accepts_failed_emfile" not in deployment.balancer.counts()


def test_reserved_descriptors_cover_an_idle_process_with_a_second_call_and_a_file(deploy):
    """An idle process holds the listener, the watch, the event loop, signals and the standard streams."""
    deployment = deploy()
    wait_until(lambda: deployment.discovery.watch_count, "a watch")
    wait_until(
        lambda: deployment.balancer.descriptors() <= RESERVED_DESCRIPTORS - ACCEPT_BATCH - 2 - 2, "an idle process"
    )


@pytest.mark.parametrize(
    ("health_checks_allowed", "sockets", "max_descriptors"),
    [(False, 1024, 0), (True, 64, 4), (True, 128, 8), (True, 1024, 64), (True, 65536, MAX_HEALTH_CHECK_CONNECTIONS)],
)
def test_health_checks_may_hold_a_share_of_the_descriptors_up_to_a_limit(
    health_checks_allowed, sockets, max_descriptors
):
    class Settings:
        class limits:
            pass

    class Driver:
        settings = Settings

    Settings.limits.health_checks_allowed = health_checks_allowed
    assert ServerConnector(Driver, None, None, sockets).descriptors == max_descriptors
