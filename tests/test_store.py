"""The store: replicas agree despite lost datagrams, accept only messages under the shared key, and serve the daemons."""

import json
import socket
import subprocess
import sys
from random import Random

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st
from standins import ROOT, SETTINGS, TIMEOUT_SECONDS, BalancerProcess, Client, StubServer, free_port, wait_until

from aspensaddle.core.events import EndpointUpdateScope, ServerState
from aspensaddle.daemon.store_integration import StoredEndpointSource, parse_stored_endpoints
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import parse_endpoint_list
from aspensaddle.store.messages import (
    MAX_DATAGRAM_BYTES,
    AuthenticatedMessage,
    BucketDigests,
    EntryBatch,
    EntryRequest,
    VersionSummary,
    decode_datagram,
    encode_datagram,
    split_into_batches,
)
from aspensaddle.store.replica import Replica
from aspensaddle.store.settings import StoreSettings, parse_store_settings
from aspensaddle.store.state import (
    BUCKET_COUNT,
    MAX_KEYS,
    MAX_KEYS_IN_BUCKET,
    MAX_VALUE_BYTES,
    Entry,
    ReplicaState,
    StoreError,
)
from aspensaddle.support.counters import Counters
from aspensaddle.support.json_fields import DecodeError

SHARED_KEY = bytes(range(16))
NOW_MS = 1_796_122_829_834  # Unix time

write_operations = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["a", "b/c", "d.e"]),
        st.none() | st.text(max_size=5).filter(lambda value: value.isprintable()),
    ),
    max_size=30,
)


def replica_states(count=3):
    return [ReplicaState(f"n{index}", lambda index=index: NOW_MS + 7 * index) for index in range(count)]


def synchronize(first, second):
    """Compare two replicas and exchange their entries without losses."""
    for bucket in first.differing_buckets(second.bucket_digests()):
        difference = first.compare_bucket(bucket, second.version_summary(bucket))
        second.merge(difference.to_send)
        first.merge(second.entries[key] for key in difference.to_request)


@hypothesis.seed(0x32EF46795ACFF446281EF358AA3EBADBB347C5EB18E124410A093D67609EA14B63AD34F60535A86C38E779244A44502A)
@given(write_operations, st.integers(0, 1000))
def test_replicas_agree_on_the_last_write_after_comparisons_whatever_was_lost(operations, seed):
    states, random = replica_states(), Random(seed)
    for node_index, key, value in operations:
        entry = states[node_index].put(key, value)
        for other in states:
            if random.random() < 0.5:  # the other half of the datagrams is lost
                other.merge([entry])
    synchronize(states[0], states[1])
    synchronize(states[1], states[2])
    synchronize(states[0], states[1])
    assert states[0].bucket_digests() == states[1].bucket_digests() == states[2].bucket_digests()
    assert states[0].entries == states[1].entries == states[2].entries


def test_a_node_that_restarts_without_data_writes_newer_versions():
    node, peer = replica_states(2)
    for _ in range(5):
        node.put("k", "old")
    peer.merge(node.entries.values())
    restarted_node = ReplicaState("n0", lambda: NOW_MS + 1000)
    assert peer.merge([restarted_node.put("k", "new")]) and peer.get("k") == "new"


def test_invalid_entries_and_new_keys_over_the_limits_are_ignored():
    (state,) = replica_states(1)
    invalid_entries = [
        Entry("", 1, "n1", "x"),
        Entry("k", 0, "n1", "x"),
        Entry("k", NOW_MS * 2, "n1", "x"),
        Entry("k", 1, "", "x"),
        Entry("k", 1, "n1", "x" * MAX_VALUE_BYTES),
        Entry("k\n", 1, "n1", "x"),
    ]
    assert state.merge(invalid_entries) == [] and not state.entries
    with pytest.raises(StoreError):
        state.put("k", "\ud800")
    assert len(state.merge(Entry(f"k{number}", 1, "n1", "x") for number in range(3 * MAX_KEYS))) == MAX_KEYS
    assert state.merge([Entry("k1", 2, "n1", None)])  # an existing key can still be changed
    assert max(len(state.version_summary(bucket)) for bucket in range(BUCKET_COUNT)) <= MAX_KEYS_IN_BUCKET
    for bucket in range(BUCKET_COUNT):
        assert (
            len(
                encode_datagram(
                    SHARED_KEY,
                    "n" * 64,
                    NOW_MS,
                    VersionSummary(
                        bucket, {key.ljust(128, "x"): digest for key, digest in state.version_summary(bucket).items()}
                    ),
                )
            )
            < MAX_DATAGRAM_BYTES
        )


@hypothesis.seed(0x7567DA79F95164C4564CB59F4A8848985C160589EE69D20FEDD5447437F7E70CA94DD7A131568629BD6752B6BEDF3657)
@given(st.lists(st.text(max_size=900).filter(lambda candidate: len(json.dumps(candidate)) < 4000), max_size=20))
def test_batches_hold_all_entries_in_order_and_fit_into_datagrams(values):
    entries = [Entry(f"k{index}", 1, "n1", value) for index, value in enumerate(values)]
    batches = list(split_into_batches(entries))
    assert [entry for batch in batches for entry in batch.entries] == entries
    assert all(len(encode_datagram(SHARED_KEY, "n" * 64, NOW_MS, batch)) <= MAX_DATAGRAM_BYTES for batch in batches)


