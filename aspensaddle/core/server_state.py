"""The state that a balancer keeps of one server. It makes no decisions."""

from __future__ import annotations

from collections import Counter

from aspensaddle.core.attempt_window import AttemptWindow
from aspensaddle.core.events import Endpoint, ServerState
from aspensaddle.core.load_reports import ReportedLoad
from aspensaddle.core.request_state import RequestState

RING_POINTS_PER_SERVER = 8  # several, so that the gaps between servers even out


class Server:
    """One server as this balancer knows it. Times are seconds of its clock, loads are core seconds per second."""

    def __init__(self, endpoint: Endpoint, rotation_offset: float) -> None:
        """Create the record of a listed server; `rotation_offset` (0 to 1) is its position in the first rotation."""
        self.id = endpoint.server
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.weight = 1.0
        self.started_at = 0.0  # 0 means long ago
        self.is_ready = False
        # Rotation.
        self.rotation_offset = rotation_offset
        self.ratio = 0.0  # fraction of new connections, without `WeightedRotation.pending_ratio_increase`
        self.share = 0.0  # the ratio times weight and warm-up
        self.normalized_load = 0.0  # load and rotation offset per share; the lowest in a pool is next in rotation
        self.is_available = False  # whether the sums of its pools include it
        self.ring_points = [(hash((self.id, point)), self.id, self) for point in range(RING_POINTS_PER_SERVER)]
        # Passive measurement and failures.
        self.window = AttemptWindow()
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.slow_until = 0.0
        self.latency_reported_at = 0.0
        self.drops_connections = False  # whether it dropped a connection as soon as that was established
        self.connection_dropped_at = 0.0
        self.avoided_until = 0.0  # set after a lost connection during a capacity shortage
        # Load.
        self.reported = ReportedLoad()
        self.known_load = 0.0  # total of the connections whose load is known
        self.connections_of_unknown_load = 0
        self.own_load = 0.0  # total of this balancer's connections
        self.load = 0.0  # own load, or with load reports that of all balancers
        self.session_groups = Counter[int]()  # number of connections and attempts by session group
        self.connections: dict[str, RequestState] = {}  # established and not asked to migrate, by request id
        self.request_count = 0  # attempts and connections at the server
        self.last_attempt_at = 0.0
        self.accepted_at = 0.0  # start of the last attempt that it accepted

    def update(self, endpoint: Endpoint, core_speeds: tuple[float, ...]) -> None:
        """Update weight, start time and state from the endpoint list; zone and cell do not change."""
        self.weight = endpoint.weight
        if 0 <= endpoint.machine_type < len(core_speeds):
            self.weight *= core_speeds[endpoint.machine_type]
        self.started_at = endpoint.started_at
        self.is_ready = endpoint.state is ServerState.READY

    def inherit_requests(self, previous_record: Server) -> None:
        """Copy the attempts and connections, with their loads, from an earlier record of this server.

        The earlier record must not be used any more.
        """
        self.known_load = previous_record.known_load
        self.connections_of_unknown_load = previous_record.connections_of_unknown_load
        self.own_load = previous_record.own_load
        self.load = previous_record.own_load
        self.session_groups = previous_record.session_groups
        self.connections = previous_record.connections
        self.request_count = previous_record.request_count
