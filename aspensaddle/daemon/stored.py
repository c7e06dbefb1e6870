"""What the daemon takes from the store, through the same types as from the platform: its list of runners, as
discovery would tell it, and its settings, as its configuration would. The decisions never see the store."""

from __future__ import annotations

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.core.events import EndpointUpdateScope
from aspensaddle.daemon.config import Config, with_settings
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import EndpointListUpdate, parse_endpoint
from aspensaddle.store.replica import Replica
from aspensaddle.store.state import Entry
from aspensaddle.support.counters import Counters
from aspensaddle.support.files import load_json
from aspensaddle.support.json_fields import DecodeError
from aspensaddle.support.log import Log

RUNNERS = "runner/"  # and the uid: an entry of a list, as discovery writes it
SETTINGS = "config/settings"  # the settings, as in the configuration
FIRST_WITHIN = 2.0  # how long a start waits to hear of the settings from a peer


def runners_update(values: dict[str, str]) -> tuple[EndpointListUpdate, list[str]]:
    """The list that the entries make up, and what is wrong with those that are left out."""
    targets, wrong = [], []
    for key, value in values.items():
        try:
            target = parse_endpoint(load_json(value.encode()))
            if RUNNERS + target.uid != key:
                raise DecodeError(f"uid is {target.uid!r:.60}")
            targets.append(target)
        except DecodeError as e:
            wrong.append(f"{key}: {e}")
    return EndpointListUpdate(0, True, tuple(targets)), wrong


async def stored_settings(replica: Replica, config: Config, log: Log) -> Config:
    """The configuration with the settings that the store holds, if it holds any that can be used."""
    with trio.move_on_after(FIRST_WITHIN):
        while not replica.agreed and replica.state.get(SETTINGS) is None:
            await trio.sleep(0.02)
    return with_stored(replica, config, log)


def with_stored(replica: Replica, config: Config, log: Log) -> Config:
    """The same from what the store holds now, without a wait."""
    if (value := replica.state.get(SETTINGS)) is None:
        return config
    try:
        return with_settings(config, load_json(value.encode()))
    except DecodeError as e:
        log.event("stored settings refused", why=str(e))
        return config


class StoreList:
    """Stands where discovery does, for a driver whose list is kept in the store."""

    def __init__(
        self, replica: Replica, driver: Driver, fleet: EndpointRegistry, counters: Counters, log: Log
    ) -> None:
        self.replica, self.driver, self.fleet = replica, driver, fleet
        self.counters, self.log = counters, log
        self.revision = 0
        self._watching = trio.CancelScope()
        self._changed = trio.Event()
        replica.changed = self.changed

    def changed(self, entries: list[Entry]) -> None:
        if any(e.key.startswith(RUNNERS) for e in entries):
            self._changed.set()
        if any(e.key == SETTINGS for e in entries):
            self.log.event("stored settings changed", note="in force from the next start or reload")

    async def watch(self) -> None:
        self._watching.cancel()  # one watch at a time
        with trio.CancelScope() as self._watching:
            while self._tell():
                await self._changed.wait()
                self._changed = trio.Event()
            self.driver.update_endpoints(EndpointUpdateScope.FAILED)

    def stop_watch(self) -> None:
        self._watching.cancel()

    async def fetch(self) -> None:
        if not self._tell():
            self.driver.update_endpoints(EndpointUpdateScope.FAILED)

    def _tell(self) -> bool:
        """False where the store names no runner: it has not been filled, or not been heard of yet, and a list
        that is known from before is better than none."""
        update, wrong = runners_update(self.replica.state.values(RUNNERS))
        for why in wrong:
            self.counters.add("store runners refused")
            self.log.event("stored runner refused", why=why)
        if not update.endpoints:
            return False
        self.counters.add("lists")
        self.log.event("list", rev=0, full=True, targets=[[t.uid, t.state.value] for t in update.endpoints])
        self.driver.update_endpoints(update.scope, self.fleet.apply(update))
        return True
