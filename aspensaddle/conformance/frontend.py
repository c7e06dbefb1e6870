"""The interface between the cases and the front end under test, which is a process or an engine without sockets."""

from __future__ import annotations

from typing import Any, Protocol

from aspensaddle.conformance.net import Address

REQUEST_CLASSES = {"test-run": 0, "draft-save": 1}  # indexes of the request classes by name


def platform_settings(deadline: float = 3.0, **overrides: Any) -> dict[str, Any]:
    """Return balancer settings in the platform's format.

    Args:
        deadline: the deadline of both request classes, in seconds.
        overrides: settings that replace those below.
    """
    classes = [
        {"name": name, "aim": 0.3, "deadline": deadline, "repeat": "pure", "worth": 1.0} for name in REQUEST_CLASSES
    ]
    return {
        "discovery": "pushed",
        "failure-domains": ["here"],
        "fleet-size": 1,
        "lanes": classes,
        "family-info": {"groups": True, "message-aim": [0.15, 0.15]},
        "guarantees": {"drain-grace": 2.0, "warm-after": 0.0},
        "limits": {
            "connect-timeout": 0.5,
            "most-tries": 6,
            "retry-after": True,
            "max-retry-after": 1.0,
            "cancel": True,
        },
        **overrides,
    }


class Frontend(Protocol):
    """A front end with its balancer. Clients send their datagrams to `address`."""

    address: Address

    def replace_endpoints(self, targets: list[dict[str, Any]]) -> None:
        """Replace the whole endpoint list."""

    def configure(self, toml: str) -> bool:
        """Load other QUIC settings, the text of a quic.toml; return whether they were accepted."""

    def counts(self) -> dict[str, int]:
        """Return the counters by name."""

    def restart(self) -> None:
        """Stop without a graceful shutdown and start again with the same files and address."""

    def close(self) -> None:
        """Stop without a graceful shutdown."""
