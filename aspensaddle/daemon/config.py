"""What the platform tells a balancer, decoded once into typed values."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, replace

from aspensaddle.core.machine_types import load_machines
from aspensaddle.core.settings import Settings
from aspensaddle.core.settings_parser import parse_settings
from aspensaddle.discovery.endpoint_update import EndpointListUpdate, parse_endpoint_list
from aspensaddle.support.address import Address, parse_address
from aspensaddle.support.files import ConfigError, load_json
from aspensaddle.support.hashing import stable_hash
from aspensaddle.support.json_fields import DecodeError, Message, array, as_object, integer, number, obj, text


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
    known: EndpointListUpdate
    settings: Settings
    classes: dict[str, int]  # the number of a class by its name
    tenants: dict[str, int]  # and of a tenant
    zones: tuple[str, ...]


@dataclass(slots=True)
class _Named:
    """The settings, and the numbers or the order of what they name."""

    settings: Settings
    classes: dict[str, int]
    tenants: dict[str, int]
    zones: tuple[str, ...]


def _read_settings(raw: Message) -> _Named:
    try:
        settings = parse_settings(raw)
        lanes = [as_object(lane, "lanes") for lane in array(raw, "lanes")]
        tenants = [as_object(tenant, "tenants") for tenant in array(raw, "tenants", [])]
        return _Named(
            settings,
            {text(lane, "name"): i for i, lane in enumerate(lanes)},
            {text(tenant, "name"): i for i, tenant in enumerate(tenants)},
            tuple(str(z) for z in array(raw, "failure-domains", [])),
        )
    except (DecodeError, ValueError) as e:
        raise DecodeError(f"settings.{e}") from None


def _read_limits(m: Message) -> LimitsOfProcess:
    limits = LimitsOfProcess(number(m, "cores", 1.0), integer(m, "memory_mb", 192), integer(m, "sockets", 1024))
    if limits.sockets < 64:
        raise DecodeError(f"sockets must be 64 at least, not {limits.sockets}")
    return limits


def with_settings(config: Config, raw: Message) -> Config:
    """The same configuration with other settings."""
    new = _read_settings(raw)
    settings = replace(
        new.settings, core_speeds=config.settings.core_speeds, session_group_cost=config.settings.session_group_cost
    )
    return replace(config, settings=settings, classes=new.classes, tenants=new.tenants, zones=new.zones)


def parse_config(m: Message) -> Config:
    named = _read_settings(obj(m, "settings"))
    settings = named.settings
    where = "limits."
    try:
        limits = _read_limits(obj(m, "limits", {}))
        where = "known."
        known = parse_endpoint_list(obj(m, "known", {}))
    except DecodeError as e:
        raise DecodeError(f"{where}{e}") from None
    if m.get("discovery") is None and not settings.polls_discovery:
        discovery = None  # the list is the one that is known
    else:
        discovery = parse_address(text(m, "discovery"), "discovery")
    return Config(
        text(m, "name"),
        parse_address(text(m, "listen"), "listen"),
        discovery,
        stable_hash(str(m.get("seed", "")), 53),
        limits,
        known,
        settings,
        named.classes,
        named.tenants,
        named.zones,
    )


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
            config = replace(config, settings=load_machines(self._environ).into(config.settings))
        except OSError as e:
            raise ConfigError(f"LB_CONFIG: {path}: {e.strerror}") from None
        except DecodeError as e:
            raise ConfigError(f"{path}: {e}") from None
        self._overrides = overrides
        return config


def load_config(environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration as at a start."""
    return ConfigSource(environ).read()
