"""The operator's file of the QUIC front, `deploy/quic.toml`. Off without it, or with `enabled = false`.

Nothing heavy is imported unless the front is on: the platform, where it is off, pays for none of it.
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
MAX_SERVER_IDS_PER_SERVER = 64  # server ids that one runner may have in a configuration
MIN_UNROUTABLE_CID_BYTES, MAX_CID_BYTES = 8, 20


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """When and how clients have to prove their address."""

    tokens: RetryTokens
    above_per_s: float  # unproven first Initials a second, over which each is answered with a Retry
    answers_per_s: float  # Retries at most


@dataclass(frozen=True, slots=True)
class QuicSettings:
    listen: Address
    rules: SessionRules
    reset_key: bytes
    ids: tuple[IdConfig, ...]
    retry: RetrySettings | None = None
    runner_port: int = 0  # 0: the port that discovery names
    unroutable_length: int = 0  # octets of ids under the codepoint 0b111; 0: not all alike
    idle_s: float = 30.0  # a session without a datagram for this long has ended
    reply_within_s: float = 0.0  # for a runner's first reply; 0: the platform's connect time-out
    initial_s: float = 10.0  # how long a client-chosen id is remembered
    most_sessions: int = 2000
    most_pending: int = 256
    most_sockets: int = 64
    answers_per_s: float = 500.0  # negotiations, refusals and resets at most
    adopted_per_s: float = 1000.0  # sessions taken over that began elsewhere


def load_quic_settings(path: Path, classes: Mapping[str, int]) -> QuicSettings | None:
    """The settings in a file; None where there is none or it says that the front is off. Raises `ConfigError`."""
    return load_toml(path, lambda m: parse_quic_settings(m, classes, path.parent))


def parse_quic_settings(m: Message, classes: Mapping[str, int], folder: Path = Path()) -> QuicSettings | None:
    """`folder` is where the file lies: the key file that it names is found from there."""
    if not flag(m, "enabled"):
        return None
    from aspensaddle.frontends.quic.session_rules import parse_rules

    _require_known_keys(m, KEYS)
    name = text(m, "class")
    if name not in classes:
        raise DecodeError(f"class must be one of {', '.join(classes)}, not {name!r:.60}")
    reset_key = _hex_bytes(m, "reset_key")
    if len(reset_key) < 16:
        raise DecodeError("reset_key must be 16 octets at least, in hex digits")
    unroutable = _bounded_integer(m, "unroutable_length", 0, 0, MAX_CID_BYTES)
    if 0 < unroutable < MIN_UNROUTABLE_CID_BYTES:
        raise DecodeError(
            f"unroutable_length must be 0 or {MIN_UNROUTABLE_CID_BYTES} to {MAX_CID_BYTES}, not {unroutable}"
        )
    settings = QuicSettings(
        parse_address(text(m, "listen"), "listen"),
        parse_rules(m, classes, classes[name]),
        reset_key,
        _parse_ids(m),
        _parse_retry(m, folder),
        runner_port=_bounded_integer(m, "runner_port", 0, 0, 65535),
        unroutable_length=unroutable,
        idle_s=_bounded_number(m, "idle_s", 30.0),
        reply_within_s=_bounded_number(m, "reply_within_s", 0.0),
        initial_s=_bounded_number(m, "initial_s", 10.0),
        most_sessions=_bounded_integer(m, "most_sessions", 2000, 1, 1_000_000),
        most_pending=_bounded_integer(m, "most_pending", 256, 1, 100_000),
        most_sockets=_bounded_integer(m, "most_sockets", 64, 1, 60_000),
        answers_per_s=_bounded_number(m, "answers_per_s", 500.0, 1.0),
        adopted_per_s=_bounded_number(m, "adopted_per_s", 1000.0, 1.0),
    )
    if settings.retry is not None and settings.retry.tokens.lifetime_seconds > settings.initial_s:
        # Guards against a token that outlives the memory of what became of it, and could be used again.
        raise DecodeError("retry.lifetime_s must not be over initial_s")
    return settings


# ---------------------------------------------------------------- ids


def _parse_ids(m: Message) -> tuple[IdConfig, ...]:
    shared = obj(m, "runners", {})
    configs: list[IdConfig] = []
    for i, value in enumerate(array(m, "ids")):
        try:
            configs.append(_parse_config(as_object(value, "ids"), shared))
        except (DecodeError, ValueError) as e:
            raise DecodeError(
                str(e) if str(e).startswith("runners.") and "runners" not in value else f"ids[{i}].{e}"
            ) from None
    if not configs:
        raise DecodeError("ids must hold one configuration at least")
    seen: set[int] = set()
    for i, config in enumerate(configs):
        if config.format.rotation in seen:
            raise DecodeError(f"ids[{i}].rotation is that of another configuration: each needs its own")
        seen.add(config.format.rotation)
    return tuple(configs)


def _parse_config(m: Message, shared: Message) -> IdConfig:
    from aspensaddle.frontends.quic.connection_id_directory import IdConfig
    from aspensaddle.frontends.quic.connection_ids import IdFormat

    _require_known_keys(m, ID_KEYS)
    form = IdFormat(
        integer(m, "rotation"),
        integer(m, "server_id_length"),
        integer(m, "nonce_length"),
        _hex_bytes(m, "key") if m.get("key") is not None else None,
        flag(m, "self_length"),
    )
    table = obj(m, "runners", shared)
    if len(table) > MAX_SERVERS:
        raise DecodeError(f"runners must be {MAX_SERVERS} at most, not {len(table)}")
    uids: dict[bytes, str] = {}
    for uid, value in table.items():
        if type(value) is list and len(value) > MAX_SERVER_IDS_PER_SERVER:
            raise DecodeError(f"runners.{uid} must have {MAX_SERVER_IDS_PER_SERVER} server ids at most")
        for one in value if type(value) is list else [value]:
            server_id = _hex_bytes({uid: one}, uid, "runners.")
            if len(server_id) != form.server_id_length:
                raise DecodeError(
                    f"runners.{uid} must be {form.server_id_length} octets, as server_id_length "
                    f"of rotation {form.rotation} says, not {len(server_id)}"
                )
            if server_id in uids:
                raise DecodeError(f"runners.{uid} has the server id of {uids[server_id]}")
            uids[server_id] = uid
    return IdConfig(form, uids, _unix_time(m, "retire_at", None))


# ---------------------------------------------------------------- Retry


def _parse_retry(m: Message, folder: Path) -> RetrySettings | None:
    if m.get("retry") is None:
        return None
    table = obj(m, "retry")
    try:
        return _parse_service(table, folder)
    except DecodeError as e:
        raise DecodeError(f"retry.{e}") from None


def _parse_service(m: Message, folder: Path) -> RetrySettings:
    _require_known_keys(m, RETRY_KEYS)
    lifetime_seconds = _bounded_number(m, "lifetime_s", 10.0, 1.0)
    path = folder / text(m, "keys")
    tokens = load_toml(path, lambda keys: parse_token_keys(keys, lifetime_seconds))
    if tokens is None:
        raise DecodeError(f"keys: there is no file {path}")
    return RetrySettings(
        tokens, _bounded_number(m, "above_per_s", 100.0), _bounded_number(m, "answers_per_s", 5000.0, 1.0)
    )


def parse_token_keys(m: Message, lifetime_seconds: float) -> RetryTokens:
    """The key file of the Retry service, which balancers and runners share."""
    from aspensaddle.frontends.quic.retry_tokens import RetryTokens

    _require_known_keys(m, {"keys"})
    keys = []
    for i, value in enumerate(array(m, "keys")):
        try:
            keys.append(_parse_key(as_object(value, "keys")))
        except (DecodeError, ValueError) as e:
            raise DecodeError(f"keys[{i}].{e}") from None
    if not keys:
        raise DecodeError("keys must hold one key at least")
    try:
        return RetryTokens(keys, lifetime_seconds)
    except ValueError as e:
        raise DecodeError(f"keys: {e}") from None


def _parse_key(m: Message) -> TokenKey:
    from aspensaddle.frontends.quic.retry_tokens import TokenKey

    _require_known_keys(m, TOKEN_KEYS)
    return TokenKey(
        integer(m, "sequence"),
        _hex_bytes(m, "key"),
        _unix_time(m, "since", 0.0) or 0.0,
        _unix_time(m, "until", None) or float("inf"),
    )


# ---------------------------------------------------------------- values


def _require_known_keys(m: Message, names: set[str]) -> None:
    if unknown := sorted(set(m) - names):
        raise DecodeError(f"{unknown[0]} is not a setting")


def _hex_bytes(m: Message, name: str, where: str = "") -> bytes:
    try:
        return bytes.fromhex(text(m, name))
    except (ValueError, DecodeError):
        raise DecodeError(f"{where}{name} must be hex digits") from None


def _unix_time(m: Message, name: str, default: float | None) -> float | None:
    """A date and time of the file, as Unix time in seconds."""
    value = m.get(name)
    if value is None:
        return default
    if not isinstance(value, datetime.datetime) or value.tzinfo is None:
        raise DecodeError(
            f"{name} must be a date and time with its offset, such as 2026-12-01T18:00:00Z, not {value!s:.60}"
        )
    return value.timestamp()


def _bounded_number(m: Message, name: str, default: float, low: float = 0.0) -> float:
    value = float(number(m, name, default))
    if not low <= value < 1e6:
        raise DecodeError(f"{name} must be a number from {low:g} up, not {value!r}")
    return value


def _bounded_integer(m: Message, name: str, default: int, low: int, high: int) -> int:
    value = int(integer(m, name, default))
    if not low <= value <= high:
        raise DecodeError(f"{name} must be {low} to {high}, not {value}")
    return value
