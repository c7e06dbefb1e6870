"""Addresses as files write them."""

from __future__ import annotations

from aspensaddle.support.json_fields import DecodeError

Address = tuple[str, int]


def parse_address(value: str, name: str) -> Address:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise DecodeError(f"{name} must be HOST:PORT, not {value!r:.60}")
    return host, int(port)
