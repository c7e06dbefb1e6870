"""A simulated client, which needs one connection for a limited time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from benchmarks.rolling_restart_simulation.frontend import Frontend


class ClientState(Enum):
    """State of a client; the report lists lost service under the state's value."""

    CONNECTING = "asking"
    CONNECTED = "up"
    REJECTED = "refused"
    RECONNECTING = "between"
    SERVER_CRASHED = "fallen"
    DONE = "done"


@dataclass(slots=True, eq=False)
class Client:
    """One client. Loads are in standard cores, times in seconds of simulated time."""

    key: int
    class_index: int
    zone: int
    session_group: int
    usual_load: float
    load: float
    wanted_until: float
    honours_retry_after: bool
    state: ClientState = ClientState.RECONNECTING
    state_version: int = 0  # callbacks scheduled for an earlier version are not run
    frontend: Frontend | None = None
    request_id: str = ""
    attempt: int = -1
    server: int = -1
    attempt_started_at: float = 0.0
    connected_at: float = 0.0
    rejections: int = 0  # consecutive rejections of the current request
    failed_requests: int = 0
    reconnecting: bool = False
    load_changes_at: float = 0.0

    @property
    def current_frontend(self) -> Frontend:
        """The front end of the current request; it is an error to ask before the first request."""
        assert self.frontend is not None
        return self.frontend

    def change_state(self, state: ClientState) -> None:
        """Enter `state` and cancel the callbacks scheduled before."""
        self.state_version += 1
        self.state = state
