"""`KNOWN-RED.txt`: the tests and commands that fail for a known fault, read, checked and applied."""

from dataclasses import dataclass
from pathlib import Path

import pytest

TESTS_FOLDER = "tests/"
FORM = "TEST OR COMMAND | SEED | WHAT WAS SEEN | ISSUE"


@dataclass(frozen=True)
class KnownFailure:
    """One line. The name is a test's id, or the command that shows the failure; the seed is `-` without one."""

    name: str
    seed: str
    seen: str
    issue: str

    @property
    def is_command(self) -> bool:
        return not self.name.startswith(TESTS_FOLDER)

    def __str__(self) -> str:
        return f"seed {self.seed}: {self.seen} (issue {self.issue})"


def read_known_red(file: Path) -> list[KnownFailure]:
    """Return the entries of the file, none without one. Raises `UsageError` with the line that is wrong."""
    lines = [line.strip() for line in file.read_text().splitlines()] if file.exists() else []
    failures = []
    for line in filter(None, lines):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 4 or not all(parts) or not parts[3].isdigit():
            raise pytest.UsageError(f"KNOWN-RED.txt: not {FORM}, the issue a number: {line}")
        failures.append(KnownFailure(*parts))
    return failures


def pytest_collection_modifyitems(config, items):
    """Let exactly the listed tests fail: they have to, and are printed with their causes."""
    # Only a whole collection can tell that a name is unknown; a test named on the command line is a part of one.
    whole = (
        not config.option.keyword
        and not config.option.markexpr
        and all(str(arg).rstrip("/") in ("tests", str(config.rootpath / "tests")) for arg in config.args)
    )
    for failure in read_known_red(config.rootpath / "KNOWN-RED.txt"):
        if failure.is_command:
            continue
        found = [item for item in items if item.nodeid == failure.name]
        if not found and whole:
            raise pytest.UsageError(f"KNOWN-RED.txt: no test {failure.name}")
        for item in found:
            item.add_marker(pytest.mark.xfail(strict=True, reason=str(failure)))


def pytest_terminal_summary(terminalreporter, config):
    """Print the commands that are known to fail: no test runs them."""
    for failure in read_known_red(config.rootpath / "KNOWN-RED.txt"):
        if failure.is_command:
            terminalreporter.write_line(f"KNOWN RED, not run here: {failure.name} - {failure}")
