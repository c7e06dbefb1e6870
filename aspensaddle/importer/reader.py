"""Reads directives into an `NginxConfiguration` and collects the problems that prevent an import."""

from __future__ import annotations

import re
from collections.abc import Iterable

from aspensaddle.importer.directives import Directive
from aspensaddle.importer.nginx_model import Location, NginxConfiguration, Upstream, UpstreamServer
from aspensaddle.importer.problems import DirectiveProblem, Problem, UnknownUpstream
from aspensaddle.support.address import parse_address
from aspensaddle.support.json_fields import DecodeError

TRANSPARENT_BLOCKS = ("http", "server")  # the directives inside are read as if they were outside
RETRY_CONDITIONS = {"error", "timeout", "non_idempotent"}  # conditions under which the balancer retries as well
REQUIRED_RETRY_CONDITIONS = {"error", "timeout"}
DEFAULT_SERVER_PORT = 80  # nginx has the same default
SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
NUMERIC_HOST = re.compile(r"[0-9.]+|\[?[0-9a-fA-F:]+\]?")
PATH_PREFIX = re.compile(r"/[A-Za-z0-9._/-]*")
PROXY_TARGET = re.compile(r"http://([A-Za-z0-9._-]+)/?")


class ConfigurationReader:
    """Reads the directives of a configuration in order. Call `finish` after the last one."""

    def __init__(self) -> None:
        """Start with an empty configuration."""
        self.configuration = NginxConfiguration()
        self.problems: list[Problem] = []
        self._proxy_passes: list[tuple[Directive, str]] = []

    def read(self, directives: Iterable[Directive]) -> None:
        """Read directives that are not in an upstream or a location."""
        for directive in directives:
            self._read_directive(directive)

    def finish(self) -> None:
        """Check that all upstreams in use are defined; an upstream may follow the locations that pass to it."""
        for directive, name in self._proxy_passes:
            if name not in self.configuration.upstreams:
                self.problems.append(UnknownUpstream(directive.file, directive.line, name))

    def _read_directive(self, directive: Directive) -> None:
        if directive.name in TRANSPARENT_BLOCKS and directive.block is not None:
            self.read(directive.block)
        elif directive.name == "events" and directive.block == ():
            pass  # nginx requires this block; an empty one sets nothing
        elif directive.name == "upstream" and directive.block is not None:
            self._read_upstream(directive, directive.block)
        elif directive.name == "location" and directive.block is not None:
            self._read_location(directive, directive.block)
        elif directive.name == "listen":
            self._read_listen(directive)
        else:
            self._add_problem(directive, "can't be imported")

    def _read_listen(self, directive: Directive) -> None:
        if len(directive.arguments) != 1 or self.configuration.listen is not None:
            self._add_problem(directive, "only one address without options can be imported")
            return
        (argument,) = directive.arguments
        address = argument if ":" in argument else f"*:{argument}"
        address = address.replace("*:", "0.0.0.0:")
        if self._check_address(directive, address):
            self.configuration.listen = address

    # Upstream blocks

    def _read_upstream(self, directive: Directive, block: tuple[Directive, ...]) -> None:
        if len(directive.arguments) != 1 or directive.arguments[0] in self.configuration.upstreams:
            self._add_problem(directive, "needs one name that no other upstream has")
            return
        upstream = self.configuration.upstreams[directive.arguments[0]] = Upstream()
        for inner in block:
            if inner.name == "server" and inner.arguments:
                self._read_upstream_server(inner, upstream)
            else:
                self._add_problem(inner, "can't be imported; the balancer selects servers by its own policy")
        if not upstream.servers:
            self._add_problem(directive, "has no server that can be imported")

    def _read_upstream_server(self, directive: Directive, upstream: Upstream) -> None:
        address, *options = directive.arguments
        address = address if ":" in address else f"{address}:{DEFAULT_SERVER_PORT}"
        if not self._check_address(directive, address):
            return
        if not NUMERIC_HOST.fullmatch(address.rpartition(":")[0]):
            self._add_problem(directive, f"{address} must have an IP address as host: the balancer does not use DNS")
            return
        server = self._server_with_options(directive, address, options)
        if any(known.address == address for known in upstream.servers):
            self._add_problem(directive, f"{address} is listed twice")
        upstream.servers.append(server)

    def _server_with_options(self, directive: Directive, address: str, options: list[str]) -> UpstreamServer:
        weight, down = 1.0, False
        for option in options:
            name, _, value = option.partition("=")
            if name == "weight" and _is_unsigned_integer(value) and int(value) > 0:
                weight = float(value)
            elif option == "down":
                down = True
            else:
                self._add_problem(directive, f"{option} can't be imported")
        return UpstreamServer(address, weight, down)

    # Location blocks

    def _read_location(self, directive: Directive, block: tuple[Directive, ...]) -> None:
        if len(directive.arguments) != 1 or not PATH_PREFIX.fullmatch(directive.arguments[0]):
            path = " ".join(directive.arguments)
            self._add_problem(directive, f"{path}: only a plain path prefix can be imported")
            return
        location = Location(directive.file, directive.line, directive.arguments[0])
        problems_before = len(self.problems)
        for inner in block:
            if not self._apply_to_location(inner, location):
                directive_text = " ".join((inner.name, *inner.arguments))
                self.problems.append(DirectiveProblem(inner.file, inner.line, directive_text, "can't be imported"))
        if not location.upstream and len(self.problems) == problems_before:
            self._add_problem(directive, "does not pass to an upstream")
        self.configuration.locations.append(location)

    def _apply_to_location(self, directive: Directive, location: Location) -> bool:
        """Apply a directive to the location; return whether it can be imported."""
        value = directive.arguments[0] if len(directive.arguments) == 1 else ""
        match directive.name:
            case "proxy_pass":
                return self._apply_proxy_pass(directive, value, location)
            case "proxy_connect_timeout":
                location.connect_timeout = parse_duration(value) or location.connect_timeout
                return parse_duration(value) > 0
            case "proxy_next_upstream_timeout":
                location.deadline = parse_duration(value) or location.deadline
                return parse_duration(value) > 0
            case "proxy_next_upstream_tries" if _is_unsigned_integer(value):
                location.max_attempts = int(value)
                return True
            case "proxy_next_upstream":
                return REQUIRED_RETRY_CONDITIONS <= set(directive.arguments) <= RETRY_CONDITIONS
        return False

    def _apply_proxy_pass(self, directive: Directive, value: str, location: Location) -> bool:
        target = PROXY_TARGET.fullmatch(value)
        if target is None:
            return False
        location.upstream = target[1]
        self._proxy_passes.append((directive, target[1]))
        return True

    # Problems

    def _check_address(self, directive: Directive, address: str) -> bool:
        try:
            parse_address(address, "address")
        except DecodeError as error:
            self._add_problem(directive, str(error))
            return False
        return True

    def _add_problem(self, directive: Directive, reason: str) -> None:
        self.problems.append(DirectiveProblem(directive.file, directive.line, directive.name, reason))


def parse_duration(text: str) -> float:
    """Return an nginx time such as `1s500ms` in seconds; 0 if the text is not a time."""
    parts = re.findall(r"(\d+)(ms|[smhd]?)", text)
    if not parts or "".join(number + unit for number, unit in parts) != text:
        return 0.0
    return sum(int(number) * SECONDS_PER_UNIT[unit] for number, unit in parts)


def _is_unsigned_integer(text: str) -> bool:
    return text.isascii() and text.isdigit()
