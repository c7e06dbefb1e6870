"""Settings of the QUIC front end, from the operator's file `deploy/quic.toml`.

Without the file, or with `enabled = false`, the front end is off. Its other modules are imported only if it is on, so
that a process without it pays nothing for them.
"""

from __future__ import annotations

import datetime
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from aspensaddle.support.address import Address, parse_address
from aspensaddle.support.files import load_toml
from aspensaddle.support.json_fields import DecodeError, Message, array, as_object, flag, integer, number, obj, text

if TYPE_CHECKING:
    from aspensaddle.frontends.quic.connection_id_directory import IdConfig
    from aspensaddle.frontends.quic.retry_tokens import RetryTokens, TokenKey
    from aspensaddle.frontends.quic.session_rules import SessionRules

KEYS = {
    "enabled",
    "listen",
    "class",
    "rules",
    "reset_key",
    "ids",
    "runners",
    "retry",
    "runner_port",
    "unroutable_length",
    "idle_s",
    "reply_within_s",
    "initial_s",
    "most_sessions",
    "most_pending",
    "most_sockets",
    "answers_per_s",
    "adopted_per_s",
}
ID_KEYS = {"rotation", "server_id_length", "nonce_length", "key", "self_length", "retire_at", "runners"}
RETRY_KEYS = {"above_per_s", "keys", "lifetime_s", "answers_per_s"}
TOKEN_KEYS = {"sequence", "key", "since", "until"}
MAX_SERVERS = 100_000
MAX_SERVER_IDS_PER_SERVER = 64  # limit of the server IDs that one configuration gives a server
MIN_CID_BYTES = 8  # minimum length of connection IDs with the codepoint 0b111
MAX_CID_BYTES = 20  # maximum length of connection IDs in QUIC versions 1 and 2 (RFC 9000, 17.2)


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """When clients have to validate their address, and the keys of Retry tokens."""

    tokens: RetryTokens
    above_per_s: float  # unvalidated first Initials per second above which each is answered with a Retry
    answers_per_s: float  # limit of Retries per second


@dataclass(frozen=True, slots=True)
class QuicSettings:
    """The settings of the front end, under the names of the operator's file. Names ending in `_s` are in seconds."""

    listen: Address
    rules: SessionRules
    reset_key: bytes
    ids: tuple[IdConfig, ...]
    retry: RetrySettings | None = None
    runner_port: int = 0  # UDP port of the servers; 0 for each server's port in the endpoint list
    unroutable_length: int = 0  # length in bytes of connection IDs with the codepoint 0b111; 0 if servers differ
    idle_s: float = 30.0  # a session without a datagram for this long has ended
    reply_within_s: float = 0.0  # time limit for a server's first reply; 0 for the platform's connect timeout
    initial_s: float = 10.0  # how long a client-chosen connection ID is remembered
    most_sessions: int = 2000
    most_pending: int = 256  # limit of session setups, and of adopted sessions that are not confirmed yet
    most_sockets: int = 64  # limit of sockets towards servers
    answers_per_s: float = 500.0  # limit of Version Negotiations, rejections and stateless resets per second
    adopted_per_s: float = 1000.0  # limit of adopted sessions per second


def load_quic_settings(path: Path, classes: Mapping[str, int]) -> QuicSettings | None:
    """Load the operator's file; None if there is no file or it disables the front end.

    Args:
        path: the file.
        classes: class indexes by name.

    Raises:
        ConfigError: the file or the key file that it names is not valid.
    """
    return load_toml(path, lambda table: parse_quic_settings(table, classes, path.parent))


