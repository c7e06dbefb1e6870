"""Staleness of the endpoint list: changes are learned in time if calls fall silent, break, hang or respond twice."""

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
from standins import (
    SETTINGS,
    TIMEOUT_SECONDS,
    BalancerProcess,
    StubDiscovery,
    StubServer,
    ThreadedServer,
    reset,
    wait_until,
)

from aspensaddle.core.endpoint_confirmation import MAX_STALENESS_SECONDS
from aspensaddle.core.events import EndpointUpdateScope
from aspensaddle.discovery import watch_policy
from aspensaddle.discovery.errors import IncompleteValueError, ValueTooLongError
from aspensaddle.discovery.json_stream import MAX_VALUE_BYTES, JsonValueSplitter
from aspensaddle.discovery.watcher import DISCOVERY_PATH, EndpointWatcher, WatchState
from aspensaddle.support.counters import Counters

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def http_chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def endpoint_list(revision, *uids, complete=True, indent=None, state="active"):
    entries = [{"uid": uid, "endpoint": "127.0.0.1:9", "state": state} for uid in uids]
    return json.dumps({"rev": revision, "all": complete, "targets": entries}, indent=indent).encode() + b"\n"


class ScriptedDiscovery(ThreadedServer):
    """Serves each call by the next of its scripts; the last script serves all further calls.

    Attributes:
        calls: The request target of each call.
        signals: Events that a test sets and a script waits for, by name.
    """

    def __init__(self, *scripts):
        self.scripts, self.calls = list(scripts), []
        self.signals = defaultdict(threading.Event)
        super().__init__()

    def serve(self, connection):
        with connection.makefile("rb") as lines:
            target = lines.readline().split()[1].decode()
            while lines.readline().strip():
                pass
        number = len(self.calls)
        self.calls.append(target)
        self.scripts[min(number, len(self.scripts) - 1)](self, connection)
        self.closed.wait()

    def send_repeatedly(self, connection, data):
        """Send the same data every 10 ms, far more often than the silence timeout."""
        with suppress(OSError):
            while not self.closed.wait(0.01):
                connection.sendall(data)


def serve_watch(*values):
    """Return a script that sends these values and then heartbeats."""

    def script(server, connection):
        connection.sendall(HEAD + b"".join(map(http_chunk, values)))
        server.send_repeatedly(connection, http_chunk(b"\r\n"))

    return script


def send_data(data, then=None):
    """Return a script that sends this data and then calls `then` with the connection."""

    def script(server, connection):
        connection.sendall(data)
        if then is not None:
            then(connection)

    return script


def reject_call(server, connection):
    connection.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def hang(server, connection):
    pass


class RecordingDriver:
    """Stands in for the driver and the registry: records each update, and raises in the first `faults` updates."""

    def __init__(self):
        self.updates, self.faults = [], 0
        self.confirmed_at = float("-inf")

    def update_endpoints(self, scope, entries=()):
        self.updates.append((scope, entries))

    def endpoint_list_confirmed(self):
        pass

    def apply(self, update):
        if self.faults:
            self.faults -= 1
            raise RuntimeError("an injected fault")
        return update.revision, sorted(record.uid for record in update.endpoints)

    @property
    def revisions(self):
        return [entries[0] for _, entries in self.updates]


def run_watcher(server, scenario, revision=0, faults=0, is_local_agent=False, **timeouts):
    """Run a watcher against a server, with shortened timeouts, until the scenario has ended.

    The scenario gets the watcher, the driver, the logged events and the server, as attributes of its argument.
    """
    driver, events = RecordingDriver(), []
    driver.faults = faults
    log = SimpleNamespace(event=lambda name, **fields: events.append((name, fields)))
    shortened = {
        "SILENCE_TIMEOUT_SECONDS": 0.15,
        "CONNECT_TIMEOUT_SECONDS": 0.5,
        "HEDGE_DELAY_SECONDS": 0.1,
        "RESPONSE_TIMEOUT_SECONDS": 0.4,
        "HEARTBEAT_SECONDS": 0.05,
        "INITIAL_BACKOFF_SECONDS": 0.02,
        "MAX_BACKOFF_SECONDS": 0.05,
        **timeouts,
    }

    async def main():
        with pytest.MonkeyPatch.context() as patch, trio.fail_after(TIMEOUT_SECONDS):
            for name, value in shortened.items():
                patch.setattr(watch_policy, name, value)
            watcher = EndpointWatcher(server.address, driver, driver, Counters(), log, is_local_agent=is_local_agent)
            watcher.revision = revision
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watcher.watch)
                await scenario(SimpleNamespace(watcher=watcher, driver=driver, events=events, server=server))
                nursery.cancel_scope.cancel()

    try:
        trio.run(main)
    finally:
        server.close()
    return driver, events


