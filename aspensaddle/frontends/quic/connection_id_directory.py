"""Whose id it is: reads ids of all configurations in use and tells runners from strangers. Free of I/O and time.

Up to seven configurations stand side by side (three bits name them), each with server ids of its own, so that a
key is rolled while sessions stand: the new configuration is read previous any runner issues by it, the old one
until it is retired (draft, 3.1).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from aspensaddle.frontends.quic.connection_ids import UNROUTABLE_CODEPOINT, IdFormat

CODEPOINT_COUNT = 8


@dataclass(frozen=True, slots=True)
class IdConfig:
    """One configuration: the form of its ids, and the uid behind each server id."""

    format: IdFormat
    uids: Mapping[bytes, str]
    retire_at: float | None = None  # Unix time in seconds from which its ids are not routed any more

    def is_retired(self, unix_time: float) -> bool:
        return self.retire_at is not None and unix_time >= self.retire_at


class ConnectionIdKind(Enum):
    """What an id is."""

    SERVER = "runner"  # of a runner that the file names
    REMOVED_SERVER = "departed"  # of a runner that the file named until a reload
    UNKNOWN_SERVER = "stranger"  # whole, but no runner has that server id: garbage, or a key that is wrong
    RETIRED_CONFIG = "retired"  # of a configuration that is retired: a reset may be sent, nothing is routed
    UNROUTABLE = "unroutable"  # the codepoint 0b111: by address alone
    UNKNOWN_CONFIG = "foreign"  # of no configuration, or of another length


@dataclass(frozen=True, slots=True)
class ConnectionIdInfo:
    kind: ConnectionIdKind
    uid: str = ""


UNKNOWN_CONFIG = ConnectionIdInfo(ConnectionIdKind.UNKNOWN_CONFIG)
UNKNOWN_SERVER = ConnectionIdInfo(ConnectionIdKind.UNKNOWN_SERVER)
RETIRED_CONFIG = ConnectionIdInfo(ConnectionIdKind.RETIRED_CONFIG)
NO_SERVER = ConnectionIdInfo(ConnectionIdKind.UNROUTABLE)


class ConnectionIdDirectory:
    """Reads ids by the configurations in force."""

    def __init__(
        self, configs: Iterable[IdConfig], unroutable_length: int = 0, previous: ConnectionIdDirectory | None = None
    ) -> None:
        """`unroutable_length`: octets of ids under 0b111 where all runners make them alike; 0 where they don't.
        `before`: the directory that this one replaces, whose runners are remembered as departed.
        """
        self.configs = {c.format.rotation: c for c in configs}
        # The length of an id by the top three bits of its first octet; 0: not to be told.
        self.lengths_by_codepoint = [
            self.configs[r].format.length if r in self.configs else 0 for r in range(CODEPOINT_COUNT - 1)
        ] + [unroutable_length]
        named = {uid for c in self.configs.values() for uid in c.uids.values()}
        self._removed_uids: set[str] = set() if previous is None else (previous._removed_uids | previous.uids) - named
        self.uids: frozenset[str] = frozenset(named)
        self._retired: set[int] = set()
        # What the replaced configurations called those who have left; their ids are under way for a while.
        self._removed_server_ids: dict[int, Mapping[bytes, str]] = {}
        if previous is not None:
            for rotation, config in previous.configs.items():
                known = {**previous._removed_server_ids.get(rotation, {}), **config.uids}
                self._removed_server_ids[rotation] = {s: uid for s, uid in known.items() if uid in self._removed_uids}

    def extract(self, after_first_octet: bytes) -> bytes | None:
        """The id behind a short header's first octet: its own first octet tells how long it is."""
        if not after_first_octet:
            return None
        length = self.lengths_by_codepoint[after_first_octet[0] >> 5]
        return after_first_octet[:length] if 0 < length <= len(after_first_octet) else None

    def look_up(self, cid: bytes, unix_time: float) -> ConnectionIdInfo:
        """What a whole id is, at this Unix time."""
        if not cid:
            return UNKNOWN_CONFIG
        rotation = cid[0] >> 5
        if rotation == UNROUTABLE_CODEPOINT:
            return NO_SERVER
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
        """Whether an id is whole and of a configuration, so that later ones of its runner will be too."""
        config = self.configs.get(cid[0] >> 5) if cid else None
        return config is not None and config.format.matches(cid)

    def may_identify_session(self, cid: bytes, unix_time: float) -> bool:
        """Whether an id is one by which a session may still be found."""
        config = self.configs.get(cid[0] >> 5)
        return cid[0] >> 5 == UNROUTABLE_CODEPOINT or (config is not None and not config.is_retired(unix_time))

    def has_newly_retired(self, unix_time: float) -> bool:
        """Whether a configuration has retired since this was last asked."""
        retired = {r for r, c in self.configs.items() if c.is_retired(unix_time)}
        new, self._retired = retired != self._retired, retired
        return new