@pytest.mark.parametrize(
    "body",
    [
        BucketDigests([""] * BUCKET_COUNT),
        VersionSummary(3, {"k": "00"}),
        EntryRequest(["a", "b"]),
        EntryBatch([Entry("k", 1, "n1", None), Entry("l", 2, "n1", "v")]),
    ],
)
def test_a_message_is_decoded_only_with_the_shared_key_and_near_its_sending_time(body):
    datagram = encode_datagram(SHARED_KEY, "n1", NOW_MS, body)
    assert decode_datagram(SHARED_KEY, NOW_MS + 500, datagram) == AuthenticatedMessage("n1", body)
    for key, now_ms in ((SHARED_KEY[::-1], NOW_MS), (SHARED_KEY, NOW_MS + 10**6), (SHARED_KEY, NOW_MS - 10**6)):
        with pytest.raises(DecodeError):
            decode_datagram(key, now_ms, datagram)


@hypothesis.seed(0x3646A2C3960B9592804DF8AA3F21E27329EA24E91BF7E76A5DBDF4E3881AE00B64AE89C25E76D57EFE06707BE0BD0ED5)
@given(st.integers(0, 300), st.integers(0, 5), st.binary(max_size=5))
def test_a_changed_datagram_is_rejected(start, removed_length, inserted):
    datagram = encode_datagram(SHARED_KEY, "n1", NOW_MS, EntryBatch([Entry("k", 1, "n1", "v")]))
    changed = datagram[:start] + inserted + datagram[start + removed_length :]
    if changed != datagram:
        with pytest.raises(DecodeError):
            decode_datagram(SHARED_KEY, NOW_MS, changed)


@hypothesis.seed(0x0DF13A917426A32B702C54053E8CB667F9628CA703C0B422A576BC3EEA39F78BD80982194BC1E15A088EFAB47661EC81)
@given(
    st.recursive(
        st.none() | st.integers() | st.text(max_size=3),
        lambda values: (
            st.lists(values, max_size=3)
            | st.dictionaries(
                st.sampled_from(["kind", "node", "at", "sums", "marks", "bucket", "entries", "keys"]),
                values | st.sampled_from(["sums", "marks", "wants", "entries", "n1", NOW_MS]),
                max_size=4,
            )
        ),
    )
)
def test_any_json_under_a_valid_tag_is_decoded_or_rejected(value):
    import hmac

    data = json.dumps(value).encode()
    try:
        decode_datagram(SHARED_KEY, NOW_MS, hmac.digest(SHARED_KEY, data, "sha256") + data)
    except DecodeError as error:
        assert str(error)


def test_stored_endpoints_are_decoded_like_those_of_discovery_and_invalid_ones_are_reported():
    endpoint = {"uid": "s-1", "endpoint": "127.0.0.1:1", "state": "active"}
    stored = parse_stored_endpoints(
        {
            "runner/s-1": json.dumps(endpoint),
            "runner/s-2": json.dumps(endpoint),
            "runner/s-3": "{",
            "runner/s-4": None,
        }
    )
    assert [record.uid for record in stored.listed] == ["s-1"]
    assert stored.removed == ("s-4",) and len(stored.errors) == 2


class RecordedDriver:
    """Records the updates of the endpoint list."""

    def __init__(self):
        self.updates = []

    def update_endpoints(self, scope, endpoints=()):
        self.updates.append((scope, endpoints))


@pytest.fixture
def restarted_source():
    """The endpoint source of a daemon that knows s-1, s-2 and s-3 from before its restart; its store is empty."""
    settings = StoreSettings(SHARED_KEY, {"n0": ("127.0.0.1", 1), "n1": ("127.0.0.1", 2)})
    replica, registry, driver = Replica("n0", settings, Counters()), EndpointRegistry(("here",)), RecordedDriver()
    entries = [{"uid": f"s-{number}", "endpoint": f"127.0.0.1:{number}"} for number in (1, 2, 3)]
    registry.apply(parse_endpoint_list({"rev": 1, "all": True, "targets": entries}))
    return StoredEndpointSource(replica, driver, registry, Counters(), RecordedLog()), replica, registry, driver


class RecordedLog:
    """Records the events."""

    def __init__(self):
        self.events = []

    def event(self, event, **fields):
        self.events.append((event, fields))


def stored_entry(key, value, version=1):
    return Entry(key, version, "n1", value)


def known_servers(registry):
    return [uid for uid in ("s-1", "s-2", "s-3", "s-9") if registry.find(uid) is not None]


