"""Turns nginx `upstream` and `location` blocks into this program's configuration.

    python -m aspensaddle.importer FILE [--upstream NAME] [--name NAME] [-o OUT]

An upstream's servers become the list of runners, a location that passes to it becomes a class of requests.
All that can't be carried over is an error that names its file and line; then nothing is written. The table of
what can is in `docs/importer.md`.
"""

from __future__ import annotations

import argparse
import re
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import crossplane
import orjson

from aspensaddle.daemon.config import parse_config
from aspensaddle.support.address import parse_address
from aspensaddle.support.json_fields import DecodeError, Message

UNITS = {"ms": 0.001, "s": 1.0, "": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
CONNECT_TIMEOUT = 60.0  # nginx's own, where it is not set
MOST_TRIES = 6  # where nginx has no limit
OPENERS = ("http", "server")  # blocks that are looked through
RETRIED = {"error", "timeout", "non_idempotent"}


@dataclass(frozen=True, slots=True)
class Problem:
    """Something that can't be carried over."""

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}"


@dataclass(slots=True)
class Location:
    file: str
    line: int
    path: str
    upstream: str = ""
    deadline: float = 0.0
    connect: float = CONNECT_TIMEOUT
    tries: int = 0


@dataclass(slots=True)
class Upstream:
    file: str
    line: int
    targets: list[Message] = field(default_factory=list)


class Reader:
    """Goes through a parsed file once and notes what it finds and what it can't carry over."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []
        self.upstreams: dict[str, Upstream] = {}
        self.locations: list[Location] = []
        self.listen: str | None = None
        self._passes: list[tuple[Message, str]] = []

    def finish(self) -> None:
        """What only the end of the file shows: an upstream may stand behind the locations that pass to it."""
        for d, name in self._passes:
            if name not in self.upstreams:
                self.problem(d, f"proxy_pass: {name} is no upstream of this file")

    def problem(self, directive: Message, text: str) -> None:
        self.problems.append(Problem(str(directive.get("file", "")), int(directive.get("line") or 0), text))

    def read(self, directives: list[Message]) -> None:
        for d in directives:
            name, args = d["directive"], d["args"]
            if name in OPENERS:
                self.read(d["block"])
            elif name == "events" and not d["block"]:
                pass  # nginx itself asks for this block, and an empty one says nothing
            elif name == "upstream":
                self._upstream(d, args)
            elif name == "location":
                self._location(d, args)
            elif name == "listen" and len(args) == 1 and self.listen is None:
                address = args[0] if ":" in args[0] else f"*:{args[0]}"
                address = address.replace("*:", "0.0.0.0:")
                if self._address(d, address):
                    self.listen = address
            elif name == "listen":
                self.problem(d, "listen: one address without options can be carried over, no more")
            else:
                self.problem(d, f"{name}: can't be carried over")

    def _address(self, d: Message, address: str) -> bool:
        try:
            parse_address(address, "address")
            return True
        except DecodeError as e:
            self.problem(d, f"{d['directive']}: {e}")
            return False

    # ------------------------------------------------------------ upstream

    def _upstream(self, block: Message, args: list[str]) -> None:
        if len(args) != 1 or args[0] in self.upstreams:
            self.problem(block, "upstream: needs a name of its own")
            return
        upstream = self.upstreams[args[0]] = Upstream(block["file"], block["line"])
        for d in block["block"]:
            if d["directive"] == "server" and d["args"]:
                self._server(d, upstream)
            else:
                self.problem(d, f"{d['directive']}: can't be carried over; the balancer's own policy decides")
        if not upstream.targets:
            self.problem(block, "upstream: has no server that can be carried over")

    def _server(self, d: Message, upstream: Upstream) -> None:
        address, *options = d["args"]
        address = address if ":" in address else f"{address}:80"
        if not self._address(d, address):
            return
        if not re.fullmatch(r"[0-9.]+|\[?[0-9a-fA-F:]+\]?", address.rpartition(":")[0]):
            self.problem(d, f"server: {address} is a name, and there is no DNS: an address is needed")
            return
        target: Message = {
            "uid": address,
            "endpoint": address.replace("[", "").replace("]", ""),
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for option in options:
            key, _, value = option.partition("=")
            if key == "weight" and value.isascii() and value.isdigit() and int(value) > 0:
                target["capacity_hint"] = float(value)
            elif option == "down":
                target["state"] = "leaving"
            else:
                self.problem(d, f"server: {option} can't be carried over")
        if any(t["uid"] == address for t in upstream.targets):
            self.problem(d, f"server: {address} is there twice")
        upstream.targets.append(target)

    # ------------------------------------------------------------ location

    def _location(self, block: Message, args: list[str]) -> None:
        if len(args) != 1 or not re.fullmatch(r"/[A-Za-z0-9._/-]*", args[0]):
            self.problem(block, f"location: {' '.join(args)}: only a plain prefix can be carried over")
            return
        location = Location(block["file"], block["line"], args[0])
        before = len(self.problems)
        for d in block["block"]:
            self._in_location(d, location)
        if not location.upstream and len(self.problems) == before:
            self.problem(block, "location: passes nothing to an upstream")
        self.locations.append(location)

    def _in_location(self, d: Message, location: Location) -> None:
        name, args = d["directive"], d["args"]
        value = args[0] if len(args) == 1 else ""
        if name == "proxy_pass" and (m := re.fullmatch(r"http://([A-Za-z0-9._-]+)/?", value)):
            location.upstream = m[1]
            self._passes.append((d, m[1]))
        elif name == "proxy_connect_timeout" and (seconds := _seconds(value)):
            location.connect = seconds
        elif name == "proxy_next_upstream_timeout" and (seconds := _seconds(value)):
            location.deadline = seconds
        elif name == "proxy_next_upstream_tries" and value.isascii() and value.isdigit():
            location.tries = int(value)
        elif name == "proxy_next_upstream" and set(args) <= RETRIED and {"error", "timeout"} <= set(args):
            pass  # what the balancer does
        else:
            self.problem(d, f"{name} {' '.join(args)}: can't be carried over")


def _seconds(value: str) -> float:
    """A time as nginx writes it; 0 for none."""
    parts = re.findall(r"(\d+)(ms|[smhd]?)", value)
    if not parts or "".join(n + u for n, u in parts) != value:
        return 0.0
    return sum(int(n) * UNITS[u] for n, u in parts)


def class_name(path: str) -> str:
    return path.strip("/").replace("/", "-") or "root"


def build(reader: Reader, wanted: str | None, name: str) -> Message:
    """The configuration for one upstream. What does not fit together is a problem of the reader's."""
    used = [location for location in reader.locations if location.upstream in reader.upstreams]
    names = list(dict.fromkeys(location.upstream for location in used))
    if wanted is None and len(names) > 1:
        other = next(location for location in used if location.upstream != names[0])
        reader.problems.append(
            Problem(
                other.file,
                other.line,
                f"location: passes to {other.upstream}, others to {names[0]}; "
                "one program serves one upstream: choose with --upstream",
            )
        )
        return {}
    chosen = wanted or (names[0] if names else "")
    mine = [location for location in used if location.upstream == chosen]
    if not mine:
        reader.problems.append(Problem("", 0, f"no location passes to upstream {chosen!r}"))
        return {}
    first = mine[0]
    lanes: dict[str, Message] = {}
    for location in mine:
        key = class_name(location.path)
        if key in lanes:
            reader.problems.append(Problem(location.file, location.line, f"location: a second class {key}"))
        if (location.connect, location.tries) != (first.connect, first.tries):
            reader.problems.append(
                Problem(
                    location.file,
                    location.line,
                    "location: proxy_connect_timeout and proxy_next_upstream_tries "
                    f"must be as at line {first.line}: the program has one of each",
                )
            )
        deadline = location.deadline or location.connect
        lanes[key] = {"name": key, "aim": deadline, "deadline": deadline, "repeat": "pure", "worth": 1.0}
    return {
        "name": name,
        "listen": reader.listen or "127.0.0.1:8000",
        "known": {"rev": 0, "all": True, "targets": reader.upstreams[chosen].targets},
        "settings": {
            "discovery": "pushed",
            "weights": "nominal",
            "fleet-size": 1,
            "failure-domains": [""],
            "lanes": list(lanes.values()),
            "limits": {
                "connect-timeout": first.connect,
                "most-tries": first.tries or MOST_TRIES,
                "retry-after": True,
                "max-retry-after": 1.0,
                "cancel": True,
            },
        },
    }


