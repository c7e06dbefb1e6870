"""Messages between replicas: datagrams of JSON behind an HMAC-SHA256 tag under the shared key.

No other module knows the field names of the store's wire format.
"""

from __future__ import annotations

import hmac
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

import orjson

from aspensaddle.store.state import BUCKET_COUNT, KEY_PATTERN, NODE_PATTERN, Entry
from aspensaddle.support.json_fields import (
    DecodeError,
    Message,
    array,
    as_object,
    choice,
    flag,
    integer,
    obj,
    raw,
    text,
)

MAX_DATAGRAM_BYTES = 8192
TAG_BYTES = 32
MAX_ENVELOPE_BYTES = 200  # upper bound of a datagram's size without its entries
MAX_CLOCK_DIFFERENCE_MS = 60_000  # limit between two nodes' clocks; bounds how long a datagram can be replayed


class ReplicaPhase(Enum):
    """What a replica can promise about its entries; the values stand on the wire.

    Attributes:
        SEARCHING: It has just started, and no peer that holds the entries has answered yet.
        COPYING: It copies the entries of a peer.
        SERVING: It holds what its peers held when it started, or started without them.
        LEAVING: It holds the same, and exits once its peers hold it too.
    """

    SEARCHING = "searching"
    COPYING = "copying"
    SERVING = "serving"
    LEAVING = "leaving"

    @property
    def is_joining(self) -> bool:
        """Whether the replica may lack entries that its peers hold."""
        return self in (ReplicaPhase.SEARCHING, ReplicaPhase.COPYING)


PHASE_BY_NAME = {phase.value: phase for phase in ReplicaPhase}


@dataclass(slots=True)
class BucketDigests:
    """The digests of all buckets of the sender.

    Attributes:
        digests: One digest for each bucket; empty for a bucket without entries.
        phase: The sender's phase. Replicas that know no phases leave it out, and count as serving.
        acknowledged: The combined digest of the receiver's entries that the sender held last, all of them; or empty.
        reply_wanted: Whether the receiver is asked for its own digests.
        instance: A random name of the sender's process; empty from replicas that know no phases.
        receiver_instance: The instance of the receiver that the sender has heard from, or empty. Digests that name
            another one may be older than the receiver's process.
    """

    digests: list[str]
    phase: ReplicaPhase = ReplicaPhase.SERVING
    acknowledged: str = ""
    reply_wanted: bool = True
    instance: str = ""
    receiver_instance: str = ""


@dataclass(slots=True)
class SummaryRequest:
    """A request for the version summaries of the given buckets."""

    buckets: list[int]


@dataclass(slots=True)
class VersionSummary:
    """The version digest of each entry in one bucket of the sender, by key."""

    bucket: int
    versions: dict[str, str]


@dataclass(slots=True)
class EntryRequest:
    """A request for the entries of the given keys."""

    keys: list[str]


@dataclass(slots=True)
class EntryBatch:
    """Entries that the sender wrote or was asked for, or that differ from the receiver's version summary."""

    entries: list[Entry] = field(default_factory=list)


Body = BucketDigests | SummaryRequest | VersionSummary | EntryRequest | EntryBatch


@dataclass(slots=True)
class AuthenticatedMessage:
    """A message from a holder of the shared key.

    Attributes:
        node: The sender's node name.
        body: The content of the message.
    """

    node: str
    body: Body


def encode_datagram(key: bytes, node: str, now_ms: int, body: Body) -> bytes:
    """Return a message as an authenticated datagram.

    Args:
        key: The shared key.
        node: The sender's node name.
        now_ms: The sender's Unix time in milliseconds.
        body: The content of the message.
    """
    data = orjson.dumps({"node": node, "at": now_ms, **_body_fields(body)})
    return hmac.digest(key, data, "sha256") + data


def _body_fields(body: Body) -> Message:
    match body:
        case BucketDigests():
            return {
                "kind": "sums",
                "sums": body.digests,
                "phase": body.phase.value,
                "held": body.acknowledged,
                "reply": body.reply_wanted,
                "instance": body.instance,
                "to": body.receiver_instance,
            }
        case SummaryRequest():
            return {"kind": "asks", "buckets": body.buckets}
        case VersionSummary():
            return {"kind": "marks", "bucket": body.bucket, "marks": body.versions}
        case EntryRequest():
            return {"kind": "wants", "keys": body.keys}
        case EntryBatch():
            return {"kind": "entries", "entries": [_encode_entry(entry) for entry in body.entries]}


