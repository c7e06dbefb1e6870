"""Command line of the importer (`docs/importer.md`).

    python -m aspensaddle.importer FILE [--upstream NAME] [--name NAME] [-o OUT]

The servers of an nginx `upstream` become the endpoint list, and each `location` that passes to it becomes a request
class. If a part of the file can't be imported, the command prints it with its file and line, writes no configuration
and exits with 1.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import orjson

from aspensaddle.importer.converter import convert
from aspensaddle.importer.problems import FileProblem, Problem
from aspensaddle.support.json_fields import DecodeError, Message


def main(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    options = _parse_arguments(arguments)
    problems: list[Problem]
    try:
        configuration, problems = convert(options.file, options.upstream, options.name)
    except DecodeError as error:
        problems = [FileProblem(options.file, 0, str(error))]
    if problems:
        print("\n".join(map(str, problems)), file=sys.stderr)
        return 1
    return _write(configuration, options.output)


def _parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="aspensaddle.importer", description="Convert nginx configuration to balancer configuration."
    )
    parser.add_argument("file")
    parser.add_argument("--upstream", help="the upstream to import if the locations pass to several")
    parser.add_argument("--name", default="n0", help="the name of the balancer (default: n0)")
    parser.add_argument("-o", "--output", help="the file to write instead of standard output")
    return parser.parse_args(arguments)


def _write(configuration: Message, output: str | None) -> int:
    data = orjson.dumps(configuration, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE)
    if output is None:
        sys.stdout.buffer.write(data)
        return 0
    try:
        Path(output).write_bytes(data)
    except OSError as error:
        print(f"{output}: {error.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
