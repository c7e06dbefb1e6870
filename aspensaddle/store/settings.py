"""Settings of the store, from the operator's file (`deploy/store.toml`).

The store is off without the file or with `enabled = false`.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from aspensaddle.store.state import NODE_PATTERN
from aspensaddle.support.address import Address, parse_address
from aspensaddle.support.files import load_toml
from aspensaddle.support.json_fields import DecodeError, Message, flag, number, obj, text

SETTING_NAMES = {"enabled", "key", "nodes", "gossip_s", "runners"}
MIN_KEY_BYTES = 16
MIN_GOSSIP_INTERVAL_SECONDS = 0.05
MAX_GOSSIP_INTERVAL_SECONDS = 3600


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The settings of the store.

    Attributes:
        key: The key that all balancers share.
        nodes: The address of each balancer by node name, this one included.
        gossip_s: Mean seconds between two comparisons with a peer.
        endpoints_from_store: Whether the endpoint list comes from the store instead of discovery.
    """

    key: bytes
    nodes: dict[str, Address]
    gossip_s: float = 1.0
    endpoints_from_store: bool = False


def load_store_settings(path: Path) -> StoreSettings | None:
    """Read the settings file; return None if it does not exist or turns the store off.

    Raises:
        ConfigError: If the file can't be read or a setting is not valid.
    """
    return load_toml(path, parse_store_settings)


def parse_store_settings(message: Message) -> StoreSettings | None:
    """Decode the settings; return None if they turn the store off.

    Raises:
        DecodeError: If a setting is missing, invalid or unknown.
    """
    if not flag(message, "enabled"):
        return None
    if unknown := sorted(set(message) - SETTING_NAMES):
        raise DecodeError(f"{unknown[0]} is not a setting")
    return StoreSettings(
        key=_parse_key(message),
        nodes=_parse_nodes(message),
        gossip_s=_parse_gossip_interval(message),
        endpoints_from_store=flag(message, "runners"),
    )


def _parse_key(message: Message) -> bytes:
    try:
        key = bytes.fromhex(text(message, "key"))
    except ValueError:
        raise DecodeError("key must be hex digits") from None
    if len(key) < MIN_KEY_BYTES:
        raise DecodeError(f"key must be at least {MIN_KEY_BYTES} bytes in hex digits, not {len(key)}")
    return key


def _parse_nodes(message: Message) -> dict[str, Address]:
    table, nodes = obj(message, "nodes"), {}
    for name in table:
        if not NODE_PATTERN.fullmatch(name):
            raise DecodeError(f"nodes: {name!r:.60} is not a valid node name")
        nodes[name] = parse_address(text(table, name), f"nodes.{name}")
    return nodes


def _parse_gossip_interval(message: Message) -> float:
    interval = number(message, "gossip_s", 1.0)
    if not MIN_GOSSIP_INTERVAL_SECONDS <= interval <= MAX_GOSSIP_INTERVAL_SECONDS:
        raise DecodeError(
            f"gossip_s must be {MIN_GOSSIP_INTERVAL_SECONDS} to {MAX_GOSSIP_INTERVAL_SECONDS}, not {interval!r}"
        )
    return float(interval)
