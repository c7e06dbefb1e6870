"""Parses nginx configuration files into typed directives."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import crossplane

from aspensaddle.importer.problems import FileProblem, Problem
from aspensaddle.support.json_fields import Message

COMMENT = "#"  # the parser's name of a comment between the arguments of a directive
UNEXPECTED_END = "the file ends within a directive"  # of this the parser gives no text


@dataclass(frozen=True, slots=True)
class Directive:
    """One directive of a file. `block` is None for a directive without braces."""

    file: str
    line: int
    name: str
    arguments: tuple[str, ...]
    block: tuple[Directive, ...] | None


def parse_file(path: str) -> tuple[list[Directive], list[Problem]]:
    """Return the directives of a file and of the files that it includes, and the problems that the parser found."""
    payload: dict[str, Any] = crossplane.parse(path, combine=True, check_ctx=False, check_args=False)
    problems: list[Problem] = [_syntax_problem(error) for error in payload["errors"]]
    directives = [directive for config in payload["config"] for directive in _to_directives(config["parsed"])]
    return directives, problems


def _syntax_problem(error: Message) -> Problem:
    reason = re.sub(r" in \S+:\d+$", "", str(error["error"]))  # the problem has fields for file and line
    return FileProblem(error["file"], error.get("line") or 0, reason or UNEXPECTED_END)


def _to_directives(block: list[Message]) -> tuple[Directive, ...]:
    return tuple(_to_directive(parsed) for parsed in block if parsed["directive"] != COMMENT)


def _to_directive(parsed: Message) -> Directive:
    block = parsed.get("block")
    return Directive(
        file=str(parsed.get("file", "")),
        line=int(parsed.get("line") or 0),
        name=parsed["directive"],
        arguments=tuple(parsed["args"]),
        block=None if block is None else _to_directives(block),
    )
