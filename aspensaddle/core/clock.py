"""The clock of the driver and its balancer."""

from __future__ import annotations

import time
from collections.abc import Callable


def unix_clock() -> Callable[[], float]:
    """Return a clock that returns Unix time and ignores later changes of the wall clock.

    The endpoint list gives server start times in Unix time, so they need no conversion.
    """
    offset = time.time() - time.monotonic()
    return lambda: time.monotonic() + offset
