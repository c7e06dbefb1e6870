"""The driver's record of one request in progress."""

from __future__ import annotations

from dataclasses import dataclass

from aspensaddle.core.events import Request
from aspensaddle.core.protocols import RequestHandler


@dataclass(slots=True)
class ActiveRequest:
    """A request in progress, or the connection that it established."""

    handler: RequestHandler
    request: Request
    deadline: float
    attempt: int = -1
    server: int = -1
    attempt_started_at: float = 0.0
    first_byte_sent: bool = False  # the current attempt may have sent its first byte
    is_recorded: bool = False  # among the executed requests, as the first one of its id
    possibly_executed_at: float | None = None  # start of the first attempt that may have been executed
