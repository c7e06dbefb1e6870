"""Command line of the importer, see `docs/importer.md`.

    python -m aspensaddle.importer FILE [--upstream NAME] [--name NAME] [-o OUT]

The servers of an nginx `upstream` become the endpoint list, each `location` that passes to it a request class. What
cannot be imported is printed with its file and line; then nothing is written and the exit code is 1.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import orjson

from aspensaddle.importer.converter import convert
from aspensaddle.importer.problems import Problem, UnreadableFile
from aspensaddle.support.json_fields import DecodeError, Message


def main(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    options = _parse_arguments(arguments)
    problems: list[Problem]
    try:
        configuration, problems = convert(options.file, options.upstream, options.name)
    except DecodeError as error:
        problems = [UnreadableFile(options.file, 0, str(error))]
    if problems:
        print("\n".join(map(str, problems)), file=sys.stderr)
        return 1
    return _write(configuration, options.output)


def _parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="aspensaddle.importer", description="nginx blocks to configuration")
    parser.add_argument("file")
    parser.add_argument("--upstream", help="which one, where the locations pass to several")
    parser.add_argument("--name", default="n0", help="the balancer's name")
    parser.add_argument("-o", "--output", help="a file instead of standard output")
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
