"""Maps an nginx configuration to the balancer's configuration, whose keys the platform defines."""

from __future__ import annotations

from aspensaddle.importer.nginx_model import Location, NginxConfiguration, UpstreamServer
from aspensaddle.importer.problems import (
    AmbiguousUpstream,
    ConflictingLimits,
    DuplicateRequestClass,
    Problem,
    UnusedUpstream,
)
from aspensaddle.support.json_fields import Message

DEFAULT_LISTEN_ADDRESS = "127.0.0.1:8000"
DEFAULT_MAX_ATTEMPTS = 6  # used if the nginx configuration sets no limit
MAX_RETRY_AFTER_SECONDS = 1.0
ROOT_CLASS_NAME = "root"


class MappingError(Exception):
    """A configuration that can't be mapped; `problems` holds the reasons."""

    def __init__(self, *problems: Problem) -> None:
        """Store the problems, whose texts make up the message."""
        super().__init__("; ".join(map(str, problems)))
        self.problems = problems


def map_configuration(file: str, nginx: NginxConfiguration, upstream: str | None, balancer_name: str) -> Message:
    """Return the configuration for one upstream of `file`; if `upstream` is None, for the only one in use.

    Raises:
        MappingError: If no upstream or several are in use, or the locations contradict each other.
    """
    locations = _locations_of_upstream(file, nginx, upstream)
    problems = _conflicts(locations)
    if problems:
        raise MappingError(*problems)
    servers = nginx.upstreams[locations[0].upstream].servers
    return {
        "name": balancer_name,
        "listen": nginx.listen or DEFAULT_LISTEN_ADDRESS,
        "known": {"rev": 0, "all": True, "targets": [_endpoint(server) for server in servers]},
        "settings": _settings(locations),
    }


def request_class_name(path: str) -> str:
    """Return the name of the request class for a location's path."""
    return path.strip("/").replace("/", "-") or ROOT_CLASS_NAME


def _locations_of_upstream(file: str, nginx: NginxConfiguration, upstream: str | None) -> list[Location]:
    upstream_locations = [location for location in nginx.locations if location.upstream in nginx.upstreams]
    first_upstream = upstream_locations[0].upstream if upstream_locations else ""
    if upstream is None:
        for location in upstream_locations:
            if location.upstream != first_upstream:
                raise MappingError(AmbiguousUpstream(location.file, location.line, first_upstream, location.upstream))
    selected_upstream = upstream or first_upstream
    locations = [location for location in upstream_locations if location.upstream == selected_upstream]
    if not locations:
        raise MappingError(UnusedUpstream(file, 0, selected_upstream))
    return locations


def _conflicts(locations: list[Location]) -> list[Problem]:
    problems: list[Problem] = []
    names: set[str] = set()
    first_location = locations[0]
    for location in locations:
        name = request_class_name(location.path)
        if name in names:
            problems.append(DuplicateRequestClass(location.file, location.line, name))
        names.add(name)
        limits = (location.connect_timeout, location.max_attempts)
        if limits != (first_location.connect_timeout, first_location.max_attempts):
            problems.append(ConflictingLimits(location.file, location.line, first_location.line))
    return problems


def _endpoint(server: UpstreamServer) -> Message:
    return {
        "uid": server.address,
        "endpoint": server.address.replace("[", "").replace("]", ""),
        "state": "leaving" if server.down else "active",
        "capacity_hint": server.weight,
        "boot_ms": 0,
    }


def _settings(locations: list[Location]) -> Message:
    return {
        "discovery": "pushed",
        "weights": "nominal",
        "fleet-size": 1,
        "failure-domains": [""],
        "lanes": [_request_class(location) for location in locations],
        "limits": {
            "connect-timeout": locations[0].connect_timeout,
            "most-tries": locations[0].max_attempts or DEFAULT_MAX_ATTEMPTS,
            "retry-after": True,
            "max-retry-after": MAX_RETRY_AFTER_SECONDS,
            "cancel": True,
        },
    }


def _request_class(location: Location) -> Message:
    deadline = location.deadline or location.connect_timeout
    name = request_class_name(location.path)
    return {"name": name, "aim": deadline, "deadline": deadline, "repeat": "pure", "worth": 1.0}
