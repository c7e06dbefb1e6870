"""Runs the conformance suite.

    python -m aspensaddle.conformance [--quick] [--memory] [--only WORD] [--json FILE] [--seed N] [--jobs N]

Without `--memory`, the front end of each testbed is a process of the real program on the loopback interface. With
it, the engine runs in simulated time, which is faster and gives the same run for the same seed. The exit code is 1
if a case fails or none was selected, and 2 if the results cannot be written.
"""

from __future__ import annotations

import argparse
import os
import sys
from pathlib import Path

import orjson

from aspensaddle.conformance import suite


def main(argv: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    arguments = _parse_arguments(argv)
    selected = [case for case in suite.load_cases() if _is_selected(case, arguments)]
    results = suite.run(selected, arguments.memory, arguments.seed, max(1, arguments.jobs), _print_progress)
    if arguments.json:
        try:
            Path(arguments.json).write_bytes(orjson.dumps(suite.as_json(results), option=orjson.OPT_INDENT_2))
        except OSError as error:
            print(f"aspensaddle.conformance: {arguments.json}: {error.strerror}", file=sys.stderr)
            return 2
    print(suite.format_table(results))
    return 1 if any(result.verdict == suite.FAILED for result in results) or not results else 0


def _parse_arguments(argv: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="aspensaddle.conformance", description="check the QUIC front end against its RFCs"
    )
    parser.add_argument("--quick", action="store_true", help="skip the slow cases")
    parser.add_argument("--memory", action="store_true", help="run the engine without sockets, in simulated time")
    parser.add_argument("--only", metavar="WORD", help="run cases with WORD in number, section, name or requirement")
    parser.add_argument("--json", metavar="FILE", help="write the results to FILE")
    parser.add_argument("--seed", type=int, default=0, help="seed of random links and, with --memory, of balancers")
    parser.add_argument(
        "--jobs", type=int, default=min(4, os.cpu_count() or 1), help="how many testbeds run at a time"
    )
    return parser.parse_args(argv)


def _is_selected(case: suite.Case, arguments: argparse.Namespace) -> bool:
    if arguments.quick and case.slow:
        return False
    return not arguments.only or arguments.only in f"{case.number} {case.section} {case.name} {case.requirement}"


def _print_progress(result: suite.Result) -> None:
    """Print a result: of every case on a terminal, otherwise only of a failed one."""
    if sys.stderr.isatty() or result.verdict == suite.FAILED:
        print(f"\r{result.number:4} {result.verdict:15} {result.name:.60}", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
