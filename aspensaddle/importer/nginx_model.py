"""The parts of an nginx configuration that are imported. Times are seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

NGINX_CONNECT_TIMEOUT = 60.0  # s, nginx's default


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
    """A `location` block. A deadline or an attempt limit of 0 is not set."""

    file: str
    line: int
    path: str
    upstream: str = ""
    deadline: float = 0.0
    connect_timeout: float = NGINX_CONNECT_TIMEOUT
    max_attempts: int = 0


@dataclass(slots=True)
class NginxConfiguration:
    """What a file defines; `listen` is `HOST:PORT`, None if not set."""

    upstreams: dict[str, Upstream] = field(default_factory=dict)
    locations: list[Location] = field(default_factory=list)
    listen: str | None = None
