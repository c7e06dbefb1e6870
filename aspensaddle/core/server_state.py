"""What a balancer keeps of one server: a record without decisions."""

from __future__ import annotations

from collections import Counter

from aspensaddle.core.attempt_window import AttemptWindow
from aspensaddle.core.events import Endpoint, ServerState
from aspensaddle.core.load_reports import ReportedLoad
from aspensaddle.core.request_state import RequestState

RING_POINTS = 8  # points of a server on the hash ring, to even out the gaps


class Server:
    """One server as this balancer knows it. Times are seconds of its clock, loads core seconds a second."""

    def __init__(self, endpoint: Endpoint, rotation_offset: float) -> None:
        """Create a record of a listed server; `rotation_offset` (0 to 1) is its place in the first round."""
        self.id = endpoint.server
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.weight = 1.0
        self.started_at = 0.0  # 0: long ago
        self.is_ready = False
        # Rotation.
        self.rotation_offset = rotation_offset
        self.ratio = 0.0  # fraction of new connections; `WeightedRotation.raised` comes on top
        self.share = 0.0  # the ratio by weight and warm-up
        self.next_turn = 0.0  # load per share at which its turn comes
        self.is_available = False  # counts in the sums of its pools
        self.ring_points = [(hash((self.id, point)), self.id, self) for point in range(RING_POINTS)]
        # Passive measurement and faults.
        self.window = AttemptWindow()
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.slow_until = 0.0
        self.latency_reported_at = 0.0
        self.drops_connections = False  # dropped one as soon as it was established
        self.connection_dropped_at = 0.0
        self.avoided_until = 0.0  # lost a connection while capacity was missing
        # Load.
        self.reported = ReportedLoad()
        self.known_load = 0.0  # of the connections with a known load
        self.connections_of_unknown_load = 0
        self.own_load = 0.0  # of this balancer
        self.load = 0.0  # the same, or by reports that of all balancers
        self.session_groups = Counter[int]()  # of connections and attempts
        self.connections: dict[str, RequestState] = {}  # established and not asked to migrate, by request id
        self.request_count = 0  # attempts and connections that it holds
        self.last_attempt_at = 0.0
        self.accepted_at = 0.0  # start of the last attempt that it accepted

    def update(self, endpoint: Endpoint, core_speeds: tuple[float, ...]) -> None:
        """Take weight, start and state from the list; zone and cell stay."""
        self.weight = endpoint.weight
        if 0 <= endpoint.machine_type < len(core_speeds):
            self.weight *= core_speeds[endpoint.machine_type]
        self.started_at = endpoint.started_at
        self.is_ready = endpoint.state is ServerState.READY

    def take_requests_from(self, departed: Server) -> None:
        """Hold what an earlier record of this server holds, which is not used any more."""
        self.known_load = departed.known_load
        self.connections_of_unknown_load = departed.connections_of_unknown_load
        self.own_load = departed.own_load
        self.load = departed.own_load
        self.session_groups = departed.session_groups
        self.connections = departed.connections
        self.request_count = departed.request_count
