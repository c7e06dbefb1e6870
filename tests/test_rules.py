"""The four rules, each by itself and over random orders of events."""

from dataclasses import replace

import hypothesis
import pytest
from helpers import CLASS, SETTINGS, Driver, entry
from hypothesis import given
from hypothesis import strategies as st

from aspensaddle.core.actions import Fail, Reject, RejectReason, StartAttempt
from aspensaddle.core.events import (
    AttemptEnded,
    ConnectionEstablished,
    EndpointsChanged,
    EndpointUpdateScope,
    Outcome,
    ServerState,
    TimerFired,
)
from aspensaddle.core.settings import DeduplicationScope, Idempotency, Limits, Settings

SAFE, KEYED, UNSAFE = 0, 1, 2
GONE = ServerState.GONE


# ---------------------------------------------------------------- one final answer in time


@pytest.mark.parametrize("servers", [0, [entry(1, state=ServerState.DRAINING)], [entry(1, state=GONE)]])
def test_without_a_server_a_request_is_refused_at_once(servers):
    (answer,) = Driver(servers).ask()
    assert isinstance(answer, Reject) and answer.reason is RejectReason.NO_AVAILABLE_SERVER


def test_an_attempt_never_outlives_the_client():
    d = Driver(1)
    (send,) = d.ask(left=1.2)
    assert send.timeout == pytest.approx(1.2)


def test_after_the_deadline_an_outcome_is_answered_not_retried():
    d = Driver(3)
    (send,) = d.ask(left=1.0)
    d.now += 1.0
    (answer,) = d.end(send, Outcome.TIMED_OUT)
    assert isinstance(answer, (Fail, Reject))
    assert not d.b.requests


def test_one_server_that_turns_all_away_ends_in_a_refusal():
    d = Driver(1)
    (action,) = d.ask()
    sends = 1
    while isinstance(action, StartAttempt):
        (action,) = d.end(action, Outcome.REJECTED)
        sends += 1
        assert sends < 20
    assert isinstance(action, Reject)


def test_more_attempts_than_allowed_are_never_made():
    d = Driver(8, settings=replace(SETTINGS, limits=Limits(max_attempts=3)))
    (action,) = d.ask()
    for _ in range(2):
        (action,) = d.end(action, Outcome.UNREACHABLE)
        assert isinstance(action, StartAttempt)
    (action,) = d.end(action, Outcome.UNREACHABLE)
    assert isinstance(action, Reject)


def test_nothing_more_goes_out_for_a_connection_that_stood():
    d = Driver(3)
    send = d.place()
    assert d.end(send, Outcome.CONNECTION_LOST, finished=True) == []
    assert not d.b.requests


# ---------------------------------------------------------------- no double effect


def two_attempts(d: Driver, cls: int, outcome: Outcome):
    (send,) = d.ask(cls=cls)
    (answer,) = d.end(send, outcome)
    return send, answer


@pytest.mark.parametrize("outcome", [o for o in Outcome if o is not Outcome.OK])
def test_unsafe_goes_on_only_after_proof_that_nothing_ran(outcome):
    _, answer = two_attempts(Driver(4), UNSAFE, outcome)
    assert isinstance(answer, StartAttempt if outcome.known_not_executed else Fail)


@pytest.mark.parametrize("group", list(DeduplicationScope))
def test_keyed_stays_in_the_group_of_the_server_that_may_have_run_it(group):
    classes = (CLASS, replace(CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=group))
    servers = [entry(n, zone=n % 2, cell=n % 4) for n in range(8)]
    for seed in range(10):
        d = Driver(servers, settings=replace(SETTINGS, classes=classes, zone_count=2), seed=seed)
        send, again = two_attempts(d, KEYED, Outcome.TIMED_OUT)
        assert isinstance(again, StartAttempt)
        if group is DeduplicationScope.ZONE:
            assert again.server % 2 == send.server % 2
        if group is DeduplicationScope.CELL:
            assert again.server % 4 == send.server % 4


def test_keyed_is_not_sent_again_once_its_window_has_passed():
    classes = (
        CLASS,
        replace(
            CLASS,
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            deduplication_scope=DeduplicationScope.ZONE,
            deduplication_window=0.5,
        ),
    )
    d = Driver(4, settings=replace(SETTINGS, classes=classes))
    (send,) = d.ask(cls=KEYED)
    d.now += 0.5
    (answer,) = d.end(send, Outcome.CONNECTION_LOST)
    assert isinstance(answer, Fail)


