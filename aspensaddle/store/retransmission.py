"""When a request over UDP counts as lost: a timer by the measured round trips (RFC 6298, with Karn's algorithm).

Other than there, the timeout doubles once only: what is in flight is bounded, and a replica that leaves has little
time.
"""

from __future__ import annotations

from dataclasses import dataclass

INITIAL_TIMEOUT_SECONDS = 0.25
MIN_TIMEOUT_SECONDS = 0.05
MAX_TIMEOUT_SECONDS = 0.5
SMOOTHING_GAIN = 1 / 8  # RFC 6298, section 2: alpha
DEVIATION_GAIN = 1 / 4  # beta
DEVIATIONS = 4  # K


@dataclass(slots=True)
class RetransmissionTimer:
    """The time within which a request is answered.

    Attributes:
        timeout: Seconds after which a request without an answer is repeated.
    """

    timeout: float = INITIAL_TIMEOUT_SECONDS
    _measured: float = INITIAL_TIMEOUT_SECONDS  # the timeout by the round trips, without doubling
    _mean: float | None = None
    _deviation: float = 0.0
    _answered_at: float = float("-inf")

    def record_answer(self, round_trip: float | None, now: float) -> None:
        """Note that a request was answered.

        Args:
            round_trip: How long the answer took, in seconds; None if the request was sent more than once.
            now: A monotonic time in seconds.
        """
        self._answered_at = now
        if round_trip is not None:
            self._measure(round_trip)
            self.timeout = self._measured

    def _measure(self, round_trip: float) -> None:
        if self._mean is None:
            self._mean, self._deviation = round_trip, round_trip / 2
        else:
            self._deviation += DEVIATION_GAIN * (abs(self._mean - round_trip) - self._deviation)
            self._mean += SMOOTHING_GAIN * (round_trip - self._mean)
        timeout = self._mean + DEVIATIONS * self._deviation
        self._measured = min(MAX_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, timeout))

    def record_timeout(self, now: float) -> None:
        """Note that requests had no answer in time. If no request has had one for as long, the next wait longer."""
        if now - self._answered_at >= self.timeout:
            self.timeout = min(MAX_TIMEOUT_SECONDS, 2 * self._measured)
