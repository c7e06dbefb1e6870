"""A client's first line: OPEN, read into a typed request."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from aspensaddle.core.events import Request
from aspensaddle.frontends.line_protocol.errors import InvalidOpenError
from aspensaddle.support.hashing import stable_hash

NO_TENANT = -1  # named, or none that is known: it has no share to be over

_D = re.compile(rb"(?<=[ ,])d=\d+(?=[,\s]|$)")
_WORD = re.compile(r"[!-~]{1,128}")
_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?([eE][+-]?\d{1,2})?")


@dataclass(slots=True)
class Opened:
    """A client's first line."""

    line: bytes
    request: Request
    at: str | None = None

    def first_line(self, wait: float) -> bytes:
        """The line for the runner: unchanged but for how long it will be waited for."""
        return _D.sub(b"d=%d" % max(1, int(wait * 1000)), self.line, count=1)


def parse_open(
    line: bytes, classes: Mapping[str, int], groups: bool, tenants: Mapping[str, int] = MappingProxyType({})
) -> Opened:
    try:
        word, id, key, *rest = line.decode("ascii").rstrip("\r\n").split(" ")
    except (ValueError, UnicodeDecodeError):
        raise InvalidOpenError("not OPEN ID KEY NAME=VALUE,..") from None
    if word != "OPEN" or not _WORD.fullmatch(id) or not _WORD.fullmatch(key) or len(rest) != 1:
        raise InvalidOpenError("not OPEN ID KEY NAME=VALUE,..")
    values: dict[str, str] = {}
    for item in rest[0].split(","):
        name, equals, value = item.partition("=")
        if not name or not equals or name in values or not item.isprintable():
            raise InvalidOpenError(f"not NAME=VALUE: {item:.40}")
        values[name] = value
    cls = classes.get(values.get("c", ""))
    if cls is None:
        raise InvalidOpenError("c names no class")
    wait, hint = values.get("d"), values.get("h")
    # An empty d too: guards against a line whose d can't be written anew, which every runner answers ERR.
    if wait is None and "at" not in values or wait is not None and (not wait.isdigit() or len(wait) > 9):
        raise InvalidOpenError("d is not a number of milliseconds")
    load = None
    if hint is not None:
        if not _NUMBER.fullmatch(hint) or float(hint) >= 1e9:
            raise InvalidOpenError("h is not a number in range")
        load = float(hint)
    request = Request(
        id,
        cls,
        int(wait) / 1000 if wait else math.inf,
        tenants.get(values.get("t", ""), NO_TENANT),
        affinity_key=stable_hash(key, 53),
        load_hint=load,
        session_group=stable_hash(values["g"], 53) if groups and "g" in values else None,
        retried_by_client=values.get("r") == "1",
        reconnecting=values.get("again") == "1",
    )
    return Opened(line, request, values.get("at"))
