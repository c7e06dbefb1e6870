"""The clock of the decisions."""

from __future__ import annotations

import time
from collections.abc import Callable


def unix_clock() -> Callable[[], float]:
    """Return a clock of Unix time that ignores later changes of the wall clock.

    Server start times are listed in Unix time, so the balancer's clock needs no conversion.
    """
    offset = time.time() - time.monotonic()
    return lambda: time.monotonic() + offset