def decode_datagram(key: bytes, now_ms: int, datagram: bytes) -> AuthenticatedMessage:
    """Verify a datagram and decode its message.

    Args:
        key: The shared key.
        now_ms: The receiver's Unix time in milliseconds.
        datagram: The received bytes.

    Raises:
        DecodeError: If its tag does not match the key, it was not sent recently, or it is malformed.
    """
    data = datagram[TAG_BYTES:]
    if not hmac.compare_digest(hmac.digest(key, data, "sha256"), datagram[:TAG_BYTES]):
        raise DecodeError("datagram tag does not match the shared key")
    try:
        message = as_object(orjson.loads(data), "datagram")
    except orjson.JSONDecodeError:
        raise DecodeError("datagram is not JSON") from None
    node = text(message, "node")
    if not NODE_PATTERN.fullmatch(node):
        raise DecodeError(f"node {node!r:.40} is not a valid node name")
    if abs(integer(message, "at") - now_ms) > MAX_CLOCK_DIFFERENCE_MS:
        raise DecodeError(f"at must be within {MAX_CLOCK_DIFFERENCE_MS} ms of the receiver's clock")
    return AuthenticatedMessage(node, _decode_body(message))


def _decode_body(message: Message) -> Body:
    match text(message, "kind"):
        case "sums":
            return _decode_bucket_digests(message)
        case "asks":
            return SummaryRequest([_bucket_number(number, "buckets") for number in array(message, "buckets")])
        case "marks":
            return _decode_version_summary(message)
        case "wants":
            return EntryRequest([_string(key, "keys") for key in array(message, "keys")])
        case "entries":
            return EntryBatch([_decode_entry(row) for row in array(message, "entries")])
        case kind:
            raise DecodeError(f"kind must be sums, asks, marks, wants or entries, not {kind!r:.40}")


def _decode_bucket_digests(message: Message) -> BucketDigests:
    digests = [_string(digest, "sums") for digest in array(message, "sums")]
    if len(digests) != BUCKET_COUNT:
        raise DecodeError(f"sums must hold one digest for each bucket, {BUCKET_COUNT} in all, not {len(digests)}")
    return BucketDigests(
        digests,
        phase=choice(message, "phase", PHASE_BY_NAME, ReplicaPhase.SERVING),
        acknowledged=_string(raw(message, "held", ""), "held"),
        reply_wanted=flag(message, "reply", True),
        instance=_string(raw(message, "instance", ""), "instance"),
        receiver_instance=_string(raw(message, "to", ""), "to"),
    )


def _decode_version_summary(message: Message) -> VersionSummary:
    versions = obj(message, "marks")
    return VersionSummary(
        _bucket_number(integer(message, "bucket"), "bucket"),
        {key: _string(digest, "marks") for key, digest in versions.items() if KEY_PATTERN.fullmatch(key)},
    )


def _bucket_number(value: object, name: str) -> int:
    if type(value) is not int or not 0 <= value < BUCKET_COUNT:
        raise DecodeError(f"{name} must be 0 to {BUCKET_COUNT - 1}, not {value!r:.40}")
    return value


def _decode_entry(value: object) -> Entry:
    if type(value) is not list or len(value) != 4:
        raise DecodeError("entries must hold arrays of [key, version, node, value]")
    key, version, node, content = value
    if type(version) is not int or (content is not None and type(content) is not str):
        raise DecodeError("entries must hold arrays of [key, version, node, value]")
    return Entry(_string(key, "key"), version, _string(node, "node"), content)


def _encode_entry(entry: Entry) -> list[str | int | None]:
    return [entry.key, entry.version, entry.node, entry.value]


def _string(value: object, name: str) -> str:
    if type(value) is not str:
        raise DecodeError(f"{name} must hold strings")
    return value


def split_into_batches(entries: Iterable[Entry]) -> Iterator[EntryBatch]:
    """Yield the entries, in order, in as few batches as possible that each fit into a datagram."""
    batch, free_bytes = EntryBatch(), MAX_DATAGRAM_BYTES - MAX_ENVELOPE_BYTES
    for entry in entries:
        size = len(orjson.dumps(_encode_entry(entry))) + 1  # the entry and the comma after it
        if size > free_bytes and batch.entries:
            yield batch
            batch, free_bytes = EntryBatch(), MAX_DATAGRAM_BYTES - MAX_ENVELOPE_BYTES
        batch.entries.append(entry)
        free_bytes -= size
    if batch.entries:
        yield batch
