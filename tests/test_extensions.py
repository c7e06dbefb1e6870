"""What extends the mechanism: one small test for each failure it answers."""

from dataclasses import replace

from helpers import SETTINGS, Driver, entry

from aspensaddle.core.actions import Migrate, Reject, RejectReason, SetTimer, StartAttempt, WatchEndpoints
from aspensaddle.core.passive_measurement import rejection_rank
from aspensaddle.core.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionLoadReported,
    EndpointsChanged,
    EndpointUpdateScope,
    HealthCheckCompleted,
    Outcome,
    Request,
    ServerLatencyReported,
    Started,
    TimerFired,
)

ASKING = replace(SETTINGS, polls_discovery=True)
TWO_ZONES = [entry(n, zone=n % 2) for n in range(10)]


def test_a_server_that_cannot_be_reached_is_ejected_and_tried_once():
    d = Driver(3)
    (send,) = d.ask()
    d.end(send, Outcome.UNREACHABLE)
    assert all(d.place().server != send.server for _ in range(9))
    d.now += 2.0
    d.tick(0.0)
    trials = [a for a in (d.ask()[0] for _ in range(9)) if a.server == send.server]
    assert len(trials) == 1
    d.end(trials[0], Outcome.UNREACHABLE)
    assert d.b.servers[send.server].ejected_until > d.now + 1.4  # backed off


def test_a_probe_that_stands_ends_the_ejection():
    d = Driver(2)
    (send,) = d.ask()
    d.end(send, Outcome.UNREACHABLE)
    d.now += 2.0
    d.tick(0.0)
    while d.place().server != send.server:
        pass
    assert d.b.servers[send.server].consecutive_failures == 0


def test_a_server_that_drops_connections_as_soon_as_they_are_up_is_set_ejected_until_one_holds():
    """Such a server carries nothing, so its turn would come again and again."""
    d = Driver(3)
    bad, sent = d.place().server, 0
    for _ in range(10):
        for _ in range(10):
            send = d.place()
            if send.server == bad:
                sent += 1
                d.end(send, Outcome.CONNECTION_LOST, finished=True)
        d.tick(1.0)
    assert 2 <= sent <= 12  # of 100; where the empty one is always due, about half
    d.tick(20.0)
    while d.place().server != bad:
        pass
    d.tick(1.0)
    assert all(d.place().server != bad for _ in range(6))  # whether it holds is still open
    d.tick(1.5)
    assert d.b.servers[bad].consecutive_failures == 0 and any(d.place().server == bad for _ in range(60))


def test_an_old_connection_that_breaks_ejects_nobody():
    d = Driver(2)
    sends = [d.place() for _ in range(8)]
    d.now += 10.0
    for send in sends:
        d.end(send, Outcome.CONNECTION_LOST, finished=True)
    assert {d.place().server for _ in range(4)} == {1, 2}


def test_a_slow_server_gets_nothing_new_and_counts_as_failing():
    d = Driver(4)
    sends = [d.place() for _ in range(8)]
    slow = sends[0].server
    d.b.handle(d.now, ServerLatencyReported(sends[0].request_id, slow, 0.03))
    assert all(d.place().server != slow for _ in range(8))
    assert rejection_rank(d.b.servers[slow]) > (0.0, 0)
    d.b.handle(d.now, ServerLatencyReported(sends[0].request_id, slow, 0.01))  # back under
    assert any(d.place().server == slow for _ in range(8))


def test_a_slow_server_loses_some_connections_the_heaviest_first():
    d = Driver(4)
    sends = [d.place(load_hint=float(n)) for n in range(1, 41)]
    on = [s for s in sends if s.server == sends[0].server]
    moves = d.b.handle(d.now, ServerLatencyReported(on[0].request_id, on[0].server, 0.06))
    assert 1 <= len(moves) <= 2 and moves[0] == Migrate(on[-1].request_id)


def test_the_more_servers_are_slow_the_more_is_refused():
    """Guards against a fleet that sheds its clients in circles and serves nobody well."""
    d = Driver(11)
    sends = {s.server: s for s in (d.place() for _ in range(22))}
    for slow, refused in ((1, 0), (3, 30), (11, 60)):  # of 11 + 1: none, half, all
        for server in range(1, slow + 1):
            d.b.handle(d.now, ServerLatencyReported(sends[server].request_id, server, 0.02))
        d.tick()
        answers = [d.ask()[0] for _ in range(60)]
        assert abs(sum(isinstance(a, Reject) for a in answers) - refused) <= 12
        assert {a.reason for a in answers if isinstance(a, Reject)} <= {RejectReason.OVERLOAD}


