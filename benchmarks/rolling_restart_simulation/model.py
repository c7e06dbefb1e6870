"""Constants of the simulated fleet.

Times are in seconds, work in seconds of a standard core, loads in standard cores.
"""

from aspensaddle.core.settings import Limits, RequestClass, ServiceRules, Settings

# Time
BALANCER_CLOCK_START = 1000.0  # the balancers' clock at the start: a server that started at 0 started long ago
SIMULATION_DURATION = 30.0
TIME_STEP = 0.05
COUNTING_PERIOD = 5.0  # events are counted per period
SNAPSHOT_TIMES = (1.0, 4.0, 10.0, 16.0, 20.0, 24.0, 28.0)
DURATION_SAMPLE_FROM = 10.0  # connections opened from then on count for the median duration
DURATION_SAMPLE_TO = 25.0  # connections opened before then count for the median duration

# Servers; tuples are indexed by machine type: fast, plain
CORES_PER_SERVER = 2.0
LISTED_CORE_SPEEDS = (1.5, 0.97)  # standard cores per core
ACTUAL_CORE_SPEEDS = ((1.3, 1.7), (0.85, 1.1))  # ranges, standard cores per core
FAST_SERVER_FRACTION = 0.58
USABLE_CAPACITY_FRACTION = 0.78  # fraction of the cores' speed that a server really delivers
INITIAL_UTILIZATION = 0.62  # requested fraction of a server's capacity at the start
INITIAL_CAPACITY_FRACTIONS = ((0.2, 0.35), (0.12, 0.35))  # ranges, at the beginning of a slow start
SLOW_START_DURATIONS = ((14.0, 22.0), (10.0, 24.0))  # ranges
SESSION_GROUP_WORK = 0.24  # work per second of a server for each session group that it has connections of
MESSAGE_WORK = 0.005  # work of one message; its queueing time is this times 1 / (1 - utilization)
TIMELY_UTILIZATION = 0.85  # with a higher utilization, a part of the messages is late
MAX_TIMELY_BACKLOG = (0.15, 0.06)  # by request class: with a longer backlog no message is answered in time
SETUP_WORK = (0.0065, 0.018)  # range, work of one connection setup
# A server drops connections while its backlog is longer than this number of seconds of its capacity.
OVERLOAD_DROP_BACKLOG = (0.5, 1.5)  # range
OVERLOAD_DROP_INTERVAL = 0.25
UTILIZATION_AFTER_DROP = 0.5  # the server stops dropping connections at this utilization
OVERLOAD_MULTIPLE = 4.0  # a server crashes above this multiple of the rate that fills it during its slow start
OVERLOAD_WINDOW = 2.0

# Clients; tuples are indexed by request class
MEAN_CONNECTION_LOAD = 1 / 9.0  # mean load of the first class; `RELATIVE_LOADS` scales it for the others
MAX_CONNECTION_LOAD = 0.58
RELATIVE_LOADS = (1.0, 0.35)
PRIORITY_WEIGHTS = (5.0, 3.0)
DEADLINES = (1.2, 1.8)
FIRST_CLASS_FRACTION = 0.71
MEAN_CLIENT_DURATION = 35.0
LOAD_SIGMA = 1.5  # parameter of a log-normal distribution
LOAD_CHANGE_SIGMA = 0.5  # parameter of a log-normal distribution
LOAD_REPORT_INTERVAL = (6.0, 18.0)  # range, used for the time between load changes too
SESSION_GROUP_COUNT = (25, 38)  # range
ZONE_IMBALANCE = (0.15, 0.45)  # range, the relative excess of the first zone's clients over half of all clients
RETRY_AFTER_COMPLIANCE = (0.74, 1.0)  # range, fraction of clients that wait for Retry-After
RETRY_BACKOFF = (0.015, 0.12)  # range, for clients that do not wait for it; doubles with each rejection
MAX_CONSECUTIVE_RETRIES = 2
REQUEST_BACKOFF = (1.0, 3.0)  # range, after that many retries; doubles at most `MAX_BACKOFF_DOUBLINGS` times
MAX_BACKOFF_DOUBLINGS = 2
RECONNECT_DELAY = (0.11, 1.6)  # range, after a lost connection
MIGRATION_RECONNECT_DELAY = (0.06, 0.25)  # range, after a migration

# Network and discovery
CONNECT_LATENCY = 0.08
CONNECT_TIMEOUT = 0.25
REPORT_LATENCY = 0.01
MIGRATION_LATENCY = 0.01
FRONTEND_WEIGHT_SIGMA = 0.6  # log-normal: clients are spread unevenly over the front ends
ENDPOINT_UPDATE_SPREAD = 0.3  # within this time a change of the endpoint list reaches all balancers
DRAIN_PUBLICATION_DELAY = (2.1, 6.2)  # range, until the endpoint list shows the server as draining
CRASH_DETECTION_DELAY = (5.0, 12.0)  # range
NEW_SERVER_PUBLICATION_DELAY = (0.67, 2.8)  # range
LATENCY_REPORT_STEPS = 20  # time steps between two latency reports of a front end

# Faults
REPLACEMENT_START = 4.0
REPLACEMENT_DURATION = 12.0
REPLACEMENT_BATCHES = 6
STOP_AFTER_DRAIN_PUBLICATION = 2.5
REMOVAL_AFTER_DRAIN_PUBLICATION = 3.0
HANG_START = (6.0, 16.0)  # range
HANG_DURATION = 6.0
SERVERS_PER_HANG = 20  # one server of this many hangs
BALANCER_RESTART_START = 4.0
BALANCER_RESTART_INTERVAL = 2.0
BALANCER_RESTART_BATCHES = 10
BALANCER_DOWNTIME = 3.0

SETTINGS = Settings(
    classes=(
        RequestClass(
            latency_objective=0.3,
            deadline=DEADLINES[0],
            priority_weight=PRIORITY_WEIGHTS[0],
            message_latency_objective=MAX_TIMELY_BACKLOG[0],
        ),
        RequestClass(
            latency_objective=0.3,
            deadline=DEADLINES[1],
            priority_weight=PRIORITY_WEIGHTS[1],
            message_latency_objective=MAX_TIMELY_BACKLOG[1],
        ),
    ),
    zone_count=2,
    session_groups=True,
    machine_types=("fast-runner", "plain-runner"),
    core_speeds=LISTED_CORE_SPEEDS,
    session_group_cost=3.0,
    rules=ServiceRules(
        response_grace=0.0,
        drain_grace=2.0,
        initial_capacity_fraction=0.12,
        slow_start_duration=24.0,
        overload_multiple=OVERLOAD_MULTIPLE,
        overload_window=OVERLOAD_WINDOW,
        poll_interval=10.0,
    ),
    limits=Limits(max_attempts=6, connect_timeout=CONNECT_TIMEOUT, health_checks_allowed=True),
    health_check_price=0.0044,
)
