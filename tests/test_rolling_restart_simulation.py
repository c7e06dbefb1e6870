"""The simulation of a rolling restart: both commands run it, and a seed determines its figures."""

import subprocess
import sys

import pytest
from standins import ROOT

SMALL_FLEET = ("--seed", "3", "--balancers", "12", "--servers", "10", "--clients", "80")
MODULE = ("-m", "benchmarks.rolling_restart_simulation")


def report(*command):
    done = subprocess.run(
        [sys.executable, *command, *SMALL_FLEET], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 0, done.stderr
    return done.stdout


def test_the_same_seed_gives_the_same_report_by_both_commands():
    first = report(*MODULE)
    assert first.startswith("served ") and len(first.splitlines()) == 15
    assert report(*MODULE) == first
    assert report("benchmarks/roll_world.py") == first


@pytest.mark.parametrize("event", ["drained", "restarted", "sends"])
def test_servers_and_balancers_are_restarted(event):
    words = report(*MODULE).split()
    assert sum(int(count) for word, count in zip(words, words[1:], strict=False) if word == event) > 0


def test_without_faults_nothing_is_restarted():
    words = report(*MODULE, "--without-faults").split()
    restarts = [int(count) for word, count in zip(words, words[1:], strict=False) if word in ("drained", "restarted")]
    assert restarts and not any(restarts)
