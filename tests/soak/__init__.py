"""Soak test: whole balancer processes on loopback under seeded schedules of disruptions, checked for invariants."""

import sys
from pathlib import Path

# pytest adds tests/, which contains the stand-ins, to the module search path; `python -m tests.soak` does not.
TESTS = str(Path(__file__).resolve().parent.parent)
if TESTS not in sys.path:
    sys.path.append(TESTS)
