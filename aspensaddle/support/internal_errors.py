"""Records internal errors: exceptions that no code expected, which must not end the other tasks of the program."""

from __future__ import annotations

import traceback

from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log

MAX_TRACE_LENGTH = 2000  # characters; the end of a trace names the error


def record_internal_error(error: Exception, counters: Counters, log: Log) -> None:
    """Count an internal error and log it with the end of its stack trace."""
    trace = "".join(traceback.format_exception(error))
    counters.add("internal_errors")
    log.event("internal_error", error=repr(error), trace=trace[-MAX_TRACE_LENGTH:])
