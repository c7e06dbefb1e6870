"""Parser of the OPEN line, the first line of a request."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from aspensaddle.core.events import Request
from aspensaddle.frontends.line_protocol.errors import InvalidOpenError
from aspensaddle.support.hashing import stable_hash

NO_TENANT = -1  # the request has no tenant, or one without a quota
HASH_BITS = 53
MAX_WAIT_DIGITS = 9
MAX_LOAD_HINT = 1e9

_WAIT_FIELD = re.compile(rb"(?<=[ ,])d=\d+(?=[,\s]|$)")
_WORD = re.compile(r"[!-~]{1,128}")
_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?([eE][+-]?\d{1,2})?")
_NO_TENANTS: Mapping[str, int] = MappingProxyType({})


@dataclass(slots=True)
class OpenRequest:
    """A parsed OPEN line.

    Attributes:
        line: The line as received, with its line end.
        request: The request for the balancer.
        adopted_server: Name of the server at which the connection was open before this process started, if any.
    """

    line: bytes
    request: Request
    adopted_server: str | None = None

    def line_for_server(self, wait: float) -> bytes:
        """Return the line with its wait replaced by `wait`, in seconds, and everything else unchanged."""
        return _WAIT_FIELD.sub(b"d=%d" % max(1, int(wait * 1000)), self.line, count=1)


def parse_open(
    line: bytes, classes: Mapping[str, int], groups: bool, tenants: Mapping[str, int] = _NO_TENANTS
) -> OpenRequest:
    """Parse an OPEN line.

    Args:
        line: The line with its line end.
        classes: Indexes of the request classes by name.
        groups: Whether the platform has session groups.
        tenants: Indexes of the tenants with a quota by name.

    Raises:
        InvalidOpenError: The line is not a valid OPEN.
    """
    request_id, key, fields = _split(line)
    values = _parse_fields(fields)
    class_index = classes.get(values.get("c", ""))
    if class_index is None:
        raise InvalidOpenError("c is not the name of a request class")
    time_left = _parse_wait(values)
    request = Request(
        request_id,
        class_index,
        time_left,
        tenants.get(values.get("t", ""), NO_TENANT),
        affinity_key=stable_hash(key, HASH_BITS),
        load_hint=_parse_load_hint(values.get("h")),
        session_group=stable_hash(values["g"], HASH_BITS) if groups and "g" in values else None,
        retried_by_client=values.get("r") == "1",
        reconnecting=values.get("again") == "1",
    )
    return OpenRequest(line, request, values.get("at"))


def _split(line: bytes) -> tuple[str, str, str]:
    """Return request id, affinity key and fields."""
    try:
        word, request_id, key, *rest = line.decode("ascii").rstrip("\r\n").split(" ")
    except (ValueError, UnicodeDecodeError):
        raise InvalidOpenError("the line is not OPEN ID KEY NAME=VALUE,..") from None
    if word != "OPEN" or not _WORD.fullmatch(request_id) or not _WORD.fullmatch(key) or len(rest) != 1:
        raise InvalidOpenError("the line is not OPEN ID KEY NAME=VALUE,..")
    return request_id, key, rest[0]


def _parse_fields(fields: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for item in fields.split(","):
        name, equals, value = item.partition("=")
        if not name or not equals or name in values or not item.isprintable():
            raise InvalidOpenError(f"a field is not NAME=VALUE or repeats a name: {item:.40}")
        values[name] = value
    return values


def _parse_wait(values: Mapping[str, str]) -> float:
    """Return how long the client waits, in seconds; infinite for an adoption without a wait.

    An empty wait is invalid: it could not be replaced in the line, and every server would respond with ERR.
    """
    wait = values.get("d")
    if (wait is None and "at" not in values) or (
        wait is not None and (not wait.isdigit() or len(wait) > MAX_WAIT_DIGITS)
    ):
        raise InvalidOpenError(f"d is not a number of milliseconds with at most {MAX_WAIT_DIGITS} digits")
    return int(wait) / 1000 if wait else math.inf


def _parse_load_hint(hint: str | None) -> float | None:
    if hint is None:
        return None
    if not _NUMBER.fullmatch(hint) or float(hint) >= MAX_LOAD_HINT:
        raise InvalidOpenError(f"h is not a number from 0 to less than {MAX_LOAD_HINT:g}")
    return float(hint)