def test_a_tenant_over_its_share_is_turned_away_sooner_and_told_as_that():
    d = Driver(11, replace(SETTINGS, tenant_connection_quotas=(0.0,)))
    sends = {s.server: s for s in (d.place() for _ in range(22))}
    for server in (1, 2):  # of 11 + 1, a sixth
        d.b.handle(d.now, ServerLatencyReported(sends[server].request_id, server, 0.02))
    d.tick()
    assert {d.ask(tenant=0)[0].reason for _ in range(20)} == {RejectReason.OVER_QUOTA}
    assert all(isinstance(d.ask(tenant=-1)[0], StartAttempt) for _ in range(20))


def test_a_fleet_that_turns_all_away_costs_each_request_a_bounded_extra():
    d = Driver(30)
    for _ in range(100):
        (a,) = d.ask()
        sends = 0
        while isinstance(a, StartAttempt):
            sends += 1
            (a,) = d.end(a, Outcome.REJECTED)
        assert isinstance(a, Reject) and sends == SETTINGS.limits.max_attempts


def test_refusals_spread_their_advice():
    d = Driver(0)
    waits = {d.ask()[0].retry_after for _ in range(10)}
    assert len(waits) == 10 and all(0 < w <= SETTINGS.limits.max_retry_after for w in waits)


def test_own_zone_first_within_a_bound():
    d = Driver(TWO_ZONES, settings=replace(SETTINGS, zone_count=2))
    assert all(d.place().server % 2 == 0 for _ in range(20))


def test_a_small_own_zone_is_not_buried_under_its_clients():
    servers = [entry(0, zone=0)] + [entry(n, zone=1) for n in range(1, 10)]
    d = Driver(servers, settings=replace(SETTINGS, zone_count=2))
    here = sum(d.place().server == 0 for _ in range(40))
    assert 8 <= here <= 12  # 1.25 x 2 zones x a tenth of the share


def test_clients_of_a_balancer_that_has_gone_share_the_whole_fleet():
    """They come over in a crowd, and their zone's servers have room that this balancer can't see."""
    d = Driver(TWO_ZONES, settings=replace(SETTINGS, zone_count=2))
    servers = [d.place(load_hint=0.05).server for _ in range(200)]  # 10 cores listed, 5 of them here
    first = servers[:25]  # 1.25 of load for 5 cores
    assert all(s % 2 == 0 for s in first[:20])
    per_server = [servers.count(n) for n in range(10)]
    assert max(per_server) - min(per_server) <= 4


def test_the_first_loads_told_do_not_make_servers_without_any_look_laden():
    """The mean load is unknown at a start. Places worked out with that guess are worth nothing later."""
    for seed in range(5):
        d = Driver(4, seed=seed)
        for n in range(20):
            send = d.place()
            d.b.handle(d.now, ConnectionLoadReported(send.request_id, send.server, 0.01 + 0.002 * (n % 5)))
        held = [len(s.connections) for s in d.b.servers.values()]
        assert max(held) <= 8, held


def test_machines_are_loaded_by_the_speed_of_their_kind():
    """The list's sizes tell their cores alone."""
    settings = replace(SETTINGS, machine_types=("other", "plain-runner", "fast-runner"), core_speeds=(1.0, 0.97, 1.5))
    d = Driver(
        [entry(1, machine_type=1), entry(2, machine_type=2), entry(3, machine_type=0), entry(4)], settings=settings
    )
    for _ in range(447):
        d.place(load_hint=0.01)
    held = {n: len(s.connections) for n, s in d.b.servers.items()}
    assert abs(held[1] - 97) <= 2 and abs(held[2] - 150) <= 2 and abs(held[3] - 100) <= 2, held
    d.update_endpoints(entry(1, machine_type=2))  # and by what the list says now
    assert d.b.servers[1].weight == d.b.servers[2].weight


def test_groups_that_a_server_holds_count_as_load_of_it():
    d = Driver(2, settings=replace(SETTINGS, session_groups=True))
    groups = [d.place(session_group=n, load_hint=0.1) for n in range(8)]
    held = {n: len(s.session_groups) for n, s in d.b.servers.items()}
    (most, least) = sorted(held, key=lambda n: -held[n])
    for send in groups:
        if send.server == least:
            d.end(send, Outcome.OK, finished=True)
    assert not d.b.servers[least].session_groups
    here = held[most]  # each costs three mean loads and its own
    assert all(d.place(load_hint=0.1).server == least for _ in range(4 * here - 2))


