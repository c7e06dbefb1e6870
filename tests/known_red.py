"""Reads the list of tests that fail for a known fault."""

from pathlib import Path

import pytest

MOST = 3


def known_red(file: Path) -> dict[str, str]:
    """The cause and issue of each test: a line each, `TEST | CAUSE | ISSUE`."""
    lines = [line.strip() for line in file.read_text().splitlines()] if file.exists() else []
    listed = {}
    for line in filter(None, lines):
        name, *why = (part.strip() for part in line.split("|"))
        if len(why) != 2 or not all(why):
            raise pytest.UsageError(f"KNOWN-RED.txt: not TEST | CAUSE | ISSUE: {line}")
        listed[name] = f"{why[0]} (issue {why[1]})"
    if len(listed) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(listed)} lines, {MOST} at most")
    return listed
