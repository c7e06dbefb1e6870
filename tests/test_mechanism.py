"""The mechanism of the design page, against figures worked out by hand."""

import pytest
from helpers import Driver, entry

from aspensaddle.core.actions import StartAttempt
from aspensaddle.core.attempt_window import WINDOW_SLOTS
from aspensaddle.core.passive_measurement import CUT_FRACTION
from aspensaddle.core.events import EndpointUpdateScope, Outcome, ServerState


def ratios(d: Driver) -> dict[int, float]:
    return {s.id: s.ratio + d.b.rotation.raised for s in d.b.servers.values() if s.is_ready}


def fail_on(d: Driver, server: int, outcome: Outcome = Outcome.REJECTED) -> None:
    """One send to a server that does not accept it."""
    d.b.passive_measurement.count(d.b.servers[server], accepted=False)


def accept_on(d: Driver, server: int, times: int = 1) -> None:
    for _ in range(times):
        d.b.passive_measurement.count(d.b.servers[server], accepted=True)


def test_ratios_start_equal_and_sum_to_one():
    assert ratios(Driver(4)) == {n: 0.25 for n in (1, 2, 3, 4)}


def test_worst_loses_a_tenth_and_the_rest_share_it():
    d = Driver(5)
    accept_on(d, 1, 4)
    accept_on(d, 2, 3)
    fail_on(d, 1)  # R = 1/4
    fail_on(d, 2)  # R = 1/3: the worst
    d.tick()
    r = ratios(d)
    assert r[2] == pytest.approx(0.2 * (1 - CUT_FRACTION))
    assert r[1] == r[3] == pytest.approx(0.2 + 0.02 / 4)
    assert sum(r.values()) == pytest.approx(1.0)


def test_sends_without_any_accept_rank_worst():
    d = Driver(3)
    accept_on(d, 1)
    for _ in range(9):
        fail_on(d, 1)  # R = 9
    fail_on(d, 2)  # R without bound
    d.tick()
    assert ratios(d)[2] < ratios(d)[1]


def test_no_step_while_every_r_is_zero():
    d = Driver(3)
    accept_on(d, 1, 5)
    d.tick()
    assert ratios(d) == {n: pytest.approx(1 / 3) for n in (1, 2, 3)}


def test_a_failure_leaves_the_window_after_its_slots():
    d = Driver(2)
    fail_on(d, 1)
    for _ in range(WINDOW_SLOTS):
        d.tick()
    assert d.b.servers[1].window.sends == 0
    after = ratios(d)
    d.tick()
    assert ratios(d) == after
    assert after[1] == pytest.approx(0.5 * (1 - CUT_FRACTION) ** WINDOW_SLOTS)


def test_joining_servers_enter_at_the_mean_and_leaving_ones_rescale():
    d = Driver(2)
    d.update_endpoints(entry(3), entry(4))
    assert ratios(d) == {n: pytest.approx(0.25) for n in (1, 2, 3, 4)}
    d.gone(4)
    d.update_endpoints(entry(3, state=ServerState.DRAINING))
    assert ratios(d) == {1: pytest.approx(0.5), 2: pytest.approx(0.5)}


def test_rotation_shares_follow_the_ratios():
    d = Driver(2)
    d.b.servers[1].ratio, d.b.servers[2].ratio = 0.75, 0.25
    d.lay_out()
    sent = [d.place().server for _ in range(40)]
    assert sent.count(1) in (29, 30, 31)
    # smooth: never more than four of the heavy one in a row
    assert "11111" not in "".join(map(str, sent))


def test_rotation_begins_at_a_random_server():
    firsts = set()
    for seed in range(20):
        (send,) = Driver(4, seed=seed).ask()
        assert isinstance(send, StartAttempt)
        firsts.add(send.server)
    assert firsts == {1, 2, 3, 4}


def test_what_ends_is_credited():
    d = Driver(2)
    sends = [d.place() for _ in range(10)]
    for s in sends:
        if s.server == 1:
            d.end(s, Outcome.OK, finished=True)
    assert [d.place().server for _ in range(5)] == [1] * 5


def test_rotation_counts_load_not_connections():
    d = Driver(2)
    heavy = d.place(load_hint=9.0)
    light = [d.place(load_hint=1.0).server for _ in range(8)]
    assert heavy.server not in light


def test_listed_weights_scale_the_shares():
    d = Driver([entry(1, weight=3.0), entry(2, weight=1.0)])
    sent = [d.place().server for _ in range(40)]
    assert sent.count(1) in (29, 30, 31)


def test_full_list_removes_what_it_does_not_name():
    d = Driver(3)
    d.update_endpoints(entry(1), entry(2), scope=EndpointUpdateScope.COMPLETE)
    assert {d.place().server for _ in range(6)} == {1, 2}
