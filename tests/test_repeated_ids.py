"""An id that may have run does not run again when it comes back after its client has left, where its class forbids it."""

import copy
import socket

import pytest
import trio
from frontend_harness import REQUEST_CLASS, FrontendHarness
from standins import SETTINGS, Client, Deployment, StubServer, reset, wait_until

from aspensaddle.core.executed_requests import MAX_EXECUTED_REQUESTS, ExecutedRequests
from aspensaddle.core.settings import DeduplicationScope, Idempotency, RequestClass

SIDE_EFFECT = RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT)
TOKEN = RequestClass(idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_window=5.0)
ZONE_TOKEN = RequestClass(
    idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=DeduplicationScope.ZONE, deduplication_window=5.0
)
PURE = RequestClass()


def settings_with(repeat, window=5.0):
    settings = copy.deepcopy(SETTINGS)
    settings["lanes"][0].update(repeat=repeat, window=window, group="all")
    return settings


@pytest.fixture
def deployment(tmp_path):
    deployments = []

    def start(repeat, window=5.0, response=b"UP r\r\n"):
        deployments.append(Deployment(tmp_path, response, response, settings=settings_with(repeat, window)))
        return deployments[-1]

    yield start
    for started in deployments:
        started.close()


def send(deployment, request_id, fields="c=test-run,d=3000"):
    client = deployment.client()
    client.send(f"OPEN {request_id} 7f3a9c21e0b4d655 {fields}\r\n".encode())
    return client


def received(deployment, request_id):
    return [line for server in deployment.servers for line in server.first_lines if request_id.encode() in line]


def leave(deployment, client, how, is_established=True):
    """End the client's connection, and wait until the balancer has logged its end.

    The end of an established connection has an event of its own. The event of its request, which a thread writes, may
    come after the client has read the response, and tells nothing of the end.
    """
    event = "connection_ended" if is_established else "request"
    assert not deployment.balancer.events(event)
    client.reset() if how == "reset" else client.close()
    wait_until(lambda: deployment.balancer.events(event), "its end")


@pytest.mark.parametrize("how", ["closed", "reset"])
@pytest.mark.parametrize("stage", ["attempt", "established", "served"])
def test_id_that_may_have_run_does_not_run_again_after_its_client_has_left(deployment, stage, how):
    """Guards against a second run of a request with an effect, sent again under its id by a client that had left."""
    response = {"attempt": b"", "established": b"UP r\r\n", "served": b"BYE\r\n"}[stage]
    running = deployment("side_effect", response=response)
    client = send(running, "one")
    wait_until(lambda: received(running, "one"), "the attempt")
    if stage != "attempt":
        assert client.read_line() in (b"UP s-0\r\n", b"UP s-1\r\n", b"BYE\r\n")
    if stage != "served":
        leave(running, client, how, is_established=stage == "established")
    for fields in ("c=test-run,d=1000", "c=test-run,d=1000,at=s-0", "c=test-run,d=1000,at=s-1"):
        with send(running, "one", fields) as again:
            assert again.read_line() == b"ERR\r\n"
    assert len(received(running, "one")) == 1
    with send(running, "another", "c=test-run,d=300") as other:
        other.read_line()
    assert len(received(running, "another")) == 1


def test_id_that_was_proven_not_to_have_run_may_come_again(deployment):
    running = deployment("side_effect", response=b"BUSY\r\n")
    with send(running, "one") as client:
        assert client.read_line().startswith(b"BUSY")
    attempts = len(received(running, "one"))
    for server in running.servers:
        server.response = b"UP r\r\n"
    wait_until(lambda: send(running, "one").read_line().startswith(b"UP"), "an attempt")
    assert len(received(running, "one")) == attempts + 1


@pytest.mark.parametrize(("window", "answer"), [(5.0, b"UP"), (0.2, b"ERR")])
def test_id_with_a_token_comes_again_within_the_window_alone(deployment, window, answer):
    running = deployment("token", window)
    client = send(running, "one")
    assert client.read_line().startswith(b"UP")
    leave(running, client, "closed")
    if window < 1:
        trio.run(trio.sleep, window)
    with send(running, "one") as again:
        assert again.read_line().startswith(answer)


def test_adoption_that_may_have_run_does_not_run_again_after_its_client_has_left():
    server = StubServer("s-0")
    server.hold_connections = True

    async def script(harness):
        first = await harness.send_open("c=test-run,d=3000,at=s-0", request_id="one")
        await harness.wait_until(lambda: server.first_lines)
        first.stream.socket.close()
        await harness.wait_until_all_closed()
        for fields in ("c=test-run,d=3000,at=s-0", "c=test-run,d=3000"):
            again = await harness.send_open(fields, request_id="one")
            assert await again.read_line() == b"ERR\r\n"
            again.stream.socket.close()
        await harness.wait_until_all_closed()
        assert len(server.first_lines) == 1

    FrontendHarness([server], request_classes=[{**REQUEST_CLASS, "repeat": "side_effect"}]).run(script)


def test_request_of_a_client_that_left_with_much_unread_is_not_sent_on(deployment):
    """Guards against sending on what a client had sent before it closed its connection (issue 59, picture c)."""
    running = deployment("side_effect", response=b"")
    for number, rest in enumerate(
        (b"x" * 3000, b"x" * 200_000, b"line\r\n" * 2000, b"OPEN later k c=test-run,d=900\r\n" * 50)
    ):
        with socket.create_connection(running.balancer.address) as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            client.setblocking(False)
            client.send(f"OPEN left-{number} k c=test-run,d=900\r\n".encode() + rest)
            reset(client) if number % 2 else client.close()
    with Client(running.balancer.address) as probe:
        probe.send(b"PING\r\n")
        assert probe.read_line() == b"PONG\r\n"
    wait_until(lambda: running.balancer.counts().get("connections", 0) >= 5, "the connections")
    trio.run(trio.sleep, 0.5)
    assert not received(running, "later") and len(received(running, "left")) <= 1


# ------------------------------------------------------------ the rule


@pytest.mark.parametrize(
    ("first", "again", "after", "is_forbidden"),
    [
        (SIDE_EFFECT, SIDE_EFFECT, 1.0, True),
        (SIDE_EFFECT, PURE, 1.0, True),
        (PURE, SIDE_EFFECT, 1.0, True),
        (PURE, PURE, 1.0, False),
        (TOKEN, TOKEN, 1.0, False),
        (TOKEN, TOKEN, 6.0, True),
        (ZONE_TOKEN, ZONE_TOKEN, 1.0, True),
    ],
)
def test_repetition_is_allowed_where_both_classes_allow_it(first, again, after, is_forbidden):
    executed = ExecutedRequests()
    assert executed.record("one", first, 10.0)
    assert not executed.record("one", first, 11.0)  # the first run counts
    assert executed.forbids("one", again, 10.0 + after) is is_forbidden
    assert not executed.forbids("two", again, 10.0)


def test_remembered_ids_are_bounded_and_the_oldest_goes_first():
    executed = ExecutedRequests()
    for number in range(MAX_EXECUTED_REQUESTS + 5):
        executed.record(str(number), SIDE_EFFECT, 0.0)
    assert len(executed) == MAX_EXECUTED_REQUESTS
    assert not executed.forbids("4", SIDE_EFFECT, 1.0) and executed.forbids("5", SIDE_EFFECT, 1.0)
