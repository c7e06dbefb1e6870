"""The log: one JSON line for each event on standard output.

A thread writes the lines from a bounded queue, so that a slow or absent reader never blocks the balancer. Lines that
do not fit into the queue are dropped and counted.
"""

from __future__ import annotations

import os
import queue
import threading
import time
from dataclasses import dataclass
from typing import Any

import orjson

MAX_QUEUED_LINES = 2000
FLUSH_TIMEOUT_SECONDS = 0.5  # longest wait for the queue at exit
RATE_LIMIT_INTERVAL_SECONDS = 1.0  # minimum time between two events of one kind that peers can cause at any rate


class Log:
    """Writes events to a file descriptor.

    Attributes:
        name: The balancer's name, a field of each line.
        dropped: How many lines were dropped.
    """

    def __init__(self, name: str, fd: int = 1) -> None:
        self.name = name
        self.dropped = 0
        self._fd = fd
        self._queue: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self._thread = threading.Thread(target=self._write_lines, name="log", daemon=True)
        self._thread.start()
        self._rate_limits: dict[str, _RateLimit] = {}

    def rate_limited_event(self, event: str, **fields: Any) -> None:
        """Log an event that peers can cause at any rate.

        At most one event of each kind is written per `RATE_LIMIT_INTERVAL_SECONDS`, with the number suppressed before
        it.
        """
        now = time.monotonic()
        limit = self._rate_limits.setdefault(event, _RateLimit())
        if now < limit.written_at + RATE_LIMIT_INTERVAL_SECONDS:
            limit.suppressed += 1
            return
        suppressed = limit.suppressed
        self._rate_limits[event] = _RateLimit(written_at=now)
        self.event(event, **fields, suppressed=suppressed)

    def event(self, event: str, **fields: Any) -> None:
        """Log an event. Values of types that JSON lacks are written as text."""
        line = orjson.dumps(
            {"t": round(time.time(), 4), "name": self.name, "event": event, **fields},
            default=str,
            option=orjson.OPT_APPEND_NEWLINE,
        )
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def close(self) -> None:
        """Write the queued lines, for at most twice `FLUSH_TIMEOUT_SECONDS`."""
        try:
            self._queue.put(None, timeout=FLUSH_TIMEOUT_SECONDS)
        except queue.Full:
            return
        self._thread.join(FLUSH_TIMEOUT_SECONDS)

    def _write_lines(self) -> None:
        while (line := self._queue.get()) is not None:
            while line:
                try:
                    line = line[os.write(self._fd, line) :]
                except OSError:  # the reader is gone: the balancer continues without a log
                    self.dropped += 1
                    break


@dataclass(slots=True)
class _RateLimit:
    """When an event of one kind was last written, in monotonic seconds, and how many were suppressed since then."""

    written_at: float = float("-inf")
    suppressed: int = 0
