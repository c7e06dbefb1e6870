"""A testbed: front ends, servers and the network between them, set up alike for many cases."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from aspensaddle.conformance.frontend import Frontend
from aspensaddle.conformance.memory_frontend import MemoryFrontend
from aspensaddle.conformance.net import Address, MemoryNet, Net, SocketNet
from aspensaddle.conformance.process_frontend import ProcessFrontend
from aspensaddle.conformance.quic_client import ClientOptions, QuicClient
from aspensaddle.conformance.quic_server import RESET_KEY, QuicServer, ServerMode
from aspensaddle.conformance.raw_endpoint import RawEndpoint
from aspensaddle.frontends.quic.connection_ids import IdFormat
from aspensaddle.frontends.quic.retry_tokens import RetryTokens, TokenKey

ID_KEY = b"sixteen octets!!"
FORM = IdFormat(2, 2, 14, key=ID_KEY)
TOKEN_SECRET = b"the shared key!!"
TOKEN_FILE = f'[[keys]]\nsequence = 5\nkey = "{TOKEN_SECRET.hex()}"\n'
TOKEN_LIFETIME = 8.0  # s
WAIT_TIMEOUT = 15.0  # s


class RequirementNotMetError(Exception):
    """The front end does not do what the case requires; the text says what."""


class NotApplicableError(Exception):
    """The case does not apply to this kind of front end; the text says why."""


@dataclass(frozen=True)
class TestbedSetup:
    """How a testbed is set up. Cases with the same setup share a testbed. Times are seconds."""

    __test__ = False  # no test class of pytest

    modes: tuple[ServerMode, ...] = (ServerMode.OK, ServerMode.OK, ServerMode.OK)
    forms: tuple[IdFormat, ...] = (FORM,)  # servers issue ids in the first one
    retry_above: float | None = (
        None  # Initials per second without proof of address; above it the front end sends Retries
    )
    rules: str = ""  # `[[rules]]` of the operator's file
    more: str = ""  # top-level settings of the operator's file
    deadline: float = 3.0
    reply: float = 1.0  # the time that a server has to reply
    idle: float = 30.0  # after which a session is forgotten
    frontends: int = 1
    alone: bool = False  # the case changes the testbed for good: it gets one of its own


def ids_toml(forms: Iterable[IdFormat], servers: Iterable[QuicServer], more: str = "") -> str:
    """Return the `[[ids]]` of the operator's file for these formats and servers; `more` is added to each."""
    out = []
    for form in forms:
        key = f'key = "{form.key.hex()}"\n' if form.key is not None else ""
        names = "".join(f'"{r.uid}" = "{server_id(form, r).hex()}"\n' for r in servers)
        out.append(
            f"[[ids]]\nrotation = {form.rotation}\nserver_id_length = {form.server_id_length}\n"
            f"nonce_length = {form.nonce_length}\nself_length = {str(form.self_length).lower()}\n{key}{more}"
            f"[ids.runners]\n{names}"
        )
    return "".join(out)


def server_id(form: IdFormat, server: QuicServer) -> bytes:
    """Return a server's id in a format.

    It is the server's number with the rotation in front, so that the same id names another server in each format.
    """
    number = int(server.uid.rpartition("-")[2]) + 1
    return (number + 16 * (form.rotation % 3)).to_bytes(form.server_id_length, "big")


