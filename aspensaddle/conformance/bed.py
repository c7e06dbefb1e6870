"""A bed: one or two fronts, their runners and the net between them, set up alike for many cases."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from aspensaddle.conformance.front import Front, MemoryFront, ProcessFront
from aspensaddle.conformance.net import Address, MemoryNet, Net, SocketNet
from aspensaddle.conformance.peers import RESET_KEY, Client, Raw, Runner
from aspensaddle.frontends.quic.ids import IdFormat
from aspensaddle.frontends.quic.tokens import TokenKey, Tokens

ID_KEY = b"sixteen octets!!"
FORM = IdFormat(2, 2, 14, key=ID_KEY)
TOKEN_SECRET = b"the shared key!!"
TOKEN_FILE = f'[[keys]]\nsequence = 5\nkey = "{TOKEN_SECRET.hex()}"\n'
LIFETIME = 8.0
WITHIN = 15.0


class Failed(Exception):
    """The front does not do what the case asks for."""


class NotApplicable(Exception):
    """The case can't be asked here; the text says why."""


@dataclass(frozen=True)
class Spec:
    """How a bed is set up. Cases with the same one share it."""

    modes: tuple[str, ...] = ("ok", "ok", "ok")
    forms: tuple[IdFormat, ...] = (FORM,)  # the runners issue by the first
    retry_above: float | None = None  # a Retry service, over so many unproven Initials a second
    rules: str = ""
    more: str = ""  # top-level settings
    deadline: float = 3.0
    reply: float = 1.0
    idle: float = 30.0
    fronts: int = 1
    alone: bool = False  # the case leaves the bed in another state than it found it


def ids_toml(forms: Iterable[IdFormat], runners: Iterable[Runner], more: str = "") -> str:
    """The `[[ids]]` of the operator's file for these configurations and runners."""
    out = []
    for form in forms:
        key = f'key = "{form.key.hex()}"\n' if form.key is not None else ""
        names = "".join(f'"{r.uid}" = "{server_id(form, r).hex()}"\n' for r in runners)
        out.append(
            f"[[ids]]\nrotation = {form.rotation}\nserver_id_length = {form.server_id_length}\n"
            f"nonce_length = {form.nonce_length}\nself_length = {str(form.self_length).lower()}\n{key}{more}"
            f"[ids.runners]\n{names}"
        )
    return "".join(out)


def server_id(form: IdFormat, runner: Runner) -> bytes:
    """A runner's server id in a configuration: its number, with the rotation in front where there is room, so that
    the same number is another runner's elsewhere."""
    number = int(runner.uid.rpartition("-")[2]) + 1
    return (number + 16 * (form.rotation % 3)).to_bytes(form.server_id_length, "big")


