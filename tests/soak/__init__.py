"""Soak: whole processes of the program on loopback, seeded schedules of trouble, and promises that have to hold."""

import sys
from pathlib import Path

# The stand-ins are modules of tests/, which pytest puts on the path by itself.
TESTS = str(Path(__file__).resolve().parent.parent)
if TESTS not in sys.path:
    sys.path.append(TESTS)