def test_keyed_that_may_have_run_is_refused_only_where_all_drop_repeats():
    for group, final in (
        (DeduplicationScope.ALL, Reject),
        (DeduplicationScope.ZONE, Fail),
        (DeduplicationScope.CELL, Fail),
    ):
        classes = (CLASS, replace(CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=group))
        d = Driver(1, settings=replace(SETTINGS, classes=classes, limits=Limits(max_attempts=1)))
        _, answer = two_attempts(d, KEYED, Outcome.ERROR)
        assert isinstance(answer, final)


# ---------------------------------------------------------------- drains


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_told_of_a_drain_no_send_follows(state):
    d = Driver(3)
    d.gone(2, state)
    assert all(d.place(session_group=g).server != 2 for g in range(30))


def test_a_server_that_comes_back_is_used_again():
    d = Driver(2)
    d.gone(2)
    d.update_endpoints(entry(2))
    assert {d.place().server for _ in range(6)} == {1, 2}


# ---------------------------------------------------------------- cold servers


def test_a_fleet_of_balancers_greets_a_cold_server_slowly():
    """Guards against the rush at a server that starts empty: all balancers would give it their next turns."""
    balancers, placed_before = 40, 20
    settings = replace(SETTINGS, balancer_count=balancers)
    early = 0
    for seed in range(balancers):
        d = Driver(10, settings=settings, seed=seed)
        for _ in range(placed_before):
            d.place()
        d.tick()
        d.update_endpoints(entry(11, started_at=d.now))
        early += sum(d.place().server == 11 for _ in range(10))
    # A warm server carries 2 connections of each balancer, 80 in all: what fills it over the 20 s of its
    # warm-up is 4 a second, and it can do a fifth of that at its start.
    assert early <= 0.2 * 4 * SETTINGS.rules.overload_multiple * SETTINGS.rules.overload_window


def test_a_cold_server_gets_its_part_as_it_warms():
    d = Driver(4)
    for _ in range(10):  # 4 a second; 40 in the first one would be taken for 40 a second
        for _ in range(4):
            d.place()
        d.tick()
    d.update_endpoints(entry(5, started_at=d.now))
    got = 0
    for _ in range(20):
        d.tick()
        got += d.place().server == 5
    assert 3 <= got <= 10


def test_only_cold_servers_left_refuses_the_rush():
    d = Driver([entry(1, started_at=1000.0)], settings=replace(SETTINGS, balancer_count=10))
    assert sum(isinstance(d.ask()[0], StartAttempt) for _ in range(20)) <= 1


# ---------------------------------------------------------------- random orders of events

steps = st.lists(
    st.tuples(st.sampled_from(["ask", "stand", "end", "state", "time", "tick", "full"]), st.integers(0, 2**16)),
    max_size=60,
)


