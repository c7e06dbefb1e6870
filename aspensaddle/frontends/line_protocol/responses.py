"""Responses to clients, and the end of a client's connection."""

from __future__ import annotations

import math
from dataclasses import dataclass

from aspensaddle.core.actions import Fail, Reject

PONG = b"PONG\r\n"
ERROR = b"ERR\r\n"
MIGRATE = b"MOVE\r\n"


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """How a client's connection ends.

    Attributes:
        response: What is still sent to the client before sending ends.
        reset: Whether the connection is reset without sending anything more.
    """

    response: bytes = b""
    reset: bool = False


def busy(retry_after: float) -> bytes:
    """Return the response for a rejected request; the client may retry after `retry_after` seconds."""
    milliseconds = math.ceil(retry_after * 1000)
    return b"BUSY %d\r\n" % milliseconds if milliseconds > 0 else b"BUSY\r\n"


def response_to(decision: Reject | Fail) -> bytes:
    """Return the response for a final decision of the balancer."""
    return busy(decision.retry_after) if isinstance(decision, Reject) else ERROR
