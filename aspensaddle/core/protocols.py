"""Interfaces that a front end and a process implement for the driver."""

from __future__ import annotations

from typing import Protocol

from aspensaddle.core.actions import RequestAction


class RequestHandler(Protocol):
    """A front end's object for one request."""

    def handle_action(self, action: RequestAction) -> None:
        """Carry out an action that the balancer decided for the request."""

    def client_is_connected(self) -> bool:
        """Return whether the client is still connected, checking its connection anew where that is possible."""


class ProcessServices(Protocol):
    """Services that a process provides to its balancer, other than the handling of requests."""

    def watch_endpoints(self) -> None:
        """Start to watch the endpoint list."""

    def check_health(self, server: int) -> None:
        """Send a health check and report its result to the driver."""

    def timers_changed(self) -> None:
        """Reschedule the next timer run: a timer may now be due earlier."""