async def wait_until_async(condition):
    while not condition():
        await trio.sleep(0.005)


# ------------------------------------------------------------ timing limits


def test_worst_case_staleness_is_below_the_allowed_six_seconds():
    """Worst case: silence, or a lost call and its backoff; then a call that hangs; then a call that is queued."""
    policy = watch_policy
    assert policy.SILENCE_TIMEOUT_SECONDS > policy.HEARTBEAT_SECONDS  # a sender of heartbeats is not silent
    first_delay = max(
        policy.SILENCE_TIMEOUT_SECONDS,
        policy.CONNECT_TIMEOUT_SECONDS + policy.MAX_BACKOFF_SECONDS,
        policy.START_JITTER_SECONDS,
    )
    assert (
        first_delay + policy.HEDGE_DELAY_SECONDS + policy.CONNECT_TIMEOUT_SECONDS + policy.QUEUED_RESPONSE_SECONDS
        == policy.WORST_CASE_STALENESS_SECONDS
        < MAX_STALENESS_SECONDS
    )
    assert policy.INITIAL_BACKOFF_SECONDS <= policy.MAX_BACKOFF_SECONDS and policy.RELOCATION_SECONDS <= 4.0


def test_local_agent_is_called_again_within_the_drain_grace():
    """Changes that a local agent receives from a recovering service count as known at once."""
    watcher = EndpointWatcher(("127.0.0.1", 9), None, None, Counters(), None, is_local_agent=True)

    async def main():
        assert (
            max(watcher._backoff_delay(failures) for failures in range(20)) <= watch_policy.AGENT_MAX_BACKOFF_SECONDS
        )

    trio.run(main)
    assert watch_policy.AGENT_RESPONSE_TIMEOUT_SECONDS + watch_policy.AGENT_MAX_BACKOFF_SECONDS <= 1.0


def test_hung_call_to_a_local_agent_is_repeated_without_a_hedged_call():
    async def scenario(context):
        await wait_until_async(lambda: context.driver.updates)
        assert "discovery_calls_hedged" not in context.watcher._counters

    run_watcher(
        ScriptedDiscovery(hang, hang, serve_watch(endpoint_list(9, "s-0"))),
        scenario,
        AGENT_RESPONSE_TIMEOUT_SECONDS=0.15,
        RESPONSE_TIMEOUT_SECONDS=TIMEOUT_SECONDS,
        HEDGE_DELAY_SECONDS=0.02,
        is_local_agent=True,
    )


@hypothesis.seed(0xC10F8EFB5DE9695B4E9E370EF9FB4C44956406B1BF8219AFD2EEA1BAE0F16E768C5810CA406B57436153FA86FD0B2896)
@given(st.integers(0, 40))
def test_backoff_stays_within_its_limit_and_is_jittered(failures):
    async def main():
        watcher = EndpointWatcher(("127.0.0.1", 9), None, None, Counters(), None, seed=failures)
        delays = [watcher._backoff_delay(failures) for _ in range(50)]
        assert min(delays) > 0 and max(delays) <= watch_policy.MAX_BACKOFF_SECONDS
        assert len(set(delays)) == 50  # balancers whose calls failed together do not retry together
        watcher.change_address(("127.0.0.1", 10))
        assert max(watcher._backoff_delay(failures) for _ in range(50)) <= watch_policy.INITIAL_BACKOFF_SECONDS

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
def test_values_are_complete_for_any_indentation_and_segmentation(lists, segment_lengths, line_end):
    """The uids contain brackets, quotes and backslashes."""
    expected, data = [], b""
    for uids, indent in lists:
        value = {"rev": 1, "all": True, "targets": [{"uid": uid + '{"['} for uid in uids]}
        expected.append(value)
        data += json.dumps(value, indent=indent).encode().replace(b"\n", line_end) + line_end + line_end
    splitter, values, offset = JsonValueSplitter(), [], 0
    for length in [*segment_lengths, len(data) + 1]:
        values += splitter.feed(data[offset : offset + length])
        offset += length
    assert [json.loads(document) for document in values if document] == expected and splitter.finish() is None


