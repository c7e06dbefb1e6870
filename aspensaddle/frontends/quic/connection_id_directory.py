"""Whose id it is: reads ids of all configurations in use and tells runners from strangers. Free of I/O and time.

Up to seven configurations stand side by side (three bits name them), each with server ids of its own, so that a
key is rolled while sessions stand: the new configuration is read before any runner issues by it, the old one
until it is retired (draft, 3.1).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from aspensaddle.frontends.quic.connection_ids import UNROUTABLE, IdFormat

CODEPOINTS = 8


@dataclass(frozen=True, slots=True)
class IdConfig:
    """One configuration: the form of its ids, and the uid behind each server id."""

    format: IdFormat
    uids: Mapping[bytes, str]
    retire_at: float | None = None  # Unix time in seconds from which its ids are not routed any more

    def retired(self, unix: float) -> bool:
        return self.retire_at is not None and unix >= self.retire_at


class ConnectionIdKind(Enum):
    """What an id is."""

    RUNNER = "runner"  # of a runner that the file names
    DEPARTED = "departed"  # of a runner that the file named until a reload
    STRANGER = "stranger"  # whole, but no runner has that server id: garbage, or a key that is wrong
    RETIRED = "retired"  # of a configuration that is retired: a reset may be sent, nothing is routed
    UNROUTABLE = "unroutable"  # the codepoint 0b111: by address alone
    FOREIGN = "foreign"  # of no configuration, or of another length


@dataclass(frozen=True, slots=True)
class ConnectionIdInfo:
    kind: ConnectionIdKind
    uid: str = ""


FOREIGN = ConnectionIdInfo(ConnectionIdKind.FOREIGN)
STRANGER = ConnectionIdInfo(ConnectionIdKind.STRANGER)
RETIRED = ConnectionIdInfo(ConnectionIdKind.RETIRED)
NO_SERVER = ConnectionIdInfo(ConnectionIdKind.UNROUTABLE)


class ConnectionIdDirectory:
    """Reads ids by the configurations in force."""

    def __init__(
        self, configs: Iterable[IdConfig], unroutable_length: int = 0, before: ConnectionIdDirectory | None = None
    ) -> None:
        """`unroutable_length`: octets of ids under 0b111 where all runners make them alike; 0 where they don't.
        `before`: the directory that this one replaces, whose runners are remembered as departed.
        """
        self.configs = {c.format.rotation: c for c in configs}
        # The length of an id by the top three bits of its first octet; 0: not to be told.
        self.lengths = [self.configs[r].format.length if r in self.configs else 0 for r in range(CODEPOINTS - 1)] + [
            unroutable_length
        ]
        named = {uid for c in self.configs.values() for uid in c.uids.values()}
        self._departed: set[str] = set() if before is None else (before._departed | before.uids) - named
        self.uids: frozenset[str] = frozenset(named)
        self._retired: set[int] = set()
        # What the replaced configurations called those who have left; their ids are under way for a while.
        self._left: dict[int, Mapping[bytes, str]] = {}
        if before is not None:
            for rotation, config in before.configs.items():
                known = {**before._left.get(rotation, {}), **config.uids}
                self._left[rotation] = {s: uid for s, uid in known.items() if uid in self._departed}

    def cut(self, after_first_octet: bytes) -> bytes | None:
        """The id behind a short header's first octet: its own first octet tells how long it is."""
        if not after_first_octet:
            return None
        length = self.lengths[after_first_octet[0] >> 5]
        return after_first_octet[:length] if 0 < length <= len(after_first_octet) else None

    def read(self, cid: bytes, unix: float) -> ConnectionIdInfo:
        """What a whole id is, at this Unix time."""
        if not cid:
            return FOREIGN
        rotation = cid[0] >> 5
        if rotation == UNROUTABLE:
            return NO_SERVER
        config = self.configs.get(rotation)
        if config is None or not config.format.fits(cid):
            return FOREIGN
        if config.retired(unix):
            return RETIRED
        server_id = config.format.decode(cid)
        if (uid := config.uids.get(server_id)) is not None:
            return ConnectionIdInfo(ConnectionIdKind.RUNNER, uid)
        if (uid := self._left.get(rotation, {}).get(server_id)) is not None:
            return ConnectionIdInfo(ConnectionIdKind.DEPARTED, uid)
        return STRANGER

    def routable(self, cid: bytes) -> bool:
        """Whether an id is whole and of a configuration, so that later ones of its runner will be too."""
        config = self.configs.get(cid[0] >> 5) if cid else None
        return config is not None and config.format.fits(cid)

    def reads(self, cid: bytes, unix: float) -> bool:
        """Whether an id is one by which a session may still be found."""
        config = self.configs.get(cid[0] >> 5)
        return cid[0] >> 5 == UNROUTABLE or (config is not None and not config.retired(unix))

    def retiring(self, unix: float) -> bool:
        """Whether a configuration has retired since this was last asked."""
        retired = {r for r, c in self.configs.items() if c.retired(unix)}
        new, self._retired = retired != self._retired, retired
        return new