def parse_quic_settings(table: Message, classes: Mapping[str, int], folder: Path = Path()) -> QuicSettings | None:
    """Parse the top-level table of the operator's file; None if it disables the front end.

    `classes` are class indexes by name; the path of the key file is relative to `folder`. Raises `DecodeError`.
    """
    if not flag(table, "enabled"):
        return None
    from aspensaddle.frontends.quic.session_rules import parse_rules

    _require_known_keys(table, KEYS)
    name = text(table, "class")
    if name not in classes:
        raise DecodeError(f"class must be one of {', '.join(classes)}, not {name!r:.60}")
    reset_key = _hex_bytes(table, "reset_key")
    if len(reset_key) < 16:
        raise DecodeError("reset_key must be at least 16 bytes, in hex digits")
    cid_length = _bounded_integer(table, "unroutable_length", 0, 0, MAX_CID_BYTES)
    if 0 < cid_length < MIN_CID_BYTES:
        raise DecodeError(f"unroutable_length must be 0 or {MIN_CID_BYTES} to {MAX_CID_BYTES}, not {cid_length}")
    settings = QuicSettings(
        parse_address(text(table, "listen"), "listen"),
        parse_rules(table, classes, classes[name]),
        reset_key,
        _parse_id_configs(table),
        _parse_retry(table, folder),
        runner_port=_bounded_integer(table, "runner_port", 0, 0, 65535),
        unroutable_length=cid_length,
        idle_s=_bounded_number(table, "idle_s", 30.0),
        reply_within_s=_bounded_number(table, "reply_within_s", 0.0),
        initial_s=_bounded_number(table, "initial_s", 10.0),
        most_sessions=_bounded_integer(table, "most_sessions", 2000, 1, 1_000_000),
        most_pending=_bounded_integer(table, "most_pending", 256, 1, 100_000),
        most_sockets=_bounded_integer(table, "most_sockets", 64, 1, 60_000),
        answers_per_s=_bounded_number(table, "answers_per_s", 500.0, 1.0),
        adopted_per_s=_bounded_number(table, "adopted_per_s", 1000.0, 1.0),
    )
    if settings.retry is not None and settings.retry.tokens.lifetime_seconds > settings.initial_s:
        # A valid token could be used again once the connection ID of its session is forgotten.
        raise DecodeError("retry.lifetime_s must not exceed initial_s")
    return settings


# QUIC-LB configurations


def _parse_id_configs(table: Message) -> tuple[IdConfig, ...]:
    shared_servers = obj(table, "runners", {})
    configs: list[IdConfig] = []
    for index, value in enumerate(array(table, "ids")):
        try:
            configs.append(_parse_id_config(as_object(value, "ids"), shared_servers))
        except (DecodeError, ValueError) as error:
            raise DecodeError(
                str(error)
                if str(error).startswith("runners.") and "runners" not in value
                else f"ids[{index}].{error}"
            ) from None
    if not configs:
        raise DecodeError("ids must have at least one configuration")
    rotations: set[int] = set()
    for index, config in enumerate(configs):
        if config.format.rotation in rotations:
            raise DecodeError(f"ids[{index}].rotation is used by another configuration")
        rotations.add(config.format.rotation)
    return tuple(configs)


def _parse_id_config(table: Message, shared_servers: Message) -> IdConfig:
    """Parse an entry of `ids`; `shared_servers` has the server IDs if the entry has none of its own."""
    from aspensaddle.frontends.quic.connection_id_directory import IdConfig
    from aspensaddle.frontends.quic.connection_ids import IdFormat

    _require_known_keys(table, ID_KEYS)
    id_format = IdFormat(
        integer(table, "rotation"),
        integer(table, "server_id_length"),
        integer(table, "nonce_length"),
        _hex_bytes(table, "key") if table.get("key") is not None else None,
        flag(table, "self_length"),
    )
    servers = obj(table, "runners", shared_servers)
    if len(servers) > MAX_SERVERS:
        raise DecodeError(f"runners must have at most {MAX_SERVERS} entries, not {len(servers)}")
    uids: dict[bytes, str] = {}
    for uid, value in servers.items():
        if type(value) is list and len(value) > MAX_SERVER_IDS_PER_SERVER:
            raise DecodeError(f"runners.{uid} must have at most {MAX_SERVER_IDS_PER_SERVER} server IDs")
        for digits in value if type(value) is list else [value]:
            server_id = _hex_bytes({uid: digits}, uid, "runners.")
            if len(server_id) != id_format.server_id_length:
                raise DecodeError(
                    f"runners.{uid} must be {id_format.server_id_length} bytes, the server_id_length "
                    f"of rotation {id_format.rotation}, not {len(server_id)}"
                )
            if server_id in uids:
                raise DecodeError(f"runners.{uid} has the same server ID as {uids[server_id]}")
            uids[server_id] = uid
    return IdConfig(id_format, uids, _unix_time(table, "retire_at", None))


