"""What the platform tells a balancer, and the list of runners: decoded once into typed values."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from hashlib import blake2b
from pathlib import Path
from typing import TypeVar

import orjson

from aspensaddle.decode import (
    DecodeError, Message, array, as_object, flag, integer, number, obj, parse_settings, text, word,
)
from aspensaddle.interface import ListScope, ServerEntry, ServerState, Settings

Address = tuple[str, int]
T = TypeVar("T")

STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}


class ConfigError(Exception):
    """The configuration can't be used; the text names the field."""


def stable_hash(text: str | bytes, bits: int) -> int:
    """The same number for the same text in every process and on every machine."""
    data = text.encode() if isinstance(text, str) else text
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big") >> (64 - bits)


def parse_address(value: str, name: str) -> Address:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise DecodeError(f"{name} must be HOST:PORT, not {value!r:.60}")
    return host, int(port)


class Fleet:
    """The runners by number: a number of 32 bits for every uid, and the address each has for this balancer.

    A uid's number is a hash of it, the same at all balancers, which lay the same ring over these numbers. Of
    two uids with one hash, the later known takes the hash of itself with a count behind it.
    """

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...] = ()) -> None:
        self.zones, self.kinds = zones, kinds
        self.addresses: dict[int, Address] = {}
        self._numbers: dict[str, int] = {}
        self._uids: dict[int, str] = {}

    def number(self, uid: str) -> int:
        if (known := self._numbers.get(uid)) is not None:
            return known
        n, salt = stable_hash(uid, 32), 0
        while n in self._uids:
            salt += 1
            n = stable_hash(f"{uid}#{salt}", 32)
        self._numbers[uid], self._uids[n] = n, uid
        return n

    def find(self, uid: str) -> int | None:
        """The number of a runner that is in the list."""
        n = self._numbers.get(uid)
        return n if n in self.addresses else None

    def uid(self, server: int) -> str:
        return self._uids.get(server, str(server))

    def forget(self, server: int) -> None:
        self.addresses.pop(server, None)
        if (uid := self._uids.pop(server, None)) is not None:
            del self._numbers[uid]

    def take(self, update: Update) -> tuple[ServerEntry, ...]:
        """Note the addresses of an update and number its entries for the balancer."""
        entries = tuple(
            ServerEntry(self.number(t.uid), self._zone(t.zone), t.cell, t.state, t.weight, t.started_at,
                        self.kinds.index(t.model) if t.model in self.kinds else -1)
            for t in update.targets
        )
        for t, e in zip(update.targets, entries, strict=True):
            if t.address is not None:
                self.addresses[e.server] = t.address
            if e.state is ServerState.GONE:
                self.forget(e.server)
        if update.full:
            named = {e.server for e in entries}
            for server in [s for s in self._uids if s not in named]:
                self.forget(server)
        return entries

    def _zone(self, name: str) -> int:
        # A zone that the settings do not name is held to be far away: it gets a number of its own.
        return self.zones.index(name) if name in self.zones else len(self.zones) + stable_hash(name, 16)


@dataclass(slots=True)
class Target:
    """One runner in a list."""

    uid: str
    address: Address | None
    zone: str
    cell: int
    state: ServerState
    weight: float
    started_at: float  # Unix time in seconds; 0: long ago
    model: str = ""


@dataclass(slots=True)
class Update:
    """A whole list, or the changes to one."""

    rev: int = 0
    full: bool = True
    targets: tuple[Target, ...] = ()

    @property
    def scope(self) -> ListScope:
        return ListScope.FULL if self.full else ListScope.CHANGES


def parse_target(m: Message) -> Target:
    state = word(m, "state", STATES, ServerState.READY)
    uid = text(m, "uid")
    if not uid:
        raise DecodeError("uid must not be empty")
    # One that left may come without its address.
    address = None if state is ServerState.GONE and m.get("endpoint") is None else \
        parse_address(text(m, "endpoint"), "endpoint")
    weight, boot_ms = number(m, "capacity_hint", 1.0), number(m, "boot_ms", 0)
    if not 0 <= weight < 1e9:
        raise DecodeError(f"capacity_hint must be a number from 0 up, not {weight!r:.60}")
    return Target(uid, address, text(m, "az") if m.get("az") is not None else "", integer(m, "pod_group", 0),
                  state, float(weight), max(0.0, boot_ms / 1000),
                  text(m, "model") if m.get("model") is not None else "")


