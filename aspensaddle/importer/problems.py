"""What cannot be imported: typed problems, each with the place in the file that it concerns."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """Something that cannot be imported. `line` counts from 1; 0 means the whole file or none."""

    file: str
    line: int

    @property
    def text(self) -> str:
        """What is wrong, in one line."""
        raise NotImplementedError

    def __str__(self) -> str:
        """Return `FILE:LINE: TEXT`."""
        return f"{self.file}:{self.line}: {self.text}"


@dataclass(frozen=True, slots=True)
class UnreadableFile(Problem):
    """The file cannot be opened or parsed, or the result is no valid configuration."""

    reason: str

    @property
    def text(self) -> str:
        """Return the reason."""
        return self.reason


@dataclass(frozen=True, slots=True)
class DirectiveProblem(Problem):
    """A directive that is unsupported or invalid."""

    directive: str
    reason: str

    @property
    def text(self) -> str:
        """Return the directive and the reason."""
        return f"{self.directive}: {self.reason}"


@dataclass(frozen=True, slots=True)
class UnknownUpstream(Problem):
    """A location passes to an upstream that the file does not define."""

    upstream: str

    @property
    def text(self) -> str:
        """Return the name that was not found."""
        return f"proxy_pass: {self.upstream} is no upstream of this file"


@dataclass(frozen=True, slots=True)
class AmbiguousUpstream(Problem):
    """The locations pass to several upstreams and none was chosen."""

    first_upstream: str
    other_upstream: str

    @property
    def text(self) -> str:
        """Return both upstreams and the remedy."""
        return (
            f"location: passes to {self.other_upstream}, others to {self.first_upstream}; "
            "one program serves one upstream: choose with --upstream"
        )


@dataclass(frozen=True, slots=True)
class UnusedUpstream(Problem):
    """No location passes to the chosen upstream."""

    upstream: str

    @property
    def text(self) -> str:
        """Return the upstream."""
        return f"no location passes to upstream {self.upstream!r}"


@dataclass(frozen=True, slots=True)
class DuplicateRequestClass(Problem):
    """Two locations make a request class of the same name."""

    class_name: str

    @property
    def text(self) -> str:
        """Return the name."""
        return f"location: a second class {self.class_name}"


@dataclass(frozen=True, slots=True)
class ConflictingLimits(Problem):
    """A location's limits differ from those of the first location, at `first_line`."""

    first_line: int

    @property
    def text(self) -> str:
        """Return what has to agree and with which line."""
        return (
            "location: proxy_connect_timeout and proxy_next_upstream_tries "
            f"must be as at line {self.first_line}: the program has one of each"
        )
