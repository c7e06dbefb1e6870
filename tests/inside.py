"""The line protocol front end in the test's own process, over loopback sockets, with gates to hold single steps."""

from __future__ import annotations

import os
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import trio
from standins import SETTINGS, WAIT, Runner

from aspensaddle.core.driver import Driver
from aspensaddle.core.settings_parser import parse_settings
from aspensaddle.daemon.graceful_shutdown import ShutdownPhases, shut_down
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import parse_endpoint_list
from aspensaddle.frontends.line_protocol.connection_slots import ConnectionStage
from aspensaddle.frontends.line_protocol.frontend import LineProtocolFrontend
from aspensaddle.frontends.line_protocol.frontend_state import LineProtocolSettings
from aspensaddle.frontends.line_protocol.server_connector import ServerConnector
from aspensaddle.support.counters import Counters
from aspensaddle.support.sockets import Listener

LANE = {"aim": 0.3, "deadline": 3.0, "name": "test-run", "repeat": "pure", "worth": 5.0}


class Gate:
    """A step that is held until the gate is opened."""

    def __init__(self) -> None:
        self.reached, self.opened = trio.Event(), trio.Event()

    async def pass_through(self) -> None:
        self.reached.set()
        await self.opened.wait()

    def before(self, call: Callable[..., Awaitable[Any]]) -> Callable[..., Awaitable[Any]]:
        async def held(*args: Any) -> Any:
            await self.pass_through()
            return await call(*args)

        return held


class Peer:
    """A client that keeps all that it has read."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.got, self.was_reset = stream, b"", False

    async def send(self, data: bytes) -> None:
        await self.stream.send_all(data)

    async def line(self) -> bytes:
        while b"\n" not in self.got:
            if not (data := await self.stream.receive_some()):
                break
            self.got += bytes(data)
        return self.got

    async def rest(self) -> bytes:
        """Read to the end."""
        try:
            while data := await self.stream.receive_some():
                self.got += bytes(data)
        except trio.BrokenResourceError:
            self.was_reset = True
        return self.got

    def reset(self) -> None:
        with suppress(trio.ClosedResourceError, OSError):
            self.stream.socket.setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")  # SO_LINGER on, at once
        self.stream.socket.close()


class Inside:
    """The front end with what it depends on."""

    def __init__(
        self,
        runners: list[Runner],
        sockets: int = 512,
        lanes: list[dict[str, Any]] | None = None,
        targets: list[dict[str, Any]] | None = None,
        **limits: Any,
    ) -> None:
        settings = parse_settings(
            {**SETTINGS, "lanes": lanes or [LANE], "limits": {**SETTINGS["limits"], "connect-timeout": 2.0, **limits}}
        )
        self.runners, self.events = runners, list[tuple[str, dict[str, Any]]]()
        log = SimpleNamespace(
            event=lambda name, **more: self.events.append((name, more)), rate_limited_event=lambda name, **more: None
        )
        services = SimpleNamespace(
            watch_endpoints=lambda: None, check_health=lambda server: None, timers_changed=lambda: None
        )
        self.fleet, self.counters = EndpointRegistry(("surabaya", "semarang")), Counters()
        self.driver = Driver(settings, 1, services)
        self.connector = ServerConnector(self.driver, self.fleet, self.counters)
        names = [lane["name"] for lane in lanes or [LANE]]
        self.config = LineProtocolSettings({n: i for i, n in enumerate(names)}, {}, settings, sockets)
        self.frontend = LineProtocolFrontend(self.config, self.driver, self.connector, self.fleet, self.counters, log)
        self.listener = Listener(("127.0.0.1", 0))
        self.driver.start(self.take(*(targets or [r.target() for r in runners])))
        self.count = 0

    def take(self, *targets: dict[str, Any]) -> Any:
        return self.fleet.apply(parse_endpoint_list({"rev": 1, "all": True, "targets": list(targets)}))

    def change(self, *targets: dict[str, Any]) -> None:
        update = parse_endpoint_list({"rev": 2, "all": False, "targets": list(targets)})
        self.driver.update_endpoints(update.scope, self.fleet.apply(update))

    async def client(self) -> Peer:
        return Peer(await trio.open_tcp_stream(*self.listener.address))

    async def asks(self, more: str = "c=test-run,d=3000") -> Peer:
        peer = await self.client()
        self.count += 1
        await peer.send(f"OPEN {self.count:016x} 7f3a9c21e0b4d655 {more}\r\n".encode())
        return peer

    async def end(self) -> None:
        """As at SIGTERM."""
        settings = self.config.settings
        await shut_down(self.frontend, self.listener, ShutdownPhases.from_settings(settings, 0.0), self.nursery)

    def reload(self, **limits: Any) -> None:
        """As at SIGHUP."""
        settings = replace(self.config.settings, limits=replace(self.config.settings.limits, **limits))
        self.driver.configure(settings)
        self.frontend.configure(replace(self.config, settings=settings))

    async def until(self, done: Callable[[], Any]) -> None:
        while not done():
            await trio.sleep(0.002)

    async def gone(self) -> None:
        """Wait until no connection is left, and check that no request is."""
        await self.until(lambda: not self.frontend.slots.open)
        assert not self.frontend.pending_requests and not self.frontend.open_connections
        assert not self.driver._requests and not self.driver.balancer.requests
        assert not any(self.frontend.slots.count(stage) for stage in ConnectionStage)

    def run(self, script: Callable[[Inside], Awaitable[None]], accepting: bool = True) -> None:
        async def front(task_status: trio.TaskStatus[trio.Nursery]) -> None:
            async with trio.open_nursery() as nursery:
                if accepting:
                    nursery.start_soon(self.frontend.serve, self.listener, nursery)
                task_status.started(nursery)
                await trio.sleep_forever()

        async def main() -> None:
            with trio.fail_after(WAIT):
                async with trio.open_nursery() as outer:
                    self.nursery = await outer.start(front)
                    await script(self)
                    self.listener.close()
                    outer.cancel_scope.cancel()

        before = len(os.listdir("/proc/self/fd"))
        try:
            trio.run(main)
        finally:
            for r in self.runners:
                r.close()
        assert "internal_errors" not in self.counters, self.events
        self.left_over = len(os.listdir("/proc/self/fd")) - before
