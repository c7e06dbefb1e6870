"""The log: one JSON line an event on standard output.

Lines are handed to a thread through a bounded queue, so that a reader who is slow, or gone, never holds up
the balancer: what does not fit is dropped and counted.
"""

from __future__ import annotations

import os
import queue
import threading
import time
from typing import Any

import orjson

BACKLOG = 2000
FLUSH_WITHIN = 0.5  # at exit
SELDOM = 1.0  # seconds between two events of a kind that others can cause at will


class Log:
    def __init__(self, name: str, fd: int = 1) -> None:
        self.name, self.dropped = name, 0
        self._fd = fd
        self._queue: queue.Queue[bytes | None] = queue.Queue(BACKLOG)
        self._thread = threading.Thread(target=self._write, name="log", daemon=True)
        self._thread.start()
        self._seldom: dict[str, tuple[float, int]] = {}  # when last written, and how often passed over since

    def seldom(self, event: str, **fields: Any) -> None:
        """An event that others can cause at will: at most one is written in a while, with the count of those
        passed over since the last. Guards against a log that costs more than what it tells of."""
        now = time.monotonic()
        written, passed = self._seldom.get(event, (-SELDOM, 0))
        if now < written + SELDOM:
            self._seldom[event] = written, passed + 1
            return
        self._seldom[event] = now, 0
        self.event(event, **fields, passed_over=passed)

    def event(self, event: str, **fields: Any) -> None:
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
        """Write what is queued, but wait only so long for whoever reads it."""
        try:
            self._queue.put(None, timeout=FLUSH_WITHIN)
        except queue.Full:
            return
        self._thread.join(FLUSH_WITHIN)

    def _write(self) -> None:
        while (line := self._queue.get()) is not None:
            while line:
                try:
                    line = line[os.write(self._fd, line) :]
                except OSError:  # the reader is gone: the balancer goes on without a log
                    self.dropped += 1
                    break
