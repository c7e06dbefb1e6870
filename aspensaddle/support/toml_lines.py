"""Finds the line of a field in a TOML text, which the standard library's parser does not report.

It reads table headers and field names, one per line. A field within a value of several lines is found at the line
where that value begins.
"""

from __future__ import annotations

import re

_HEADER = re.compile(r"\s*(\[\[|\[)\s*([^\[\]]+?)\s*\]\]?\s*(#.*)?$")
_FIELD = re.compile(r"""\s*((?:[\w-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[\w-]+|"[^"]*"|'[^']*'))*)\s*=""")
_NAME_PART = re.compile(r"""[\w-]+|"[^"]*"|'[^']*'""")


def line_of(source: str, field: str) -> int:
    """Return the line of a field such as `ids[1].key`, counted from 1.

    For a missing field this is the line where its table begins; 0 if neither is found.
    """
    index = _LineIndex()
    for number, line in enumerate(source.splitlines(), 1):
        index.add(number, line)
    while field:
        if field in index.lines:
            return index.lines[field]
        field = field[: max(field.rfind("."), field.rfind("["), 0)]
    return 0


class _LineIndex:
    """The line of each table and field, by its full name."""

    def __init__(self) -> None:
        self.lines: dict[str, int] = {}
        self._array_lengths: dict[str, int] = {}  # tables read so far in each array of tables, by its full name
        self._table = ""  # the table that the current line belongs to

    def add(self, number: int, line: str) -> None:
        """Add the next line."""
        if header := _HEADER.match(line):
            self._add_header(number, header)
        elif field := _FIELD.match(line):
            name = _normalize(field[1])
            self.lines.setdefault(f"{self._table}.{name}" if self._table else name, number)

    def _add_header(self, number: int, header: re.Match[str]) -> None:
        self._table = self._resolve(_normalize(header[2]))
        if header[1] == "[[":
            self._array_lengths[self._table] = self._array_lengths.get(self._table, 0) + 1
            self.lines.setdefault(self._table, number)
            self._table = f"{self._table}[{self._array_lengths[self._table] - 1}]"
        self.lines.setdefault(self._table, number)

    def _resolve(self, name: str) -> str:
        """Return the full name of a table. Below an array of tables it belongs to the last table of the array."""
        head, _, last = name.rpartition(".")
        while head and head not in self._array_lengths:
            head, _, middle = head.rpartition(".")
            last = f"{middle}.{last}" if middle else last
        return f"{head}[{self._array_lengths[head] - 1}].{last}" if head else name


def _normalize(name: str) -> str:
    return ".".join(part.strip("\"'") for part in _NAME_PART.findall(name))