def convert(path: str, wanted: str | None = None, name: str = "n0") -> tuple[Message, list[Problem]]:
    """The configuration that a file makes, or what is in the way of it."""
    payload: dict[str, Any] = crossplane.parse(path, combine=True, check_ctx=False, check_args=False)
    reader = Reader()
    for error in payload["errors"]:
        reader.problems.append(
            Problem(error["file"], error.get("line") or 0, re.sub(r" in \S+:\d+$", "", str(error["error"])))
        )
    for part in payload["config"]:
        reader.read(part["parsed"])
    reader.finish()
    config = build(reader, wanted, name) if not reader.problems else {}
    if config and not reader.problems:
        parse_config(config)  # what is written can be read
    return config, reader.problems


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="aspensaddle.importer", description="nginx blocks to configuration")
    parser.add_argument("file")
    parser.add_argument("--upstream", help="which one, where the locations pass to several")
    parser.add_argument("--name", default="n0", help="the balancer's name")
    parser.add_argument("-o", "--output", help="a file instead of standard output")
    args = parser.parse_args(argv)
    try:
        config, problems = convert(args.file, args.upstream, args.name)
    except DecodeError as e:
        problems = [Problem(args.file, 0, str(e))]
    if problems:
        print("\n".join(str(p) for p in problems), file=sys.stderr)
        return 1
    data = orjson.dumps(config, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE)
    if args.output is None:
        sys.stdout.buffer.write(data)
        return 0
    try:
        Path(args.output).write_bytes(data)
    except OSError as e:
        print(f"{args.output}: {e.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
