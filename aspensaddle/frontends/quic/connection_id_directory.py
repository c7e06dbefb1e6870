"""Maps connection IDs to servers, for all QUIC-LB configurations in use. No I/O; callers pass the current time.

Up to seven configurations are in use at a time, named by the first three bits of an ID (the config rotation), each
with server IDs of its own. A key can therefore be rotated while connections are open: the new configuration is
decoded before any server issues IDs with it, the old one until it is retired
(draft-ietf-quic-load-balancers, 3.1).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from aspensaddle.frontends.quic.connection_ids import UNROUTABLE_CODEPOINT, IdFormat

CODEPOINT_COUNT = 8


@dataclass(frozen=True, slots=True)
class IdConfig:
    """One QUIC-LB configuration: the format of its connection IDs, and the server's uid for each server ID."""

    format: IdFormat
    uids: Mapping[bytes, str]
    retire_at: float | None = None  # Unix time in seconds from which its connection IDs are not routed

    def is_retired(self, unix_time: float) -> bool:
        """Return whether the configuration is retired at this Unix time in seconds."""
        return self.retire_at is not None and unix_time >= self.retire_at


class ConnectionIdKind(Enum):
    """What a connection ID refers to. The values are part of counter names."""

    SERVER = "runner"  # a server that the settings name
    REMOVED_SERVER = "departed"  # a server that the settings named before a reload
    UNKNOWN_SERVER = "stranger"  # a well-formed ID without a server: made up, or encrypted with another key
    RETIRED_CONFIG = "retired"  # an ID of a retired configuration: not routed, but answered with a stateless reset
    UNROUTABLE = "unroutable"  # an ID with the codepoint 0b111: routed by the client's address only
    UNKNOWN_CONFIG = "foreign"  # an ID of no configuration in use, or of another length than its configuration's


@dataclass(frozen=True, slots=True)
class ConnectionIdInfo:
    """The result of looking up a connection ID. `uid` is that of the server, empty if there is none."""

    kind: ConnectionIdKind
    uid: str = ""


UNKNOWN_CONFIG = ConnectionIdInfo(ConnectionIdKind.UNKNOWN_CONFIG)
UNKNOWN_SERVER = ConnectionIdInfo(ConnectionIdKind.UNKNOWN_SERVER)
RETIRED_CONFIG = ConnectionIdInfo(ConnectionIdKind.RETIRED_CONFIG)
UNROUTABLE = ConnectionIdInfo(ConnectionIdKind.UNROUTABLE)


class ConnectionIdDirectory:
    """Looks up connection IDs in the configurations in use."""

    def __init__(
        self,
        configs: Iterable[IdConfig],
        unroutable_length: int = 0,
        previous: ConnectionIdDirectory | None = None,
    ) -> None:
        """Create a directory of these configurations.

        Args:
            configs: the configurations, each with a config rotation of its own.
            unroutable_length: length in bytes of connection IDs with the codepoint 0b111, if it is the same at all
                servers; else 0.
            previous: the directory that this one replaces. Its servers that are not configured any more are
                remembered as removed.
        """
        self.configs = {config.format.rotation: config for config in configs}
        # The length of a connection ID in bytes by the first three bits of its first byte; 0 if it is unknown.
        self.lengths_by_codepoint = [
            self.configs[rotation].format.length if rotation in self.configs else 0
            for rotation in range(CODEPOINT_COUNT - 1)
        ] + [unroutable_length]
        named = {uid for config in self.configs.values() for uid in config.uids.values()}
        self._removed_uids: set[str] = set() if previous is None else (previous._removed_uids | previous.uids) - named
        self.uids: frozenset[str] = frozenset(named)
        self._retired: set[int] = set()
        # The server IDs that removed servers had in replaced configurations; packets to them arrive for a while.
        self._removed_server_ids: dict[int, Mapping[bytes, str]] = {}
        if previous is not None:
            for rotation, config in previous.configs.items():
                known = {**previous._removed_server_ids.get(rotation, {}), **config.uids}
                self._removed_server_ids[rotation] = {
                    server_id: uid for server_id, uid in known.items() if uid in self._removed_uids
                }

    def extract(self, after_first_byte: bytes) -> bytes | None:
        """Return the connection ID at the start of what follows the first byte of a short-header packet.

        Its own first byte determines its length. None if the length is unknown or the packet is shorter.
        """
        if not after_first_byte:
            return None
        length = self.lengths_by_codepoint[after_first_byte[0] >> 5]
        return after_first_byte[:length] if 0 < length <= len(after_first_byte) else None

    def look_up(self, cid: bytes, unix_time: float) -> ConnectionIdInfo:
        """Return what a complete connection ID refers to at this Unix time in seconds."""
        if not cid:
            return UNKNOWN_CONFIG
        rotation = cid[0] >> 5
        if rotation == UNROUTABLE_CODEPOINT:
            return UNROUTABLE
        config = self.configs.get(rotation)
        if config is None or not config.format.matches(cid):
            return UNKNOWN_CONFIG
        if config.is_retired(unix_time):
            return RETIRED_CONFIG
        server_id = config.format.decode(cid)
        if (uid := config.uids.get(server_id)) is not None:
            return ConnectionIdInfo(ConnectionIdKind.SERVER, uid)
        if (uid := self._removed_server_ids.get(rotation, {}).get(server_id)) is not None:
            return ConnectionIdInfo(ConnectionIdKind.REMOVED_SERVER, uid)
        return UNKNOWN_SERVER

    def is_routable(self, cid: bytes) -> bool:
        """Return whether an ID has the format of a configuration; later IDs from its server then have one too."""
        config = self.configs.get(cid[0] >> 5) if cid else None
        return config is not None and config.format.matches(cid)

    def may_identify_session(self, cid: bytes, unix_time: float) -> bool:
        """Return whether a packet to this connection ID may still belong to a session."""
        config = self.configs.get(cid[0] >> 5)
        return cid[0] >> 5 == UNROUTABLE_CODEPOINT or (config is not None and not config.is_retired(unix_time))

    def has_newly_retired(self, unix_time: float) -> bool:
        """Return whether a configuration has retired since the previous call."""
        retired = {rotation for rotation, config in self.configs.items() if config.is_retired(unix_time)}
        changed, self._retired = retired != self._retired, retired
        return changed
