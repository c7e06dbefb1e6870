"""The entries of one replica: versioned keys, merged as last writer wins by (version, node). Does no I/O.

A new version is the Unix time in milliseconds, or one more than the newest version seen if that is larger. A node
that restarts without data therefore writes larger versions than before.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b

import orjson

MAX_KEYS = 4096  # 1,024 servers, as many balancers, and removed keys, which count as well
MAX_VALUE_BYTES = 4096  # size limit of a value encoded as JSON
# Limit of how far a version may be ahead of the local clock. One far in the future would override all later writes.
MAX_VERSION_LEAD_MS = 300_000
BUCKET_COUNT = 256  # the values of one byte of a hash; 16 keys per bucket on average if the store is full
MAX_KEYS_IN_BUCKET = 50  # small enough for the bucket's version summary to fit into a datagram
DIGEST_BYTES = 8

KEY_PATTERN = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_./:-]{0,127}")
NODE_PATTERN = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}")


class StoreError(Exception):
    """An entry or a node name that is not valid, or an entry for which there is no room.

    Attributes:
        field: The field of the entry that is not valid.
        reason: Why it is not valid.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Entry:
    """One version of a key.

    Attributes:
        key: The key.
        version: Unix time in milliseconds, or one more than the newest version that the node had seen.
        node: The name of the node that wrote it.
        value: The value; None if the key was removed.
    """

    key: str
    version: int
    node: str
    value: str | None

    @property
    def order(self) -> tuple[int, str, bool, str]:
        """Sort key: the larger one wins. The value decides between entries of the same version and node."""
        return (self.version, self.node, self.value is not None, self.value or "")

    @property
    def version_digest(self) -> str:
        """A short digest of version, node and value. It hashes the whole value; `ReplicaState` keeps the result."""
        text = f"{self.version} {self.node} {self.value!r}"
        return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class BucketDifference:
    """The differences between a bucket and a peer's.

    Attributes:
        to_send: Entries that the peer lacks or has another version of.
        to_request: Keys that are missing here or that the peer has another version of.
    """

    to_send: list[Entry]
    to_request: list[str]