@pytest.mark.parametrize("data", [b"x" * (MAX_VALUE_BYTES + 1), b"{\n" + b'"a":1,\n' * (MAX_VALUE_BYTES // 7 + 1)])
def test_value_over_the_size_limit_raises_an_error(data):
    splitter = JsonValueSplitter()
    with pytest.raises(ValueTooLongError, match="longer than"):
        for offset in range(0, len(data), 65536):
            list(splitter.feed(data[offset : offset + 65536]))


def test_stream_that_ends_within_a_value_raises_an_error_and_yields_no_value():
    splitter = JsonValueSplitter()
    assert list(splitter.feed(endpoint_list(1, "s-0", indent=1)[:-5])) == []
    with pytest.raises(IncompleteValueError, match="ends within"):
        splitter.finish()


# ------------------------------------------------------------ silence


@pytest.mark.parametrize(
    "data",
    [
        b" ",
        b"{",
        b'{"rev":',
        http_chunk(b" "),
        http_chunk(b'{"rev":'),
        http_chunk(b"{\n"),
        http_chunk(b'{"rev":2,\n"all":\n'),
    ],
    ids=repr,
)
def test_incomplete_data_does_not_prevent_the_silence_timeout(data):
    def never_complete(server, connection):
        connection.sendall(HEAD + http_chunk(endpoint_list(1, "s-0")))
        server.signals["first list applied"].wait(TIMEOUT_SECONDS)
        server.send_repeatedly(connection, data)

    async def scenario(context):
        await wait_until_async(lambda: context.driver.updates)
        context.server.signals["first list applied"].set()
        await wait_until_async(lambda: len(context.driver.updates) == 2)
        assert context.driver.updates[-1] == (EndpointUpdateScope.COMPLETE, (2, ["s-1"]))

    run_watcher(ScriptedDiscovery(never_complete, serve_watch(endpoint_list(2, "s-1"))), scenario)


def test_empty_lines_within_a_value_are_not_heartbeats():
    def never_complete(server, connection):
        connection.sendall(HEAD + http_chunk(endpoint_list(1, "s-0") + b'{"rev": 2,\n'))
        server.send_repeatedly(connection, http_chunk(b"\r\n"))

    async def scenario(context):
        await wait_until_async(lambda: len(context.driver.updates) == 2)
        assert context.driver.revisions == [1, 3]

    run_watcher(ScriptedDiscovery(never_complete, serve_watch(endpoint_list(3, "s-1"))), scenario)


def test_list_is_confirmed_by_complete_lines_and_heartbeats_and_not_by_failed_calls():
    def serve_when_told(server, connection):
        server.signals["serve"].wait()
        serve_watch(endpoint_list(1, "s-0"))(server, connection)

    async def scenario(context):
        await wait_until_async(lambda: len(context.server.calls) >= 2)
        assert context.driver.confirmed_at == float("-inf")  # no call has succeeded yet
        context.server.signals["serve"].set()
        await wait_until_async(lambda: context.driver.updates)
        confirmed_at = context.driver.confirmed_at
        assert trio.current_time() - 1.0 < confirmed_at <= trio.current_time()
        await wait_until_async(lambda: context.driver.confirmed_at > confirmed_at)  # by a heartbeat
        context.server.close()
        await wait_until_async(lambda: context.watcher.state is not WatchState.FOLLOWING)
        confirmed_at = context.driver.confirmed_at
        await trio.sleep(0.2)
        assert context.driver.confirmed_at == confirmed_at  # the service cannot be reached

    run_watcher(ScriptedDiscovery(reject_call, serve_when_told), scenario)


def test_heartbeats_keep_a_watch_open():
    async def scenario(context):
        await wait_until_async(lambda: context.driver.updates)
        await trio.sleep(3 * watch_policy.SILENCE_TIMEOUT_SECONDS)
        assert len(context.server.calls) == 1

    run_watcher(ScriptedDiscovery(serve_watch(endpoint_list(1, "s-0"))), scenario)


@pytest.mark.parametrize(
    "first_script",
    [
        hang,
        send_data(HEAD),
        send_data(HEAD + b"10\r\n"),
        send_data(b"HTTP/1.1 200 OK\r\n\r\n"),
        send_data(b"HTTP/1.1 2"),
    ],
)
def test_call_without_a_complete_line_is_hedged_and_the_first_to_respond_is_followed(first_script):
    """The first call is not cancelled, since it may only be queued, but it must not delay the change."""

    async def scenario(context):
        await wait_until_async(lambda: context.driver.updates)
        assert context.driver.revisions == [3] and len(context.server.calls) == 2
        await wait_until_async(lambda: len(context.watcher._calls) == 1)  # only the followed call is left
        context.server.connections[0].settimeout(TIMEOUT_SECONDS)
        assert context.server.connections[0].recv(10) == b""  # the hung call was closed

    run_watcher(
        ScriptedDiscovery(first_script, serve_watch(endpoint_list(3, "s-0"))),
        scenario,
        RESPONSE_TIMEOUT_SECONDS=TIMEOUT_SECONDS,
    )


def test_hung_hedged_call_does_not_end_the_followed_call():
    def serve_late(server, connection):
        server.signals["second call made"].wait(TIMEOUT_SECONDS)
        serve_watch(endpoint_list(4, "s-0"))(server, connection)

    async def scenario(context):
        await wait_until_async(lambda: len(context.server.calls) == 2)
        context.server.signals["second call made"].set()  # the first call is served now
        await wait_until_async(lambda: context.driver.updates)
        await trio.sleep(0.3)
        assert context.driver.revisions == [4] and len(context.server.calls) == 2 and len(context.watcher._calls) == 1

    run_watcher(ScriptedDiscovery(serve_late, hang), scenario, RESPONSE_TIMEOUT_SECONDS=TIMEOUT_SECONDS)


# ------------------------------------------------------------ invalid responses


CONTENT_LENGTH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


@pytest.mark.parametrize(
    "script",
    [
        # The connection is reset within a list.
        send_data(HEAD + http_chunk(endpoint_list(7, "s-0"))[:40], reset),
        # The response ends regularly, but within a list.
        send_data(HEAD + http_chunk(endpoint_list(7, "s-0", indent=2)[:60]) + b"0\r\n\r\n"),
        # The response is shorter than its Content-Length, and its value lacks the line end.
        send_data(CONTENT_LENGTH_HEAD % 500 + endpoint_list(7, "s-0")[:-1], reset),
        send_data(HEAD, reset),
        reject_call,
        send_data(b"", reset),
        send_data(b"\0\xff\r\n\r\n", reset),
        send_data(HEAD + http_chunk(b"x" * 50 + b"\n")),
        send_data(HEAD + http_chunk(b'{"targets": 5}\n')),
        send_data(HEAD + http_chunk(b'{"targets": [{"uid": ""}]}\n')),
        send_data(HEAD + http_chunk(b"y" * 65536) * 40),
    ],
)
def test_truncated_or_invalid_response_changes_nothing_and_the_call_is_repeated(script):
    async def scenario(context):
        await wait_until_async(lambda: context.driver.updates)
        assert context.driver.revisions == [9] and context.watcher.revision == 9
        assert context.server.calls[:2] == [f"{DISCOVERY_PATH}?watch=1&from=5"] * 2

    run_watcher(ScriptedDiscovery(script, serve_watch(endpoint_list(9, "s-0"))), scenario, revision=5)


@pytest.mark.parametrize("break_connection", [reset, lambda connection: connection.shutdown(1)])
def test_complete_list_is_applied_if_its_connection_breaks_right_after_it(break_connection):
    def list_then_break(server, connection):
        connection.sendall(HEAD + http_chunk(endpoint_list(7, "s-0")))
        server.signals["list applied"].wait(TIMEOUT_SECONDS)
        break_connection(connection)

    async def scenario(context):
        await wait_until_async(lambda: context.driver.updates)
        assert context.watcher.revision == 7
        context.server.signals["list applied"].set()
        await wait_until_async(lambda: len(context.driver.updates) == 2)
        assert context.server.calls[1].endswith("from=7")

    run_watcher(ScriptedDiscovery(list_then_break, serve_watch(endpoint_list(8, "s-1", complete=False))), scenario)


def test_update_lost_by_an_internal_error_is_requested_again():
    """Guards against setting the revision before applying the update: one that failed was never requested again."""

    async def scenario(context):
        await wait_until_async(lambda: context.driver.updates)
        assert context.server.calls[1].endswith("from=5") and context.driver.revisions == [6]
        assert [fields["error"] for name, fields in context.events if name == "internal_error"]

    run_watcher(ScriptedDiscovery(serve_watch(endpoint_list(6, "s-0"))), scenario, revision=5, faults=1)


def test_calls_are_repeated_in_time_after_many_rejections_in_a_row():
    async def scenario(context):
        await wait_until_async(lambda: context.driver.updates)
        assert len(context.server.calls) == 13

    run_watcher(ScriptedDiscovery(*[reject_call] * 12, serve_watch(endpoint_list(9, "s-0"))), scenario)


# ------------------------------------------------------------ outdated updates


def test_complete_list_requested_before_a_newer_change_is_ignored():
    """The first call is served only after the second has returned a change."""

    def serve_late(server, connection):
        server.signals["change applied"].wait(TIMEOUT_SECONDS)
        connection.sendall(HEAD + http_chunk(endpoint_list(5, "old")))

    async def scenario(context):
        await wait_until_async(lambda: len(context.server.calls) == 2)
        context.watcher._calls[0].scope = trio.CancelScope()  # so that the first call is not cancelled in time
        context.server.signals["first call kept"].set()
        await wait_until_async(lambda: context.driver.updates)
        context.server.signals["change applied"].set()
        await wait_until_async(lambda: context.watcher._counters["endpoint_updates_ignored"])
        assert context.driver.revisions == [6] and context.watcher.revision == 6

    def serve_change(server, connection):
        server.signals["first call kept"].wait(TIMEOUT_SECONDS)
        serve_watch(endpoint_list(6, "new", complete=False))(server, connection)

    run_watcher(
        ScriptedDiscovery(serve_late, serve_change), scenario, revision=4, RESPONSE_TIMEOUT_SECONDS=TIMEOUT_SECONDS
    )


def test_lower_revisions_of_a_restarted_service_are_applied():
    def list_then_restart(server, connection):
        connection.sendall(HEAD + http_chunk(endpoint_list(40, "s-0")))
        server.signals["list applied"].wait(TIMEOUT_SECONDS)
        reset(connection)

    async def scenario(context):
        await wait_until_async(lambda: context.driver.updates)
        context.server.signals["list applied"].set()
        await wait_until_async(lambda: len(context.driver.updates) == 4)
        assert context.driver.revisions == [40, 2, 3, 4] and context.watcher.revision == 4

    run_watcher(
        ScriptedDiscovery(
            list_then_restart,
            serve_watch(
                endpoint_list(2, "s-1"),
                endpoint_list(3, "s-2", complete=False),
                endpoint_list(4, "s-3", complete=False),
            ),
        ),
        scenario,
    )


def test_change_with_an_older_revision_is_ignored():
    async def scenario(context):
        await wait_until_async(lambda: len(context.driver.updates) == 2)
        assert context.driver.revisions == [6, 7]

    run_watcher(
        ScriptedDiscovery(
            serve_watch(
                endpoint_list(6, "s-0"),
                endpoint_list(5, "s-1", complete=False),
                endpoint_list(7, "s-2", complete=False),
            )
        ),
        scenario,
    )


def test_response_from_the_old_address_is_ignored_after_an_address_change():
    new_server = ScriptedDiscovery(serve_watch(endpoint_list(2, "new")))

    def serve_late(server, connection):
        server.signals["address changed"].wait(TIMEOUT_SECONDS)
        with suppress(OSError):
            connection.sendall(HEAD + http_chunk(endpoint_list(9, "old")))

    async def scenario(context):
        await wait_until_async(lambda: context.server.calls)
        context.watcher.change_address(new_server.address)
        context.server.signals["address changed"].set()
        await wait_until_async(lambda: context.driver.updates)
        await trio.sleep(0.1)
        assert context.driver.revisions == [2]

    run_watcher(ScriptedDiscovery(serve_late), scenario, RESPONSE_TIMEOUT_SECONDS=TIMEOUT_SECONDS)
    new_server.close()


@pytest.mark.parametrize("old_script", [hang, reject_call, send_data(HEAD), serve_watch(endpoint_list(1, "old"))])
def test_address_change_takes_effect_at_once_in_any_state_of_the_watch(old_script):
    """While connecting, waiting or following, the new address is called without the backoff of the old one."""
    new_server = ScriptedDiscovery(reject_call, serve_watch(endpoint_list(2, "new")))

    async def scenario(context):
        await wait_until_async(lambda: context.server.calls)
        context.watcher.change_address(new_server.address)
        await wait_until_async(lambda: (2, ["new"]) in [entries for _, entries in context.driver.updates])

    run_watcher(
        ScriptedDiscovery(old_script),
        scenario,
        MAX_BACKOFF_SECONDS=TIMEOUT_SECONDS,
        RESPONSE_TIMEOUT_SECONDS=TIMEOUT_SECONDS,
    )
    new_server.close()


def test_address_change_ends_the_backoff_caused_by_the_old_address():
    new_server = ScriptedDiscovery(serve_watch(endpoint_list(2, "new")))

    async def scenario(context):
        await wait_until_async(lambda: [name for name, _ in context.events if name == "discovery_call_failed"])
        await trio.testing.wait_all_tasks_blocked()
        context.watcher.change_address(new_server.address)
        await wait_until_async(lambda: context.driver.updates)

    run_watcher(
        ScriptedDiscovery(reject_call),
        scenario,
        INITIAL_BACKOFF_SECONDS=3 * TIMEOUT_SECONDS,
        MAX_BACKOFF_SECONDS=3 * TIMEOUT_SECONDS,
    )
    new_server.close()


# ------------------------------------------------------------ the balancer process


def test_balancer_process_applies_indented_lists_and_a_drain_in_one(deploy, monkeypatch):
    monkeypatch.setattr(
        StubDiscovery,
        "_format_update",
        lambda discovery, complete, entries: (
            json.dumps({"rev": discovery.revision, "all": complete, "targets": entries}, indent=2).encode() + b"\r\n"
        ),
    )
    deployment = deploy()
    deployment.drain(deployment.servers[0])
    for _ in range(4):
        with deployment.client() as client:
            assert client.open() == b"UP s-1\r\n"


@pytest.mark.parametrize("pushed", [False, True])
def test_reload_while_discovery_rejects_and_sigterm_while_it_hangs_are_handled_in_time(tmp_path, pushed):
    """The process must exit in time although the discovery call hangs."""
    server = StubServer("s-0")
    old_server, new_server = ScriptedDiscovery(reject_call), ScriptedDiscovery(hang)
    settings = {**SETTINGS, "discovery": "pushed" if pushed else "on_request"}
    balancer = BalancerProcess(tmp_path, old_server.address, [server.endpoint_entry()], settings=settings)
    try:
        wait_until(lambda: len(old_server.calls) > 2, "calls")
        balancer.reload(discovery=f"{new_server.address[0]}:{new_server.address[1]}")
        wait_until(lambda: new_server.calls, "a call at the new address")
        balancer.process.send_signal(signal.SIGTERM)
        assert balancer.process.wait(TIMEOUT_SECONDS) == 0
        assert "internal_errors" not in balancer.events("counters_reported")[0]["counts"]
    finally:
        balancer.kill()
        for stand_in in (old_server, new_server, server):
            stand_in.close()