class Testbed:
    """Front ends, servers and the network between them, with what cases do to them."""

    __test__ = False  # no test class of pytest

    def __init__(self, setup: TestbedSetup, folder: Path, memory: bool = False, seed: int = 0) -> None:
        """Start all ends; with `memory` without sockets, `seed` for the balancers there."""
        self.setup, self.seed, self.memory = setup, seed, memory
        self.net: Net = MemoryNet() if memory else SocketNet()
        self.tokens = RetryTokens([TokenKey(5, TOKEN_SECRET)], TOKEN_LIFETIME)
        tickets: dict[bytes, Any] = {}
        self.servers: list[QuicServer] = []
        for i, mode in enumerate(setup.modes):
            tokens = self.tokens if setup.retry_above is not None else None
            server = QuicServer(self.net, f"s-{i}", setup.forms[0], mode, tickets, self.unix, tokens)
            server.server_id = server_id(setup.forms[0], server)
            self.servers.append(server)
        self.frontends: list[Frontend] = [
            self._start_frontend(folder / f"n{i}", f"n{i}") for i in range(setup.frontends)
        ]
        self._ends: list[QuicClient | RawEndpoint] = []
        self._before: dict[str, int] = {}
        self.id = b""  # for a client made by hand, another for each case

    def unix(self) -> float:
        """Return the Unix time."""
        return self.net.now() if self.memory else time.time()

    def toml(self, ids: str = "", more: str | None = None, rules: str | None = None) -> str:
        """Return the operator's file of this testbed, with some parts replaced."""
        setup = self.setup
        retry = (
            ""
            if setup.retry_above is None
            else f'[retry]\nabove_per_s = {setup.retry_above}\nkeys = "keys.toml"\nlifetime_s = {TOKEN_LIFETIME}\n'
        )
        return (
            f'enabled = true\nlisten = "LISTEN"\nclass = "test-run"\nreset_key = "{RESET_KEY.hex()}"\n'
            f"idle_s = {setup.idle}\nreply_within_s = {setup.reply}\n{setup.more if more is None else more}\n"
            f"{ids or ids_toml(setup.forms, self.servers)}\n{setup.rules if rules is None else rules}\n{retry}"
        )

    def _start_frontend(self, folder: Path, name: str) -> Frontend:
        targets, files = [r.target() for r in self.servers], {"keys.toml": TOKEN_FILE}
        if isinstance(self.net, MemoryNet):
            return MemoryFrontend(self.net, folder, self.toml(), targets, self.setup.deadline, self.seed + 1, files)
        return ProcessFrontend(folder, self.toml(), targets, self.setup.deadline, name, files, self.net.until)

    @property
    def frontend(self) -> Frontend:
        """The first front end."""
        return self.frontends[0]

    @property
    def address(self) -> Address:
        """The address of the first front end."""
        return self.frontend.address

    def close(self) -> None:
        """Stop all ends."""
        for frontend in self.frontends:
            frontend.close()
        self.net.close()

    def begin_case(self) -> None:
        """Prepare for a case."""
        self.id = os.urandom(10)
        self._before = self.frontend.counts()

    def finish_case(self) -> None:
        """Clean up after a case: close its clients and reset the servers."""
        for end in self._ends:
            end.close()
        self._ends.clear()
        for server, mode in zip(self.servers, self.setup.modes, strict=True):
            server.mode = mode
            server.records.recent_datagrams.clear()

    def client(self, frontend: Address | None = None, **options: Any) -> QuicClient:
        """Create a client of a front end, the first one if none is given; `options` as in `ClientOptions`."""
        client = QuicClient(self.net, frontend or self.address, ClientOptions(**options))
        self._ends.append(client)
        return client

    def raw_endpoint(self) -> RawEndpoint:
        """Create an endpoint that sends packets made by hand."""
        raw = RawEndpoint(self.net)
        self._ends.append(raw)
        return raw

    def connected_clients(self, count: int = 1, **more: Any) -> list[QuicClient]:
        """Create clients and wait until their handshakes are complete; `more` as for `client`."""
        clients = [self.client(**more) for _ in range(count)]
        self.wait(lambda: all(c.ready for c in clients), "the handshake is done")
        return clients

    def ask(self, client: QuicClient, text: bytes = b"hello") -> str:
        """Say `text` on a stream and return the uid of the server that answers."""
        n = len(client.answers)
        client.say(text)
        self.wait(lambda: [a for a in client.answers[n:] if a.endswith(b" " + text)], f"{text!r} is answered")
        return next(a for a in client.answers[n:] if a.endswith(b" " + text)).split(b" ", 1)[0].decode()

    def server(self, uid: str) -> QuicServer:
        """Return the server of this uid."""
        return next(r for r in self.servers if r.uid == uid)

    def wait(self, done: Callable[[], Any], what: str, timeout: float = WAIT_TIMEOUT) -> None:
        """Wait until `done` holds; raise `RequirementNotMetError` after `timeout` seconds."""
        self.check(self.net.until(done, timeout), f"in time: {what}")

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.net.run(seconds)

    def check(self, value: Any, what: str) -> None:
        """Raise `RequirementNotMetError` unless `value` is true."""
        if not value:
            raise RequirementNotMetError(f"not so: {what}")

    def expect_silence(self, ends: Iterable[RawEndpoint | QuicClient], what: str, seconds: float = 0.25) -> None:
        """Check that these ends receive nothing for some seconds."""
        ends = list(ends)
        before = [len(e.got) for e in ends]
        self.run(seconds)
        self.check([len(e.got) for e in ends] == before, f"nothing is answered: {what}")

    def reached(self, raw: RawEndpoint) -> list[str]:
        """Return the uids of the servers that received what `raw` sent, in the order of sending."""
        return [r.uid for data in raw.sent for r in self.servers if data in r.records.recent_datagrams]

    def counted(self, name: str) -> int:
        """Return how often the first front end has counted `name` since the case began."""
        return self.frontend.counts().get(name, 0) - self._before.get(name, 0)

    def initials_received(self) -> int:
        """Return how many Initials of new connections all servers have received."""
        return sum(server.records.initials for server in self.servers)

    def connections_started(self) -> int:
        """Return how many connections all servers have accepted."""
        return sum(server.records.connections for server in self.servers)

    def early_requests(self) -> int:
        """Return how many requests came to the servers in 0-RTT."""
        return sum(server.records.early_requests for server in self.servers)

    def replace(self, *targets: dict[str, Any]) -> None:
        """Replace entries of the endpoint list by uid; an entry without an endpoint removes the server."""
        known = {server.uid: server.target() for server in self.servers}
        known.update({target["uid"]: target for target in targets})
        for frontend in self.frontends:
            frontend.replace_endpoints([target for target in known.values() if "endpoint" in target])
