"""Routable ids: the draft's own vectors, all forms, rolling keys, and who an id belongs to."""

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from aspensaddle.frontends.quic.connection_id_directory import ConnectionIdDirectory, ConnectionIdKind, IdConfig
from aspensaddle.frontends.quic.connection_ids import IdFormat, derive_stateless_reset_token
from aspensaddle.frontends.quic.packets import MIN_STATELESS_RESET_BYTES, encode_stateless_reset

KEY = bytes.fromhex("8f95f09245765f80256934e50c66207f")  # of the draft's appendix B
VECTORS = [  # rotation, server id, nonce, key, the id
    (0, "c4605e", "4504cc4f", None, "07c4605e4504cc4f"),
    (0, "ed793a", "ee080dbf", KEY, "0720b1d07b359d3c"),
    (1, "ed793a51d49b8f5fab65", "ee080dbf48", KEY, "2fcc381bc74cb4fbad2823a3d1f8fed2"),
    (2, "ed793a51d49b8f5f", "ee080dbf48c0d1e5", KEY, "504dd2d05a7b0de9b2b9907afb5ecf8cc3"),
    (0, "ed793a51d49b8f5fab", "ee080dbf48c0d1e55d", KEY, "125779c9cc86beb3a3a4a3ca96fce4bfe0cdbc"),
]


@pytest.mark.parametrize(("rotation", "server_id", "nonce", "key", "cid"), VECTORS)
def test_the_draft_s_vectors(rotation, server_id, nonce, key, cid):
    server_id, nonce, cid = map(bytes.fromhex, (server_id, nonce, cid))
    form = IdFormat(rotation, len(server_id), len(nonce), key, self_length=True)
    made = form.encode(server_id, nonce)
    assert made == cid and form.matches(cid) and form.decode(cid) == server_id


FORMS = [
    IdFormat(r % 7, s, n, key, r % 2 == 0)
    for r, (s, n) in enumerate((s, n) for s in range(1, 16) for n in range(4, 20 - s))
    for key in (None, KEY)
]


@hypothesis.seed(0x835DE2B9367853CED2E403182EABC58A035B5BB38314B22B623EC2B8B202D20FF973B9E85B5616690BE99490F007E32C)
@given(st.sampled_from(FORMS), st.binary(min_size=15, max_size=15))
def test_every_legal_form_reads_what_it_wrote(form, octets):
    server_id = octets[: form.server_id_length]
    cid = form.encode(server_id)
    assert len(cid) == form.length <= 20 and cid[0] >> 5 == form.rotation
    assert form.matches(cid) and form.decode(cid) == server_id
    assert not form.matches(cid + b"x") and not form.matches(cid[:-1])
    assert form.key is None or cid != form.encode(server_id)


@pytest.mark.parametrize(
    "wrong",
    [
        {"rotation": 7},
        {"server_id_length": 0},
        {"nonce_length": 3},
        {"rotation": -1},
        {"server_id_length": 15, "nonce_length": 5},
        {"key": b"short"},
    ],
)
def test_impossible_formats_are_refused(wrong):
    with pytest.raises(ValueError, match="must"):
        IdFormat(**{"rotation": 1, "server_id_length": 2, "nonce_length": 6, **wrong})


def config(rotation, names, key=KEY, retire_at=None, **more):
    form = IdFormat(rotation, 2, more.pop("nonce", 6), key, **more)
    return IdConfig(form, {bytes([0, n]): uid for n, uid in names.items()}, retire_at)


def kind(directory, cid, unix_time=0.0):
    reading = directory.look_up(cid, unix_time)
    return reading.uid or reading.kind


def test_three_configurations_stand_side_by_side_each_with_server_ids_of_its_own():
    plain, old, new = config(0, {1: "a", 2: "b"}, None), config(3, {1: "b", 2: "a"}), config(6, {7: "a"}, nonce=14)
    directory = ConnectionIdDirectory([plain, old, new])
    for c in (plain, old, new):
        for server_id, uid in c.uids.items():
            cid = c.format.encode(server_id)
            assert kind(directory, cid) == uid
            assert directory.extract(cid + b"the rest") == cid and directory.extract(cid[:-1]) is None
    assert kind(directory, old.format.encode(b"\0\1")) == "b" != kind(directory, plain.format.encode(b"\0\1"))


