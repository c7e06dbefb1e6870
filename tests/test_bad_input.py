"""Odd lists, as discovery writes them, and odd settings: what is done with them, and that every request gets one end."""

from dataclasses import replace
from math import sqrt
from random import Random

import pytest
from helpers import CLASS, SETTINGS, Driver
from test_slow_start_fleet import LOAD, RULES, WEIGHT, budget

from aspensaddle.core.actions import Fail, Reject, StartAttempt
from aspensaddle.core.events import ConnectionLoadReported, Outcome, ServerLatencyReported
from aspensaddle.core.settings import DeduplicationScope, Idempotency
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import parse_endpoint_list
from aspensaddle.support.json_fields import DecodeError

NOW, SIZES = 1.79e9, (1, 230, 1024)


def target(n, started=0.0, **more):
    return {
        "uid": f"s-{n}",
        "endpoint": f"127.0.{n // 250}.{n % 250 + 1}:80",
        "state": "active",
        "capacity_hint": WEIGHT,
        "boot_ms": int(started * 1000),
        **more,
    }


class Process(Driver):  # by Unix time, as in the daemon
    def __init__(self, targets, balancers=1, seed=1, now=NOW, rules=RULES, **settings):
        self.fleet, self.skew = EndpointRegistry(()), now - NOW
        super().__init__([], replace(SETTINGS, rules=rules, balancer_count=balancers, **settings), seed, now)
        self.tell(*targets, full=True)

    def tell(self, *targets, full=False):
        update = parse_endpoint_list({"rev": 1, "all": full, "targets": list(targets)})
        self.update_endpoints(*self.fleet.apply(update), scope=update.scope)

    def ends(self, draw=None, **more):
        """Ask once, and let each attempt stand, or end as drawn: the one final action."""
        (action,) = self.ask(load_hint=LOAD, **more)
        while isinstance(action, StartAttempt):
            assert self.b.servers[action.server].ready and action.server in self.fleet.addresses
            if (outcome := draw.choice(list(Outcome)) if draw else Outcome.OK) is Outcome.OK:
                self.stand(action)
                return action
            (action,) = self.end(action, outcome)
        assert isinstance(action, Reject | Fail) and action.request_id not in self.b.requests
        return action


