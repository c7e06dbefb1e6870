"""How old the list may be: what discovery has is known in time, whatever fell silent, was cut, hung or came twice."""

import json
import signal
import threading
from collections import defaultdict
from contextlib import suppress
from types import SimpleNamespace

import hypothesis
import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st
from standins import SETTINGS, WAIT, Discovery, Program, Runner, Server, reset, until

from aspensaddle.core.events import EndpointUpdateScope
from aspensaddle.discovery import watch_policy
from aspensaddle.discovery.errors import IncompleteValueError, ValueTooLongError
from aspensaddle.discovery.json_stream import MAX_VALUE_BYTES, JsonValueSplitter
from aspensaddle.discovery.watcher import DISCOVERY_PATH, EndpointWatcher
from aspensaddle.support.counters import Counters

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def listed(rev, *uids, full=True, indent=None, state="active"):
    targets = [{"uid": u, "endpoint": "127.0.0.1:9", "state": state} for u in uids]
    return json.dumps({"rev": rev, "all": full, "targets": targets}, indent=indent).encode() + b"\n"


class Scripted(Server):
    """Each call is answered by the next of its scripts, the last one by the last again."""

    def __init__(self, *scripts):
        self.scripts, self.calls = list(scripts), []
        self.go = defaultdict(threading.Event)  # what a script waits for
        super().__init__()

    def serve(self, connection):
        with connection.makefile("rb") as lines:
            target = lines.readline().split()[1].decode()
            while lines.readline().strip():
                pass
        number = len(self.calls)
        self.calls.append(target)
        self.scripts[min(number, len(self.scripts) - 1)](self, connection)
        self.over.wait()

    def drip(self, connection, data):
        """The same again and again, quicker than silence would be found."""
        with suppress(OSError):
            while not self.over.wait(0.01):
                connection.sendall(data)


def follows(*values):
    """A watch that gives these and then lives."""

    def script(server, connection):
        connection.sendall(HEAD + b"".join(map(chunk, values)))
        server.drip(connection, chunk(b"\r\n"))

    return script


def sends(data, then=None):
    def script(server, connection):
        connection.sendall(data)
        if then is not None:
            then(connection)

    return script


def refuses(server, connection):
    connection.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def hangs(server, connection):
    pass


class Told:
    """A driver and a fleet that note down what they are told."""

    def __init__(self):
        self.lists, self.faults = [], 0

    def update_endpoints(self, scope, entries=()):
        self.lists.append((scope, entries))

    def endpoint_list_confirmed(self):
        pass

    def apply(self, update):
        if self.faults:
            self.faults -= 1
            raise RuntimeError("a fault on the way")
        return update.revision, sorted(t.uid for t in update.endpoints)

    @property
    def revs(self):
        return [entries[0] for _, entries in self.lists]


def play(server, script, rev=0, faults=0, agent=False, **times):
    """Keep a watch there, times shortened, while the script looks on."""
    told, events = Told(), []
    told.faults = faults
    log = SimpleNamespace(event=lambda name, **more: events.append((name, more)))
    short = {
        "SILENCE_TIMEOUT_SECONDS": 0.15,
        "CONNECT_TIMEOUT_SECONDS": 0.5,
        "HEDGE_DELAY_SECONDS": 0.1,
        "RESPONSE_TIMEOUT_SECONDS": 0.4,
        "HEARTBEAT_SECONDS": 0.05,
        "INITIAL_BACKOFF_SECONDS": 0.02,
        "MAX_BACKOFF_SECONDS": 0.05,
        **times,
    }

    async def main():
        with pytest.MonkeyPatch.context() as patch, trio.fail_after(WAIT):
            for name, value in short.items():
                patch.setattr(watch_policy, name, value)
            calls = EndpointWatcher(server.address, told, told, Counters(), log, is_local_agent=agent)
            calls.revision = rev
            async with trio.open_nursery() as nursery:
                nursery.start_soon(calls.watch)
                await script(SimpleNamespace(calls=calls, told=told, events=events, server=server))
                nursery.cancel_scope.cancel()

    try:
        trio.run(main)
    finally:
        server.close()
    return told, events