def laden(servers, **more):
    """Servers of which the first has connections whose loads grew after they were placed."""
    d = Driver(servers, **more)
    sends = [d.place(load_hint=0.02) for _ in range(20 * servers)]
    for send in sends:
        if send.server == 1:
            d.b.handle(d.now, ConnectionLoadReported(send.request_id, 1, 0.05 + 0.001 * int(send.request_id[1:])))
    return d


def moves(d, ticks=10):
    return [a for _ in range(ticks) for a in d.tick() if isinstance(a, Migrate)]


def test_a_server_whose_load_has_grown_far_over_the_mean_loses_some_of_it():
    d = laden(4)
    before = d.b.servers[1].load
    first = moves(d, 1)
    assert len(first) <= 3  # a tenth of 20, or less, a tick
    gone = first + moves(d)
    assert 2 <= len(gone) <= 20
    loads = [d.b.requests[m.request_id].load for m in gone]
    assert min(loads) > max(r.load for r in d.b.servers[1].connections.values())  # the heaviest
    for m in gone:
        d.b.handle(d.now, AttemptEnded(m.request_id, 0, 1, Outcome.CANCELLED, 0.0, True))
    assert d.b.servers[1].load < before


def test_nothing_is_moved_where_it_would_not_help():
    assert not moves(laden(1))  # nowhere else to go
    even = Driver(4)
    for _ in range(80):
        even.place(load_hint=0.05)
    assert not moves(even)
    light = Driver(4)
    for n in range(8):
        light.place(load_hint=0.01 * n)
    assert not moves(light)  # far from evenly, but hardly any load
    alone = laden(2)
    other = alone.b.servers[2]
    other.ejected_until = alone.now + 100
    alone.lay_out()
    assert not moves(alone)


def test_what_moves_first_frees_a_group_too():
    d = Driver(2, settings=replace(SETTINGS, session_groups=True))
    d.b.servers[2].ejected_until = d.now + 1.0
    d.lay_out()
    for _ in range(20):
        d.place(load_hint=0.05, session_group=1)
    last = d.place(load_hint=0.04, session_group=2)  # the only one of its group here
    d.now += 5.0
    d.lay_out()
    assert moves(d, 1)[0].request_id == last.request_id


def test_a_mean_load_of_nothing_is_survived():
    d = Driver(2)
    send = d.place()
    d.b.handle(d.now, ConnectionLoadReported(send.request_id, send.server, 0.0))
    assert isinstance(d.place(), StartAttempt)


def test_a_zone_cut_off_is_left():
    d = Driver(TWO_ZONES, settings=replace(SETTINGS, zone_count=2))
    for server in range(0, 10, 2):
        d.b.servers[server].consecutive_failures, d.b.servers[server].ejected_until = 1, d.now + 5
    d.lay_out()
    assert all(d.place().server % 2 == 1 for _ in range(5))


def test_a_group_keeps_to_few_servers_and_balancers_agree_on_them():
    homes = set()
    for seed in range(5):
        d = Driver(20, seed=seed)
        for n in range(60):
            d.place(session_group=n)
        homes.add(d.place(session_group=7777).server)
    assert len(homes) <= 2


def test_a_hot_group_spills_before_it_buries_its_home():
    d = Driver(10)
    placed = [d.place(session_group=5).server for _ in range(100)]
    assert max(placed.count(s) for s in range(1, 11)) <= 15  # GROUP_EXCESS times the mean of 10


def test_discovery_is_asked_at_a_random_time_and_again_after_failures():
    d = Driver(2, settings=ASKING)
    tick, watch = d.b.handle(d.now, Started())
    assert watch.timer == "watch" and watch.delay < ASKING.rules.poll_interval
    assert d.b.handle(d.now, TimerFired("watch")) == [WatchEndpoints()]
    waits = []
    for _ in range(8):
        (again,) = d.b.handle(d.now, EndpointsChanged(EndpointUpdateScope.FAILED))
        assert isinstance(again, SetTimer) and again.timer == "watch"
        waits.append(again.delay)
    assert waits[-1] > waits[0] and max(waits) <= ASKING.rules.poll_interval
    assert {d.place().server for _ in range(4)} == {1, 2}  # the list stays in force


