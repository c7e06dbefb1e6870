"""Command line: `python -m benchmarks.rolling_restart_simulation --seed 1`. Prints the report."""

import argparse
import sys
import time

from benchmarks.rolling_restart_simulation.simulation import Simulation


def main() -> int:
    """Run one simulation; standard error reports how long it took. Return the exit code."""
    parser = argparse.ArgumentParser(description="Simulate a rolling restart with real balancer objects.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--balancers", type=int, default=196)
    parser.add_argument("--servers", "--runners", type=int, default=51)
    parser.add_argument("--clients", type=int, default=620)
    parser.add_argument("--without-faults", "--quiet-day", action="store_true", help="no restarts and no hangs")
    arguments = parser.parse_args()
    started_at = time.monotonic()
    simulation = Simulation(
        arguments.seed, arguments.balancers, arguments.servers, arguments.clients, not arguments.without_faults
    )
    print(simulation.run())
    print(f"took {time.monotonic() - started_at:.1f} s", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
