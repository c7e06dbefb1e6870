"""The project's replicated store, for the cases that use it: its settings, its command and its daemons."""

from __future__ import annotations

import contextlib
import json
import socket
import subprocess
from pathlib import Path

import rig

DAEMONS = 3  # GROWTH: three instances on loopback
KEY = "8c1f30d27a5be9648c1f30d27a5be964"


def store_toml(nodes: dict[str, str]) -> str:
    """Return the settings of a store with these nodes."""
    lines = ["enabled = true", "runners = true", f'key = "{KEY}"', "[nodes]"]
    return "\n".join([*lines, *(f'{node} = "{address}"' for node, address in nodes.items())]) + "\n"


class StoreFleet:
    """Three daemons whose list is in their store, and the operator's command.

    Attributes:
        clients: The clients of each daemon.
    """

    def __init__(
        self,
        record: rig.Record,
        folder: Path,
        stack: contextlib.ExitStack,
        runners: list[rig.Runner],
        discovery: rig.Discovery | None,
    ) -> None:
        self.record, self._folder = record, folder
        self._nodes = {f"n{number}": f"{rig.HOST}:{rig.free_port(socket.SOCK_DGRAM)}" for number in range(DAEMONS)}
        known = rig.RunnerList(runners).known()
        mode = "pushed" if discovery is None else "on_request"
        settings = {**rig.SETTINGS, "discovery": mode, "fleet-size": DAEMONS}
        address = {} if discovery is None else {"discovery": discovery.address}
        self.clients: list[rig.Clients] = []
        for node in self._nodes:
            toml = store_toml(self._nodes)
            balancer = rig.Balancer(record, folder / node, node, toml, settings=settings, known=known, **address)
            stack.callback(balancer.close)
            balancer.start()
            self.clients.append(rig.Clients(record, balancer.address))
            (folder / f"{node}.toml").write_text(store_toml({node: self._nodes[node]}))
        (folder / "all.toml").write_text(store_toml(self._nodes))
        for runner in runners:
            self.put(runner)

    def put(self, runner: rig.Runner) -> None:
        """Write the entry of a runner, as it is now."""
        self.command("all", "put", f"runner/{runner.uid}", json.dumps(runner.entry()))

    def remove(self, runner: rig.Runner) -> None:
        """Remove the entry of a runner."""
        self.command("all", "remove", f"runner/{runner.uid}")

    def held_states(self, runner: rig.Runner) -> list[str]:
        """Ask each daemon alone for the entry of a runner; return the states, "none" where there is no entry."""
        states = []
        for node in self._nodes:
            held = self.command(node, "get", f"runner/{runner.uid}", may_fail=True)
            states.append(json.loads(held)["state"] if held else "none")
        return states

    def command(self, store: str, *arguments: str, may_fail: bool = False) -> str:
        """Run the project's store command and return what it prints.

        Raises:
            CannotRunError: It failed.
        """
        done = subprocess.run(
            [
                str(rig.ROOT / ".venv/bin/python"),
                "-m",
                "aspensaddle.store",
                f"{self._folder}/{store}.toml",
                *arguments,
            ],
            cwd=rig.ROOT,
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )
        self.record(f"store {store}: {' '.join(arguments[:2])}: exit {done.returncode} {done.stdout.strip()}")
        if done.returncode and not may_fail:
            raise rig.CannotRunError(done.stderr)
        return done.stdout
