"""What a balancer keeps of one request, or of the connection that came of it: a record without decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aspensaddle.core.actions import RejectReason
from aspensaddle.core.events import Request

if TYPE_CHECKING:
    from aspensaddle.core.server_state import Server


class RequestState:
    """One request. Times are seconds of the balancer's clock, loads core seconds a second."""

    def __init__(self, request: Request, deadline: float) -> None:
        """Create the state of a request that has not been attempted."""
        self.request = request
        self.deadline = deadline
        self.load = request.load_hint  # None: not known
        self.attempts = 0
        self.attempt_started_at = 0.0
        self.server: Server | None = None  # of the attempt or the connection
        self.tried_servers: list[int] = []
        self.is_established = False
        self.established_at = 0.0
        self.possibly_executed_on: Server | None = None  # by the first attempt that may have been executed
        self.possibly_executed_at = 0.0
        self.utilization_limit = 1.0  # of a server that may be chosen
        self.preferred_server_count = 0  # of its session group, 0 without affinity by the list
        self.slow_start_draw = 0.0  # one random number for all warming servers that it meets, 0: not drawn
        self.no_server_reason = RejectReason.NO_AVAILABLE_SERVER  # why no server was found for an attempt
