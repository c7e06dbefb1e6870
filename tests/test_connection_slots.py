"""Clients that are silent, slow or violate the protocol: their responses, and how descriptors are divided."""

import os
import signal
import socket
import struct
import time
from collections import Counter
from contextlib import ExitStack, suppress
from random import Random
from types import SimpleNamespace

import pytest
import trio
from frontend_harness import FrontendHarness
from standins import TIMEOUT_SECONDS, BalancerProcess, Client, StubDiscovery, StubServer, wait_until

from aspensaddle.frontends.line_protocol.connection_slots import (
    FIRST_LINE_TIMEOUT_SECONDS,
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

# Of Linux's struct tcp_info, as in linux/tcp.h.
TCP_INFO_BYTES = 104
TOTAL_RETRANSMISSIONS_OFFSET = 100


@pytest.fixture
def deploy_with_one_server(tmp_path):
    """Return a function that makes a balancer process with one server; the result has the server as `server`."""
    parts = []

    def make(**config):
        server = StubServer("s-0")
        discovery = StubDiscovery([server.endpoint_entry()])
        parts.extend(
            (server, discovery, BalancerProcess(tmp_path, discovery.address, [server.endpoint_entry()], **config))
        )
        return SimpleNamespace(server=server, balancer=parts[-1], client=lambda: Client(parts[-1].address))

    yield make
    for part in reversed(parts):
        (part.kill if isinstance(part, BalancerProcess) else part.close)()


def test_hundreds_of_silent_clients_do_not_keep_out_a_request(deploy_with_one_server):
    deployment = deploy_with_one_server(limits={"sockets": 128})
    silent = [deployment.client() for _ in range(300)]
    with deployment.client() as client:
        assert client.open().startswith(b"UP ")
        assert client.echo(b"M 1") == b"M 1\r\n"
    responses = [client.read_line() for client in silent]  # the oldest at once, the others after their time limit
    assert {b"BUSY", b"ERR"} == {response.split()[0] for response in responses}
    assert all(client.read_line() == b"" for client in silent)
    for client in silent:
        client.close()
    counts = deployment.balancer.counts()
    assert (
        counts["connections_evicted"] >= 200
        and "internal_errors" not in counts
        and "accepts_failed_emfile" not in counts
    )


def test_ping_does_not_restart_the_time_limit_of_the_first_line(deploy_with_one_server):
    """Otherwise a client could hold its connection forever."""
    deployment = deploy_with_one_server()
    with deployment.client() as client:
        started_at = time.monotonic()
        responses = [client.echo(b"PING")]
        while responses[-1] == b"PONG\r\n":
            time.sleep(0.3)
            try:
                responses.append(client.echo(b"PING"))
            except OSError:  # the connection was closed
                break
            assert time.monotonic() - started_at < TIMEOUT_SECONDS
        assert len(responses) < 16


def test_more_than_16_pings_before_an_open_get_an_error(deploy_with_one_server):
    deployment = deploy_with_one_server()
    with deployment.client() as client:
        client.send(b"PING\r\n" * 100)
        assert [client.read_line() for _ in range(17)] == [b"PONG\r\n"] * 16 + [b"ERR\r\n"]


@pytest.mark.parametrize("extra", [b"OPEN b k c=test-run,d=900\r\n" * 100, b"PING\r\n", b"z" * 5000])
def test_client_that_sends_more_before_its_response_gets_an_error_and_no_connection(deploy_with_one_server, extra):
    deployment = deploy_with_one_server()
    deployment.server.response = b""  # the server is silent, so the attempt lasts until it is cancelled
    with deployment.client() as client:
        client.send(b"OPEN a k c=test-run,d=3000\r\n" + extra)
        assert client.read_line() == b"ERR\r\n"
    with deployment.client() as client:
        client.send(b"OPEN b k c=test-run,d=3000\r\n")
        wait_until(lambda: any(b" b " in line for line in deployment.server.first_lines), "the attempt")
        client.send(extra)
        assert client.read_line() == b"ERR\r\n"
    assert "connections_established" not in deployment.balancer.counts()


def test_line_sent_together_with_the_open_is_relayed_once_established(deploy_with_one_server):
    deployment = deploy_with_one_server()
    with deployment.client() as client:
        client.send(b"OPEN a k c=test-run,d=3000\r\nM 1\r\n")
        assert client.read_line() == b"UP s-0\r\n" and client.read_line() == b"M 1\r\n"


def test_open_with_the_id_of_another_connection_gets_an_error_and_leaves_that_one_open(deploy_with_one_server):
    deployment = deploy_with_one_server()
    with deployment.client() as other_client:
        assert other_client.open().startswith(b"UP ")
        line = deployment.server.first_lines[0]
        for _ in range(3):
            with deployment.client() as second_client:
                second_client.send(line)
                assert second_client.read_line() == b"ERR\r\n"
        assert other_client.echo(b"M 1") == b"M 1\r\n"
    assert len(deployment.server.first_lines) == 1


def test_repeated_invalid_requests_do_not_fill_the_log_nor_delay_the_shutdown(deploy_with_one_server):
    deployment = deploy_with_one_server()
    for _ in range(50):
        with deployment.client() as client:
            client.send(b"frob\r\n")
            assert client.read_line() == b"ERR\r\n"
    assert deployment.balancer.counts()["invalid_requests"] == 50
    assert len(deployment.balancer.events("invalid_request")) < 25
    silent = deployment.client()
    assert deployment.balancer.terminate() == 0
    silent.close()


def test_lingering_close_stops_reading_from_an_endless_line_at_its_limit():
    async def main():
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        client = await trio.open_tcp_stream(*listener.socket.getsockname())
        link = Link(await listener.accept())
        bytes_sent = 0

        async def flood():
            nonlocal bytes_sent
            try:
                while True:
                    await client.send_all(b"k" * 65536)
                    bytes_sent += 65536
            except trio.BrokenResourceError:
                pass

        with trio.fail_after(TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(flood)
                bytes_read = 0
                receive = link.receive

                async def count_received():
                    nonlocal bytes_read
                    has_more = await receive()
                    bytes_read += link.buffered
                    return has_more

                link.receive = count_received
                await link.close_lingering(trio.CancelScope(deadline=trio.current_time() + TIMEOUT_SECONDS))
                assert MAX_LINGER_BYTES <= bytes_read < 2 * MAX_LINGER_BYTES
        await listener.aclose()

    trio.run(main)


def test_oldest_waiting_connection_is_evicted_first_and_an_active_one_never():
    async def main():
        slots = ConnectionSlots(Counters(), 128)
        with ExitStack() as stack:
            for _ in range(slots.max_active - 1):
                slots.activate(stack.enter_context(slots.hold(None)))
            waiting_count = 128 - RESERVED_DESCRIPTORS - slots.descriptors
            assert waiting_count > slots.max_waiting
            held_slots = [stack.enter_context(slots.hold(None)) for _ in range(waiting_count)]
            slots.activate(held_slots[0])  # it is owed a response now, and a descriptor for its server
            slots.linger(held_slots[3])
            for _ in range(4):
                held_slots.append(stack.enter_context(slots.hold(None)))
            # One for the server of slot 0 and four for the new connections: the oldest slots are evicted.
            assert [i for i, slot in enumerate(held_slots) if slot.evicted] == [1, 2, 4, 5, 6]
            assert (
                all(held_slots[i].first_line_scope.cancel_called for i in (1, 2, 4, 5, 6))
                and not held_slots[0].first_line_scope.cancel_called
            )
            for slot in held_slots[7 : 7 + slots.max_lingering]:
                slots.linger(slot)
            assert [i for i, slot in enumerate(held_slots) if slot.linger_scope.cancel_called] == [3]
            slots.evict_all_waiting()
            slots.abort_all_lingering()
            assert not held_slots[0].linger_scope.cancel_called and held_slots[0].stage is ConnectionStage.ACTIVE
            assert all(slot.evicted or slot.linger_scope.cancel_called for slot in held_slots[1:])
            new_slot = stack.enter_context(slots.hold(None))  # from now on, new connections are evicted at once
            assert new_slot.evicted
        assert slots.open == 0

    trio.run(main)


def test_reconnecting_connections_are_evicted_only_while_they_are_more_than_the_waiting_ones():
    """Guards against silent clients that push out a connection to adopt, and against adoptions that push out others."""

    async def main():
        slots = ConnectionSlots(Counters(), 128)
        with ExitStack() as stack:
            reconnecting = [stack.enter_context(slots.hold(None)) for _ in range(40)]
            for slot in reconnecting:
                slots.reconnect(slot)
            waiting = [stack.enter_context(slots.hold(None)) for _ in range(30)]
            for _ in range(10):
                assert slots.evict_oldest()
            assert [slot.evicted for slot in reconnecting] == [True] * 10 + [False] * 30
            assert not any(slot.evicted for slot in waiting)
            for slot in reconnecting[:10]:
                slots.linger(slot)
            waiting += [stack.enter_context(slots.hold(None)) for _ in range(100)]
            assert not any(slot.evicted for slot in reconnecting[10:])
            # 98 of 128 descriptors are for clients, and the ten that linger are closed first.
            assert sum(slot.evicted for slot in waiting) == 40 + 130 - 10 - 98
            slots.evict_all_waiting()
            assert all(slot.evicted for slot in (*reconnecting, *waiting))

    trio.run(main)


def test_no_connection_is_evicted_while_descriptors_are_free():
    """Guards against evictions beyond a fixed share while descriptors for active connections are unused."""

    async def main():
        slots = ConnectionSlots(Counters(), 928)
        with ExitStack() as stack:
            held_slots = [stack.enter_context(slots.hold(None)) for _ in range(272 + 200)]
            for slot in held_slots[200:]:
                slots.activate(slot)
            assert not any(slot.evicted for slot in held_slots)
            # Once all are in use, the oldest silent connection is evicted for a new one, and is closed first.
            while slots.descriptors < 928 - RESERVED_DESCRIPTORS:
                held_slots.append(stack.enter_context(slots.hold(None)))
            assert not any(slot.evicted for slot in held_slots)
            stack.enter_context(slots.hold(None))
            assert [i for i, slot in enumerate(held_slots) if slot.evicted] == [0]
            slots.linger(held_slots[0])
            assert held_slots[0].linger_scope.cancel_called

    trio.run(main)


def test_eviction_of_a_connection_whose_bytes_have_arrived_is_revoked():
    """Guards against a BUSY for a client whose line was in the kernel when its connection was evicted."""
    server = StubServer("s-0")

    async def script(harness):
        complete, partial, silent = [await harness.connect() for _ in range(3)]
        await harness.wait_until(lambda: harness.frontend.slots.count(ConnectionStage.WAITING) == 3)
        line = b"OPEN 000000000000000%d 7f3a9c21e0b4d655 c=test-run,d=3000\r\n"
        # There is no event loop pass between the arrival and the eviction.
        os.write(complete.stream.socket.fileno(), line % 1)
        os.write(partial.stream.socket.fileno(), (line % 2)[:20])
        for _ in range(3):
            harness.frontend.slots.evict_oldest()
        assert await complete.read_line() == b"UP s-0\r\n"
        await partial.send((line % 2)[20:])
        assert await partial.read_line() == b"UP s-0\r\n"
        assert (await silent.read_to_end()).startswith(b"BUSY")
        for client in (complete, partial, silent):
            client.stream.socket.close()
        await harness.wait_until_all_closed()

    FrontendHarness([server]).run(script)


def send_open_lines(clients, timing):
    """Send the OPENs of reconnecting clients at once, up to a second late or in pieces; times are seeded.

    Return when the last byte of each line was sent.
    """
    lines = {
        client: b"OPEN %016x 7f3a9c21e0b4d655 c=test-run,d=3000,at=s-0\r\n" % n for n, client in enumerate(clients)
    }
    sent_at = {}
    if timing == "at once":
        for client, line in lines.items():
            client.send(line)
            sent_at[client] = time.monotonic()
        return sent_at
    random, due = Random(7), []
    for client, line in lines.items():
        cut = random.randrange(1, len(line) - 1) if timing == "in pieces" else 0
        send_times = sorted(random.uniform(0.0, 1.0) for _ in range(2))
        due += [(send_times[0], id(client), client, line[:cut]), (send_times[1], id(client), client, line[cut:])]
    started_at = time.monotonic()
    for send_time, _, client, part in sorted(due):
        time.sleep(max(0.0, started_at + send_time - time.monotonic()))
        with suppress(OSError):  # the balancer has closed the connection
            client.send(part)
        sent_at[client] = time.monotonic()
    return sent_at


def read_response_or_reset(client):
    """Return the response to an OPEN, or empty bytes if the connection was reset."""
    try:
        return client.read_line()
    except ConnectionResetError:
        return b""


@pytest.mark.parametrize("timing", ["at once", "late", "in pieces"])
@pytest.mark.parametrize("idle", [0, 200])
@pytest.mark.parametrize("count", [272, 500])
def test_all_clients_that_reconnect_together_have_their_connections_adopted(
    deploy_with_one_server, count, idle, timing
):
    """Guards against the eviction of reconnecting clients.

    The documented limit is 384 descriptors beyond those of the open connections. A client is owed its connection if
    its line was sent within the documented time of its connect. On a busy machine this process may send a line later:
    that client gets an error, or a reset if it sends after the lingering close.
    """
    deployment = deploy_with_one_server(limits={"sockets": 384 + 2 * count})
    idle_before = [deployment.client() for _ in range(idle // 2)]
    connects_began_at = {}
    for _ in range(count):
        began_at = time.monotonic()
        connects_began_at[deployment.client()] = began_at
    clients = list(connects_began_at)
    idle_after = [deployment.client() for _ in range(idle - idle // 2)]
    sent_at = send_open_lines(clients, timing)
    responses = {client: read_response_or_reset(client) for client in clients}
    for client in (*clients, *idle_before, *idle_after):
        client.close()
    counts = deployment.balancer.counts()
    seconds = {client: sent_at[client] - connects_began_at[client] for client in clients}
    on_time = [client for client in clients if seconds[client] <= FIRST_LINE_TIMEOUT_SECONDS]
    totals = Counter(responses.values())
    assert {responses[client] for client in on_time} == {b"UP s-0\r\n"}, (totals, max(seconds.values()), counts)
    assert set(totals) <= {b"UP s-0\r\n", b"ERR\r\n", b""}
    assert counts["adoptions_established"] == counts["attempts_started"] == totals[b"UP s-0\r\n"]
    assert "connections_evicted" not in counts


def syn_retransmissions(client):
    """Return how often the kernel sent the SYN of a client again that has sent nothing else."""
    tcp_info = client.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    return struct.unpack_from("I", tcp_info, TOTAL_RETRANSMISSIONS_OFFSET)[0]


def test_every_connection_waits_in_the_accept_queue_while_the_process_is_held_up(deploy_with_one_server):
    """Guards against a full accept queue: the kernel drops a client's SYN, and the client sends it again after 1 s."""
    count = 1500
    deployment = deploy_with_one_server(limits={"sockets": 2 * count})
    deployment.balancer.process.send_signal(signal.SIGSTOP)
    try:
        clients = [deployment.client() for _ in range(count)]
        retransmissions = sum(map(syn_retransmissions, clients))
        for client in clients:
            client.send(b"PING\r\n")
    finally:
        deployment.balancer.process.send_signal(signal.SIGCONT)
    responses = Counter(client.read_line() for client in clients)
    for client in clients:
        client.close()
    assert retransmissions == 0
    assert responses == {b"PONG\r\n": count}


@pytest.mark.parametrize("sockets", [64, 80, 128, 512, 1024, 4096])
@pytest.mark.parametrize("reserve", [0, 4, 64])
def test_shares_of_all_stages_fit_into_the_descriptor_limit(sockets, reserve):
    if reserve > sockets // 16:
        reserve = sockets // 16
    slots = ConnectionSlots(Counters(), sockets, reserve)
    client_descriptors = 2 * slots.max_active + slots.max_waiting + slots.max_lingering
    assert reserve + RESERVED_DESCRIPTORS + client_descriptors <= sockets
    assert slots.max_active >= 4 and min(slots.max_waiting, slots.max_lingering) >= MIN_STAGE_SHARE


@pytest.mark.parametrize("limit", [{"limits": {"sockets": 928}}, {"max_descriptors": 928}], ids=str)
def test_clients_that_reconnect_among_many_idle_ones_have_their_connections_adopted(deploy_with_one_server, limit):
    """Idle clients hold every free descriptor and are evicted; the descriptor limit is never exceeded."""
    deployment = deploy_with_one_server(**limit)
    idle_clients = [deployment.client() for _ in range(1200)]
    clients = [deployment.client() for _ in range(272)]
    idle_clients += [deployment.client() for _ in range(100)]
    send_open_lines(clients, "at once")
    responses = Counter(client.read_line() for client in clients)
    descriptors_in_use = deployment.balancer.descriptors()
    for client in (*clients, *idle_clients):
        client.close()
    counts = deployment.balancer.counts()
    assert responses == {b"UP s-0\r\n": 272}, (responses, counts)
    assert (
        descriptors_in_use <= 928 and counts["connections_evicted"] and "connects_failed_no_descriptors" not in counts
    )


def test_connection_to_adopt_is_kept_among_silent_clients_while_its_server_rejects_it(deploy_with_one_server):
    """Guards against the eviction of a reconnecting client, between two attempts, for clients that sent nothing."""
    deployment = deploy_with_one_server(limits={"sockets": 128})
    deployment.server.response = b"BUSY\r\n"
    with deployment.client() as client:
        client.send(b"OPEN 1 k c=test-run,d=3000,at=s-0\r\n")
        wait_until(lambda: deployment.server.first_lines, "the first attempt")
        silent_clients = [deployment.client() for _ in range(300)]
        deployment.server.response = b"UP s-0\r\n"
        assert client.read_line() == b"UP s-0\r\n"
        for silent in silent_clients:
            silent.close()
    assert deployment.balancer.counts()["connections_evicted"] >= 200


@pytest.mark.parametrize(
    "line",
    [
        b"OPEN i k c=test-run,d=\r\n",  # each server responded with ERR, which counted as its failure
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
def test_invalid_open_is_rejected_before_it_reaches_a_server(line):
    with pytest.raises(InvalidOpenError):
        parse_open(line, {"test-run": 0}, True)


def test_rate_limited_event_is_logged_once_per_interval_with_the_number_suppressed(monkeypatch):
    log, lines = Log("n0", 1), []
    monkeypatch.setattr(log, "event", lambda event, **extra: lines.append((event, extra)))
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr("aspensaddle.support.log.time.monotonic", lambda: clock.now)
    for _ in range(5):
        log.rate_limited_event("x", n=1)
    clock.now += 1.5
    log.rate_limited_event("x", n=2)
    log.close()
    assert lines == [("x", {"n": 1, "suppressed": 0}), ("x", {"n": 2, "suppressed": 4})]
