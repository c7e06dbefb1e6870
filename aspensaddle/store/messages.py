"""What replicas say to each other: datagrams of JSON behind an HMAC-SHA256 tag of the shared key."""

from __future__ import annotations

import hmac
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import orjson

from aspensaddle.store.state import BUCKETS, KEY, NODE, Entry
from aspensaddle.support.json_fields import DecodeError, Message, array, as_object, integer, obj, text

DATAGRAM = 8192  # bytes at most
TAG = 32
FRESH = 60_000  # ms by which the sender's clock may differ: an older datagram is a replay


@dataclass(slots=True)
class Sums:
    """The sums of all buckets."""

    sums: list[str]


@dataclass(slots=True)
class Marks:
    """The marks of all entries of one bucket."""

    bucket: int
    marks: dict[str, str]


@dataclass(slots=True)
class Wants:
    keys: list[str]


@dataclass(slots=True)
class Entries:
    entries: list[Entry] = field(default_factory=list)


Body = Sums | Marks | Wants | Entries


def seal(key: bytes, node: str, now_ms: int, body: Body) -> bytes:
    match body:
        case Sums():
            fields: Message = {"kind": "sums", "sums": body.sums}
        case Marks():
            fields = {"kind": "marks", "bucket": body.bucket, "marks": body.marks}
        case Wants():
            fields = {"kind": "wants", "keys": body.keys}
        case Entries():
            rows = [[e.key, e.version, e.node, e.value] for e in body.entries]
            fields = {"kind": "entries", "entries": rows}
    data = orjson.dumps({"node": node, "at": now_ms, **fields})
    return hmac.digest(key, data, "sha256") + data


def unseal(key: bytes, now_ms: int, datagram: bytes) -> tuple[str, Body]:
    """The sender's name and what it says. Raises `DecodeError` for all that the key did not seal just now."""
    data = datagram[TAG:]
    if not hmac.compare_digest(hmac.digest(key, data, "sha256"), datagram[:TAG]):
        raise DecodeError("the tag does not fit")
    try:
        m = as_object(orjson.loads(data), "a datagram")
    except orjson.JSONDecodeError:
        raise DecodeError("not JSON") from None
    node = text(m, "node")
    if not NODE.fullmatch(node):
        raise DecodeError("node is not a name")
    if abs(integer(m, "at") - now_ms) > FRESH:
        raise DecodeError("at is not now")
    return node, _body(m)


def _body(m: Message) -> Body:
    kind = text(m, "kind")
    if kind == "sums":
        sums = [_text(s, "sums") for s in array(m, "sums")]
        if len(sums) != BUCKETS:
            raise DecodeError("sums must be one a bucket")
        return Sums(sums)
    if kind == "marks":
        bucket, marks = integer(m, "bucket"), obj(m, "marks")
        if not 0 <= bucket < BUCKETS:
            raise DecodeError("bucket is none")
        return Marks(bucket, {k: _text(v, "marks") for k, v in marks.items() if KEY.fullmatch(k)})
    if kind == "wants":
        return Wants([_text(k, "keys") for k in array(m, "keys")])
    if kind == "entries":
        return Entries([_entry(e) for e in array(m, "entries")])
    raise DecodeError(f"kind {kind!r:.40} is not known")


def _text(value: object, name: str) -> str:
    if type(value) is not str:
        raise DecodeError(f"{name} must hold strings")
    return value


def _entry(value: object) -> Entry:
    if type(value) is not list or len(value) != 4:
        raise DecodeError("an entry must be [key, version, node, value]")
    key, version, node, content = value
    if type(version) is not int or content is not None and type(content) is not str:
        raise DecodeError("an entry must be [key, version, node, value]")
    return Entry(_text(key, "key"), version, _text(node, "node"), content)


def in_datagrams(entries: Iterable[Entry]) -> Iterator[Entries]:
    """Entries in as few datagrams as hold them."""
    part, room = Entries(), DATAGRAM - 200
    for entry in entries:
        size = len(orjson.dumps([entry.key, entry.version, entry.node, entry.value])) + 1
        if size > room and part.entries:
            yield part
            part, room = Entries(), DATAGRAM - 200
        part.entries.append(entry)
        room -= size
    if part.entries:
        yield part