class Bucket:
    """The entries of one bucket with their digests, which are kept so that a comparison does not hash every value.

    Attributes:
        entries: The entries by key.
        version_digests: The version digest of each entry, by key.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.version_digests: dict[str, str] = {}
        self._digest = 0

    @property
    def digest(self) -> str:
        """The digest of all entries, or an empty string without any."""
        return f"{self._digest:x}" if self.entries else ""

    def set(self, entry: Entry) -> None:
        """Add an entry, or replace the one of its key."""
        if entry.key in self.entries:
            self._digest ^= _entry_hash(entry.key, self.version_digests[entry.key])
        self.entries[entry.key] = entry
        self.version_digests[entry.key] = entry.version_digest
        self._digest ^= _entry_hash(entry.key, self.version_digests[entry.key])


def _entry_hash(key: str, version_digest: str) -> int:
    return int.from_bytes(blake2b(f"{key} {version_digest}".encode(), digest_size=DIGEST_BYTES).digest(), "big")


def digest_of_versions(version_digests: dict[str, str]) -> str:
    """Return the digest of a bucket whose entries have these version digests, by key."""
    digest = 0
    for key, version_digest in version_digests.items():
        digest ^= _entry_hash(key, version_digest)
    return f"{digest:x}" if version_digests else ""


def combined_digest(digests: Iterable[str]) -> str:
    """Return one digest of the digests of all buckets."""
    return blake2b(" ".join(digests).encode(), digest_size=DIGEST_BYTES).hexdigest()


def bucket_of(key: str) -> int:
    """Return the number of the bucket that a key belongs to."""
    return blake2b(key.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


class ReplicaState:
    """The entries of one replica, in buckets for the comparison with peers.

    Attributes:
        entries: The newest entry of each key, removed keys included.
    """

    def __init__(self, node: str, clock_ms: Callable[[], int]) -> None:
        """Create an empty state.

        Args:
            node: The name of this node.
            clock_ms: Returns Unix time in milliseconds.

        Raises:
            StoreError: If the node name is not valid.
        """
        _check_node(node)
        self.node = node
        self.entries: dict[str, Entry] = {}
        self._clock_ms = clock_ms
        self._buckets = [Bucket() for _ in range(BUCKET_COUNT)]
        self._newest_version = 0

    def get(self, key: str) -> str | None:
        """Return the value of a key, or None if it is missing or removed."""
        entry = self.entries.get(key)
        return entry.value if entry is not None else None

    def values(self, prefix: str) -> dict[str, str]:
        """Return the values of all keys with a prefix, sorted by key."""
        return {
            key: entry.value
            for key, entry in sorted(self.entries.items())
            if key.startswith(prefix) and entry.value is not None
        }

    def values_and_removals(self, prefix: str) -> dict[str, str | None]:
        """Return the values of all keys with a prefix, sorted by key; None for a key that was removed."""
        return {key: entry.value for key, entry in sorted(self.entries.items()) if key.startswith(prefix)}

    def put(self, key: str, value: str | None) -> Entry:
        """Write a value on this node; None removes the key.

        Raises:
            StoreError: If the entry can't be stored.
        """
        entry = Entry(key, max(self._clock_ms(), self._newest_version + 1), self.node, value)
        self._check(entry)
        self._set(entry)
        return entry

    def merge(self, entries: Iterable[Entry]) -> list[Entry]:
        """Store the entries of other nodes that are newer than those here, and return these; ignore invalid ones."""
        merged = []
        for entry in entries:
            try:
                self._check(entry)
            except StoreError:
                continue
            current = self.entries.get(entry.key)
            if current is None or entry.order > current.order:
                self._set(entry)
                merged.append(entry)
        return merged

    def _check(self, entry: Entry) -> None:
        if not KEY_PATTERN.fullmatch(entry.key):
            raise StoreError("key", f"{entry.key!r:.60} is not a valid key")
        _check_node(entry.node)
        _check_value(entry.value)
        if not 0 < entry.version <= self._clock_ms() + MAX_VERSION_LEAD_MS:
            raise StoreError("version", f"{entry.version} is not positive or is too far in the future")
        if entry.key not in self.entries and self._is_full(entry.key):
            raise StoreError("key", f"no room for another key, {entry.key!r:.60}")

    def _is_full(self, key: str) -> bool:
        bucket = self._buckets[bucket_of(key)]
        return len(self.entries) >= MAX_KEYS or len(bucket.entries) >= MAX_KEYS_IN_BUCKET

    def holds(self, entry: Entry) -> bool:
        """Whether this replica has the entry or a newer one of its key."""
        current = self.entries.get(entry.key)
        return current is not None and current.order >= entry.order

    def _set(self, entry: Entry) -> None:
        self._newest_version = max(self._newest_version, entry.version)
        self.entries[entry.key] = entry
        self._buckets[bucket_of(entry.key)].set(entry)

    # ------------------------------------------------------------ comparison with a peer

    def bucket_digests(self) -> list[str]:
        """Return a digest of each bucket; equal replicas have equal digests."""
        return [bucket.digest for bucket in self._buckets]

    def differing_buckets(self, digests: list[str]) -> list[int]:
        """Return the numbers of the buckets whose digest differs from the peer's."""
        pairs = zip(self.bucket_digests(), digests, strict=True)
        return [number for number, (own, other) in enumerate(pairs) if own != other]

    def version_summary(self, bucket: int) -> dict[str, str]:
        """Return the version digest of each entry in a bucket, by key."""
        return dict(self._buckets[bucket].version_digests)

    def compare_bucket(self, bucket: int, versions: dict[str, str]) -> BucketDifference:
        """Compare a bucket with a peer's version summary.

        If both replicas hold different versions of a key, each sends its own, and the newer one wins on both.
        """
        own = self._buckets[bucket]
        to_send = [entry for key, entry in own.entries.items() if versions.get(key) != own.version_digests[key]]
        to_request = [key for key, digest in versions.items() if own.version_digests.get(key) != digest]
        return BucketDifference(to_send, to_request)


def _check_node(node: str) -> None:
    if not NODE_PATTERN.fullmatch(node):
        raise StoreError("node", f"{node!r:.60} is not a valid node name")


def _check_value(value: str | None) -> None:
    try:
        size = len(orjson.dumps(value))
    except orjson.JSONEncodeError:
        raise StoreError("value", "not valid Unicode text") from None
    if size > MAX_VALUE_BYTES:
        raise StoreError("value", f"{size} bytes of JSON, more than {MAX_VALUE_BYTES}")
