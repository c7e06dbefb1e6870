"""What a front end and a process provide to the driver."""

from __future__ import annotations

from typing import Protocol

from aspensaddle.core.actions import RequestAction


class RequestHandler(Protocol):
    """What holds a request in a front end."""

    def handle_action(self, action: RequestAction) -> None:
        """Carry out what was decided for the request."""

    def client_is_connected(self) -> bool:
        """Return whether the client still waits, by a new look at its connection where that is possible."""


class ProcessServices(Protocol):
    """What a process does for its balancer beside the requests."""

    def watch_endpoints(self) -> None:
        """Watch the endpoint list from now on."""

    def check_health(self, server: int) -> None:
        """Send a health check and report its result to the driver."""

    def timers_changed(self) -> None:
        """Look at the timers again: one may now be due earlier."""