# Retry


def _parse_retry(table: Message, folder: Path) -> RetrySettings | None:
    if table.get("retry") is None:
        return None
    retry_table = obj(table, "retry")
    try:
        return _parse_retry_table(retry_table, folder)
    except DecodeError as error:
        raise DecodeError(f"retry.{error}") from None


def _parse_retry_table(table: Message, folder: Path) -> RetrySettings:
    _require_known_keys(table, RETRY_KEYS)
    lifetime_seconds = _bounded_number(table, "lifetime_s", 10.0, 1.0)
    path = folder / text(table, "keys")
    tokens = load_toml(path, lambda keys: parse_token_keys(keys, lifetime_seconds))
    if tokens is None:
        raise DecodeError(f"keys: the file {path} does not exist")
    return RetrySettings(
        tokens, _bounded_number(table, "above_per_s", 100.0), _bounded_number(table, "answers_per_s", 5000.0, 1.0)
    )


def parse_token_keys(table: Message, lifetime_seconds: float) -> RetryTokens:
    """Parse the key file for Retry tokens, which balancers and servers share.

    Raises:
        DecodeError: a value is not valid; the message starts with the field.
    """
    from aspensaddle.frontends.quic.retry_tokens import RetryTokens

    _require_known_keys(table, {"keys"})
    keys = []
    for index, value in enumerate(array(table, "keys")):
        try:
            keys.append(_parse_key(as_object(value, "keys")))
        except (DecodeError, ValueError) as error:
            raise DecodeError(f"keys[{index}].{error}") from None
    if not keys:
        raise DecodeError("keys must have at least one key")
    try:
        return RetryTokens(keys, lifetime_seconds)
    except ValueError as error:
        raise DecodeError(f"keys: {error}") from None


def _parse_key(table: Message) -> TokenKey:
    from aspensaddle.frontends.quic.retry_tokens import TokenKey

    _require_known_keys(table, TOKEN_KEYS)
    return TokenKey(
        integer(table, "sequence"),
        _hex_bytes(table, "key"),
        _unix_time(table, "since", 0.0) or 0.0,
        _unix_time(table, "until", None) or float("inf"),
    )


# Values


def _require_known_keys(table: Message, names: set[str]) -> None:
    if unknown := sorted(set(table) - names):
        raise DecodeError(f"{unknown[0]} is not a setting")


def _hex_bytes(table: Message, name: str, prefix: str = "") -> bytes:
    """Return a field of hex digits as bytes; `prefix` precedes its name in an error."""
    try:
        return bytes.fromhex(text(table, name))
    except (ValueError, DecodeError):
        raise DecodeError(f"{prefix}{name} must be hex digits") from None


def _unix_time(table: Message, name: str, default: float | None) -> float | None:
    """Return a date and time as Unix time in seconds."""
    value = table.get(name)
    if value is None:
        return default
    if not isinstance(value, datetime.datetime) or value.tzinfo is None:
        raise DecodeError(
            f"{name} must be a date and time with a UTC offset, such as 2026-12-01T18:00:00Z, not {value!s:.60}"
        )
    return value.timestamp()


def _bounded_number(table: Message, name: str, default: float, minimum: float = 0.0) -> float:
    value = float(number(table, name, default))
    if not minimum <= value < 1e6:
        raise DecodeError(f"{name} must be a number from {minimum:g} up, not {value!r}")
    return value


def _bounded_integer(table: Message, name: str, default: int, minimum: int, maximum: int) -> int:
    value = int(integer(table, name, default))
    if not minimum <= value <= maximum:
        raise DecodeError(f"{name} must be {minimum} to {maximum}, not {value}")
    return value
