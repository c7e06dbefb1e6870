"""Which requests may have been executed already, by the ids that their clients gave them.

A request id is new with every connection. A client that sends one again, after it has left, would otherwise make its
request take effect twice.
"""

from __future__ import annotations

from collections import OrderedDict

from aspensaddle.core.settings import RequestClass
from aspensaddle.support.hashing import stable_hash

MAX_EXECUTED_REQUESTS = 16384
HASH_BITS = 64


class ExecutedRequests:
    """The latest requests that may have been executed, with class and time of their first attempt."""

    def __init__(self) -> None:
        """Start without requests."""
        self._executed: OrderedDict[int, tuple[RequestClass, float]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of remembered requests."""
        return len(self._executed)

    def record(self, request_id: str, request_class: RequestClass, now: float) -> bool:
        """Remember that a request may be executed from now on; return False if that was known already.

        Args:
            request_id: The id that the client gave the request.
            request_class: Its class.
            now: The time in seconds.
        """
        key = stable_hash(request_id, HASH_BITS)
        if key in self._executed:
            return False
        self._executed[key] = request_class, now
        if len(self._executed) > MAX_EXECUTED_REQUESTS:
            self._executed.popitem(last=False)
        return True

    def discard(self, request_id: str) -> None:
        """Forget a request that was proven not to have been executed."""
        self._executed.pop(stable_hash(request_id, HASH_BITS), None)

    def forbids(self, request_id: str, request_class: RequestClass, now: float) -> bool:
        """Return whether a request must not be executed, since one of the same id may have been.

        Args:
            request_id: The id that the client gave the request.
            request_class: Its class, which may be another one than that of the first.
            now: The time in seconds.
        """
        executed = self._executed.get(stable_hash(request_id, HASH_BITS))
        if executed is None:
            return False
        first_class, first_executed_at = executed
        return not all(_allows_repetition(one, now - first_executed_at) for one in (first_class, request_class))


def _allows_repetition(request_class: RequestClass, elapsed: float) -> bool:
    """Return whether servers, all of them, drop or bear a repetition `elapsed` seconds after the first attempt."""
    return request_class.client_may_retry and request_class.allows_retry_after(elapsed)
