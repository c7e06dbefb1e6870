"""A map with expiring entries and a rate limiter, both of bounded size. No I/O; callers pass the current time."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

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

    def try_acquire(self, now: float) -> bool:
        """Take one operation out of the bucket; return False if it holds none."""
        self._available = min(self.rate_per_second, self._available + (now - self._updated_at) * self.rate_per_second)
        self._updated_at = now
        if self._available < 1:
            return False
        self._available -= 1
        return True