def lock_step(processes, starts, asked, restarts=False):
    """Eight seconds of all of them: how many were turned away, how much was sent to the runners of `starts` (when each
    started), and which of these were sent more than the letter's law of chance lets pass."""
    draw, turned, sent = Random(1), 0, {uid: [] for uid in starts}
    for step, now in ((step, NOW + step / 10) for step in range(80)):
        starts = dict.fromkeys(starts, now) if restarts and not step % 10 else starts
        for p in processes:
            p.now = now + p.skew
            if not step % 10:
                p.tick(0.0)
                p.tell(*(target(int(uid[2:]), now) for uid in starts if restarts))
        for p in draw.choices(processes, k=asked // 10):
            if not isinstance(action := p.ends(), StartAttempt):
                turned += 1
            elif (uid := p.fleet.uid(action.server)) in sent:
                sent[uid].append((now, budget(RULES, now - starts[uid])))
    fell = [
        uid
        for uid, there in sent.items()
        for first, n in there
        if sum(first <= at < first + RULES.overload_window for at, _ in there) > n + 2 * sqrt(n) + 2
    ]
    return turned, sum(map(len, sent.values())), fell


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("start", [0.0, -5.0, 1.0, NOW - 1e8])
def test_runners_that_all_started_long_ago_or_at_no_time_are_warm_and_nobody_is_turned_away(start, count):
    for seed, group in enumerate((None, None, 1, 2)):  # from the first request of a process on
        p = Process([target(n, start) for n in range(5)], count, seed, session_groups=True)
        assert [type(p.ends(session_group=group)) for _ in range(20)] == [StartAttempt] * 20


@pytest.mark.parametrize("start", [0.0, 60.0, 1e6])
@pytest.mark.parametrize("count", [1, 3, 40])
def test_runners_that_all_start_now_or_in_the_future_are_cold_and_filled_within_the_bound(start, count):
    """Until it is past, a start in the future is one now. Who does not fit is refused."""
    some = [target(n, NOW + start) for n in range(12)]
    turned, sent, fell = lock_step([Process(some, count, n) for n in range(count)], {t["uid"]: NOW for t in some}, 60)
    assert turned > 0 and sent >= 12 and not fell


def test_a_clock_that_is_a_minute_off_takes_a_start_for_as_much_later_or_earlier():
    """One clock is read by all machines (PROTOCOL), so nothing corrects for it: behind sends less, ahead more."""
    for skew, refuses in ((-60.0, True), (60.0, False)):
        p = Process([target(n, NOW) for n in range(3)], 40, now=NOW + skew)
        assert any(isinstance(p.ends(), Reject) for _ in range(40)) is refuses
    some = [target(0, NOW), *(target(n) for n in range(1, 9))]
    turned, sent, fell = lock_step([Process(some, 20, n, NOW - 60 * (n % 2)) for n in range(20)], {"s-0": NOW}, 80)
    assert not turned and sent > 0 and not fell


@pytest.mark.parametrize("count", SIZES)
def test_a_list_that_grows_from_3_to_900_in_a_second_and_shrinks_to_one_turns_nobody_away(count):
    p, new = (
        Process([target(n) for n in range(3)], count, session_groups=True),
        [target(n, NOW) for n in range(3, 900)],
    )
    for step in range(10):
        p.tell(*new[step * 90 : (step + 1) * 90])
        p.now += 0.1
        assert isinstance(p.ends(), StartAttempt)  # old ones stand there
    assert len(p.b.servers) == len(p.fleet.addresses) == 900 and isinstance(p.ends(session_group=1), StartAttempt)
    p.tell(target(1), full=True)
    assert {p.fleet.uid(p.ends().server) for _ in range(20)} == {"s-1"} and len(p.fleet.addresses) == 1


@pytest.mark.parametrize("first", ["active", "leaving", "left"])
@pytest.mark.parametrize("last", ["active", "leaving", "left"])
def test_of_a_runner_that_a_list_names_twice_the_last_entry_holds(first, last):
    p = Process([target(0), target(0, state=first, endpoint="127.0.9.9:80"), target(0, state=last)])
    assert isinstance(p.ends(), StartAttempt if last == "active" else Reject)
    listed = {} if last == "left" else {p.fleet.find("s-0"): ("127.0.0.1", 80)}
    assert p.fleet.addresses == listed and len(p.b.servers) == len(listed) and None not in listed
    p.tell(target(1), full=True)
    assert list(p.fleet.addresses) == [p.fleet.find("s-1")]  # what a list no longer names is forgotten


@pytest.mark.parametrize(("weight", "least", "most"), [(None, 12, 18), (0, 0, 0), (1e-9, 0, 1), (999999999, 51, 60)])
def test_a_missing_weight_is_1_one_of_0_gets_nothing_and_any_other_its_part(weight, least, most):
    p = Process([target(0, capacity_hint=weight), *(target(n, capacity_hint=1.0) for n in range(1, 4))], 230)
    assert least <= [p.fleet.uid(p.ends().server) for _ in range(60)].count("s-0") <= most


@pytest.mark.parametrize("weight", [-1, 1e9, "2", True, [1]])
def test_a_weight_that_is_none_is_refused_by_its_name_with_its_list(weight):
    with pytest.raises(DecodeError, match=r"^targets\[1\]\.capacity_hint must be a number"):
        Process([target(0), target(1, capacity_hint=weight)])


@pytest.mark.parametrize(("others", "count"), [(3, 1), (3, 40), (0, 1), (0, 40)])
def test_a_runner_that_restarts_again_every_second_never_gets_more_than_a_cold_one(others, count):
    some = [target(n) for n in range(1 + others)]
    turned, sent, fell = lock_step([Process(some, count, n) for n in range(count)], {"s-0": NOW}, 40, restarts=True)
    assert not fell and (turned == 0 if others else sent > 0)


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize(("cost", "slow_start_duration"), [(0.0, 0.0), (3.0, 0.0), (0.0, 60.0), (3.0, 60.0)])
@pytest.mark.parametrize(
    "classes",
    [
        (CLASS,),
        tuple(replace(CLASS, idempotency=r, deduplication_scope=DeduplicationScope.CELL) for r in Idempotency),
    ],
)
def test_settings_at_their_ends_place_the_first_request_and_end_every_one_once(
    count, cost, slow_start_duration, classes
):
    """Warm-up by requests or by time: the settings tell seconds."""
    rules, some = (
        replace(RULES, slow_start_duration=slow_start_duration, initial_capacity_fraction=0.0),
        [target(0), *(target(n, NOW) for n in (1, 2))],
    )
    for seed in range(4):
        p, draw = (
            Process(some, count, seed, rules=rules, classes=classes, session_group_cost=cost, session_groups=True),
            Random(seed),
        )
        assert isinstance(
            (ends := [p.ends(session_group=seed)])[0], StartAttempt
        )  # a warm runner among cold ones is enough
        for n in range(40):
            ends.append(p.ends(draw, cls=n % len(classes), session_group=n % 5))
            p.tick(0.1)
        assert len(p.b.requests) == sum(isinstance(end, StartAttempt) for end in ends) > 1


@pytest.mark.parametrize("count", [1, 3, 40, 230])
def test_a_fleet_that_is_all_cold_and_has_told_no_load_gets_something_within_the_bound(count):
    """Nothing is sent, so no load is heard of, so nothing is sent."""
    draw, some = Random(1), [target(n, NOW) for n in range(12)]
    processes, sent = [Process(some, count, n) for n in range(count)], []
    for step in range(80):
        for p in processes:
            p.now = NOW + step / 10
            if not step % 10:
                p.tick(0.0)
        for p in draw.choices(processes, k=6):
            (action,) = p.ask()
            if isinstance(action, StartAttempt):
                p.stand(action)
                p.b.handle(p.now, ConnectionLoadReported(action.request_id, action.server, LOAD))
                sent.append((p.now, action.server))
    assert sent
    for first, server in sent:
        n = budget(RULES, first - NOW)
        assert (
            sum(s == server and first <= at < first + RULES.overload_window for at, s in sent) <= n + 2 * sqrt(n) + 2
        )


@pytest.mark.parametrize("count", [1, 3, 40, 230])
@pytest.mark.parametrize("others", [0, 1])
def test_a_slow_runner_does_not_have_a_balancer_of_few_connections_turn_away_all_for_4_s(count, others):
    """On calm and roll: 15 or more, for 4 s on end, with no attempt in between."""
    p = Process([target(n) for n in range(60)], count)
    action = [p.ends() for _ in range(1 + others)][0]
    p.b.handle(p.now, ServerLatencyReported(action.request_id, action.server, 0.5))
    p.end(action, Outcome.CANCELLED, finished=True)  # moved
    turned = 0  # on end
    for step in range(400):
        if not step % 10:
            p.tick(0.0)
        p.now += 0.1
        end = p.ends()
        turned = 0 if isinstance(end, StartAttempt) else turned + 1
        assert turned < 40
        if isinstance(end, StartAttempt):
            p.end(end, finished=True)
