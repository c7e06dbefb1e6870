"""Routable connection IDs: the draft's test vectors, all formats, key rotation and the lookup of servers."""

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from aspensaddle.frontends.quic.connection_id_directory import ConnectionIdDirectory, ConnectionIdKind, IdConfig
from aspensaddle.frontends.quic.connection_ids import IdFormat, derive_stateless_reset_token
from aspensaddle.frontends.quic.packets import MIN_STATELESS_RESET_BYTES, encode_stateless_reset

KEY = bytes.fromhex("8f95f09245765f80256934e50c66207f")  # key of the draft's appendix B
VECTORS = [  # config rotation, server ID, nonce, key, connection ID
    (0, "c4605e", "4504cc4f", None, "07c4605e4504cc4f"),
    (0, "ed793a", "ee080dbf", KEY, "0720b1d07b359d3c"),
    (1, "ed793a51d49b8f5fab65", "ee080dbf48", KEY, "2fcc381bc74cb4fbad2823a3d1f8fed2"),
    (2, "ed793a51d49b8f5f", "ee080dbf48c0d1e5", KEY, "504dd2d05a7b0de9b2b9907afb5ecf8cc3"),
    (0, "ed793a51d49b8f5fab", "ee080dbf48c0d1e55d", KEY, "125779c9cc86beb3a3a4a3ca96fce4bfe0cdbc"),
]


@pytest.mark.parametrize(("rotation", "server_id", "nonce", "key", "cid"), VECTORS)
def test_connection_ids_match_the_test_vectors_of_the_draft(rotation, server_id, nonce, key, cid):
    server_id, nonce, cid = map(bytes.fromhex, (server_id, nonce, cid))
    id_format = IdFormat(rotation, len(server_id), len(nonce), key, self_length=True)
    encoded = id_format.encode(server_id, nonce)
    assert encoded == cid and id_format.matches(cid) and id_format.decode(cid) == server_id


FORMATS = [
    IdFormat(index % 7, server_id_length, nonce_length, key, index % 2 == 0)
    for index, (server_id_length, nonce_length) in enumerate(
        (server_id_length, nonce_length)
        for server_id_length in range(1, 16)
        for nonce_length in range(4, 20 - server_id_length)
    )
    for key in (None, KEY)
]


# A derandomized test draws by the hash of its source; the seeds keep the draws of an earlier source.
@hypothesis.seed(0x835DE2B9367853CED2E403182EABC58A035B5BB38314B22B623EC2B8B202D20FF973B9E85B5616690BE99490F007E32C)
@given(st.sampled_from(FORMATS), st.binary(min_size=15, max_size=15))
def test_every_format_decodes_and_matches_the_connection_ids_that_it_encodes(id_format, random_bytes):
    server_id = random_bytes[: id_format.server_id_length]
    cid = id_format.encode(server_id)
    assert len(cid) == id_format.length <= 20 and cid[0] >> 5 == id_format.rotation
    assert id_format.matches(cid) and id_format.decode(cid) == server_id
    assert not id_format.matches(cid + b"x") and not id_format.matches(cid[:-1])
    assert id_format.key is None or cid != id_format.encode(server_id)


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
def test_format_with_a_value_out_of_range_is_rejected(wrong):
    with pytest.raises(ValueError, match="must"):
        IdFormat(**{"rotation": 1, "server_id_length": 2, "nonce_length": 6, **wrong})


def config(rotation, uids, key=KEY, retire_at=None, nonce_length=6, **fields):
    id_format = IdFormat(rotation, 2, nonce_length, key, **fields)
    return IdConfig(id_format, {bytes([0, n]): uid for n, uid in uids.items()}, retire_at)


def uid_or_kind(directory, cid, unix_time=0.0):
    info = directory.look_up(cid, unix_time)
    return info.uid or info.kind


def test_three_configurations_are_used_at_once_each_with_its_own_server_ids():
    plain, old, new = (
        config(0, {1: "a", 2: "b"}, None),
        config(3, {1: "b", 2: "a"}),
        config(6, {7: "a"}, nonce_length=14),
    )
    directory = ConnectionIdDirectory([plain, old, new])
    for id_config in (plain, old, new):
        for server_id, uid in id_config.uids.items():
            cid = id_config.format.encode(server_id)
            assert uid_or_kind(directory, cid) == uid
            assert directory.extract(cid + b"the rest") == cid and directory.extract(cid[:-1]) is None
    assert (
        uid_or_kind(directory, old.format.encode(b"\0\1"))
        == "b"
        != uid_or_kind(directory, plain.format.encode(b"\0\1"))
    )


