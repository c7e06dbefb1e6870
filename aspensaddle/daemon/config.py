"""The configuration that the platform gives a balancer, decoded once into typed values."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, replace

from aspensaddle.core.machine_types import load_machine_types
from aspensaddle.core.settings import Settings
from aspensaddle.core.settings_parser import parse_settings
from aspensaddle.discovery.endpoint_update import EndpointListUpdate, parse_endpoint_list
from aspensaddle.support.address import Address, parse_address
from aspensaddle.support.config_errors import InvalidFileError, MissingVariableError, UnreadableFileError
from aspensaddle.support.files import load_json
from aspensaddle.support.hashing import stable_hash
from aspensaddle.support.json_fields import DecodeError, Message, array, as_object, integer, number, obj, text

MIN_SOCKETS = 64
SEED_BITS = 53
CONFIG_VARIABLE = "LB_CONFIG"
# An environment variable overrides each of these fields: LB_ followed by the field's name in capitals.
OVERRIDABLE_FIELDS = ("name", "listen", "discovery")


@dataclass(slots=True)
class ProcessLimits:
    """What the platform allows the process.

    Attributes:
        cores: CPU cores.
        memory_mb: Memory in megabytes.
        sockets: Open sockets.
    """

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


@dataclass(slots=True)
class Config:
    """The configuration of one balancer.

    Attributes:
        name: The balancer's name.
        listen: The address where clients connect.
        discovery: The discovery service; None if the known endpoint list is the only one.
        seed: Seed of the random number generators.
        limits: What the platform allows the process.
        known: The endpoint list known at the start.
        settings: The settings of the core.
        classes: The index of each request class, by name.
        tenants: The index of each tenant, by name.
        zones: The names of the zones, in the order of their indexes.
    """

    name: str
    listen: Address
    discovery: Address | None
    seed: int
    limits: ProcessLimits
    known: EndpointListUpdate
    settings: Settings
    classes: dict[str, int]
    tenants: dict[str, int]
    zones: tuple[str, ...]


@dataclass(slots=True)
class _NamedSettings:
    """The settings, with the request classes, tenants and zones that they name."""

    settings: Settings
    classes: dict[str, int]
    tenants: dict[str, int]
    zones: tuple[str, ...]


def _parse_named_settings(message: Message) -> _NamedSettings:
    try:
        return _NamedSettings(
            parse_settings(message),
            classes=_numbers_by_name(
                [as_object(request_class, "lanes") for request_class in array(message, "lanes")]
            ),
            tenants=_numbers_by_name([as_object(tenant, "tenants") for tenant in array(message, "tenants", [])]),
            zones=tuple(str(zone) for zone in array(message, "failure-domains", [])),
        )
    except (DecodeError, ValueError) as error:
        raise DecodeError(f"settings.{error}") from None


def _numbers_by_name(messages: list[Message]) -> dict[str, int]:
    return {text(message, "name"): number for number, message in enumerate(messages)}


def _parse_limits(message: Message) -> ProcessLimits:
    limits = ProcessLimits(
        cores=number(message, "cores", 1.0),
        memory_mb=integer(message, "memory_mb", 192),
        sockets=integer(message, "sockets", 1024),
    )
    if limits.sockets < MIN_SOCKETS:
        raise DecodeError(f"sockets must be at least {MIN_SOCKETS}, not {limits.sockets}")
    return limits


def _parse_config_limits(message: Message) -> ProcessLimits:
    try:
        return _parse_limits(obj(message, "limits", {}))
    except DecodeError as error:
        raise DecodeError(f"limits.{error}") from None


def _parse_known_endpoints(message: Message) -> EndpointListUpdate:
    try:
        return parse_endpoint_list(obj(message, "known", {}))
    except DecodeError as error:
        raise DecodeError(f"known.{error}") from None


def _parse_discovery_address(message: Message, settings: Settings) -> Address | None:
    if message.get("discovery") is None and not settings.polls_discovery:
        return None
    return parse_address(text(message, "discovery"), "discovery")


def with_settings(config: Config, message: Message) -> Config:
    """Return the configuration with its settings replaced by others, in the platform's format.

    Raises:
        DecodeError: If a setting is missing or wrong.
    """
    named = _parse_named_settings(message)
    settings = replace(
        named.settings,
        core_speeds=config.settings.core_speeds,
        session_group_cost=config.settings.session_group_cost,
    )
    return replace(config, settings=settings, classes=named.classes, tenants=named.tenants, zones=named.zones)


def parse_config(message: Message) -> Config:
    """Decode a configuration.

    Raises:
        DecodeError: If a field is missing or wrong; the text names it.
    """
    named = _parse_named_settings(obj(message, "settings"))
    limits = _parse_config_limits(message)
    known = _parse_known_endpoints(message)
    discovery = _parse_discovery_address(message, named.settings)
    return Config(
        name=text(message, "name"),
        listen=parse_address(text(message, "listen"), "listen"),
        discovery=discovery,
        seed=stable_hash(str(message.get("seed", "")), SEED_BITS),
        limits=limits,
        known=known,
        settings=named.settings,
        classes=named.classes,
        tenants=named.tenants,
        zones=named.zones,
    )


class ConfigSource:
    """The file that `LB_CONFIG` names, and the variables that take precedence over it.

    The platform sets the variables to the values that the file has at startup, and the environment of a running
    process can't be changed. A variable that equals the file at the first read therefore overrides nothing, so that
    a reload can change the field; one that differs is an operator's override and always takes precedence.
    """

    def __init__(self, environ: Mapping[str, str] = os.environ) -> None:
        self._environ = environ
        self._overrides: dict[str, str] | None = None

    def read(self) -> Config:
        """Read the file and decode it.

        Raises:
            MissingVariableError: If the variable is not set.
            UnreadableFileError: If the file can't be read.
            InvalidFileError: If its content can't be used.
        """
        path = self._environ.get(CONFIG_VARIABLE)
        if not path:
            raise MissingVariableError(CONFIG_VARIABLE, "it names the configuration file")
        try:
            message = _read_json_file(path)
            overrides = self._find_overrides(message) if self._overrides is None else self._overrides
            config = parse_config({**message, **overrides})
            config = replace(config, settings=load_machine_types(self._environ).apply_to(config.settings))
        except OSError as error:
            raise UnreadableFileError(f"{CONFIG_VARIABLE}: {path}", error.strerror) from None
        except DecodeError as error:
            raise InvalidFileError(path, str(error)) from None
        self._overrides = overrides
        return config

    def _find_overrides(self, message: Message) -> dict[str, str]:
        variables = {name: self._environ.get(f"LB_{name.upper()}") for name in OVERRIDABLE_FIELDS}
        return {name: value for name, value in variables.items() if value and value != message.get(name)}


def _read_json_file(path: str) -> Message:
    with open(path, "rb") as file:
        return load_json(file.read())