def test_server_without_an_entry_in_the_store_is_not_gone_and_one_whose_entry_was_removed_is(restarted_source):
    """Guards against a restarted replica, which has a part of the entries, ending the sessions of all other servers."""
    source, replica, registry, driver = restarted_source
    assert not source._publish() and known_servers(registry) == ["s-1", "s-2", "s-3"]
    replica.state.merge([stored_entry("runner/s-1", '{"uid": "s-1", "endpoint": "127.0.0.1:1"}')])
    assert source._publish() and known_servers(registry) == ["s-1", "s-2", "s-3"]
    scope, endpoints = driver.updates[-1]
    assert scope is EndpointUpdateScope.INCREMENTAL and [endpoint.state for endpoint in endpoints] == [
        ServerState.READY
    ]
    replica.state.merge([stored_entry("runner/s-2", None), stored_entry("runner/s-8", None)])
    assert source._publish() and known_servers(registry) == ["s-1", "s-3"]
    assert [endpoint.state for endpoint in driver.updates[-1][1]] == [ServerState.READY, ServerState.GONE]


def test_server_that_returns_to_the_store_is_listed_again(restarted_source):
    source, replica, registry, _ = restarted_source
    entry = '{"uid": "s-2", "endpoint": "127.0.0.1:2"}'
    replica.state.merge([stored_entry("runner/s-1", '{"uid": "s-1", "endpoint": "127.0.0.1:1"}')])
    for version, value in ((1, None), (2, entry), (3, None)):
        replica.state.merge([stored_entry("runner/s-2", value, version)])
        assert source._publish() and known_servers(registry) == (["s-1", "s-2", "s-3"] if value else ["s-1", "s-3"])


@pytest.mark.parametrize(
    ("field", "value"),
    [("key", "00"), ("key", "x"), ("nodes", {"n1": "x"}), ("gossip_s", 0), ("nodes", {"a b": "h:1"}), ("other", 1)],
)
def test_the_error_for_an_invalid_setting_names_it(field, value):
    valid_settings = {"enabled": True, "key": SHARED_KEY.hex(), "nodes": {"n1": "127.0.0.1:7001"}}
    assert parse_store_settings(valid_settings).nodes == {"n1": ("127.0.0.1", 7001)}
    with pytest.raises(DecodeError, match=field):
        parse_store_settings({**valid_settings, field: value})


def run_store_command(settings_file, *arguments):
    completed = subprocess.run(
        [sys.executable, "-m", "aspensaddle.store", str(settings_file), *arguments],
        cwd=ROOT,
        timeout=TIMEOUT_SECONDS,
        capture_output=True,
        text=True,
    )
    assert "Traceback" not in completed.stderr
    return completed.returncode, completed.stdout


def test_daemons_use_the_stored_endpoints_and_settings_before_and_after_restarts(tmp_path):
    server = StubServer("s-9")
    nodes = {node: f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for node in ("n0", "n1")}
    store_settings = (
        f'enabled = true\nrunners = true\ngossip_s = 0.1\nkey = "{SHARED_KEY.hex()}"\n[nodes]\n'
        + "".join(f'{node} = "{socket_address}"\n' for node, socket_address in nodes.items())
    )
    balancers = []
    try:
        for name in nodes:
            (tmp_path / name).mkdir()
            balancers.append(
                BalancerProcess(tmp_path / name, ("127.0.0.1", 9), [], store_toml=store_settings, name=name)
            )
        settings_file = tmp_path / "n0" / "store.toml"

        def serves(balancer):
            with Client(balancer.address) as client:
                return client.open("c=test-run,d=1000") == b"UP s-9\r\n"

        assert not serves(balancers[0])  # no server is known yet
        assert run_store_command(settings_file, "put", "runner/s-9", json.dumps(server.endpoint_entry())) == (0, "")
        request_classes = [{**SETTINGS["lanes"][0], "name": "renamed"}, *SETTINGS["lanes"]]
        assert run_store_command(
            settings_file, "put", "config/settings", json.dumps({**SETTINGS, "lanes": request_classes})
        ) == (0, "")
        for balancer in balancers:
            wait_until(lambda current=balancer: serves(current), "the use of the stored endpoint list")
        # Each restarts without data in turn and gets the entries back from the other.
        for balancer in balancers:
            balancer.kill()
            balancer.start()
            wait_until(
                lambda current=balancer: serves(current), "the use of the stored endpoint list after the restart"
            )
            with Client(balancer.address) as client:
                assert client.open("c=renamed,d=1000") == b"UP s-9\r\n"  # the stored settings are in force
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for data in (b"", b"x" * 40, b"y" * 9000):
            sender.sendto(data, ("127.0.0.1", int(nodes["n0"].split(":")[1])))
        sender.close()
        wait_until(
            lambda: balancers[0].counts().get("store_datagrams_rejected", 0) >= 3, "the count of invalid datagrams"
        )
        assert run_store_command(settings_file, "get", "runner/s-9")[1].startswith("{")
        assert run_store_command(settings_file, "remove", "runner/s-9") == (0, "")
        assert run_store_command(settings_file, "get", "runner/s-9")[0] == 1
        assert "internal_errors" not in balancers[0].counts()
    finally:
        for balancer in balancers:
            balancer.kill()
        server.close()
