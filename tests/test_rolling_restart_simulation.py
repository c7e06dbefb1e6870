"""The rolling restart simulation: two commands run it, and the seed determines its report."""

import subprocess
import sys

import pytest
from standins import ROOT

SMALL_FLEET = ("--seed", "3", "--balancers", "12", "--servers", "10", "--clients", "80")
MODULE = ("-m", "benchmarks.rolling_restart_simulation")


def run_simulation(*command):
    result = subprocess.run(
        [sys.executable, *command, *SMALL_FLEET], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert result.returncode == 0, result.stderr
    return result.stdout


def test_same_seed_gives_the_same_report_from_both_commands():
    first = run_simulation(*MODULE)
    assert first.startswith("served ") and len(first.splitlines()) == 15
    assert run_simulation(*MODULE) == first
    assert run_simulation("benchmarks/roll_world.py") == first


@pytest.mark.parametrize("event", ["drained", "restarted", "sends"])
def test_rolling_restart_drains_servers_and_restarts_balancers(event):
    words = run_simulation(*MODULE).split()
    assert sum(int(count) for word, count in zip(words, words[1:], strict=False) if word == event) > 0


def test_without_faults_nothing_is_restarted():
    words = run_simulation(*MODULE, "--without-faults").split()
    restarts = [int(count) for word, count in zip(words, words[1:], strict=False) if word in ("drained", "restarted")]
    assert restarts and not any(restarts)
