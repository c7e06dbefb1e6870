"""Tables and rates with bounds. Free of I/O; the time is told."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

T = TypeVar("T")


class ExpiringMap(Generic[T]):
    """A table with a bound on its size and on the age of an entry; the oldest goes first. O(1) each."""

    def __init__(self, max_entries: int, lifetime_seconds: float) -> None:
        self.max_entries, self.lifetime_seconds = max_entries, lifetime_seconds
        self._entries: OrderedDict[bytes, tuple[float, T]] = OrderedDict()

    def get(self, key: bytes, now: float) -> T | None:
        entry = self._entries.get(key)
        return entry[1] if entry is not None and entry[0] > now else None

    def has(self, key: bytes, now: float) -> bool:
        entry = self._entries.get(key)
        return entry is not None and entry[0] > now

    def put(self, key: bytes, value: T, now: float) -> None:
        self._entries.pop(key, None)
        self._entries[key] = now + self.lifetime_seconds, value
        while self._entries and (len(self._entries) > self.max_entries or self._oldest_expiry() <= now):
            self._entries.popitem(last=False)

    def pop(self, key: bytes) -> T | None:
        entry = self._entries.pop(key, None)
        return None if entry is None else entry[1]

    def _oldest_expiry(self) -> float:
        return next(iter(self._entries.values()))[0]

    def __len__(self) -> int:
        return len(self._entries)


class RateLimiter:
    """So many a second, and a second's worth at once."""

    def __init__(self, rate_per_second: float, now: float) -> None:
        self.rate_per_second, self._available, self._updated_at = rate_per_second, rate_per_second, now

    def try_acquire(self, now: float) -> bool:
        self._available = min(self.rate_per_second, self._available + (now - self._updated_at) * self.rate_per_second)
        self._updated_at = now
        if self._available < 1:
            return False
        self._available -= 1
        return True
