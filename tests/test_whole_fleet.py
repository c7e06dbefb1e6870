"""The whole fleet: two hundred balancers in lock step that hold a few connections each, without sockets."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import hypothesis
import pytest
from helpers import SETTINGS, Driver, entry
from hypothesis import given
from hypothesis import strategies as st

from aspensaddle.core.actions import Action, Migrate, Reject, RejectReason, StartAttempt
from aspensaddle.core.events import ConnectionLoadReported, Outcome
from aspensaddle.core.settings import Settings
from aspensaddle.core.capacity_shortage import (
    FAIR_SHARE_FRACTION,
    MIN_LOAD_FRACTION_OF_SERVER,
    CapacityShortage,
    ServerCapacity,
)

BALANCERS, SERVERS, LOAD = 200, 60, 0.05
FLEET = replace(SETTINGS, balancer_count=BALANCERS, session_groups=True)


def test_groups_stand_on_few_servers_though_every_balancer_places_alone():
    """A server pays three mean loads for each group that it holds any of: where each of many balancers looks only
    at what it carries itself, nearly every connection pays."""
    draw, groups = Random(1), range(30)
    sizes = [1 / (g + 1) for g in groups]
    drivers = [Driver(SERVERS, FLEET, seed=n) for n in range(BALANCERS)]
    there = Counter[tuple[int, int]]()
    for _ in range(5):
        for d in drivers:
            group = draw.choices(groups, sizes)[0]
            there[group, d.place(load_hint=LOAD, session_group=group).server] += 1
    held = Counter[int]()
    for (_, server), n in there.items():
        held[server] += n
    assert len(there) <= 4 * SERVERS  # 478 where each scatters them
    assert max(held.values()) <= 5 * BALANCERS * 5 / SERVERS


def broken(d: Driver, times: int) -> None:
    """Connections that stood for long are cut off by their servers."""
    for _ in range(times):
        send = d.place(load_hint=LOAD)
        d.tick(0.1)
        d.b.requests[send.request_id].established_at -= 10
        d.end(send, Outcome.CONNECTION_LOST, finished=True)


@pytest.mark.parametrize(("count", "waits"), [(1, False), (2, False), (40, True), (BALANCERS, True)])
def test_clients_that_were_cut_off_wait_while_breaks_are_seen_and_only_they_and_no_longer(count, waits):
    """A server that has dropped all it held is held down by clients that come back at once, and no balancer of many
    can tell which server that is."""
    d = Driver(SERVERS, replace(SETTINGS, balancer_count=count))

    def refused(returning: bool) -> int:
        answers = [d.ask(load_hint=LOAD, reconnecting=returning)[0] for _ in range(100)]
        assert all(0 < a.retry_after <= SETTINGS.limits.max_retry_after for a in answers if isinstance(a, Reject))
        assert {a.reason for a in answers if isinstance(a, Reject)} <= {RejectReason.RETRY_STORM}
        return sum(isinstance(a, Reject) for a in answers)

    assert refused(True) == 0
    broken(d, 8)
    assert (refused(True) > 60) is waits and refused(False) == 0
    for _ in range(90):
        d.tick()
    assert refused(True) <= 10


def loaded(d: Driver, load: float) -> tuple[StartAttempt, list[Action]]:
    """A connection that tells its load when it is up; what is done then."""
    send = d.place()
    return send, d.b.handle(d.now, ConnectionLoadReported(send.request_id, send.server, load)) or []


@pytest.mark.parametrize(
    ("count", "cores", "breaks", "leaves"),
    [
        (1, 2.0, 3, False),
        (2, 2.0, 3, False),
        (BALANCERS, 2.0, 3, True),
        (BALANCERS, 40.0, 3, False),
        (BALANCERS, 2.0, 0, False),
    ],
)
def test_the_heaviest_leave_where_servers_drop_what_they_hold_and_all_ask_for_too_much(count, cores, breaks, leaves):
    """A twentieth of the connections may ask for most of the work, each worth no more than a light one."""
    d = Driver([entry(n, weight=cores) for n in range(SERVERS)], replace(SETTINGS, balancer_count=count))
    broken(d, breaks)
    light = [loaded(d, 0.02) for _ in range(4)]
    heavy, moves = loaded(d, 0.8)
    assert not any(m for _, m in light)
    assert [a.request_id for a in [*moves, *d.tick()] if isinstance(a, Migrate)] == (
        [heavy.request_id] if leaves else []
    )
    assert not [a for a in d.tick() if isinstance(a, Migrate)]  # once
    d.end(heavy, Outcome.CANCELLED, finished=True)
    again, moves = loaded(d, 0.9)
    assert [a.request_id for a in moves if isinstance(a, Migrate)] == ([again.request_id] if leaves else [])
    assert not any(isinstance(a, Migrate) for a in loaded(d, 0.01)[1])
    for send, _ in light:  # loads swing: one that grows heavy leaves too, and one that stays light does not
        d.b.handle(d.now, ConnectionLoadReported(send.request_id, send.server, 0.03))
    assert count <= 2 or not [a for a in d.tick() if isinstance(a, Migrate)]  # few even out what they see


CORES = st.floats(0, 100)


# The seed that this had before the fields were renamed.
@hypothesis.seed(0x0E0A90713AC8CC6B1406E9B9C757BC0FAF1DB04AA7C6B4B53B8612D9A1AF28561CB274164F2FC4C27741B7217CFB092A)
@given(
    st.lists(st.tuples(CORES, st.floats(0, 1)), max_size=30),
    st.integers(0, 10_000),
    st.floats(0, 1),
    st.floats(0, 99),
)
def test_what_may_stay_is_at_least_an_even_part_and_nothing_leaves_where_nothing_is_short(
    listed, stand, blind, breaks
):
    servers = [ServerCapacity(cores, cores * warm) for cores, warm in listed]
    short = CapacityShortage()
    short.update(servers, stand, blind, breaks)
    cores = sum(server.listed for server in servers)
    assert 0 <= short.missing <= blind
    assert short.max_connection_load >= max(
        FAIR_SHARE_FRACTION * cores / max(1, stand), MIN_LOAD_FRACTION_OF_SERVER * cores / max(1, len(servers))
    )
    tight, eased = CapacityShortage(), CapacityShortage()
    tight.update([ServerCapacity(server.listed, 0.0) for server in servers], stand, blind, breaks + 1)
    assert tight.missing >= short.missing and tight.max_connection_load <= short.max_connection_load
    eased.update([ServerCapacity(server.listed, server.listed) for server in servers], stand, blind, 0.0)
    assert eased.missing == 0 and eased.max_connection_load == float("inf")


OLD, SECONDS = 16, 10.0
STARTS = [7 * n / 24 for n in range(24)]  # six in ten servers are replaced within 7 s


def joining(count: int, settings: Settings, groups: int, asked: float) -> dict[int, list[float]]:
    """Six in ten servers start while each mean server is asked for `asked` connections a second, at some balancers
    several times the mean, of groups of sizes by Zipf: at which ages each new one was sent a connection."""
    draw, now, servers = Random(count), 1000.0, OLD + len(STARTS)
    entries = [entry(n, weight=2.0, started_at=now + start) for n, start in enumerate(STARTS)]
    entries += [entry(n, weight=2.0) for n in range(len(STARTS), servers)]
    drivers = [Driver([e for e in entries if not e.started_at], settings, seed=n) for n in range(count)]
    busy, sizes = [1 / (1 + n) ** 0.5 for n in range(count)], [1 / (1 + g) for g in range(groups)]
    sent: dict[int, list[float]] = {n: [] for n in range(len(STARTS))}
    for step in range(int(SECONDS / 0.5)):
        t = now + step / 2
        for d in drivers:
            if step % 2:
                d.tick(0.5)
            d.now = t
            d.update_endpoints(*(e for e in entries if t <= e.started_at + 2.0 < t + 0.5))  # the list is 2 s late
        for d in draw.choices(drivers, busy, k=int(asked * servers / 2)):
            (send,) = d.ask(load_hint=LOAD, session_group=draw.choices(range(groups), sizes)[0] if groups else None)
            if isinstance(send, StartAttempt):
                d.stand(send)
                if send.server in sent:
                    sent[send.server].append(t - entries[send.server].started_at)
    return sent


def can(settings: Settings, age: float, bears: float = 2.0) -> float:
    """The load a second by which a new server is filled within its warm-up, at worst."""
    rules = settings.rules
    warmth = rules.initial_capacity_fraction + (1 - rules.initial_capacity_fraction) * min(
        1.0, age / rules.slow_start_duration
    )
    return bears * warmth / rules.slow_start_duration


@pytest.mark.parametrize("slow_start_duration", [8.0, 60.0])
@pytest.mark.parametrize("groups", [0, 1, 38])
@pytest.mark.parametrize("count", [3, 40, 230])
def test_new_servers_are_sent_no_more_by_all_together_than_the_rule_lets_them(count, groups, slow_start_duration):
    """Also where more is asked for than in an ordinary second, by few groups, and mostly at some balancers."""
    rules = replace(SETTINGS.rules, slow_start_duration=slow_start_duration)
    settings = replace(SETTINGS, balancer_count=count, session_groups=groups > 0, rules=rules)
    sent = joining(count, settings, groups=groups, asked=3.0)
    window, chance = 2 * rules.overload_window, 6 * LOAD  # two windows of the rule, lest a few connections be all
    for some in sent.values():
        for first in some:
            load = LOAD * sum(first <= age < first + window for age in some)
            assert load - chance <= rules.overload_multiple * window * can(settings, first + window)


@pytest.mark.parametrize(("count", "groups"), [(3, 38), (40, 38), (230, 38), (230, 1)])
def test_new_servers_hold_a_part_of_what_comes_before_they_are_half_warm(count, groups):
    """A debt of each balancer lets one connection in minutes through where they are many."""
    settings = replace(SETTINGS, balancer_count=count, session_groups=True)
    sent = joining(count, settings, groups=groups, asked=0.8)
    even = 0.8 * LOAD * sum(SECONDS - start for start in STARTS)
    assert sum(LOAD * len(some) for some in sent.values()) >= even / 12


@pytest.mark.parametrize(
    "rules",
    [
        replace(SETTINGS.rules, initial_capacity_fraction=0.0),
        replace(SETTINGS.rules, overload_multiple=0.0),
        replace(SETTINGS.rules, slow_start_duration=0.0),
        replace(SETTINGS.rules, slow_start_duration=1e6),
    ],
)
@pytest.mark.parametrize("weight", [0.0, 1.0])
def test_settings_at_their_ends_leave_every_request_answered(rules, weight):
    """Also where no load is told, every server is cold, and a new configuration makes warm ones cold."""
    d = Driver(
        [entry(n, weight=weight, started_at=1000.0) for n in range(3)], replace(SETTINGS, balancer_count=BALANCERS)
    )
    for settings in (replace(SETTINGS, rules=rules), SETTINGS):
        for group in (None, 1):
            (action,) = d.ask(session_group=group)
            assert isinstance(action, Reject | StartAttempt)
            d.tick()
        d.b.configure(settings)
