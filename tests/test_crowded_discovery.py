"""A discovery service with more callers than it can serve at once, and what a balancer sends while it cannot ask."""

import math
import os
from dataclasses import replace
from types import SimpleNamespace

import pytest
import trio
import trio.testing
from helpers import SETTINGS, BalancerHarness, make_endpoint
from test_discovery_freshness import HEAD, Told, chunk, listed

from aspensaddle.core.actions import Reject, RejectReason, StartAttempt
from aspensaddle.core.driver import Driver
from aspensaddle.core.events import Endpoint, EndpointListConfirmed, Outcome, Request
from aspensaddle.discovery import watch_call, watch_policy
from aspensaddle.discovery.watcher import EndpointWatcher
from aspensaddle.support.counters import Counters

REJECTION = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
LONGEST_WAIT_SECONDS = 3.0  # in the service's queue
ROUND_TRIP_SECONDS = 0.02
CHANGE_AT_SECONDS = 1.67


class CallStream:
    """The client's end of a call, in memory."""

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


class InTurnDiscovery:
    """Serves one call after another; a call that would wait too long is rejected at once. A turn that was taken is
    used up, also where the caller has gone meanwhile."""

    def __init__(self, call_seconds):
        self.call_seconds, self.free_at, self.revision = call_seconds, 0.0, 1
        self.calls, self.rejected, self.changed = 0, 0, trio.Event()
        self.empty_pipe, self._other_end = os.pipe()
        os.set_blocking(self.empty_pipe, False)

    async def serve(self, stream):
        self.calls += 1
        now = trio.current_time()
        turn = max(now, self.free_at)
        if turn - now > LONGEST_WAIT_SECONDS:
            self.rejected += 1
            await trio.sleep(ROUND_TRIP_SECONDS)
            stream.reply(REJECTION)
            return
        self.free_at = turn + self.call_seconds
        await trio.sleep_until(self.free_at + ROUND_TRIP_SECONDS)
        alive = stream.reply(HEAD + chunk(listed(self.revision, "s-0")))
        while alive:
            changed = self.changed
            with trio.move_on_after(watch_policy.HEARTBEAT_SECONDS) as heartbeat:
                await changed.wait()
            alive = stream.reply(chunk(b"\r\n" if heartbeat.cancelled_caught else listed(self.revision, "s-0")))

    def change(self):
        self.revision += 1
        self.changed.set()
        self.changed = trio.Event()

    def close(self):
        os.close(self.empty_pipe)
        os.close(self._other_end)


class Watch(Told):
    """Notes when the change was learned, and each confirmation."""

    def __init__(self):
        super().__init__()
        self.learned_at, self.confirmations = math.inf, 0

    def update_endpoints(self, scope, entries=()):
        if entries and entries[0] >= 2:
            self.learned_at = min(self.learned_at, trio.current_time())

    def endpoint_list_confirmed(self):
        self.confirmations += 1


def watch_together(count, call_seconds, seconds, monkeypatch):
    """Start so many watchers together; what each saw, and the service."""
    monkeypatch.setattr(watch_call, "_connect", None)
    watches = [Watch() for _ in range(count)]
    log = SimpleNamespace(event=lambda name, **fields: None)

    async def main():
        start = trio.current_time()
        service = InTurnDiscovery(call_seconds)
        service.free_at = start

        async def connect(address):
            await trio.sleep(ROUND_TRIP_SECONDS)
            return CallStream(service)

        monkeypatch.setattr(watch_call, "_connect", connect)
        async with trio.open_nursery() as service.nursery:
            for seed, watch in enumerate(watches):
                watcher = EndpointWatcher(("127.0.0.1", 9), watch, watch, Counters(), log, seed, balancer_count=count)
                service.nursery.start_soon(watcher.start)
            await trio.sleep(CHANGE_AT_SECONDS)
            service.change()
            await trio.sleep(seconds)
            service.nursery.cancel_scope.cancel()
        for watch in watches:
            watch.learned_at -= start
        service.close()
        return service

    return watches, trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(("count", "call_seconds"), [(1, 0.15), (6, 0.25), (32, 0.15), (200, 0.025)])
def test_all_balancers_that_start_together_learn_a_change_in_time(count, call_seconds, monkeypatch):
    """Guards against second calls beside those that wait their turn: they kept the queue full for half a minute."""
    watches, service = watch_together(count, call_seconds, 30.0, monkeypatch)
    late = sorted(watch.learned_at for watch in watches)
    assert late[-1] <= CHANGE_AT_SECONDS + watch_policy.MAX_STALENESS_SECONDS, late
    assert service.calls - service.rejected <= count + 1  # no turn is wasted, and a watch that stands makes no calls


