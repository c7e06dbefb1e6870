"""Messages between replicas: datagrams of JSON behind an HMAC-SHA256 tag under the shared key.

The only module that names the wire fields of the store.
"""

from __future__ import annotations

import hmac
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import orjson

from aspensaddle.store.state import BUCKET_COUNT, KEY_PATTERN, NODE_PATTERN, Entry
from aspensaddle.support.json_fields import DecodeError, Message, array, as_object, integer, obj, text

MAX_DATAGRAM_BYTES = 8192
TAG_BYTES = 32
ENVELOPE_BYTES = 200  # at most, of a datagram beside its entries
MAX_CLOCK_DIFFERENCE_MS = 60_000  # between the clocks of two nodes; bounds how long a datagram can be replayed


@dataclass(slots=True)
class BucketDigests:
    """The digests of all buckets of the sender."""

    digests: list[str]


@dataclass(slots=True)
class VersionSummary:
    """The version digest of each entry in one bucket of the sender, by key."""

    bucket: int
    versions: dict[str, str]


@dataclass(slots=True)
class EntryRequest:
    """Asks for the entries of some keys."""

    keys: list[str]


@dataclass(slots=True)
class EntryBatch:
    """Entries that the sender wrote, was asked for, or that the receiver seems to lack."""

    entries: list[Entry] = field(default_factory=list)


Body = BucketDigests | VersionSummary | EntryRequest | EntryBatch


@dataclass(slots=True)
class AuthenticatedMessage:
    """A message from a holder of the shared key.

    Attributes:
        node: The sender's name.
        body: What it says.
    """

    node: str
    body: Body


def encode_datagram(key: bytes, node: str, now_ms: int, body: Body) -> bytes:
    """Return a message as an authenticated datagram.

    Args:
        key: The shared key.
        node: The sender's name.
        now_ms: The sender's Unix time in milliseconds.
        body: What it says.
    """
    data = orjson.dumps({"node": node, "at": now_ms, **_body_fields(body)})
    return hmac.digest(key, data, "sha256") + data


def _body_fields(body: Body) -> Message:
    match body:
        case BucketDigests():
            return {"kind": "sums", "sums": body.digests}
        case VersionSummary():
            return {"kind": "marks", "bucket": body.bucket, "marks": body.versions}
        case EntryRequest():
            return {"kind": "wants", "keys": body.keys}
        case EntryBatch():
            return {"kind": "entries", "entries": [_entry_row(entry) for entry in body.entries]}


def decode_datagram(key: bytes, now_ms: int, datagram: bytes) -> AuthenticatedMessage:
    """Verify a datagram and decode its message.

    Args:
        key: The shared key.
        now_ms: The receiver's Unix time in milliseconds.
        datagram: What was received.

    Raises:
        DecodeError: If a holder of the key did not send it recently, or it is malformed.
    """
    data = datagram[TAG_BYTES:]
    if not hmac.compare_digest(hmac.digest(key, data, "sha256"), datagram[:TAG_BYTES]):
        raise DecodeError("the tag does not fit")
    try:
        message = as_object(orjson.loads(data), "a datagram")
    except orjson.JSONDecodeError:
        raise DecodeError("not JSON") from None
    node = text(message, "node")
    if not NODE_PATTERN.fullmatch(node):
        raise DecodeError("node is not a name")
    if abs(integer(message, "at") - now_ms) > MAX_CLOCK_DIFFERENCE_MS:
        raise DecodeError("at is not now")
    return AuthenticatedMessage(node, _decode_body(message))


def _decode_body(message: Message) -> Body:
    kind = text(message, "kind")
    if kind == "sums":
        return _decode_bucket_digests(message)
    if kind == "marks":
        return _decode_version_summary(message)
    if kind == "wants":
        return EntryRequest([_string(key, "keys") for key in array(message, "keys")])
    if kind == "entries":
        return EntryBatch([_decode_entry(row) for row in array(message, "entries")])
    raise DecodeError(f"kind {kind!r:.40} is not known")


def _decode_bucket_digests(message: Message) -> BucketDigests:
    digests = [_string(digest, "sums") for digest in array(message, "sums")]
    if len(digests) != BUCKET_COUNT:
        raise DecodeError("sums must be one a bucket")
    return BucketDigests(digests)


def _decode_version_summary(message: Message) -> VersionSummary:
    bucket = integer(message, "bucket")
    versions = obj(message, "marks")
    if not 0 <= bucket < BUCKET_COUNT:
        raise DecodeError("bucket is none")
    return VersionSummary(
        bucket,
        {key: _string(digest, "marks") for key, digest in versions.items() if KEY_PATTERN.fullmatch(key)},
    )


def _decode_entry(value: object) -> Entry:
    if type(value) is not list or len(value) != 4:
        raise DecodeError("an entry must be [key, version, node, value]")
    key, version, node, content = value
    if type(version) is not int or (content is not None and type(content) is not str):
        raise DecodeError("an entry must be [key, version, node, value]")
    return Entry(_string(key, "key"), version, _string(node, "node"), content)


def _entry_row(entry: Entry) -> list[str | int | None]:
    return [entry.key, entry.version, entry.node, entry.value]


def _string(value: object, name: str) -> str:
    if type(value) is not str:
        raise DecodeError(f"{name} must hold strings")
    return value


def split_into_batches(entries: Iterable[Entry]) -> Iterator[EntryBatch]:
    """Yield the entries in as few batches as fit into a datagram each."""
    batch, room = EntryBatch(), MAX_DATAGRAM_BYTES - ENVELOPE_BYTES
    for entry in entries:
        size = len(orjson.dumps(_entry_row(entry))) + 1
        if size > room and batch.entries:
            yield batch
            batch, room = EntryBatch(), MAX_DATAGRAM_BYTES - ENVELOPE_BYTES
        batch.entries.append(entry)
        room -= size
    if batch.entries:
        yield batch
