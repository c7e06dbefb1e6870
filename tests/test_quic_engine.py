"""The QUIC front's engine in a time of its own: orders and failures that no process could be brought into."""

import time
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from aspensaddle.conformance import craft
from aspensaddle.conformance.bed import Bed, Spec
from aspensaddle.conformance.link import Link
from aspensaddle.core.actions import Migrate
from aspensaddle.core.events import Endpoint, EndpointUpdateScope, Outcome, ServerState
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED


@pytest.fixture
def bed(tmp_path):
    made = []

    def make(**more):
        made.append(Bed(Spec(**more), tmp_path / str(len(made)), memory=True))
        made[-1].begin()
        return made[-1]

    yield make
    for b in made:
        b.close()


def test_a_drain_told_between_choice_and_initial_sends_nothing_there(bed):
    b = bed(modes=("ok", "ok"))
    driver, request, drained = b.front.driver, b.front.driver.submit, []

    def drain_first_choice(owner, ask):
        request(owner, ask)
        if not drained:
            chosen = owner.decisions[-1][1].server
            drained.append(b.front.fleet.uid(chosen))
            driver.update_endpoints(EndpointUpdateScope.INCREMENTAL, (Endpoint(chosen, state=ServerState.DRAINING),))

    driver.submit = drain_first_choice
    (client,) = b.ready()
    assert b.ask(client) != drained[0] and not b.runner(drained[0]).offered
    assert b.counted("quic attempts not_sent") == 1


def test_the_module_moves_a_client_which_comes_again_and_its_old_ids_find_nobody(bed):
    b = bed()
    (client,) = b.ready()
    b.ask(client)
    engine = b.front.engine
    (session,) = engine.sessions.all.values()
    old = session.ids[-1]
    session.act(Migrate(session.id))
    b.wait(lambda: client.reset, "a reset")
    assert not engine.sessions.all and not engine.paths.count and session.id not in b.front.driver
    raw = b.raw()
    raw.send(craft.short(old, 100), b.address)
    b.wait(lambda: raw.got, "a reset for an old id")
    (again,) = b.ready()
    b.ask(again)


def test_a_move_decided_before_the_client_has_an_id_is_told_when_it_has(bed):
    b = bed()
    client = b.client()
    b.wait(lambda: b.front.engine.sessions.all, "the session")
    (session,) = b.front.engine.sessions.all.values()
    session.act(Migrate(session.id))
    b.wait(lambda: client.ready, "the handshake")
    client.say(b"hello")
    b.wait(lambda: client.reset, "a reset")
    assert b.counted("quic moved") == 1


def test_a_fault_of_the_module_gives_its_client_an_answer_and_ends_nobody_else(bed):
    b = bed()
    (standing,) = b.ready()
    engine, carry_out = b.front.engine, b.front.engine.placements._carry_out

    def fail(session, action):
        engine.placements._carry_out = carry_out
        raise RuntimeError("a fault")

    engine.placements._carry_out = fail
    raw = b.raw()
    raw.send(craft.initial(b.id, craft.SCID, craft.crypto(0, craft.client_hello())), b.address)
    b.wait(lambda: raw.got, "an answer")
    assert b.counted("faults") == 1 and engine.placements.pending == 0 and len(engine.sessions.all) == 1
    b.ask(standing)
    (other,) = b.ready()
    b.ask(other)


def test_without_descriptors_nothing_is_sent_and_the_client_is_refused(bed):
    b = bed(modes=("ok",))
    b.front.open = lambda slot: False
    client = b.client()
    b.wait(lambda: client.ended, "a refusal")
    assert client.ended[0].error_code == CONNECTION_REFUSED and not b.runners[0].offered


def test_cold_runners_are_protected_by_the_module(bed):
    b = bed(modes=("ok", "ok"))
    b.front.driver.settings.rules.slow_start_duration = 24.0
    b.front.driver.configure(b.front.driver.settings)
    b.replace(b.runners[1].target(boot_ms=int(b.net.now() * 1000)))
    for client in b.ready(12):
        b.ask(client)
    assert b.runners[1].begun < 6 <= b.runners[0].begun


def test_an_attempt_that_times_out_counts_as_one_that_may_have_run(bed):
    b = bed(modes=("silent", "ok"), reply=0.4)
    told = []
    ended = b.front.driver.attempt_ended
    b.front.driver.attempt_ended = lambda id, outcome, finished=False: (
        told.append(outcome),
        ended(id, outcome, finished),
    )
    for client in b.ready(3):
        assert b.ask(client) == "s-1"
    assert set(told) == {Outcome.TIMED_OUT}


