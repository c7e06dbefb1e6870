"""Constants of the simulated world. Times are seconds, work is seconds of a standard core."""

from aspensaddle.core.settings import Limits, RequestClass, ServiceRules, Settings

# Time
BALANCER_CLOCK_START = 1000.0  # the balancers' clock at the start: a server that started at 0 started long ago
SIMULATION_DURATION = 30.0
TIME_STEP = 0.05
COUNTING_PERIOD = 5.0  # events are counted per period
SNAPSHOT_TIMES = (1.0, 4.0, 10.0, 16.0, 20.0, 24.0, 28.0)
DURATION_SAMPLE_FROM, DURATION_SAMPLE_TO = 10.0, 25.0  # connections opened then count for the median duration

# Servers; tuples are indexed by machine type: fast, plain
CORES_PER_SERVER = 2.0
LISTED_CORE_SPEEDS = (1.5, 0.97)  # standard cores per core
ACTUAL_CORE_SPEEDS = ((1.3, 1.7), (0.85, 1.1))  # ranges of the same
FAST_SERVER_FRACTION = 0.58
USABLE_CAPACITY_FRACTION = 0.78  # of the cores, what a server really delivers
INITIAL_UTILIZATION = 0.62  # of its capacity, what a server is asked for at the start
INITIAL_CAPACITY_FRACTIONS = ((0.2, 0.35), (0.12, 0.35))  # ranges, at the begin of a slow start
SLOW_START_DURATIONS = ((14.0, 22.0), (10.0, 24.0))  # ranges
SESSION_GROUP_WORK = 0.24  # per second, what a server pays for each session group it has connections of
MESSAGE_WORK = 0.005  # of one message, which waits by 1 / (1 - utilization)
TIMELY_UTILIZATION = 0.85  # from this utilization on, part of the messages is late
MAX_TIMELY_BACKLOG = (0.15, 0.06)  # by request class: with a longer backlog no message is answered in time
SETUP_WORK = (0.0065, 0.018)  # range, work of one connection setup
OVERLOAD_DROP_BACKLOG = (0.5, 1.5)  # range, the backlog from which a server drops connections
OVERLOAD_DROP_INTERVAL = 0.25
UTILIZATION_AFTER_DROP = 0.5  # of the capacity, where dropping ends
OVERLOAD_MULTIPLE = 4.0  # of the rate that fills a server during its slow start; a higher one crashes it
OVERLOAD_WINDOW = 2.0

# Clients; tuples are indexed by request class
MEAN_CONNECTION_LOAD = 1 / 9.0  # of a standard core, a connection of the first class
MAX_CONNECTION_LOAD = 0.58  # of a standard core
RELATIVE_LOADS = (1.0, 0.35)
PRIORITY_WEIGHTS = (5.0, 3.0)
DEADLINES = (1.2, 1.8)
FIRST_CLASS_FRACTION = 0.71
MEAN_CLIENT_DURATION = 35.0
LOAD_SIGMA, LOAD_CHANGE_SIGMA = 1.5, 0.5  # of log-normal distributions
LOAD_REPORT_INTERVAL = (6.0, 18.0)  # range, also of the time between changes of the load
SESSION_GROUP_COUNT = (25, 38)  # range
ZONE_IMBALANCE = (0.15, 0.45)  # range, excess of the first zone's clients over half of them
RETRY_AFTER_COMPLIANCE = (0.74, 1.0)  # range, part of the clients that wait for Retry-After
RETRY_BACKOFF = (0.015, 0.12)  # range, of the others; doubles with each rejection
MAX_CONSECUTIVE_RETRIES = 2
REQUEST_BACKOFF = (1.0, 3.0)  # range, after that many; doubles at most `MAX_BACKOFF_DOUBLINGS` times
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
DRAIN_NOTICE_DELAY = (2.1, 6.2)  # range, until the list tells that a server drains
CRASH_NOTICE_DELAY = (5.0, 12.0)  # range
NEW_SERVER_NOTICE_DELAY = (0.67, 2.8)  # range
LATENCY_REPORT_STEPS = 20  # time steps between two latency reports of a front end

# Faults
REPLACEMENT_START, REPLACEMENT_DURATION, REPLACEMENT_BATCHES = 4.0, 12.0, 6
STOP_AFTER_DRAIN_NOTICE, REMOVAL_AFTER_DRAIN_NOTICE = 2.5, 3.0
HANG_START, HANG_DURATION, SERVERS_PER_HANG = (6.0, 16.0), 6.0, 20
BALANCER_RESTART_START, BALANCER_RESTART_INTERVAL, BALANCER_RESTART_BATCHES = 4.0, 2.0, 10
BALANCER_DOWNTIME = 3.0

SETTINGS = Settings(
    classes=(
        RequestClass(0.3, DEADLINES[0], PRIORITY_WEIGHTS[0], message_latency_objective=MAX_TIMELY_BACKLOG[0]),
        RequestClass(0.3, DEADLINES[1], PRIORITY_WEIGHTS[1], message_latency_objective=MAX_TIMELY_BACKLOG[1]),
    ),
    zone_count=2,
    session_groups=True,
    machine_types=("fast-runner", "plain-runner"),
    core_speeds=LISTED_CORE_SPEEDS,
    session_group_cost=3.0,
    rules=ServiceRules(0.0, 2.0, 0.12, 24.0, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, 10.0),
    limits=Limits(6, CONNECT_TIMEOUT, health_checks_allowed=True),
    health_check_price=0.0044,
)
