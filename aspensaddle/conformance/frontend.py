"""The front end under test, as the cases see it: a process or an engine without sockets."""

from __future__ import annotations

from typing import Any, Protocol

from aspensaddle.conformance.net import Address

CLASSES = {"test-run": 0, "draft-save": 1}  # request classes by name, with their index


def platform_settings(deadline: float = 3.0, **more: Any) -> dict[str, Any]:
    """Return balancer settings as the platform writes them; `deadline` in seconds."""
    lanes = [{"name": name, "aim": 0.3, "deadline": deadline, "repeat": "pure", "worth": 1.0} for name in CLASSES]
    return {
        "discovery": "pushed",
        "failure-domains": ["here"],
        "fleet-size": 1,
        "lanes": lanes,
        "family-info": {"groups": True, "message-aim": [0.15, 0.15]},
        "guarantees": {"drain-grace": 2.0, "warm-after": 0.0},
        "limits": {
            "connect-timeout": 0.5,
            "most-tries": 6,
            "retry-after": True,
            "max-retry-after": 1.0,
            "cancel": True,
        },
        **more,
    }


class Frontend(Protocol):
    """A front end with its balancer. `address` is where clients send their datagrams."""

    address: Address

    def replace_endpoints(self, targets: list[dict[str, Any]]) -> None:
        """Replace the whole endpoint list."""

    def configure(self, toml: str) -> bool:
        """Load another operator's file; return whether it was accepted."""

    def counts(self) -> dict[str, int]:
        """Return the counters."""

    def restart(self) -> None:
        """Stop without a shutdown and start anew, with the same files and address."""

    def close(self) -> None:
        """Stop without a shutdown."""
