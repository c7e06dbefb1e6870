"""The entries of one replica: versioned keys, the last writer by (version, node) wins. Knows no sockets.

Versions are milliseconds of Unix time, or one more than the newest seen where that is later. So a node that
starts again from nothing writes versions above its old ones without having kept any.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b

import orjson

MOST_KEYS = 4096  # 1,024 runners and as many balancers, and removed ones, which count too
MOST_VALUE = 4096  # bytes, written as JSON
AHEAD = 300_000  # ms that a version may lie ahead of this clock: a wild one would win for ever
BUCKETS = 256  # one octet of a hash; 16 keys each where all are taken
MOST_IN_BUCKET = 50  # so that the marks of one fit into a datagram

KEY = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_./:-]{0,127}")
NODE = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}")


class StoreError(Exception):
    """An entry that can't be kept; the text says why."""


@dataclass(frozen=True, slots=True)
class Entry:
    key: str
    version: int
    node: str
    value: str | None  # None: removed

    @property
    def order(self) -> tuple[int, str, bool, str]:
        """Later is larger. The value decides where a node wrote a version twice, so that all agree."""
        return (self.version, self.node, self.value is not None, self.value or "")

    @property
    def mark(self) -> str:
        """Short for the version, the node and the value."""
        text = f"{self.version} {self.node} {self.value!r}"
        return blake2b(text.encode(), digest_size=8).hexdigest()


def bucket_of(key: str) -> int:
    return blake2b(key.encode(), digest_size=1).digest()[0] % BUCKETS


class State:
    def __init__(self, node: str, clock_ms: Callable[[], int]) -> None:
        if not NODE.fullmatch(node):
            raise StoreError(f"node: {node!r:.60} is not a name")
        self.node, self._clock = node, clock_ms
        self.entries: dict[str, Entry] = {}
        self._buckets: list[dict[str, Entry]] = [{} for _ in range(BUCKETS)]
        self._newest = 0

    def get(self, key: str) -> str | None:
        entry = self.entries.get(key)
        return entry.value if entry is not None else None

    def values(self, prefix: str) -> dict[str, str]:
        return {k: e.value for k, e in sorted(self.entries.items()) if k.startswith(prefix) and e.value is not None}

    def put(self, key: str, value: str | None) -> Entry:
        """Write here; None removes."""
        entry = Entry(key, max(self._clock(), self._newest + 1), self.node, value)
        self._check(entry)
        self._set(entry)
        return entry

    def merge(self, entries: Iterable[Entry]) -> list[Entry]:
        """Take what others wrote later; returns what was new. What can't be kept is passed over."""
        taken = []
        for entry in entries:
            try:
                self._check(entry)
            except StoreError:
                continue
            known = self.entries.get(entry.key)
            if known is None or entry.order > known.order:
                self._set(entry)
                taken.append(entry)
        return taken

    def _check(self, entry: Entry) -> None:
        if not KEY.fullmatch(entry.key):
            raise StoreError(f"key: {entry.key!r:.60} is not one")
        if not NODE.fullmatch(entry.node):
            raise StoreError(f"node: {entry.node!r:.60} is not a name")
        try:
            size = len(orjson.dumps(entry.value))
        except orjson.JSONEncodeError:
            raise StoreError("value: not text") from None
        if size > MOST_VALUE:
            raise StoreError(f"value: over {MOST_VALUE} bytes")
        if not 0 < entry.version <= self._clock() + AHEAD:
            raise StoreError(f"version: {entry.version} is not near this clock")
        if entry.key not in self.entries and (
            len(self.entries) >= MOST_KEYS or len(self._buckets[bucket_of(entry.key)]) >= MOST_IN_BUCKET
        ):
            raise StoreError("key: no room for another")

    def _set(self, entry: Entry) -> None:
        self._newest = max(self._newest, entry.version)
        self.entries[entry.key] = self._buckets[bucket_of(entry.key)][entry.key] = entry

    # ------------------------------------------------------------ comparing two replicas

    def sums(self) -> list[str]:
        """A sum over each bucket; equal replicas have equal sums."""
        return [self._sum(b) for b in self._buckets]

    def _sum(self, bucket: dict[str, Entry]) -> str:
        if not bucket:
            return ""
        total = 0
        for key, entry in bucket.items():
            total ^= int.from_bytes(blake2b(f"{key} {entry.mark}".encode(), digest_size=8).digest(), "big")
        return f"{total:x}"

    def differing(self, sums: list[str]) -> list[int]:
        return [i for i, (mine, theirs) in enumerate(zip(self.sums(), sums, strict=True)) if mine != theirs]

    def marks(self, bucket: int) -> dict[str, str]:
        return {k: e.mark for k, e in self._buckets[bucket].items()}

    def missing(self, bucket: int, marks: dict[str, str]) -> tuple[list[Entry], list[str]]:
        """What the other replica seems to lack of a bucket, and the keys that are to be asked for. Of a key
        that both hold differently each sends its own: the later one wins at both."""
        mine = self._buckets[bucket]
        lacks = [e for k, e in mine.items() if marks.get(k) != e.mark]
        wanted = [k for k, mark in marks.items() if k not in mine or mine[k].mark != mark]
        return lacks, wanted
