"""A map with expiring entries and rate limiters, all of bounded size. No I/O; callers pass the current time."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

MAX_COUNTED_CLIENTS = 4096
COUNT_SECONDS = 1.0  # a client's operations are counted over this time
LIGHT_FRACTION = 0.02  # part of the rate up to which a client counts as light; in any case `MIN_LIGHT_OPERATIONS`
MIN_LIGHT_OPERATIONS = 4  # a client needs some for one session
RESERVED_FRACTION = 0.5  # part of the bucket that is left to light clients

T = TypeVar("T")


class ExpiringMap(Generic[T]):
    """A map of bounded size whose entries expire; it evicts the oldest entry first. O(1) per operation."""

    def __init__(self, max_entries: int, lifetime_seconds: float) -> None:
        """Create an empty map. Both bounds may be changed later; `lifetime_seconds` then affects new entries only."""
        self.max_entries, self.lifetime_seconds = max_entries, lifetime_seconds
        self._entries: OrderedDict[bytes, tuple[float, T]] = OrderedDict()

    def get(self, key: bytes, now: float) -> T | None:
        """Return the value of a key, or None if it is absent or expired at `now`, in seconds."""
        entry = self._entries.get(key)
        return entry[1] if entry is not None and entry[0] > now else None

    def has(self, key: bytes, now: float) -> bool:
        """Return whether the key is present and not expired at `now`, whatever its value."""
        entry = self._entries.get(key)
        return entry is not None and entry[0] > now

    def put(self, key: bytes, value: T, now: float) -> None:
        """Set a value, restart the key's lifetime, and evict expired and surplus entries."""
        self._entries.pop(key, None)
        self._entries[key] = now + self.lifetime_seconds, value
        while self._entries and (len(self._entries) > self.max_entries or self._oldest_expiry() <= now):
            self._entries.popitem(last=False)

    def pop(self, key: bytes) -> T | None:
        """Remove a key and return its value, even if it has expired; None if it is absent."""
        entry = self._entries.pop(key, None)
        return None if entry is None else entry[1]

    def _oldest_expiry(self) -> float:
        return next(iter(self._entries.values()))[0]

    def __len__(self) -> int:
        """Return the number of stored entries, including expired ones that were not evicted yet."""
        return len(self._entries)


class RateLimiter:
    """A token bucket: a number of operations per second, with a burst of at most one second's worth."""

    def __init__(self, rate_per_second: float, now: float) -> None:
        """Start with a full bucket at `now`, in seconds."""
        self.rate_per_second, self._available, self._updated_at = rate_per_second, rate_per_second, now

    def try_acquire(self, now: float, reserved: float = 0.0) -> bool:
        """Take one operation out of the bucket; return False if it holds none besides the `reserved` ones."""
        self._available = min(self.rate_per_second, self._available + (now - self._updated_at) * self.rate_per_second)
        self._updated_at = now
        if self._available < 1 + reserved:
            return False
        self._available -= 1
        return True


class FairRateLimiter:
    """A rate limiter in which a client that takes much leaves a part of the bucket to those that take little.

    A client alone may take the whole rate. Clients are told apart by address and port, so the many behind one IP
    address do not count as one.
    """

    def __init__(self, rate_per_second: float, now: float) -> None:
        """Start with a full bucket at `now`, in seconds."""
        self._bucket = RateLimiter(rate_per_second, now)
        self._max_light = max(MIN_LIGHT_OPERATIONS, rate_per_second * LIGHT_FRACTION)
        self._counts: OrderedDict[Hashable, tuple[float, int]] = OrderedDict()  # when its count began, and the count

    def try_acquire(self, client: Hashable, now: float) -> bool:
        """Take one operation for a client; return False if there is none for it."""
        began_at, count = self._counts.pop(client, (now, 0))
        if now - began_at >= COUNT_SECONDS:
            began_at, count = now, 0
        reserved = 0.0 if count < self._max_light else RESERVED_FRACTION * self._bucket.rate_per_second
        is_admitted = self._bucket.try_acquire(now, reserved)
        self._counts[client] = began_at, count + is_admitted
        if len(self._counts) > MAX_COUNTED_CLIENTS:
            self._counts.popitem(last=False)
        return is_admitted
