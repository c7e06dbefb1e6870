"""Pytest hooks for `KNOWN-RED.txt`, the list of tests and commands that fail because of a known issue."""

from dataclasses import dataclass
from pathlib import Path

import pytest

TESTS_FOLDER = "tests/"
LINE_FORMAT = "TEST OR COMMAND | SEED | WHAT WAS SEEN | ISSUE"


@dataclass(frozen=True)
class KnownFailure:
    """One line of the list. `name` is a test id or the command that shows the failure; `seed` is `-` without one."""

    name: str
    seed: str
    symptom: str
    issue: str

    @property
    def is_command(self) -> bool:
        return not self.name.startswith(TESTS_FOLDER)

    def __str__(self) -> str:
        return f"seed {self.seed}: {self.symptom} (issue {self.issue})"


def read_known_failures(file: Path) -> list[KnownFailure]:
    """Return the entries of the file, or none if it does not exist.

    Raises:
        pytest.UsageError: A line is malformed; the message contains it.
    """
    lines = [line.strip() for line in file.read_text().splitlines()] if file.exists() else []
    failures = []
    for line in filter(None, lines):
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 4 or not all(fields) or not fields[3].isdigit():
            raise pytest.UsageError(f"KNOWN-RED.txt: expected {LINE_FORMAT} with a numeric issue: {line}")
        failures.append(KnownFailure(*fields))
    return failures


def pytest_collection_modifyitems(config, items):
    """Mark the listed tests as strict expected failures; pytest prints them with their symptoms."""
    # Only a collection of all tests shows that a listed test does not exist; a partial one may just not include it.
    is_full_collection = (
        not config.option.keyword
        and not config.option.markexpr
        and all(str(arg).rstrip("/") in ("tests", str(config.rootpath / "tests")) for arg in config.args)
    )
    for failure in read_known_failures(config.rootpath / "KNOWN-RED.txt"):
        if failure.is_command:
            continue
        listed_items = [item for item in items if item.nodeid == failure.name]
        if not listed_items and is_full_collection:
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {failure.name}")
        for item in listed_items:
            item.add_marker(pytest.mark.xfail(strict=True, reason=str(failure)))


def pytest_terminal_summary(terminalreporter, config):
    """Print the listed commands, which no test runs."""
    for failure in read_known_failures(config.rootpath / "KNOWN-RED.txt"):
        if failure.is_command:
            terminalreporter.write_line(f"KNOWN RED, not run here: {failure.name} - {failure}")