def test_kinds_of_connection_ids_without_a_configured_server_are_distinguished():
    first = ConnectionIdDirectory([config(2, {1: "a", 2: "b"})])
    id_format = first.configs[2].format
    second = ConnectionIdDirectory([config(2, {1: "a"})], previous=first)
    third = ConnectionIdDirectory([config(2, {1: "a"})], previous=second)
    for directory in (second, third):
        assert uid_or_kind(directory, id_format.encode(b"\0\1")) == "a"
        assert directory.look_up(id_format.encode(b"\0\2"), 0).kind is ConnectionIdKind.REMOVED_SERVER
        assert uid_or_kind(directory, id_format.encode(b"\0\3")) is ConnectionIdKind.UNKNOWN_SERVER
        assert uid_or_kind(directory, b"\xe0" + bytes(9)) is ConnectionIdKind.UNROUTABLE
        assert (
            uid_or_kind(directory, b"\x20" + bytes(9))
            is ConnectionIdKind.UNKNOWN_CONFIG
            is uid_or_kind(directory, b"")
        )
        assert uid_or_kind(directory, id_format.encode(b"\0\1") + b"x") is ConnectionIdKind.UNKNOWN_CONFIG
    restored = ConnectionIdDirectory([config(2, {1: "a", 2: "b"})], previous=third)
    assert uid_or_kind(restored, id_format.encode(b"\0\2")) == "b"


def test_old_and_new_key_are_decoded_until_the_old_configuration_is_retired():
    old, new = config(0, {1: "a"}, retire_at=100.0), config(1, {1: "a"}, key=bytes(16))
    directory = ConnectionIdDirectory([old, new])
    cids = old.format.encode(b"\0\1"), new.format.encode(b"\0\1")
    assert [uid_or_kind(directory, cid, 99.9) for cid in cids] == ["a", "a"] and not directory.has_newly_retired(99.9)
    assert [uid_or_kind(directory, cid, 100.0) for cid in cids] == [ConnectionIdKind.RETIRED_CONFIG, "a"]
    assert directory.has_newly_retired(100.0) and not directory.has_newly_retired(101.0)
    assert not directory.may_identify_session(cids[0], 100.0) and directory.may_identify_session(cids[1], 100.0)


def test_connection_id_whose_length_field_is_wrong_belongs_to_no_configuration():
    directory = ConnectionIdDirectory([config(4, {1: "a"}, self_length=True)])
    cid = directory.configs[4].format.encode(b"\0\1")
    assert uid_or_kind(directory, cid) == "a"
    assert uid_or_kind(directory, bytes([cid[0] ^ 1]) + cid[1:]) is ConnectionIdKind.UNKNOWN_CONFIG


@hypothesis.seed(0xA5080C308BCEB524EB88062641426944ED5A90DAFF46DFD8AAF09FBD1FAA05BD915662D514B43A87A5CAFDD8AF90BF36)
@given(st.binary(max_size=24))
def test_any_bytes_are_looked_up_and_extracted_without_an_error(data):
    directory = ConnectionIdDirectory(
        [config(1, {1: "a"}), config(4, {1: "a"}, nonce_length=14)], unroutable_length=9
    )
    directory.look_up(data, 0.0)
    extracted = directory.extract(data)
    assert extracted is None or data.startswith(extracted) and len(extracted) in (9, 17)


@hypothesis.seed(0x3580BD96292153F36F2B5F7F35E848B6318AA5932B370A1AB38673268B675DAB8F32327E6EC2A77227D3380060618540)
@given(st.integers(0, 2000))
def test_stateless_reset_is_smaller_than_the_datagram_that_triggers_it(size):
    token = derive_stateless_reset_token(KEY, b"an id")
    reset = encode_stateless_reset(token, size)
    assert (reset is None) == (size <= MIN_STATELESS_RESET_BYTES)
    assert reset is None or reset[-16:] == token and len(reset) < size and reset[0] & 0xC0 == 0x40
