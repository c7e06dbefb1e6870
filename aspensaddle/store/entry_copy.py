"""Copies the entries of one peer, bucket by bucket, with a bounded number of requests in flight. Does no I/O.

The peer's digests name the buckets that differ; its version summaries name the keys that are missing here, and these
are requested. Every request is repeated until it is answered, so lost datagrams only delay the copy. The time of a
copy grows with the number of entries, and the bytes on their way at any time are bounded.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import TypeVar

from aspensaddle.store.messages import EntryRequest, SummaryRequest, VersionSummary
from aspensaddle.store.retransmission import RetransmissionTimer
from aspensaddle.store.state import MAX_VALUE_BYTES, Entry, ReplicaState, combined_digest, digest_of_versions

MAX_SUMMARIES_IN_FLIGHT = 16
MAX_BYTES_IN_FLIGHT = 128 << 10  # of entries; fits into a receive buffer, whose overhead is as large again
MAX_KEYS_IN_FLIGHT = 256
# What one datagram asks for: few, so that a lost one delays few.
MAX_KEYS_PER_REQUEST = 10
MAX_BUCKETS_PER_REQUEST = 4
SIZE_SMOOTHING_GAIN = 1 / 8

_Name = TypeVar("_Name", int, str)  # a bucket or a key


@dataclass(slots=True)
class _BucketCopy:
    """The copy of one bucket.

    Attributes:
        target: The peer's digest of the bucket, by its last digests.
        missing: The version digests of the entries that have not arrived yet, by key; None until the peer's version
            summary has arrived.
        copied_digest: The digest of the bucket as the summary told it; empty if other versions arrived than those.
    """

    target: str
    missing: dict[str, str] | None = None
    copied_digest: str = ""


@dataclass(slots=True)
class _InFlight:
    """A request that has not been answered.

    Attributes:
        sent_at: Monotonic time in seconds at which it was sent last.
        repeated: Whether it was sent more than once.
    """

    sent_at: float
    repeated: bool = False


@dataclass(slots=True)
class EntryCopy:
    """The copy of one peer's entries into this replica.

    Attributes:
        state: The entries of this replica.
        refused_keys: Keys whose entry arrived and could not be stored here, for want of room or as invalid.
    """

    state: ReplicaState
    refused_keys: set[str] = field(default_factory=set)
    _target: list[str] | None = None
    _copied: dict[int, str] = field(default_factory=dict)  # the peer's digest with which a bucket was copied
    _changed: set[int] = field(default_factory=set)  # buckets that the peer changed while they were copied
    _open: dict[int, _BucketCopy] = field(default_factory=dict)
    _summaries_in_flight: dict[int, _InFlight] = field(default_factory=dict)
    _keys_to_request: deque[str] = field(default_factory=deque)
    _keys_in_flight: dict[str, _InFlight] = field(default_factory=dict)
    _bucket_by_key: dict[str, int] = field(default_factory=dict)
    _entry_bytes: float = MAX_VALUE_BYTES  # smoothed size of the values that arrive
    _timer: RetransmissionTimer = field(default_factory=RetransmissionTimer)

    @property
    def is_complete(self) -> bool:
        """Whether each entry that the peer's last digests stand for has arrived."""
        return self._target is not None and not self._open and not self._changed

    @property
    def has_work(self) -> bool:
        """Whether there are requests to send or to repeat."""
        return bool(self._open)

    @property
    def acknowledged(self) -> str:
        """The combined digest of the peer's entries if this replica holds all of them, or empty."""
        if not self.is_complete or self.refused_keys:
            return ""
        return combined_digest(self._target or ())

    @property
    def target(self) -> list[str] | None:
        """The peer's last digests; None before any have arrived."""
        return self._target

    def set_target(self, digests: list[str]) -> None:
        """Copy until this replica has what the peer's digests stand for; what has arrived already is kept."""
        self._target = digests
        self._changed.clear()
        for bucket, (own, target) in enumerate(zip(self.state.bucket_digests(), digests, strict=True)):
            if not target or own == target or self._copied.get(bucket) == target:
                self._close_bucket(bucket)
            elif bucket not in self._open:
                self._open[bucket] = _BucketCopy(target)
            else:
                self._open[bucket].target = target

    def refresh(self) -> None:
        """Leave out what has arrived from other peers meanwhile."""
        if self._target is not None:
            changed = set(self._changed)
            self.set_target(self._target)
            self._changed |= changed

    def _close_bucket(self, bucket: int) -> None:
        self._summaries_in_flight.pop(bucket, None)
        bucket_copy = self._open.pop(bucket, None)
        for key in (bucket_copy and bucket_copy.missing) or ():
            self._keys_in_flight.pop(key, None)
            self._bucket_by_key.pop(key, None)

    def expects_summary(self, bucket: int) -> bool:
        """Whether the version summary of a bucket was requested and has not arrived."""
        return bucket in self._summaries_in_flight

    def handle_summary(self, summary: VersionSummary, now: float) -> None:
        """Take the versions of the peer's entries in a bucket that was asked for.

        Args:
            summary: The versions.
            now: A monotonic time in seconds.
        """
        self._record_answer(self._summaries_in_flight.pop(summary.bucket), now)
        missing_keys = self.state.compare_bucket(summary.bucket, summary.versions).to_request
        bucket_copy = self._open[summary.bucket]
        bucket_copy.copied_digest = digest_of_versions(summary.versions)
        bucket_copy.missing = {key: summary.versions[key] for key in missing_keys}
        for key in missing_keys:
            self._bucket_by_key[key] = summary.bucket
            self._keys_to_request.append(key)
        self._close_if_copied(summary.bucket)

    def _record_answer(self, request: _InFlight, now: float) -> None:
        self._timer.record_answer(None if request.repeated else now - request.sent_at, now)

    def handle_entries(self, entries: Iterable[Entry], now: float) -> None:
        """Note the entries that arrived from the peer, after they were merged.

        Args:
            entries: The entries.
            now: A monotonic time in seconds.
        """
        for entry in entries:
            if (bucket := self._bucket_by_key.pop(entry.key, None)) is None:
                continue
            if (request := self._keys_in_flight.pop(entry.key, None)) is not None:
                self._record_answer(request, now)
            self._entry_bytes += SIZE_SMOOTHING_GAIN * (len(entry.value or "") - self._entry_bytes)
            self._note_refusal(entry)
            self._remove_missing(bucket, entry)
            self._close_if_copied(bucket)

    def _remove_missing(self, bucket: int, entry: Entry) -> None:
        bucket_copy = self._open[bucket]
        assert bucket_copy.missing is not None
        if bucket_copy.missing.pop(entry.key) != entry.version_digest:  # changed since, or a datagram that was late
            bucket_copy.copied_digest = ""

    def _note_refusal(self, entry: Entry) -> None:
        if self.state.holds(entry):
            self.refused_keys.discard(entry.key)
        else:
            self.refused_keys.add(entry.key)

    def _close_if_copied(self, bucket: int) -> None:
        bucket_copy = self._open[bucket]
        if bucket_copy.missing:
            return
        self._copied[bucket] = bucket_copy.copied_digest
        if bucket_copy.copied_digest != bucket_copy.target:  # the peer's next digests tell what is still missing
            self._changed.add(bucket)
        self._close_bucket(bucket)

    def next_requests(self, now: float) -> list[SummaryRequest | EntryRequest]:
        """Return the requests that are due.

        Args:
            now: A monotonic time in seconds.
        """
        requests: list[SummaryRequest | EntryRequest] = []
        requests += map(SummaryRequest, _chunks(self._due_buckets(now), MAX_BUCKETS_PER_REQUEST))
        requests += map(EntryRequest, _chunks(self._due_keys(now), MAX_KEYS_PER_REQUEST))
        return requests

    def _due_buckets(self, now: float) -> list[int]:
        due = self._repeat_lost(self._summaries_in_flight, now)
        room = MAX_SUMMARIES_IN_FLIGHT - len(self._summaries_in_flight)
        if room > 0 and len(self._keys_to_request) < MAX_KEYS_IN_FLIGHT:
            waiting = (
                bucket
                for bucket, bucket_copy in self._open.items()
                if bucket_copy.missing is None and bucket not in self._summaries_in_flight
            )
            new = list(islice(waiting, room))
            self._summaries_in_flight.update((bucket, _InFlight(now)) for bucket in new)
            due += new
        return due

    def _due_keys(self, now: float) -> list[str]:
        due = self._repeat_lost(self._keys_in_flight, now)
        room = min(MAX_KEYS_IN_FLIGHT, int(MAX_BYTES_IN_FLIGHT / max(1.0, self._entry_bytes)))
        while self._keys_to_request and len(self._keys_in_flight) < room:
            key = self._keys_to_request.popleft()
            if key in self._bucket_by_key and key not in self._keys_in_flight:  # its bucket is still open
                self._keys_in_flight[key] = _InFlight(now)
                due.append(key)
        return due

    def _repeat_lost(self, requests: dict[_Name, _InFlight], now: float) -> list[_Name]:
        lost = [name for name, request in requests.items() if now - request.sent_at >= self._timer.timeout]
        for name in lost:
            requests[name] = _InFlight(now, repeated=True)
        if lost:
            self._timer.record_timeout(now)
        return lost


def _chunks(names: list[_Name], size: int) -> Iterator[list[_Name]]:
    for start in range(0, len(names), size):
        yield names[start : start + size]