def test_many_more_balancers_than_the_service_can_serve_in_time_are_served_in_the_end(monkeypatch):
    """No turn stands empty, and their retries stay within the limit for the whole fleet."""
    count, call_seconds = 200, 0.2
    watches, service = watch_together(count, call_seconds, 60.0, monkeypatch)
    assert max(watch.learned_at for watch in watches) <= count * call_seconds + 10.0
    assert service.rejected <= watch_policy.MAX_FLEET_RETRIES_PER_SECOND * count * call_seconds


@pytest.mark.parametrize(
    ("refuses_connections", "confirmed"), [(True, True), (False, False)], ids=["unreachable", "rejects"]
)
def test_a_service_that_cannot_be_reached_confirms_the_list_and_one_that_rejects_does_not(
    refuses_connections, confirmed, monkeypatch
):
    watch = Watch()
    counters, events = Counters(), []
    log = SimpleNamespace(event=lambda name, **fields: events.append(fields))

    async def connect(address):
        if refuses_connections:
            raise ConnectionRefusedError
        stream = CallStream(SimpleNamespace(nursery=nursery, serve=reject, empty_pipe=-1))
        return stream

    async def reject(stream):
        stream.reply(REJECTION)

    async def main():
        nonlocal nursery
        async with trio.open_nursery() as nursery:
            watcher = EndpointWatcher(("127.0.0.1", 9), watch, watch, counters, log, balancer_count=32)
            nursery.start_soon(watcher.start)
            await trio.sleep(20.0)
            nursery.cancel_scope.cancel()

    nursery = None
    monkeypatch.setattr(watch_call, "_connect", connect)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    reason = "unreachable" if refuses_connections else "rejected"
    assert (watch.confirmations > 5) == confirmed and (watch.confirmations == 1) == (not confirmed)
    assert {fields["reason"] for fields in events} == {reason}
    assert counters[f"discovery_calls_failed_{reason}"] == counters["discovery_calls_failed"] > 5


# ------------------------------------------------------------ what is sent meanwhile

GRACE = replace(SETTINGS, rules=replace(SETTINGS.rules, drain_grace=2.0))
CERTAIN_SECONDS = 7.5  # 6 s until a change counts as told, and its grace less the margin


def confirmed_harness(servers=3):
    harness = BalancerHarness([make_endpoint(n) for n in range(1, servers + 1)], GRACE)
    harness.balancer.handle(harness.now, EndpointListConfirmed())
    return harness


def test_a_list_that_cannot_be_refreshed_is_used_while_the_drain_rule_is_certain():
    """Guards against attempts at a server that drains and whose state could not be learned for more than 6 s."""
    harness = confirmed_harness()
    harness.now += CERTAIN_SECONDS - 0.01
    assert isinstance(harness.submit_request()[0], StartAttempt)
    harness.now += 0.02
    (answer,) = harness.submit_request()
    assert isinstance(answer, Reject) and answer.reason is RejectReason.ENDPOINTS_UNCONFIRMED
    harness.balancer.handle(harness.now, EndpointListConfirmed())
    assert isinstance(harness.submit_request()[0], StartAttempt)


def test_a_server_that_accepts_attempts_stays_in_use_without_the_list():
    """One that drains takes no new connections, so an acceptance tells that it did not."""
    harness = confirmed_harness()
    harness.now += 5.0
    accepted = harness.place().server
    harness.now += 5.0
    for _ in range(6):
        assert harness.place().server == accepted
        harness.now += 5.0
    harness.now += CERTAIN_SECONDS
    assert isinstance(harness.submit_request()[0], Reject)


def test_a_server_that_rejects_is_not_confirmed_by_it():
    harness = confirmed_harness(servers=1)
    harness.now += 5.0
    (send,) = harness.submit_request()
    harness.end(send, Outcome.REJECTED)
    harness.now += CERTAIN_SECONDS - 4.9
    assert isinstance(harness.submit_request()[0], Reject)


def test_without_a_watch_of_its_own_a_balancer_uses_the_list_that_it_is_given():
    """In the simulator, with a list of the configuration, and with pushed lists."""
    harness = BalancerHarness([make_endpoint(1)], GRACE)
    harness.now += 1000.0
    assert isinstance(harness.submit_request()[0], StartAttempt)


def test_the_last_check_before_the_first_byte_asks_for_the_confirmation_too():
    clock = SimpleNamespace(now=100.0)
    services = SimpleNamespace(timers_changed=lambda: None, check_health=lambda server: None)
    handler = SimpleNamespace(handle_action=lambda action: None, client_is_connected=lambda: True)
    driver = Driver(GRACE, 1, services, lambda: clock.now)
    driver.start((Endpoint(1),))
    driver.endpoint_list_confirmed()
    clock.now += CERTAIN_SECONDS - 0.1
    driver.submit(handler, Request("a", 0, 3.0))
    assert driver.may_start_attempt("a") and driver.may_start_adoption(handler, 1)
    clock.now += 0.2  # the connection came up late
    assert not driver.may_start_attempt("a") and not driver.may_start_adoption(handler, 1)