def parse_update(m: Message) -> Update:
    targets = []
    for i, value in enumerate(array(m, "targets", [])):
        try:
            targets.append(parse_target(as_object(value, "targets")))
        except DecodeError as e:
            raise DecodeError(f"targets[{i}].{e}") from None
    return Update(integer(m, "rev", 0), flag(m, "all"), tuple(targets))


def load_json(data: bytes) -> Message:
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as e:
        raise DecodeError(f"not JSON: {e}") from None
    if type(value) is not dict:
        raise DecodeError("must be an object")
    return value


@dataclass(slots=True)
class LimitsOfProcess:
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address | None
    seed: int
    limits: LimitsOfProcess
    known: Update
    settings: Settings
    classes: dict[str, int]  # the number of a class by its name
    zones: tuple[str, ...]


def _read_settings(raw: Message) -> tuple[Settings, dict[str, int], tuple[str, ...]]:
    try:
        settings = parse_settings(raw)
        lanes = [as_object(lane, "lanes") for lane in array(raw, "lanes")]
        classes = {text(lane, "name"): i for i, lane in enumerate(lanes)}
        return settings, classes, tuple(str(z) for z in array(raw, "failure-domains", []))
    except (DecodeError, ValueError) as e:
        raise DecodeError(f"settings.{e}") from None


def _read_limits(m: Message) -> LimitsOfProcess:
    limits = LimitsOfProcess(
        number(m, "cores", 1.0), integer(m, "memory_mb", 192), integer(m, "sockets", 1024))
    if limits.sockets < 64:
        raise DecodeError(f"sockets must be 64 at least, not {limits.sockets}")
    return limits


def with_settings(config: Config, raw: Message) -> Config:
    """The same configuration with other settings."""
    settings, classes, zones = _read_settings(raw)
    return replace(config, settings=settings, classes=classes, zones=zones)


def parse_config(m: Message) -> Config:
    settings, classes, zones = _read_settings(obj(m, "settings"))
    where = "limits."
    try:
        limits = _read_limits(obj(m, "limits", {}))
        where = "known."
        known = parse_update(obj(m, "known", {}))
    except DecodeError as e:
        raise DecodeError(f"{where}{e}") from None
    if m.get("discovery") is None and not settings.ask_discovery:
        discovery = None  # the list is the one that is known
    else:
        discovery = parse_address(text(m, "discovery"), "discovery")
    return Config(
        text(m, "name"), parse_address(text(m, "listen"), "listen"), discovery,
        stable_hash(str(m.get("seed", "")), 53), limits, known, settings, classes, zones,
    )


def load_toml(path: Path, parse: Callable[[Message], T]) -> T | None:
    """An operator's file, read by `parse`; None where there is none."""
    try:
        return parse(tomllib.loads(path.read_text()))
    except FileNotFoundError:
        return None
    except OSError as e:
        raise ConfigError(f"{path}: {e.strerror}") from None
    except (DecodeError, tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise ConfigError(f"{path}: {e}") from None


class ConfigSource:
    """The file that `LB_CONFIG` names, read as often as asked, and the variables that win over it.

    The platform's variables repeat the file as it is at the start, and a process can't be given others later.
    One that said the same as the file overrides nothing: what the file says by now holds. Guards against a
    reload that never moves to the address in the new file. One that differed from the file at the start is an
    operator's own word and wins for good.
    """

    def __init__(self, environ: Mapping[str, str] = os.environ) -> None:
        self._environ = environ
        self._overrides: dict[str, str] | None = None

    def read(self) -> Config:
        path = self._environ.get("LB_CONFIG")
        if not path:
            raise ConfigError("LB_CONFIG is not set: it names the configuration file")
        try:
            with open(path, "rb") as file:
                m = load_json(file.read())
            overrides = self._overrides
            if overrides is None:
                said = {n: self._environ.get(f"LB_{n.upper()}") for n in ("name", "listen", "discovery")}
                overrides = {n: value for n, value in said.items() if value and value != m.get(n)}
            config = parse_config({**m, **overrides})
        except OSError as e:
            raise ConfigError(f"LB_CONFIG: {path}: {e.strerror}") from None
        except DecodeError as e:
            raise ConfigError(f"{path}: {e}") from None
        self._overrides = overrides
        return config


def load_config(environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration as at a start."""
    return ConfigSource(environ).read()
