"""An overloaded discovery service, and which servers get attempts while the endpoint list can't be confirmed."""

import math
import os
from dataclasses import replace
from types import SimpleNamespace

import pytest
import trio
import trio.testing
from helpers import LARGE_FLEET, MAX_SERVERS_PER_SEARCH, SETTINGS, BalancerHarness, make_endpoint, record_calls
from test_discovery_freshness import HEAD, RecordingDriver, endpoint_list, http_chunk

from aspensaddle.core.actions import Reject, RejectReason, StartAttempt
from aspensaddle.core.driver import Driver
from aspensaddle.core.endpoint_confirmation import MAX_STALENESS_SECONDS, EndpointConfirmation
from aspensaddle.core.events import (
    Endpoint,
    EndpointListConfirmed,
    EndpointUpdateScope,
    Outcome,
    Request,
    ServerState,
)
from aspensaddle.discovery import watch_call, watch_policy
from aspensaddle.discovery.watch_call import WatchCall
from aspensaddle.discovery.watcher import EndpointWatcher
from aspensaddle.support.counters import Counters

REJECTION = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
MAX_QUEUEING_SECONDS = 3.0  # the service rejects a call that it would queue for longer
ROUND_TRIP_SECONDS = 0.02
CHANGE_AT_SECONDS = 1.67


class CallStream:
    """The client's side of a discovery call, in memory."""

    def __init__(self, service):
        self.service = service
        self.sender, self.receiver = trio.open_memory_channel(math.inf)
        self.socket = SimpleNamespace(close=self.receiver.close, fileno=lambda: service.empty_pipe)

    async def send_all(self, data):
        self.service.nursery.start_soon(self.service.serve, self)

    async def receive_some(self, limit):
        try:
            return await self.receiver.receive()
        except trio.EndOfChannel:
            return b""

    def reply(self, data):
        try:
            self.sender.send_nowait(data)
        except trio.BrokenResourceError:
            return False
        return True


class QueueingDiscovery:
    """Serves one call after another, and rejects a call at once that would be queued for too long.

    A queued call takes its time even if the caller has gone meanwhile.
    """

    def __init__(self, call_seconds):
        self.call_seconds, self.free_at, self.revision = call_seconds, 0.0, 1
        self.calls, self.rejected, self.changed = 0, 0, trio.Event()
        self.empty_pipe, self._other_end = os.pipe()
        os.set_blocking(self.empty_pipe, False)

    async def serve(self, stream):
        self.calls += 1
        now = trio.current_time()
        served_at = max(now, self.free_at)
        if served_at - now > MAX_QUEUEING_SECONDS:
            self.rejected += 1
            await trio.sleep(ROUND_TRIP_SECONDS)
            stream.reply(REJECTION)
            return
        self.free_at = served_at + self.call_seconds
        await trio.sleep_until(self.free_at + ROUND_TRIP_SECONDS)
        is_connected = stream.reply(HEAD + http_chunk(endpoint_list(self.revision, "s-0")))
        while is_connected:
            changed = self.changed
            with trio.move_on_after(watch_policy.HEARTBEAT_SECONDS) as heartbeat:
                await changed.wait()
            is_connected = stream.reply(
                http_chunk(b"\r\n" if heartbeat.cancelled_caught else endpoint_list(self.revision, "s-0"))
            )

    def change(self):
        self.revision += 1
        self.changed.set()
        self.changed = trio.Event()

    def close(self):
        os.close(self.empty_pipe)
        os.close(self._other_end)


class ChangeRecorder(RecordingDriver):
    """Records when the change was learned, and counts the confirmations."""

    def __init__(self):
        super().__init__()
        self.learned_at, self.confirmations = math.inf, 0

    def update_endpoints(self, scope, entries=()):
        if entries and entries[0] >= 2:
            self.learned_at = min(self.learned_at, trio.current_time())

    def endpoint_list_confirmed(self):
        self.confirmations += 1


def run_watchers_together(count, call_seconds, seconds, monkeypatch):
    """Start `count` watchers together; return their recorders and the service."""
    monkeypatch.setattr(watch_call, "_connect", None)
    recorders = [ChangeRecorder() for _ in range(count)]
    log = SimpleNamespace(event=lambda name, **fields: None)

    async def main():
        start = trio.current_time()
        service = QueueingDiscovery(call_seconds)
        service.free_at = start

        async def connect(address):
            await trio.sleep(ROUND_TRIP_SECONDS)
            return CallStream(service)

        monkeypatch.setattr(watch_call, "_connect", connect)
        async with trio.open_nursery() as service.nursery:
            for seed, recorder in enumerate(recorders):
                watcher = EndpointWatcher(
                    ("127.0.0.1", 9), recorder, recorder, Counters(), log, seed, balancer_count=count
                )
                service.nursery.start_soon(watcher.start)
            await trio.sleep(CHANGE_AT_SECONDS)
            service.change()
            await trio.sleep(seconds)
            service.nursery.cancel_scope.cancel()
        for recorder in recorders:
            recorder.learned_at -= start
        service.close()
        return service

    return recorders, trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(("count", "call_seconds"), [(1, 0.15), (6, 0.25), (32, 0.15), (200, 0.025)])
