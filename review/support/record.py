"""The record of a run: what was sent, answered and run, with times in seconds from the start."""

from __future__ import annotations

import os
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Callable
from pathlib import Path

from support.processes import CannotRunError

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes `record.txt`."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self.started_at = time.monotonic()
        self._file = path.open("w")

    def note(self, text: str) -> None:
        """Add a line."""
        line = f"{time.monotonic() - self.started_at:8.3f}  {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


def has_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(script: str, play: Callable[[Record, Path], bool]) -> None:
    """Play a case and exit with its status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

    Args:
        script: the path of the case's script; the record is written beside it.
        play: plays the case with a record and a temporary folder; returns whether the rule held.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # at the time limit: ends what was started, too
    record = Record(Path(script).resolve().parent / "record.txt")
    record.note(f"start; the disruption is {'played' if has_trouble() else 'left out'}")
    try:
        with tempfile.TemporaryDirectory() as folder:
            held = play(record, Path(folder))
    except CannotRunError as error:
        record.note(f"the case could not run: {error}")
        sys.exit(NOT_RUN)
    except Exception:
        record.note(f"the case could not run: {traceback.format_exc()}")
        sys.exit(NOT_RUN)
    record.note("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(HELD if held else BROKEN)
