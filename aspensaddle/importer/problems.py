"""Problems that prevent an import, each with the file and line that it concerns."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """A reason why a file can't be imported. `line` counts from 1; 0 means the whole file or no file."""

    file: str
    line: int

    @property
    def text(self) -> str:
        """The description of the problem, in one line."""
        raise NotImplementedError

    def __str__(self) -> str:
        """Return `FILE:LINE: TEXT`."""
        return f"{self.file}:{self.line}: {self.text}"


@dataclass(frozen=True, slots=True)
class FileProblem(Problem):
    """A file that can't be opened or parsed, or whose conversion gives an invalid configuration."""

    reason: str

    @property
    def text(self) -> str:
        """Return the reason."""
        return self.reason


@dataclass(frozen=True, slots=True)
class DirectiveProblem(Problem):
    """A directive that is not supported or not valid."""

    directive: str
    reason: str

    @property
    def text(self) -> str:
        """Return the directive and the reason."""
        return f"{self.directive}: {self.reason}"


@dataclass(frozen=True, slots=True)
class UnknownUpstream(Problem):
    """A location that passes to an undefined upstream."""

    upstream: str

    @property
    def text(self) -> str:
        """Return the name of the upstream."""
        return f"proxy_pass: {self.upstream} is not an upstream of this file"


@dataclass(frozen=True, slots=True)
class AmbiguousUpstream(Problem):
    """Locations that pass to several upstreams, of which none was selected."""

    first_upstream: str
    other_upstream: str

    @property
    def text(self) -> str:
        """Return both upstreams and the option that selects one."""
        return (
            f"location: passes to {self.other_upstream}, but an earlier location passes to {self.first_upstream}; "
            "a balancer serves one upstream: select it with --upstream"
        )


@dataclass(frozen=True, slots=True)
class UnusedUpstream(Problem):
    """A selected upstream to which no location passes; without a name, no location passes to any."""

    upstream: str

    @property
    def text(self) -> str:
        """Return the name of the upstream in a sentence."""
        return (
            f"no location passes to upstream {self.upstream!r}"
            if self.upstream
            else "no location passes to an upstream"
        )


@dataclass(frozen=True, slots=True)
class DuplicateRequestClass(Problem):
    """A location whose request class has the same name as that of an earlier location."""

    class_name: str

    @property
    def text(self) -> str:
        """Return the name of the request class."""
        return f"location: duplicate request class {self.class_name}"


@dataclass(frozen=True, slots=True)
class ConflictingLimits(Problem):
    """A location whose limits differ from those of the first location, at `first_line`."""

    first_line: int

    @property
    def text(self) -> str:
        """Return the directives that must be the same and the line of the first location."""
        return (
            "location: proxy_connect_timeout and proxy_next_upstream_tries "
            f"must be the same as at line {self.first_line}: the balancer has one value of each"
        )
