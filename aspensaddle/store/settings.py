"""The operator's file of the store, `deploy/store.toml`. Off without it, or with `enabled = false`."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from aspensaddle.store.state import NODE
from aspensaddle.support.address import Address, parse_address
from aspensaddle.support.files import load_toml
from aspensaddle.support.json_fields import DecodeError, Message, flag, number, obj, text

KEYS = {"enabled", "key", "nodes", "gossip_s", "runners"}


@dataclass(frozen=True, slots=True)
class StoreSettings:
    key: bytes
    nodes: dict[str, Address]  # the daemons by name, this one too
    gossip_s: float = 1.0
    runners: bool = False  # the list of runners comes from the store instead of discovery


def load_store(path: Path) -> StoreSettings | None:
    return load_toml(path, parse_store)


def parse_store(m: Message) -> StoreSettings | None:
    if not flag(m, "enabled"):
        return None
    if unknown := sorted(set(m) - KEYS):
        raise DecodeError(f"{unknown[0]} is not a setting")
    try:
        key = bytes.fromhex(text(m, "key"))
    except ValueError:
        raise DecodeError("key must be hex digits") from None
    if len(key) < 16:
        raise DecodeError("key must be 16 octets at least, in hex digits")
    table, nodes = obj(m, "nodes"), {}
    for name in table:
        if not NODE.fullmatch(name):
            raise DecodeError(f"nodes: {name!r:.60} is not a name")
        nodes[name] = parse_address(text(table, name), f"nodes.{name}")
    gossip = number(m, "gossip_s", 1.0)
    if not 0.05 <= gossip <= 3600:
        raise DecodeError(f"gossip_s must be 0.05 to 3600, not {gossip!r}")
    return StoreSettings(key, nodes, float(gossip), flag(m, "runners"))