class Bed:
    def __init__(self, spec: Spec, folder: Path, memory: bool = False, seed: int = 0) -> None:
        self.spec, self.seed, self.memory = spec, seed, memory
        self.net: Net = MemoryNet() if memory else SocketNet()
        self.tokens = Tokens([TokenKey(5, TOKEN_SECRET)], LIFETIME)
        tickets: dict[bytes, Any] = {}
        self.runners: list[Runner] = []
        for i, mode in enumerate(spec.modes):
            runner = Runner(
                self.net,
                f"s-{i}",
                spec.forms[0],
                b"",
                mode,
                tickets=tickets,
                unix=self.unix,
                tokens=self.tokens if spec.retry_above is not None else None,
            )
            runner.server_id = server_id(spec.forms[0], runner)
            self.runners.append(runner)
        self.fronts: list[Front] = [self._front(folder / f"n{i}", f"n{i}") for i in range(spec.fronts)]
        self._ends: list[Client | Raw] = []
        self._before: dict[str, int] = {}
        self.id = b""  # for a client made by hand, another for each case

    def unix(self) -> float:
        import time

        return self.net.now() if self.memory else time.time()

    def toml(self, ids: str = "", more: str | None = None, rules: str | None = None) -> str:
        """The operator's file of this bed, with some of it otherwise."""
        spec = self.spec
        retry = (
            ""
            if spec.retry_above is None
            else f'[retry]\nabove_per_s = {spec.retry_above}\nkeys = "keys.toml"\nlifetime_s = {LIFETIME}\n'
        )
        return (
            f'enabled = true\nlisten = "LISTEN"\nclass = "test-run"\nreset_key = "{RESET_KEY.hex()}"\n'
            f"idle_s = {spec.idle}\nreply_within_s = {spec.reply}\n{spec.more if more is None else more}\n"
            f"{ids or ids_toml(spec.forms, self.runners)}\n{spec.rules if rules is None else rules}\n{retry}"
        )

    def _front(self, folder: Path, name: str) -> Front:
        targets, files = [r.target() for r in self.runners], {"keys.toml": TOKEN_FILE}
        if isinstance(self.net, MemoryNet):
            return MemoryFront(self.net, folder, self.toml(), targets, self.spec.deadline, self.seed + 1, files)
        return ProcessFront(folder, self.toml(), targets, self.spec.deadline, name, files, self.net.until)

    @property
    def front(self) -> Front:
        return self.fronts[0]

    @property
    def address(self) -> Address:
        return self.front.address

    def close(self) -> None:
        for front in self.fronts:
            front.close()
        self.net.close()

    # ------------------------------------------------------------ what cases do

    def begin(self) -> None:
        """Before a case."""
        self.id = os.urandom(10)
        self._before = self.front.counts()

    def tidy(self) -> None:
        """After a case: its clients are gone, the runners are as the bed has them."""
        for end in self._ends:
            end.close()
        self._ends.clear()
        for runner, mode in zip(self.runners, self.spec.modes, strict=True):
            runner.mode = mode
            runner.seen.clear()

    def client(self, front: Address | None = None, **more: Any) -> Client:
        client = Client(self.net, front or self.address, **more)
        self._ends.append(client)
        return client

    def raw(self) -> Raw:
        raw = Raw(self.net)
        self._ends.append(raw)
        return raw

    def ready(self, count: int = 1, **more: Any) -> list[Client]:
        """Clients whose handshakes are done."""
        clients = [self.client(**more) for _ in range(count)]
        self.wait(lambda: all(c.ready for c in clients), "the handshake is done")
        return clients

    def ask(self, client: Client, text: bytes = b"hello") -> str:
        """The runner that answers."""
        n = len(client.answers)
        client.say(text)
        self.wait(lambda: [a for a in client.answers[n:] if a.endswith(b" " + text)], f"{text!r} is answered")
        return next(a for a in client.answers[n:] if a.endswith(b" " + text)).split(b" ", 1)[0].decode()

    def runner(self, uid: str) -> Runner:
        return next(r for r in self.runners if r.uid == uid)

    def wait(self, done: Callable[[], Any], what: str, within: float = WITHIN) -> None:
        self.check(self.net.until(done, within), f"in time: {what}")

    def run(self, seconds: float) -> None:
        self.net.run(seconds)

    def check(self, value: Any, what: str) -> None:
        if not value:
            raise Failed(f"not so: {what}")

    def quiet(self, ends: Iterable[Raw | Client], what: str, seconds: float = 0.25) -> None:
        """Nothing more comes to these."""
        ends = list(ends)
        before = [len(e.got) for e in ends]
        self.run(seconds)
        self.check([len(e.got) for e in ends] == before, f"nothing is answered: {what}")

    def reached(self, raw: Raw) -> list[str]:
        """The runners that what an address sent has come to, in its order."""
        return [r.uid for data in raw.sent for r in self.runners if data in r.seen]

    def counted(self, name: str) -> int:
        """How often something has been counted since the case began."""
        return self.front.counts().get(name, 0) - self._before.get(name, 0)

    def total(self, what: str) -> int:
        """Over all runners, since they began."""
        return sum(getattr(r, what) for r in self.runners)

    def replace(self, *targets: dict[str, Any]) -> None:
        """A change of the list: entries by uid, the others as they were. A uid alone takes one out."""
        known = {r.uid: r.target() for r in self.runners}
        for t in targets:
            known[t["uid"]] = t
        for front in self.fronts:
            front.lists([t for t in known.values() if "endpoint" in t])
