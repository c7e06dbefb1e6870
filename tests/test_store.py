"""The store: replicas agree whatever is lost, nothing but the key speaks to them, and daemons take it up."""

import json
import socket
import subprocess
import sys
from random import Random

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st
from standins import ROOT, SETTINGS, WAIT, Client, Program, Runner, free_port, until

from aspensaddle.daemon.store_integration import parse_stored_endpoints
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
from aspensaddle.store.settings import parse_store_settings
from aspensaddle.store.state import (
    BUCKET_COUNT,
    MAX_KEYS,
    MAX_KEYS_IN_BUCKET,
    MAX_VALUE_BYTES,
    Entry,
    ReplicaState,
    StoreError,
)
from aspensaddle.support.json_fields import DecodeError

KEY = bytes(range(16))
NOW = 1_796_122_829_834

writes = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["a", "b/c", "d.e"]),
        st.none() | st.text(max_size=5).filter(lambda t: t.isprintable()),
    ),
    max_size=30,
)


def replicas(count=3):
    return [ReplicaState(f"n{i}", lambda i=i: NOW + 7 * i) for i in range(count)]


def compare(a, b):
    """One whole exchange in which nothing is lost."""
    for bucket in a.differing_buckets(b.bucket_digests()):
        difference = a.compare_bucket(bucket, b.version_summary(bucket))
        b.merge(difference.to_send)
        a.merge(b.entries[k] for k in difference.to_request)


@hypothesis.seed(0x32EF46795ACFF446281EF358AA3EBADBB347C5EB18E124410A093D67609EA14B63AD34F60535A86C38E779244A44502A)
@given(writes, st.integers(0, 1000))
def test_replicas_agree_on_the_last_writer_whatever_was_lost(ops, seed):
    states, random = replicas(), Random(seed)
    for n, key, value in ops:
        entry = states[n].put(key, value)
        for other in states:
            if random.random() < 0.5:  # the other half is lost
                other.merge([entry])
    compare(states[0], states[1])
    compare(states[1], states[2])
    compare(states[0], states[1])
    assert states[0].bucket_digests() == states[1].bucket_digests() == states[2].bucket_digests()
    assert states[0].entries == states[1].entries == states[2].entries


def test_a_node_that_forgot_all_still_writes_later_versions():
    a, b = replicas(2)
    for _ in range(5):
        a.put("k", "old")
    b.merge(a.entries.values())
    again = ReplicaState("n0", lambda: NOW + 1000)
    assert b.merge([again.put("k", "new")]) and b.get("k") == "new"


def test_what_can_t_be_kept_is_passed_over():
    (state,) = replicas(1)
    wrong = [
        Entry("", 1, "n1", "x"),
        Entry("k", 0, "n1", "x"),
        Entry("k", NOW * 2, "n1", "x"),
        Entry("k", 1, "", "x"),
        Entry("k", 1, "n1", "x" * MAX_VALUE_BYTES),
        Entry("k\n", 1, "n1", "x"),
    ]
    assert state.merge(wrong) == [] and not state.entries
    with pytest.raises(StoreError):
        state.put("k", "\ud800")
    assert len(state.merge(Entry(f"k{i}", 1, "n1", "x") for i in range(3 * MAX_KEYS))) == MAX_KEYS
    assert state.merge([Entry("k1", 2, "n1", None)])  # a known key still changes
    assert max(len(state.version_summary(b)) for b in range(BUCKET_COUNT)) <= MAX_KEYS_IN_BUCKET
    for b in range(BUCKET_COUNT):
        assert (
            len(
                encode_datagram(
                    KEY,
                    "n" * 64,
                    NOW,
                    VersionSummary(b, {k.ljust(128, "x"): m for k, m in state.version_summary(b).items()}),
                )
            )
            < MAX_DATAGRAM_BYTES
        )


@hypothesis.seed(0x7567DA79F95164C4564CB59F4A8848985C160589EE69D20FEDD5447437F7E70CA94DD7A131568629BD6752B6BEDF3657)
@given(st.lists(st.text(max_size=900).filter(lambda t: len(json.dumps(t)) < 4000), max_size=20))
def test_entries_fit_into_datagrams(values):
    entries = [Entry(f"k{i}", 1, "n1", v) for i, v in enumerate(values)]
    parts = list(split_into_batches(entries))
    assert [e for p in parts for e in p.entries] == entries
    assert all(len(encode_datagram(KEY, "n" * 64, NOW, p)) <= MAX_DATAGRAM_BYTES for p in parts)


@pytest.mark.parametrize(
    "body",
    [
        BucketDigests([""] * BUCKET_COUNT),
        VersionSummary(3, {"k": "00"}),
        EntryRequest(["a", "b"]),
        EntryBatch([Entry("k", 1, "n1", None), Entry("l", 2, "n1", "v")]),
    ],
)
def test_messages_are_read_by_the_key_s_holders_now(body):
    data = encode_datagram(KEY, "n1", NOW, body)
    assert decode_datagram(KEY, NOW + 500, data) == AuthenticatedMessage("n1", body)
    for key, now in ((KEY[::-1], NOW), (KEY, NOW + 10**6), (KEY, NOW - 10**6)):
        with pytest.raises(DecodeError):
            decode_datagram(key, now, data)


