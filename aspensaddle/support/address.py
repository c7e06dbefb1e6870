"""Network addresses in the form HOST:PORT."""

from __future__ import annotations

from aspensaddle.support.json_fields import DecodeError

Address = tuple[str, int]  # host and port

PORT_COUNT = 65536


def parse_address(value: str, name: str) -> Address:
    """Decode HOST:PORT.

    Args:
        value: The text.
        name: The name of the field, for the error message.

    Raises:
        DecodeError: If the text is not an address.
    """
    host, colon, port = value.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not colon or not host or not is_number or not 0 < int(port) < PORT_COUNT:
        raise DecodeError(f"{name} must be HOST:PORT, not {value!r:.60}")
    return host, int(port)
