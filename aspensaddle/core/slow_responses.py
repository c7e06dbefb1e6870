"""Detection of slow servers by the delays of their responses on this balancer's connections."""

from __future__ import annotations

from statistics import median

from aspensaddle.core.settings import Settings

REPORT_INTERVAL_SECONDS = 1.0  # as often as servers report their latency themselves
SLOW_LATENCY_FRACTION = 1 / 3  # threshold of a slow latency, relative to the shortest message latency objective


class _ServerResponses:
    """Response delays of one server since its last report."""

    __slots__ = ("delays", "is_slow", "reported_at")

    def __init__(self) -> None:
        self.delays: list[float] = []
        self.is_slow = False
        self.reported_at = 0.0


class SlowResponseDetector:
    """Turns single response delays into at most one latency report per server and second. Times are seconds."""

    def __init__(self, settings: Settings) -> None:
        """Use the latency objectives of `settings`."""
        self._servers: dict[int, _ServerResponses] = {}
        self._event_loop_lag = 0.0
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Use the latency objectives of other settings from now on."""
        objective = min(request_class.message_latency_objective for request_class in settings.classes)
        self._slow_latency = SLOW_LATENCY_FRACTION * objective

    def record_event_loop_lag(self, lag: float) -> None:
        """Record by how much the event loop of this process was late. Each call halves the lag recorded before."""
        self._event_loop_lag = max(lag, self._event_loop_lag / 2)

    def record(self, now: float, server: int, delay: float) -> float | None:
        """Record one response delay; return the latency to report for the server, or None if no report is due.

        A report is due when the server is slow, or was slow at the last report. The median ignores a single late
        response. The event-loop lag of this process is subtracted: under load it would make every server look slow.
        """
        responses = self._servers.setdefault(server, _ServerResponses())
        responses.delays.append(delay)
        if now < responses.reported_at + REPORT_INTERVAL_SECONDS:
            return None
        latency = max(0.0, median(responses.delays) - self._event_loop_lag)
        responses.delays.clear()
        responses.reported_at = now
        was_slow = responses.is_slow
        responses.is_slow = latency > self._slow_latency
        return latency if responses.is_slow or was_slow else None
