"""A balancer's record of one request, or of the connection that it established. It makes no decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aspensaddle.core.actions import RejectReason
from aspensaddle.core.events import Request

if TYPE_CHECKING:
    from aspensaddle.core.server_state import Server


class RequestState:
    """State of one request. Times are seconds of the balancer's clock, loads core seconds per second."""

    def __init__(self, request: Request, deadline: float) -> None:
        """Create the state of a request that has not been attempted."""
        self.request = request
        self.deadline = deadline
        self.load = request.load_hint  # None: unknown
        self.attempts = 0
        self.attempt_started_at = 0.0
        self.server: Server | None = None  # server of the current attempt or connection
        self.tried_servers: list[int] = []
        self.is_established = False
        self.established_at = 0.0
        self.possibly_executed_on: Server | None = None  # server of the first attempt that may have been executed
        self.possibly_executed_at = 0.0  # start of that attempt
        self.utilization_limit = 1.0  # highest utilization of a server that may be selected
        self.preferred_server_count = 0  # servers that the list alone gives its session group; 0: none
        self.slow_start_draw = 0.0  # one random number for all warming servers that are considered; 0: not drawn
        self.only_servers: list[Server] | None = None  # servers that may be selected now; None: all of the list
        self.no_server_reason = RejectReason.NO_AVAILABLE_SERVER  # why no server was found