async def seen(done):
    while not done():
        await trio.sleep(0.005)


# ------------------------------------------------------------ the sum


def test_the_worst_case_lies_under_the_letter_s_six_seconds():
    """Silence or a lost call with its wait; then one call that hangs; then one that comes up and has its turn."""
    m = watch_policy
    assert m.SILENCE_TIMEOUT_SECONDS > m.HEARTBEAT_SECONDS  # a sender that lives is not called silent
    begins = max(m.SILENCE_TIMEOUT_SECONDS, m.CONNECT_TIMEOUT_SECONDS + m.MAX_BACKOFF_SECONDS, m.START_JITTER_SECONDS)
    assert (
        begins + m.HEDGE_DELAY_SECONDS + m.CONNECT_TIMEOUT_SECONDS + m.QUEUED_RESPONSE_SECONDS
        == m.WORST_CASE_STALENESS_SECONDS
        < m.MAX_STALENESS_SECONDS
    )
    assert m.INITIAL_BACKOFF_SECONDS <= m.MAX_BACKOFF_SECONDS and m.RELOCATION_SECONDS <= 4.0


def test_an_agent_is_asked_again_within_the_grace_of_a_drain():
    """What it gets as discovery returns counts at once."""
    calls = EndpointWatcher(("127.0.0.1", 9), None, None, Counters(), None, is_local_agent=True)

    async def main():
        assert max(calls._backoff_delay(n) for n in range(20)) <= watch_policy.AGENT_MAX_BACKOFF_SECONDS

    trio.run(main)
    assert watch_policy.AGENT_RESPONSE_TIMEOUT_SECONDS + watch_policy.AGENT_MAX_BACKOFF_SECONDS <= 1.0


def test_an_agent_that_hangs_is_asked_anew_without_another_call_beside():
    async def script(p):
        await seen(lambda: p.told.lists)
        assert "discovery_calls_hedged" not in p.calls._counters

    play(
        Scripted(hangs, hangs, follows(listed(9, "s-0"))),
        script,
        AGENT_RESPONSE_TIMEOUT_SECONDS=0.15,
        RESPONSE_TIMEOUT_SECONDS=WAIT,
        HEDGE_DELAY_SECONDS=0.02,
        agent=True,
    )


@hypothesis.seed(0xC10F8EFB5DE9695B4E9E370EF9FB4C44956406B1BF8219AFD2EEA1BAE0F16E768C5810CA406B57436153FA86FD0B2896)
@given(st.integers(0, 40))
def test_a_back_off_never_grows_beyond_its_part_of_the_sum(failures):
    async def main():
        calls = EndpointWatcher(("127.0.0.1", 9), None, None, Counters(), None, seed=failures)
        waits = [calls._backoff_delay(failures) for _ in range(50)]
        assert min(waits) > 0 and max(waits) <= watch_policy.MAX_BACKOFF_SECONDS
        assert len(set(waits)) == 50  # hundreds that failed together do not come as one
        calls.change_address(("127.0.0.1", 10))
        assert max(calls._backoff_delay(failures) for _ in range(50)) <= watch_policy.INITIAL_BACKOFF_SECONDS

    trio.run(main)


# ------------------------------------------------------------ values


@hypothesis.seed(0x4E8C0F7375A9281DE22E7A169E9154C292A7DA2EC7B826B58721D6304BC6D1B70D36895E3C6D2E86040BEB2306C807DD)
@given(
    st.lists(
        st.tuples(st.lists(st.text(max_size=6), max_size=4), st.sampled_from([None, 0, 1, 3, "\t"])), max_size=4
    ),
    st.lists(st.integers(1, 60), max_size=8),
    st.sampled_from([b"\n", b"\r\n"]),
)
def test_values_are_whole_however_they_are_indented_and_cut(lists, cuts, end):
    """Among the uids are brackets, quotes and backslashes."""
    wanted, data = [], b""
    for uids, indent in lists:
        value = {"rev": 1, "all": True, "targets": [{"uid": u + '{"['} for u in uids]}
        wanted.append(value)
        data += json.dumps(value, indent=indent).encode().replace(b"\n", end) + end + end
    values, got, at = JsonValueSplitter(), [], 0
    for cut in [*cuts, len(data) + 1]:
        got += values.feed(data[at : at + cut])
        at += cut
    assert [json.loads(v) for v in got if v] == wanted and values.finish() is None


