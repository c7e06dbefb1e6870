"""Runs the conformance suite.

    python -m aspensaddle.conformance [--quick] [--memory] [--only WORD] [--json FILE] [--seed N] [--jobs N]

Without `--memory`, each bed's front is a process of the real program on the loopback; with it, the engine runs in a
time of its own, which is faster and the same for the same seed. Exit code 1 where a case fails.
"""

from __future__ import annotations

import argparse
import os
import sys
from pathlib import Path

import orjson

from aspensaddle.conformance import suite


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="aspensaddle.conformance", description="the QUIC front against its RFCs")
    parser.add_argument("--quick", action="store_true", help="leave the slow cases out")
    parser.add_argument("--memory", action="store_true", help="the engine without sockets")
    parser.add_argument("--only", metavar="WORD", help="cases with this in their number, section, name or text")
    parser.add_argument("--json", metavar="FILE", help="write the results there")
    parser.add_argument("--seed", type=int, default=0, help="of the links")
    parser.add_argument("--jobs", type=int, default=min(4, os.cpu_count() or 1), help="beds at a time")
    args = parser.parse_args(argv)
    chosen = [
        c
        for c in suite.load()
        if not (args.quick and c.slow) and (not args.only or args.only in f"{c.number} {c.section} {c.name} {c.says}")
    ]
    tell = sys.stderr.isatty()
    results = suite.run(
        chosen,
        args.memory,
        args.seed,
        max(1, args.jobs),
        lambda r: (
            print(f"\r{r.number:4} {r.verdict:15} {r.name:.60}", file=sys.stderr)
            if tell or r.verdict == "failed"
            else None
        ),
    )
    if args.json:
        try:
            Path(args.json).write_bytes(orjson.dumps(suite.as_json(results), option=orjson.OPT_INDENT_2))
        except OSError as e:
            print(f"aspensaddle.conformance: {args.json}: {e.strerror}", file=sys.stderr)
            return 2
    print(suite.table(results))
    return 1 if any(r.verdict == suite.FAILED for r in results) or not results else 0


if __name__ == "__main__":
    sys.exit(main())
