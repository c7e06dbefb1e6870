"""`KNOWN-RED.txt`: the tests and bench days that fail for a known fault, read, checked and applied."""

from dataclasses import dataclass
from pathlib import Path

import pytest

MAX_ENTRIES = 3
BENCH_PREFIX = "bench:"


@dataclass(frozen=True)
class KnownFailure:
    """One line, `NAME | CAUSE | ISSUE`. The name is a test's id, or `bench:` and the command that shows the failure."""

    name: str
    cause: str
    issue: str

    @property
    def is_bench_day(self) -> bool:
        return self.name.startswith(BENCH_PREFIX)

    def __str__(self) -> str:
        return f"{self.cause} (issue {self.issue})"


def read_known_red(file: Path) -> list[KnownFailure]:
    """Return the entries of the file, none without one. Raises `UsageError` with the line that is wrong."""
    lines = [line.strip() for line in file.read_text().splitlines()] if file.exists() else []
    failures = []
    for line in filter(None, lines):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"KNOWN-RED.txt: not TEST | CAUSE | ISSUE: {line}")
        failures.append(KnownFailure(*parts))
    if len(failures) > MAX_ENTRIES:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(failures)} lines, {MAX_ENTRIES} at most")
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
        if failure.is_bench_day:
            continue
        found = [item for item in items if item.nodeid == failure.name]
        if not found and whole:
            raise pytest.UsageError(f"KNOWN-RED.txt: no test {failure.name}")
        for item in found:
            item.add_marker(pytest.mark.xfail(strict=True, reason=str(failure)))


def pytest_terminal_summary(terminalreporter, config):
    """Print the bench days that are known to fail: no test plays them."""
    for failure in read_known_red(config.rootpath / "KNOWN-RED.txt"):
        if failure.is_bench_day:
            terminalreporter.write_line(f"KNOWN RED, not played here: {failure.name} - {failure}")