def test_strangers_the_departed_the_unroutable_and_the_foreign_are_told_apart():
    before = ConnectionIdDirectory([config(2, {1: "a", 2: "b"})])
    form = before.configs[2].format
    now = ConnectionIdDirectory([config(2, {1: "a"})], previous=before)
    later = ConnectionIdDirectory([config(2, {1: "a"})], previous=now)
    for directory in (now, later):
        assert kind(directory, form.encode(b"\0\1")) == "a"
        assert directory.look_up(form.encode(b"\0\2"), 0).kind is ConnectionIdKind.REMOVED_SERVER
        assert kind(directory, form.encode(b"\0\3")) is ConnectionIdKind.UNKNOWN_SERVER
        assert kind(directory, b"\xe0" + bytes(9)) is ConnectionIdKind.UNROUTABLE
        assert kind(directory, b"\x20" + bytes(9)) is ConnectionIdKind.UNKNOWN_CONFIG is kind(directory, b"")
        assert kind(directory, form.encode(b"\0\1") + b"x") is ConnectionIdKind.UNKNOWN_CONFIG
    back = ConnectionIdDirectory([config(2, {1: "a", 2: "b"})], previous=later)
    assert kind(back, form.encode(b"\0\2")) == "b"


def test_a_rolled_key_reads_both_until_the_old_one_is_retired():
    old, new = config(0, {1: "a"}, retire_at=100.0), config(1, {1: "a"}, key=bytes(16))
    directory = ConnectionIdDirectory([old, new])
    ids = old.format.encode(b"\0\1"), new.format.encode(b"\0\1")
    assert [kind(directory, i, 99.9) for i in ids] == ["a", "a"] and not directory.has_newly_retired(99.9)
    assert [kind(directory, i, 100.0) for i in ids] == [ConnectionIdKind.RETIRED_CONFIG, "a"]
    assert directory.has_newly_retired(100.0) and not directory.has_newly_retired(101.0)
    assert not directory.may_identify_session(ids[0], 100.0) and directory.may_identify_session(ids[1], 100.0)


def test_an_id_that_lies_about_its_length_is_none():
    directory = ConnectionIdDirectory([config(4, {1: "a"}, self_length=True)])
    cid = directory.configs[4].format.encode(b"\0\1")
    assert kind(directory, cid) == "a"
    assert kind(directory, bytes([cid[0] ^ 1]) + cid[1:]) is ConnectionIdKind.UNKNOWN_CONFIG


@hypothesis.seed(0xA5080C308BCEB524EB88062641426944ED5A90DAFF46DFD8AAF09FBD1FAA05BD915662D514B43A87A5CAFDD8AF90BF36)
@given(st.binary(max_size=24))
def test_any_octets_are_read_as_something(data):
    directory = ConnectionIdDirectory([config(1, {1: "a"}), config(4, {1: "a"}, nonce=14)], unroutable_length=9)
    directory.look_up(data, 0.0)
    cut = directory.extract(data)
    assert cut is None or data.startswith(cut) and len(cut) in (9, 17)


@hypothesis.seed(0x3580BD96292153F36F2B5F7F35E848B6318AA5932B370A1AB38673268B675DAB8F32327E6EC2A77227D3380060618540)
@given(st.integers(0, 2000))
def test_a_reset_is_smaller_than_what_calls_for_it(size):
    token = derive_stateless_reset_token(KEY, b"an id")
    reset = encode_stateless_reset(token, size)
    assert (reset is None) == (size <= MIN_STATELESS_RESET_BYTES)
    assert reset is None or reset[-16:] == token and len(reset) < size and reset[0] & 0xC0 == 0x40
