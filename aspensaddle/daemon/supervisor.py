"""Keeps the tasks of the process running: an internal error ends neither a task nor its siblings."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from aspensaddle.support.counters import Counters
from aspensaddle.support.internal_errors import record_internal_error
from aspensaddle.support.log import Log

RESTART_DELAY_SECONDS = 0.1


class Supervisor:
    """Runs tasks and records their internal errors."""

    def __init__(self, counters: Counters, log: Log) -> None:
        self._counters = counters
        self._log = log

    async def supervise(self, task: Callable[..., Awaitable[None]], *args: object) -> None:
        """Run a task, and restart it each time it ends; after an internal error, with a delay."""
        while True:
            try:
                await task(*args)
            except Exception as error:
                self.record(error)
                await trio.sleep(RESTART_DELAY_SECONDS)

    async def run_once(
        self, task: Callable[[], Awaitable[None]], on_error: Callable[[], None] = lambda: None
    ) -> None:
        """Run a task once; `on_error` is called if it raises."""
        try:
            await task()
        except Exception as error:
            self.record(error)
            on_error()

    def record(self, error: Exception) -> None:
        """Count and log an internal error."""
        record_internal_error(error, self._counters, self._log)