@pytest.mark.parametrize("data", [b"x" * (MAX_VALUE_BYTES + 1), b"{\n" + b'"a":1,\n' * (MAX_VALUE_BYTES // 7 + 1)])
def test_a_list_is_bound_however_it_comes(data):
    values = JsonValueSplitter()
    with pytest.raises(ValueTooLongError, match="longer than"):
        for at in range(0, len(data), 65536):
            list(values.feed(data[at : at + 65536]))


def test_a_stream_that_ends_within_a_value_has_not_given_it():
    values = JsonValueSplitter()
    assert list(values.feed(listed(1, "s-0", indent=1)[:-5])) == []
    with pytest.raises(IncompleteValueError, match="ends within"):
        values.finish()


# ------------------------------------------------------------ silence


@pytest.mark.parametrize(
    "drip",
    [
        b" ",
        b"{",
        b'{"rev":',
        chunk(b" "),
        chunk(b'{"rev":'),
        chunk(b"{\n"),
        chunk(b'{"rev":2,\n"all":\n'),
    ],
    ids=repr,
)
def test_only_what_is_whole_is_a_sign_of_life(drip):
    def never_whole(server, connection):
        connection.sendall(HEAD + chunk(listed(1, "s-0")))
        server.go["heard"].wait(WAIT)
        server.drip(connection, drip)

    async def script(p):
        await seen(lambda: p.told.lists)
        p.server.go["heard"].set()
        await seen(lambda: len(p.told.lists) == 2)
        assert p.told.lists[-1] == (EndpointUpdateScope.COMPLETE, (2, ["s-1"]))

    play(Scripted(never_whole, follows(listed(2, "s-1"))), script)


def test_empty_lines_within_a_value_are_none():
    def never_whole(server, connection):
        connection.sendall(HEAD + chunk(listed(1, "s-0") + b'{"rev": 2,\n'))
        server.drip(connection, chunk(b"\r\n"))

    async def script(p):
        await seen(lambda: len(p.told.lists) == 2)
        assert p.told.revs == [1, 3]

    play(Scripted(never_whole, follows(listed(3, "s-1"))), script)


def test_empty_lines_are_signs_of_life():
    async def script(p):
        await seen(lambda: p.told.lists)
        await trio.sleep(3 * watch_policy.SILENCE_TIMEOUT_SECONDS)
        assert len(p.server.calls) == 1

    play(Scripted(follows(listed(1, "s-0"))), script)


@pytest.mark.parametrize(
    "first", [hangs, sends(HEAD), sends(HEAD + b"10\r\n"), sends(b"HTTP/1.1 200 OK\r\n\r\n"), sends(b"HTTP/1.1 2")]
)
def test_a_watch_that_is_silent_from_its_first_moment_gets_another_beside_it(first):
    """Not given up, as it may only wait its turn; but the change is not waited for either."""

    async def script(p):
        await seen(lambda: p.told.lists)
        assert p.told.revs == [3] and len(p.server.calls) == 2
        await seen(lambda: len(p.calls._calls) == 1)  # the one that is followed
        p.server.connections[0].settimeout(WAIT)
        assert p.server.connections[0].recv(10) == b""  # the other was closed

    play(Scripted(first, follows(listed(3, "s-0"))), script, RESPONSE_TIMEOUT_SECONDS=WAIT)


def test_the_slower_of_two_calls_does_not_end_the_one_that_is_followed():
    def late(server, connection):
        server.go["second"].wait(WAIT)
        follows(listed(4, "s-0"))(server, connection)

    async def script(p):
        await seen(lambda: len(p.server.calls) == 2)
        p.server.go["second"].set()  # now the first has its turn
        await seen(lambda: p.told.lists)
        await trio.sleep(0.3)
        assert p.told.revs == [4] and len(p.server.calls) == 2 and len(p.calls._calls) == 1

    play(Scripted(late, hangs), script, RESPONSE_TIMEOUT_SECONDS=WAIT)


# ------------------------------------------------------------ answers that break


WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


@pytest.mark.parametrize(
    "cut",
    [
        sends(HEAD + chunk(listed(7, "s-0"))[:40], reset),  # within a list
        sends(HEAD + chunk(listed(7, "s-0", indent=2)[:60]) + b"0\r\n\r\n"),  # ends as if whole, within a list
        sends(WHOLE % 500 + listed(7, "s-0")[:-1], reset),  # shorter than it said, its value without an end
        sends(HEAD, reset),
        refuses,
        sends(b"", reset),
        sends(b"\0\xff\r\n\r\n", reset),
        sends(HEAD + chunk(b"x" * 50 + b"\n")),
        sends(HEAD + chunk(b'{"targets": 5}\n')),
        sends(HEAD + chunk(b'{"targets": [{"uid": ""}]}\n')),
        sends(HEAD + chunk(b"y" * 65536) * 40),
    ],
)
def test_an_answer_that_is_cut_or_garbage_changes_nothing_and_is_asked_for_again(cut):
    async def script(p):
        await seen(lambda: p.told.lists)
        assert p.told.revs == [9] and p.calls.revision == 9
        assert p.server.calls[:2] == [f"{DISCOVERY_PATH}?watch=1&from=5"] * 2

    play(Scripted(cut, follows(listed(9, "s-0"))), script, rev=5)


@pytest.mark.parametrize("then", [reset, lambda connection: connection.shutdown(1)])
def test_a_whole_list_counts_though_its_connection_is_cut_right_after(then):
    def cut(server, connection):
        connection.sendall(HEAD + chunk(listed(7, "s-0")))
        server.go["taken"].wait(WAIT)
        then(connection)

    async def script(p):
        await seen(lambda: p.told.lists)
        assert p.calls.revision == 7
        p.server.go["taken"].set()
        await seen(lambda: len(p.told.lists) == 2)
        assert p.server.calls[1].endswith("from=7")

    play(Scripted(cut, follows(listed(8, "s-1", full=False))), script)


def test_a_fault_on_the_way_does_not_lose_the_change():
    """The version was raised first, so that what a fault had swallowed was never asked for again."""

    async def script(p):
        await seen(lambda: p.told.lists)
        assert p.server.calls[1].endswith("from=5") and p.told.revs == [6]
        assert [more["error"] for name, more in p.events if name == "internal_error"]

    play(Scripted(follows(listed(6, "s-0"))), script, rev=5, faults=1)


def test_many_refusals_in_a_row_are_asked_again_within_the_back_off_s_end():
    async def script(p):
        await seen(lambda: p.told.lists)
        assert len(p.server.calls) == 13

    play(Scripted(*[refuses] * 12, follows(listed(9, "s-0"))), script)


# ------------------------------------------------------------ older and newer


def test_a_whole_list_asked_for_before_a_newer_change_does_not_replace_it():
    """The first call has its turn only after the second gave a change."""

    def late(server, connection):
        server.go["later"].wait(WAIT)
        connection.sendall(HEAD + chunk(listed(5, "old")))

    async def script(p):
        await seen(lambda: len(p.server.calls) == 2)
        p.calls._calls[0].scope = trio.CancelScope()  # it is not reached by the cancel in time
        p.server.go["change"].set()
        await seen(lambda: p.told.lists)
        p.server.go["later"].set()
        await seen(lambda: p.calls._counters["endpoint_updates_ignored"])
        assert p.told.revs == [6] and p.calls.revision == 6

    def change(server, connection):
        server.go["change"].wait(WAIT)
        follows(listed(6, "new", full=False))(server, connection)

    play(Scripted(late, change), script, rev=4, RESPONSE_TIMEOUT_SECONDS=WAIT)


def test_a_discovery_that_started_anew_counts_from_low_and_is_believed():
    def restarts(server, connection):
        connection.sendall(HEAD + chunk(listed(40, "s-0")))
        server.go["known"].wait(WAIT)
        reset(connection)

    async def script(p):
        await seen(lambda: p.told.lists)
        p.server.go["known"].set()
        await seen(lambda: len(p.told.lists) == 4)
        assert p.told.revs == [40, 2, 3, 4] and p.calls.revision == 4

    play(
        Scripted(restarts, follows(listed(2, "s-1"), listed(3, "s-2", full=False), listed(4, "s-3", full=False))),
        script,
    )


def test_changes_older_than_what_is_known_are_passed_over():
    async def script(p):
        await seen(lambda: len(p.told.lists) == 2)
        assert p.told.revs == [6, 7]

    play(Scripted(follows(listed(6, "s-0"), listed(5, "s-1", full=False), listed(7, "s-2", full=False))), script)


def test_what_is_out_at_the_old_address_tells_nothing_after_a_move():
    new = Scripted(follows(listed(2, "new")))

    def late(server, connection):
        server.go["moved"].wait(WAIT)
        with suppress(OSError):
            connection.sendall(HEAD + chunk(listed(9, "old")))

    async def script(p):
        await seen(lambda: p.server.calls)
        p.calls.change_address(new.address)
        p.server.go["moved"].set()
        await seen(lambda: p.told.lists)
        await trio.sleep(0.1)
        assert p.told.revs == [2]

    play(Scripted(late), script, RESPONSE_TIMEOUT_SECONDS=WAIT)
    new.close()


@pytest.mark.parametrize("meanwhile", [hangs, refuses, sends(HEAD), follows(listed(1, "old"))])
def test_a_move_in_any_state_is_followed_at_once(meanwhile):
    """Called, waited, followed: the new address is asked without the wait that the old one has earned."""
    new = Scripted(refuses, follows(listed(2, "new")))

    async def script(p):
        await seen(lambda: p.server.calls)
        p.calls.change_address(new.address)
        await seen(lambda: (2, ["new"]) in [entries for _, entries in p.told.lists])

    play(Scripted(meanwhile), script, MAX_BACKOFF_SECONDS=WAIT, RESPONSE_TIMEOUT_SECONDS=WAIT)
    new.close()


def test_a_move_ends_the_back_off_that_the_old_address_has_earned():
    new = Scripted(follows(listed(2, "new")))

    async def script(p):
        await seen(lambda: [name for name, _ in p.events if name == "discovery_call_failed"])
        await trio.testing.wait_all_tasks_blocked()
        p.calls.change_address(new.address)
        await seen(lambda: p.told.lists)

    play(Scripted(refuses), script, INITIAL_BACKOFF_SECONDS=3 * WAIT, MAX_BACKOFF_SECONDS=3 * WAIT)
    new.close()


# ------------------------------------------------------------ the program


def test_indented_lists_reach_the_program_and_so_does_a_drain_in_one(world, monkeypatch):
    monkeypatch.setattr(
        Discovery,
        "_update",
        lambda d, full, targets: (
            json.dumps({"rev": d.rev, "all": full, "targets": targets}, indent=2).encode() + b"\r\n"
        ),
    )
    w = world()
    w.drain(w.runners[0])
    for _ in range(4):
        with w.client() as c:
            assert c.open() == b"UP s-1\r\n"


@pytest.mark.parametrize("pushed", [False, True])
def test_a_reload_during_a_refusal_and_sigterm_after_a_drain(tmp_path, pushed):
    """Signals in each state of the watch; the end comes in time though discovery hangs."""
    runner = Runner("s-0")
    old, new = Scripted(refuses), Scripted(hangs)
    settings = {**SETTINGS, "discovery": "pushed" if pushed else "on_request"}
    program = Program(tmp_path, old.address, [runner.target()], settings=settings)
    try:
        until(lambda: len(old.calls) > 2, "calls")
        program.reload(discovery=f"{new.address[0]}:{new.address[1]}")
        until(lambda: new.calls, "a call at the new address")
        program.process.send_signal(signal.SIGTERM)
        assert program.process.wait(WAIT) == 0
        assert "internal_errors" not in program.events("counters_reported")[0]["counts"]
    finally:
        program.kill()
        for s in (old, new, runner):
            s.close()
