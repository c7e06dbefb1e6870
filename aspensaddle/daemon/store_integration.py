"""Reads the endpoint list and the settings from the replicated store.

Both are decoded into the same types as the platform's, so that the core does not depend on the store.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.core.events import EndpointUpdateScope, ServerState
from aspensaddle.daemon.config import Config, with_settings
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import EndpointListUpdate, EndpointRecord, parse_endpoint
from aspensaddle.store.replica import Replica
from aspensaddle.store.state import Entry
from aspensaddle.support.counters import Counters
from aspensaddle.support.files import load_json
from aspensaddle.support.json_fields import DecodeError
from aspensaddle.support.log import Log

ENDPOINT_KEY_PREFIX = "runner/"  # followed by the uid; the value is one entry of an endpoint list
SETTINGS_KEY = "config/settings"  # the value is the settings, in the format of the configuration


@dataclass(frozen=True, slots=True)
class StoredEndpoints:
    """The servers that the store names, and those that were removed from it.

    Attributes:
        listed: The valid entries.
        removed: The uids of the removed entries.
        errors: What is wrong with each invalid entry, which is left out.
    """

    listed: tuple[EndpointRecord, ...]
    removed: tuple[str, ...]
    errors: tuple[str, ...]


def parse_stored_endpoints(values: dict[str, str | None]) -> StoredEndpoints:
    """Decode the store's endpoint entries, given by key; the value of a removed entry is None."""
    listed, errors = [], []
    for key, value in values.items():
        if value is None:
            continue
        try:
            listed.append(_parse_stored_endpoint(key, value))
        except DecodeError as error:
            errors.append(f"{key}: {error}")
    removed = tuple(key.removeprefix(ENDPOINT_KEY_PREFIX) for key, value in values.items() if value is None)
    return StoredEndpoints(tuple(listed), removed, tuple(errors))


def _gone(uid: str) -> EndpointRecord:
    """Return the entry of a server that is not in the list any more."""
    return EndpointRecord(uid, address=None, zone="", cell=0, state=ServerState.GONE, weight=1.0, started_at=0.0)


def _parse_stored_endpoint(key: str, value: str) -> EndpointRecord:
    endpoint = parse_endpoint(load_json(value.encode()))
    if ENDPOINT_KEY_PREFIX + endpoint.uid != key:
        raise DecodeError(f"uid is {endpoint.uid!r:.60}")
    return endpoint


async def join_store(replica: Replica, log: Log) -> None:
    """Wait until the replica holds what its peers hold, and log how that ended."""
    began_at = trio.current_time()
    outcome = await replica.join()
    members = replica.peers.members
    log.event(
        "store_joined",
        outcome=outcome.value,
        entries=len(replica.state.entries),
        duration=round(trio.current_time() - began_at, 3),
        copied_from=sorted(peer.node for peer in members if peer.copy.is_complete),
        incomplete=sorted(peer.node for peer in members if peer.copy.has_work),
        unanswered=sorted(peer.node for peer in members if peer.heard_at is None),
        refused_entries=sum(len(peer.copy.refused_keys) for peer in members),
    )


async def hand_over_store(replica: Replica, log: Log, limit_seconds: float) -> None:
    """Wait until the peers hold what the replica holds, at most for the limit, and log how that ended."""
    with trio.move_on_after(limit_seconds) as limit:
        await replica.hand_over()
    log.event(
        "store_handed_over",
        complete=not limit.cancelled_caught,
        entries=len(replica.state.entries),
        held_by=replica.peers_holding_all(),
    )


def with_stored_settings(replica: Replica, config: Config, log: Log) -> Config:
    """Return the configuration with the settings in the store, or unchanged if there are no valid ones."""
    if (value := replica.state.get(SETTINGS_KEY)) is None:
        return config
    try:
        return with_settings(config, load_json(value.encode()))
    except DecodeError as error:
        log.event("stored_settings_rejected", error=str(error))
        return config


class StoredEndpointSource:
    """Passes the endpoint list in the store to the driver, in place of an `EndpointWatcher`."""

    def __init__(
        self, replica: Replica, driver: Driver, registry: EndpointRegistry, counters: Counters, log: Log
    ) -> None:
        self._replica = replica
        self._driver = driver
        self._registry = registry
        self._counters = counters
        self._log = log
        self._watch_scope = trio.CancelScope()
        self._changed = trio.Event()
        replica.on_change = self._handle_changes

    def _handle_changes(self, entries: list[Entry]) -> None:
        if any(entry.key.startswith(ENDPOINT_KEY_PREFIX) for entry in entries):
            self._changed.set()
        if any(entry.key == SETTINGS_KEY for entry in entries):
            self._log.event("stored_settings_changed", note="takes effect at the next start or reload")

    async def watch(self) -> None:
        """Pass the list on now and after each change; a second call replaces the first."""
        self._watch_scope.cancel()
        with trio.CancelScope() as self._watch_scope:
            while self._publish():
                await self._changed.wait()
                self._changed = trio.Event()
            self._driver.update_endpoints(EndpointUpdateScope.FAILED)

    def _publish(self) -> bool:
        """Pass the list to the driver.

        Only a removed entry shows that a server is gone. A replica that has restarted gets the entries one after the
        other, and entries can be lost, so a server without an entry stays in the list.

        Returns:
            False if the store names no server, since it is empty or not synchronized yet; the driver keeps its list.
        """
        stored = parse_stored_endpoints(self._replica.state.values_and_removals(ENDPOINT_KEY_PREFIX))
        for error in stored.errors:
            self._counters.add("stored_endpoints_rejected")
            self._log.event("stored_endpoint_rejected", error=error)
        if not stored.listed:
            return False
        removed = tuple(_gone(uid) for uid in stored.removed if self._registry.find(uid) is not None)
        update = EndpointListUpdate(complete=False, endpoints=stored.listed + removed)
        self._counters.add("endpoint_updates_applied")
        endpoints = [[record.uid, record.state.value] for record in update.endpoints]
        self._log.event("endpoints_updated", revision=update.revision, complete=update.complete, endpoints=endpoints)
        self._driver.update_endpoints(update.scope, self._registry.apply(update))
        return True
