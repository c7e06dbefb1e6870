"""Records unexpected exceptions, which are faults of this program and must not end its other tasks."""

from __future__ import annotations

import traceback

from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log

MAX_TRACE_LENGTH = 2000  # characters; the end of a trace names the fault


def record_internal_error(error: Exception, counters: Counters, log: Log) -> None:
    """Count an unexpected exception and log it with the end of its trace."""
    trace = "".join(traceback.format_exception(error))
    counters.add("internal_errors")
    log.event("internal_error", error=repr(error), trace=trace[-MAX_TRACE_LENGTH:])