def test_floods_leave_every_table_within_its_bound(bed):
    more = "most_sessions = 50\nmost_pending = 20\nmost_sockets = 16\nanswers_per_s = 200"
    b = bed(more=more, rules='[[rules]]\nsni = "x.example"\nclass = "draft-save"\n')
    engine, random, raw = b.front.engine, Random(3), b.raw()
    (usual,) = b.ready()
    home = b.ask(usual)
    part = craft.crypto(0, craft.client_hello(size=3000)[:900])
    for i in range(3000):
        kind = i % 4
        if kind == 0:
            raw.send(craft.initial(random.randbytes(10), craft.SCID, part), b.address)
        elif kind == 1:
            raw.send(craft.early_data(random.randbytes(10), craft.SCID), b.address)
        else:
            b.raw().send(craft.short(b.runners[i % 3].issue(), 60) if kind == 2 else random.randbytes(60), b.address)
        if i % 100 == 0:
            b.run(0.05)
    sessions, paths = engine.sessions, engine.paths
    assert len(sessions.all) <= 50 and engine.placements.pending <= 20 and len(sessions._unsure) <= 20
    assert paths.count <= 16 * 3 and len(sessions.routes) <= 8 * 50 and len(sessions.chosen) <= 100
    assert len(engine._orphans) <= 64 and len(paths._by_peer) <= paths.count
    assert sum(map(len, raw.got)) < sum(map(len, raw.sent))
    assert b.ask(usual, b"still here") == home
    b.run(5.0)
    (newcomer,) = b.ready()
    b.ask(newcomer)


def test_the_brief_two_balancers_restless_clients_and_a_restart(bed):
    """A short run of what `benchmarks/quic_brief.py` does for minutes with processes."""
    b = bed(fronts=2)
    clients = [b.client(link_in=Link(i, loss=0.02), link_out=Link(100 + i, loss=0.02)) for i in range(8)]
    b.wait(lambda: all(c.ready for c in clients), "the handshakes")
    homes, random, started = [b.ask(c) for c in clients], Random(7), time.monotonic()
    for turn in range(60):
        for c in clients:
            b.run(0.05)
            if random.random() < 0.5:
                c.rebind()
            if random.random() < 0.2:
                c.change_id()
            if random.random() < 0.2:
                c.front = random.choice(b.fronts).address
        if turn % 20 == 10:
            b.fronts[turn // 20 % 2].restart()
        assert [b.ask(c, b"turn %d" % turn) for c in clients] == homes
    said = [t for r in b.runners for t in r.asked if t.startswith(b"turn")]
    assert len(said) == 60 * 8 and not any(c.reset or c.ended for c in clients)
    assert b.total("begun") == 8 and time.monotonic() - started < 60


class Sessions(RuleBasedStateMachine):
    """Any order of what clients, runners, lists and balancers do: nobody is answered twice, or by two runners."""

    @initialize()
    def begin(self):
        self.folder = TemporaryDirectory()
        self.b = Bed(Spec(modes=("ok", "ok", "ok"), fronts=2), Path(self.folder.name), memory=True)
        self.homes, self.turn, self.draining = {}, 0, set()

    def teardown(self):
        self.b.close()
        self.folder.cleanup()

    @precondition(lambda self: len(self.homes) < 6 and len(self.draining) < 3)
    @rule(front=st.integers(0, 1), large=st.booleans(), version=st.sampled_from([1, 0x6B3343CF]))
    def come(self, front, large, version):
        (client,) = self.b.ready(front=self.b.fronts[front].address, large=large, versions=(version,))
        self.homes[client] = self.b.ask(client, b"first")
        assert self.homes[client] not in self.draining

    @precondition(lambda self: self.homes)
    @rule(n=st.integers(0, 5), port=st.booleans(), cid=st.booleans(), front=st.integers(0, 1))
    def go_on(self, n, port, cid, front):
        client = list(self.homes)[n % len(self.homes)]
        client.front = self.b.fronts[front].address
        if port:
            client.rebind()
        if cid:
            client.change_id()
        self.turn += 1
        assert self.b.ask(client, b"turn %d" % self.turn) == self.homes[client]

    @rule(front=st.integers(0, 1))
    def restart(self, front):
        self.b.fronts[front].restart()

    @rule(n=st.integers(0, 2))
    def drain_or_return(self, n):
        self.draining ^= {f"s-{n}"}
        self.b.replace(*(self.b.runner(uid).target(state="leaving") for uid in self.draining))

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 6.0]))
    def wait(self, seconds):
        self.b.run(seconds)

    @invariant()
    def nothing_is_answered_twice(self):
        asked = [t for r in self.b.runners for t in r.asked if t.startswith(b"turn")]
        assert len(asked) == len(set(asked))
        assert not any(c.reset or c.ended for c in self.homes)
        assert all(f.engine.placements.pending >= 0 and len(f.engine.sessions.all) <= 12 for f in self.b.fronts)


TestSessions = Sessions.TestCase
TestSessions.settings = settings(
    max_examples=30, stateful_step_count=25, deadline=None, derandomize=True, database=None
)