@hypothesis.seed(0x3646A2C3960B9592804DF8AA3F21E27329EA24E91BF7E76A5DBDF4E3881AE00B64AE89C25E76D57EFE06707BE0BD0ED5)
@given(st.integers(0, 300), st.integers(0, 5), st.binary(max_size=5))
def test_changed_datagrams_are_refused(at, cut, new):
    data = encode_datagram(KEY, "n1", NOW, EntryBatch([Entry("k", 1, "n1", "v")]))
    changed = data[:at] + new + data[at + cut :]
    if changed != data:
        with pytest.raises(DecodeError):
            decode_datagram(KEY, NOW, changed)


@hypothesis.seed(0x0DF13A917426A32B702C54053E8CB667F9628CA703C0B422A576BC3EEA39F78BD80982194BC1E15A088EFAB47661EC81)
@given(
    st.recursive(
        st.none() | st.integers() | st.text(max_size=3),
        lambda v: (
            st.lists(v, max_size=3)
            | st.dictionaries(
                st.sampled_from(["kind", "node", "at", "sums", "marks", "bucket", "entries", "keys"]),
                v | st.sampled_from(["sums", "marks", "wants", "entries", "n1", NOW]),
                max_size=4,
            )
        ),
    )
)
def test_sealed_garbage_is_refused_or_read(value):
    import hmac

    data = json.dumps(value).encode()
    try:
        decode_datagram(KEY, NOW, hmac.digest(KEY, data, "sha256") + data)
    except DecodeError as e:
        assert str(e)


def test_runners_are_read_as_discovery_s_and_wrong_ones_are_told():
    good = {"uid": "s-1", "endpoint": "127.0.0.1:1", "state": "active"}
    stored = parse_stored_endpoints(
        {"runner/s-1": json.dumps(good), "runner/s-2": json.dumps(good), "runner/s-3": "{"}
    )
    assert stored.update.complete and [t.uid for t in stored.update.endpoints] == ["s-1"] and len(stored.errors) == 2


@pytest.mark.parametrize(
    ("field", "value"),
    [("key", "00"), ("key", "x"), ("nodes", {"n1": "x"}), ("gossip_s", 0), ("nodes", {"a b": "h:1"}), ("other", 1)],
)
def test_wrong_settings_name_the_field(field, value):
    good = {"enabled": True, "key": KEY.hex(), "nodes": {"n1": "127.0.0.1:7001"}}
    assert parse_store_settings(good).nodes == {"n1": ("127.0.0.1", 7001)}
    with pytest.raises(DecodeError, match=field):
        parse_store_settings({**good, field: value})


def operator(file, *args):
    done = subprocess.run(
        [sys.executable, "-m", "aspensaddle.store", str(file), *args],
        cwd=ROOT,
        timeout=WAIT,
        capture_output=True,
        text=True,
    )
    assert "Traceback" not in done.stderr
    return done.returncode, done.stdout


def test_daemons_take_their_runners_and_settings_from_the_store_and_keep_them_through_restarts(tmp_path):
    runner = Runner("s-9")
    nodes = {n: f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for n in ("n0", "n1")}
    toml = f'enabled = true\nrunners = true\ngossip_s = 0.1\nkey = "{KEY.hex()}"\n[nodes]\n' + "".join(
        f'{n} = "{a}"\n' for n, a in nodes.items()
    )
    programs = []
    try:
        for name in nodes:
            (tmp_path / name).mkdir()
            programs.append(Program(tmp_path / name, ("127.0.0.1", 9), [], store=toml, name=name))
        file = tmp_path / "n0" / "store.toml"

        def placed(program):
            with Client(program.address) as c:
                return c.open("c=test-run,d=1000") == b"UP s-9\r\n"

        assert not placed(programs[0])  # nobody to place it on yet
        assert operator(file, "put", "runner/s-9", json.dumps(runner.target())) == (0, "")
        lanes = [{**SETTINGS["lanes"][0], "name": "renamed"}, *SETTINGS["lanes"]]
        assert operator(file, "put", "config/settings", json.dumps({**SETTINGS, "lanes": lanes})) == (0, "")
        for program in programs:
            until(lambda p=program: placed(p), "the list")
        # one starts again from nothing, then the other: the store outlives both
        for program in programs:
            program.kill()
            program.start()
            until(lambda p=program: placed(p), "the list again")
            with Client(program.address) as c:
                assert c.open("c=renamed,d=1000") == b"UP s-9\r\n"  # the stored settings are in force
        garbage = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for data in (b"", b"x" * 40, b"y" * 9000):
            garbage.sendto(data, ("127.0.0.1", int(nodes["n0"].split(":")[1])))
        garbage.close()
        until(lambda: programs[0].counts().get("store_datagrams_rejected", 0) >= 3, "garbage is counted")
        assert operator(file, "get", "runner/s-9")[1].startswith("{")
        assert operator(file, "remove", "runner/s-9") == (0, "")
        assert operator(file, "get", "runner/s-9")[0] == 1
        assert "internal_errors" not in programs[0].counts()
    finally:
        for program in programs:
            program.kill()
        runner.close()