def test_balancers_that_start_together_all_learn_a_change_in_time(count, call_seconds, monkeypatch):
    """Guards against hedging calls that are only queued: the hedged calls kept the queue full for half a minute."""
    recorders, service = run_watchers_together(count, call_seconds, 30.0, monkeypatch)
    learned_times = sorted(recorder.learned_at for recorder in recorders)
    assert learned_times[-1] <= CHANGE_AT_SECONDS + MAX_STALENESS_SECONDS, learned_times
    # One call is served for each balancer, since a watch that is open makes no further calls.
    assert service.calls - service.rejected <= count + 1


def test_balancers_beyond_the_capacity_of_the_service_are_all_served_eventually(monkeypatch):
    """The service is never idle meanwhile, and the retries stay within the limit for all balancers together."""
    count, call_seconds = 200, 0.2
    recorders, service = run_watchers_together(count, call_seconds, 60.0, monkeypatch)
    assert max(recorder.learned_at for recorder in recorders) <= count * call_seconds + 10.0
    assert service.rejected <= watch_policy.MAX_FLEET_RETRIES_PER_SECOND * count * call_seconds


@pytest.mark.parametrize(
    ("refuses_connections", "confirmed"), [(True, True), (False, False)], ids=["unreachable", "rejects"]
)
def test_unreachable_service_confirms_the_list_and_a_rejecting_one_does_not(
    refuses_connections, confirmed, monkeypatch
):
    recorder = ChangeRecorder()
    counters, events = Counters(), []
    log = SimpleNamespace(event=lambda name, **fields: events.append(fields))

    async def connect(address):
        if refuses_connections:
            raise ConnectionRefusedError
        return CallStream(SimpleNamespace(nursery=nursery, serve=reject, empty_pipe=-1))

    async def reject(stream):
        stream.reply(REJECTION)

    async def main():
        nonlocal nursery
        async with trio.open_nursery() as nursery:
            watcher = EndpointWatcher(("127.0.0.1", 9), recorder, recorder, counters, log, balancer_count=32)
            nursery.start_soon(watcher.start)
            await trio.sleep(20.0)
            nursery.cancel_scope.cancel()

    nursery = None
    monkeypatch.setattr(watch_call, "_connect", connect)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    reason = "unreachable" if refuses_connections else "rejected"
    assert (recorder.confirmations > 5) == confirmed and (recorder.confirmations == 1) == (not confirmed)
    assert {fields["reason"] for fields in events} == {reason}
    assert counters[f"discovery_calls_failed_{reason}"] == counters["discovery_calls_failed"] > 5


# ------------------------------------------------------------ attempts without a confirmed list

SETTINGS_WITH_DRAIN_GRACE = replace(SETTINGS, rules=replace(SETTINGS.rules, drain_grace=2.0))
# The limit of 6 s for learning a change, plus the drain grace, minus a margin.
CONFIRMATION_LIFETIME_SECONDS = 7.5


def confirmed_harness(servers=3):
    harness = BalancerHarness([make_endpoint(number) for number in range(1, servers + 1)], SETTINGS_WITH_DRAIN_GRACE)
    harness.balancer.handle(harness.now, EndpointListConfirmed())
    return harness


def test_unconfirmed_list_is_used_only_until_its_confirmation_expires():
    """Guards against attempts on a draining server whose state the balancer could not learn for more than 6 s."""
    harness = confirmed_harness()
    harness.now += CONFIRMATION_LIFETIME_SECONDS - 0.01
    assert isinstance(harness.submit_request()[0], StartAttempt)
    harness.now += 0.02
    (action,) = harness.submit_request()
    assert isinstance(action, Reject) and action.reason is RejectReason.ENDPOINTS_UNCONFIRMED
    harness.balancer.handle(harness.now, EndpointListConfirmed())
    assert isinstance(harness.submit_request()[0], StartAttempt)


def test_server_that_accepts_attempts_stays_in_use_without_a_confirmed_list():
    """A draining server accepts no new connections, so an accepted attempt proves that the server was not draining."""
    harness = confirmed_harness()
    harness.now += 5.0
    accepted = harness.place().server
    harness.now += 5.0
    for _ in range(6):
        assert harness.place().server == accepted
        harness.now += 5.0
    harness.now += CONFIRMATION_LIFETIME_SECONDS
    assert isinstance(harness.submit_request()[0], Reject)


def test_rejected_attempt_does_not_confirm_its_server():
    harness = confirmed_harness(servers=1)
    harness.now += 5.0
    (attempt,) = harness.submit_request()
    harness.end(attempt, Outcome.REJECTED)
    harness.now += CONFIRMATION_LIFETIME_SECONDS - 4.9
    assert isinstance(harness.submit_request()[0], Reject)