def play(order, group: DeduplicationScope, seed: int, zones: int = 2):
    """Plays random events against a balancer and checks the rules that hold at any time."""
    classes = tuple(
        replace(CLASS, idempotency=repeat, deduplication_scope=group, deduplication_window=1.5)
        for repeat in Idempotency
    )
    limits = Limits(max_attempts=4)
    settings = Settings(classes, zone_count=zones, balancer_count=3, rules=SETTINGS.rules, limits=limits)
    servers = [entry(n, zone=n % zones, cell=n) for n in range(1, 7)]
    d = Driver(servers, settings=settings, seed=seed)
    state = {e.server: e.state for e in servers}
    out: dict[str, StartAttempt] = {}  # attempts that are out
    ran: dict[str, tuple[int, float]] = {}
    asked: dict[str, tuple[int, float]] = {}
    sent_at: dict[str, float] = {}
    attempts: dict[str, int] = {}
    answered: set[str] = set()
    standing: set[str] = set()
    log = []

    def carry_out(actions):
        for a in actions:
            log.append(a)
            if isinstance(a, StartAttempt):
                cls, deadline = asked[a.request_id]
                assert a.request_id not in answered and a.request_id not in out, "one attempt at a time"
                assert state[a.server] is ServerState.READY
                assert 0 < a.timeout <= deadline - d.now + 1e-9
                attempts[a.request_id] = attempts.get(a.request_id, 0) + 1
                assert attempts[a.request_id] <= 4
                if a.request_id in ran:
                    where, at = ran[a.request_id]
                    assert cls != UNSAFE
                    if cls == KEYED:
                        assert d.now - at < 1.5
                        same_zone = group is DeduplicationScope.ZONE and where % zones == a.server % zones
                        assert group is DeduplicationScope.ALL or same_zone or where == a.server
                out[a.request_id], sent_at[a.request_id] = a, d.now
            elif isinstance(a, (Reject, Fail)):
                assert a.request_id not in answered and a.request_id not in out
                if isinstance(a, Reject) and a.request_id in ran:
                    assert (
                        asked[a.request_id][0] == SAFE
                        or asked[a.request_id][0] == KEYED
                        and group is DeduplicationScope.ALL
                    )
                answered.add(a.request_id)

    def end(id: str, outcome: Outcome) -> None:
        send = out.pop(id)
        finished = outcome is Outcome.OK or id in standing
        if not outcome.known_not_executed:
            ran.setdefault(id, (send.server, sent_at[id]))
        if finished:
            answered.add(id)
        carry_out(d.b.handle(d.now, AttemptEnded(id, attempts[id] - 1, send.server, outcome, 0.01, finished)))

    for what, n in order:
        pick = list(out)[n % len(out)] if out else None
        if what == "ask":
            asked[f"r{d.count + 1}"] = (n % 3, d.now + 2.0)
            carry_out(d.ask(cls=n % 3, left=2.0, session_group=n % 5 or None))
        elif what == "stand" and pick and pick not in standing:
            standing.add(pick)
            send = out[pick]
            carry_out(d.b.handle(d.now, ConnectionEstablished(pick, attempts[pick] - 1, send.server, 0.01)))
        elif what == "end" and pick:
            end(pick, list(Outcome)[n % 8])
        elif what == "state":
            server = 1 + n % 6
            state[server] = list(ServerState)[n % 3]
            carry_out(d.update_endpoints(entry(server, zone=server % zones, cell=server, state=state[server])))
        elif what == "full":
            named = [e for e in servers if n >> e.server & 1]
            state = {e.server: ServerState.READY if e in named else ServerState.GONE for e in servers}
            carry_out(d.b.handle(d.now, EndpointsChanged(EndpointUpdateScope.COMPLETE, tuple(named))))
        elif what == "time":
            d.now += n % 1000 / 1000
            for id in [i for i in out if i not in standing and asked[i][1] <= d.now]:
                end(id, Outcome.TIMED_OUT)
        elif what == "tick":
            carry_out(d.b.handle(d.now, TimerFired("tick")))
    for id in list(out):
        if id not in standing:
            d.now = max(d.now, asked[id][1])
            end(id, Outcome.TIMED_OUT)
    assert set(asked) == answered | standing, "each request has its answer, or stands"
    for s in d.b.servers.values():
        assert s.load == pytest.approx(sum(1 for i in out if out[i].server == s.id), abs=1e-6)
    return log


# The seeds that these two had before the fields were renamed: a derandomized test draws by the hash of its source.
@hypothesis.seed(0x2B2A76F81D7105BE74DE267EE82EB17F1970D6ACA9F916046F65294BF1BD4215AC3890B6CE302DA6B501897AA1A8ACDE)
@given(steps, st.sampled_from(list(DeduplicationScope)), st.integers(0, 100))
def test_rules_hold_in_any_order_of_events(order, group, balancer_seed):
    play(order, group, balancer_seed)


@hypothesis.seed(0x7304F7A76E683A06040679F56923BD096F946A8861E1B5F5FF8659C44ABEDB687FEE9EF53E99FBEE19D6540733541778)
@given(steps, st.integers(0, 5))
def test_same_events_give_the_same_actions(order, balancer_seed):
    first = play(order, DeduplicationScope.ALL, balancer_seed)
    assert first == play(order, DeduplicationScope.ALL, balancer_seed)


def test_load_of_a_connection_counts_when_its_server_returns_to_the_list():
    play([("ask", 0), ("stand", 0), ("full", 0), ("full", 4)], DeduplicationScope.ALL, 0)