def test_events_for_what_is_not_held_are_passed_over():
    d = Driver(2)
    send = d.place()
    for event in (
        ConnectionEstablished("x", 0, 1, 0.1),
        AttemptEnded("x", 0, 1, Outcome.OK),
        ClientDisconnected("x"),
        ConnectionLoadReported("x", 1, 2.0),
        ServerLatencyReported("x", 99, 1.0),
        TimerFired("no longer wanted"),
        object(),
        HealthCheckCompleted(9, Outcome.OK),
        ConnectionEstablished(send.request_id, 7, send.server, 0.1),
        AttemptEnded(send.request_id, 7, send.server, Outcome.OK, finished=True),
        ConnectionAdopted(Request("y", 0, 1.0), 99),
    ):
        assert d.b.handle(d.now, event) == []
    assert send.request_id in d.b.requests


def test_adopted_connections_count_and_end():
    d = Driver(2)
    d.b.handle(d.now, ConnectionAdopted(Request("a", 0, 0.0, load_hint=5.0), 1))
    assert [d.place(load_hint=1.0).server for _ in range(4)] == [2] * 4
    d.b.handle(d.now, AttemptEnded("a", 0, 1, Outcome.CANCELLED, finished=True))
    assert d.b.servers[1].load == 0


def test_load_notes_replace_the_hint():
    d = Driver(2)
    send = d.place(load_hint=1.0)
    d.b.handle(d.now, ConnectionLoadReported(send.request_id, send.server, 4.0))
    assert d.b.servers[send.server].load == 4.0


def test_a_client_that_leaves_takes_its_load_along():
    d = Driver(2)
    send = d.place()
    d.b.handle(d.now, ClientDisconnected(send.request_id))
    assert d.b.servers[send.server].load == 0 and not d.b.requests


def test_servers_that_are_gone_are_forgotten():
    """Guards against a list that grows with every machine that ever ran."""
    d = Driver(3)
    sends = [d.place() for _ in range(6)]
    d.gone(1)
    d.update_endpoints(entry(2), scope=EndpointUpdateScope.COMPLETE)
    assert list(d.b.servers) == [2]
    for s in sends:
        d.end(s, Outcome.CONNECTION_LOST, finished=True)
    assert {d.place().server for _ in range(4)} == {2}
    d.tick()


def test_where_packets_pass_through_a_key_finds_its_server_at_any_balancer():
    settings = replace(SETTINGS, pass_through=True)
    found = 0
    for key in range(40):
        first, second = Driver(8, settings=settings, seed=1), Driver(8, settings=settings, seed=2)
        for n in range(16):
            first.place(affinity_key=1000 + n)
            second.place(affinity_key=2000 + n)
        found += first.place(affinity_key=key).server == second.place(affinity_key=key).server
    assert found >= 20  # by chance it would be 5


def test_odd_but_legal_settings_divide_by_nothing():
    classes = (replace(SETTINGS.classes[0], message_latency_objective=0.0),)
    rules = replace(SETTINGS.rules, slow_start_duration=0.0, poll_interval=0.0)
    d = Driver(
        [entry(1, started_at=2000.0), entry(2, weight=0.0)], settings=replace(SETTINGS, classes=classes, rules=rules)
    )
    send = d.place()
    d.b.handle(d.now, ServerLatencyReported(send.request_id, send.server, 0.0))
    (again,) = d.update_endpoints(scope=EndpointUpdateScope.FAILED)
    assert again.delay > 0


def test_a_server_that_fails_at_once_is_not_always_due():
    """Guards against a black hole: what fails quickly carries nothing, so its turn would always come first."""
    d = Driver(4)
    hits = 0
    for _ in range(40):
        (a,) = d.ask()
        while a.server == 1:
            hits += 1
            (a,) = d.end(a, Outcome.ERROR)
        d.stand(a)
    assert hits <= 2


def test_slow_servers_that_shed_all_they_held_still_count():
    """Guards against losing sight of an overload because what would show it has been broken off."""
    d = Driver(6)
    sends = [d.place() for _ in range(6)]
    for s in sends[:5]:
        d.b.handle(d.now, ServerLatencyReported(s.request_id, s.server, 0.06))
        d.end(s, Outcome.CONNECTION_LOST, finished=True)
    d.tick()
    assert isinstance(d.ask()[0], Reject)
