"""The parts of an nginx configuration that can be imported. All times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

NGINX_DEFAULT_CONNECT_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class UpstreamServer:
    """A server of an upstream; `address` is `HOST:PORT`."""

    address: str
    weight: float = 1.0
    down: bool = False


@dataclass(slots=True)
class Upstream:
    """An `upstream` block."""

    servers: list[UpstreamServer] = field(default_factory=list)


@dataclass(slots=True)
class Location:
    """A `location` block. A deadline or a maximum of attempts that is not set is 0."""

    file: str
    line: int
    path: str
    upstream: str = ""
    deadline: float = 0.0
    connect_timeout: float = NGINX_DEFAULT_CONNECT_TIMEOUT_SECONDS
    max_attempts: int = 0


@dataclass(slots=True)
class NginxConfiguration:
    """The contents of a configuration file; `listen` is `HOST:PORT`, or None if not set."""

    upstreams: dict[str, Upstream] = field(default_factory=dict)
    locations: list[Location] = field(default_factory=list)
    listen: str | None = None