def test_balancer_without_a_watch_uses_its_list_without_confirmation():
    """This is so in the simulator, with the list in the configuration, and with pushed lists."""
    harness = BalancerHarness([make_endpoint(1)], SETTINGS_WITH_DRAIN_GRACE)
    harness.now += 1000.0
    assert isinstance(harness.submit_request()[0], StartAttempt)


@pytest.mark.parametrize("group", [None, 3])
@pytest.mark.parametrize("confirmed", [0, 5])
def test_requests_in_a_large_fleet_search_only_confirmed_servers(confirmed, group, monkeypatch):
    """Guards against a search of all servers for each request, which answers the clients of a wave too late."""
    settings = replace(SETTINGS_WITH_DRAIN_GRACE, balancer_count=200, session_groups=True)
    harness = BalancerHarness([make_endpoint(number) for number in range(LARGE_FLEET)], settings)
    harness.balancer.handle(harness.now, EndpointListConfirmed())
    harness.now += 7.0
    accepting = {harness.place().server for _ in range(confirmed)}
    harness.now += 1.0
    examined = record_calls(monkeypatch, EndpointConfirmation, "is_confirmed")
    for _ in range(20):
        examined.clear()
        (action,) = harness.submit_request(session_group=group)
        assert len(examined) <= MAX_SERVERS_PER_SEARCH
        if confirmed:
            assert isinstance(action, StartAttempt) and action.server in accepting
        else:
            assert isinstance(action, Reject) and action.reason is RejectReason.ENDPOINTS_UNCONFIRMED


@pytest.mark.parametrize("group", [None, 3])
def test_confirmed_servers_are_used_in_the_order_of_the_rotation_and_left_when_they_drain(group):
    settings = replace(SETTINGS_WITH_DRAIN_GRACE, balancer_count=200, session_groups=True)
    harness = BalancerHarness([make_endpoint(number) for number in range(30)], settings)
    harness.balancer.handle(harness.now, EndpointListConfirmed())
    harness.now += 7.0
    accepting = {harness.place().server for _ in range(4)}
    harness.now += 1.0
    seen = set()
    for _ in range(4):
        (attempt,) = harness.submit_request(session_group=group)
        assert attempt.server in accepting - seen
        harness.withdraw_server(attempt.server, ServerState.DRAINING)
        seen.add(attempt.server)
    (action,) = harness.submit_request(session_group=group)
    assert isinstance(action, Reject) and action.reason is RejectReason.ENDPOINTS_UNCONFIRMED


def test_attempt_may_not_start_after_the_confirmation_has_expired_but_an_adoption_may():
    """An adoption may start until the server drains or leaves: no other server can take the connection."""
    clock = SimpleNamespace(now=100.0)
    services = SimpleNamespace(timers_changed=lambda: None, check_health=lambda server: None)
    handler = SimpleNamespace(handle_action=lambda action: None, client_is_connected=lambda: True)
    driver = Driver(SETTINGS_WITH_DRAIN_GRACE, 1, services, lambda: clock.now)
    driver.start((Endpoint(1), Endpoint(2)))
    driver.endpoint_list_confirmed()
    clock.now += CONFIRMATION_LIFETIME_SECONDS - 0.1
    driver.submit(handler, Request("a", 0, 3.0))
    assert driver.may_start_attempt("a") and driver.may_start_adoption(handler, 1)
    clock.now += 0.2  # the connection was established late
    assert not driver.may_start_attempt("a")
    assert driver.may_start_adoption(handler, 1) and driver.may_start_adoption(handler, 2)
    changes = Endpoint(1, state=ServerState.DRAINING), Endpoint(2, state=ServerState.GONE)
    driver.update_endpoints(EndpointUpdateScope.INCREMENTAL, changes)
    assert not driver.may_start_adoption(handler, 1) and not driver.may_start_adoption(handler, 2)


def test_other_tasks_run_after_a_few_hundred_of_the_values_that_have_arrived():
    """Guards against handling all that one read brings, thousands of heartbeats, before any client is served."""
    heartbeats = b"2\r\n\r\n\r\n" * 20_000
    handled, before_pass, most_at_once = [0], [0], [0]

    async def serve(stream):
        await stream.receive_some()  # the request; unread, it would turn the end of the connection into a reset
        await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + heartbeats + b"0\r\n\r\n")

    class PassCounter(trio.abc.Instrument):
        def before_io_wait(self, timeout):  # once for each pass of the event loop, after all tasks that were ready
            most_at_once[0] = max(most_at_once[0], handled[0] - before_pass[0])
            before_pass[0] = handled[0]

    def count(value):
        handled[0] += 1

    async def main():
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            call = WatchCall("/discovery/hosts?watch=1&from=0", 0)
            await call.read(listener.socket.getsockname(), is_local_agent=True, on_value=count)
            nursery.cancel_scope.cancel()

    trio.run(main, instruments=[PassCounter()])
    assert handled[0] == 20_000 and most_at_once[0] <= 1000
