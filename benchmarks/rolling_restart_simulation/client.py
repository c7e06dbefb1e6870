"""A simulated client, which wants one connection for a time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from benchmarks.rolling_restart_simulation.frontend import Frontend


class ClientState(Enum):
    """State of a client; the value names the cause of lost service in the report."""

    CONNECTING = "asking"
    CONNECTED = "up"
    REJECTED = "refused"
    RECONNECTING = "between"
    SERVER_CRASHED = "fallen"
    DONE = "done"


@dataclass(slots=True, eq=False)
class Client:
    """One client. Loads are seconds of a standard core per second, times seconds of simulated time."""

    key: int
    class_index: int
    zone: int
    session_group: int
    usual_load: float
    load: float
    wanted_until: float
    honours_retry_after: bool
    state: ClientState = ClientState.RECONNECTING
    state_version: int = 0  # callbacks that were scheduled for an older version are void
    frontend: Frontend | None = None
    request_id: str = ""
    attempt: int = -1
    server: int = -1
    attempt_started_at: float = 0.0
    connected_at: float = 0.0
    rejections: int = 0  # in a row, of the same request
    failed_requests: int = 0
    reconnecting: bool = False
    load_changes_at: float = 0.0

    @property
    def current_frontend(self) -> Frontend:
        """The front end of its request. A client that has never sent one has none, which is an error."""
        assert self.frontend is not None
        return self.frontend

    def change_state(self, state: ClientState) -> None:
        """Enter `state` and void what was scheduled before."""
        self.state_version += 1
        self.state = state
