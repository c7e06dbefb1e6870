"""Runs `python -m benchmarks.rolling_restart_simulation`; kept as its former command."""

import runpy
import sys
from pathlib import Path

if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
    runpy.run_module("benchmarks.rolling_restart_simulation", run_name="__main__", alter_sys=True)
