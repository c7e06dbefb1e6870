"""Keeps the endpoint list current by a watch on the discovery service.

The watch is opened, followed until it ends, and opened again:

    CONNECTING --first complete line--> FOLLOWING --silent, broken or ended--> BACKING_OFF --delay--> CONNECTING
        |                                                                          ^
        +---- rejected, hung, broken or unusable response -------------------------+

`watch_policy` holds the times and the worst-case staleness that follows from them; `docs/freshness.md` derives it.
After a change of address (`change_address`) every call to the old one is cancelled.
"""

from __future__ import annotations

from enum import Enum, auto
from functools import partial
from random import Random

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.discovery import watch_policy
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import EndpointListUpdate, parse_endpoint_list
from aspensaddle.discovery.errors import DiscoveryError, FailureReason
from aspensaddle.discovery.watch_call import WatchCall
from aspensaddle.support.address import Address
from aspensaddle.support.counters import Counters
from aspensaddle.support.files import load_json
from aspensaddle.support.internal_errors import record_internal_error
from aspensaddle.support.json_fields import DecodeError
from aspensaddle.support.log import Log

DISCOVERY_PATH = "/discovery/hosts"


class WatchState(Enum):
    """Phase of the watch cycle."""

    STOPPED = auto()
    CONNECTING = auto()  # one call, or two if hedged, without a complete line yet
    FOLLOWING = auto()
    BACKING_OFF = auto()


class EndpointWatcher:
    """Watches the discovery service and passes each endpoint list update to the driver.

    Attributes:
        state: Phase of the watch cycle.
        revision: The version of the list that was applied last, from which the next watch continues.
        is_local_agent: Whether the service is an agent of this balancer alone, which responds at once and
            whose calls cost nothing.
        balancer_count: Balancers that share the service, this one included.
    """

    def __init__(
        self,
        address: Address,
        driver: Driver,
        registry: EndpointRegistry,
        counters: Counters,
        log: Log,
        seed: int = 0,
        is_local_agent: bool = False,
        balancer_count: int = 1,
    ) -> None:
        self.is_local_agent = is_local_agent
        self.balancer_count = balancer_count
        self.state = WatchState.STOPPED
        self.revision = 0
        self._address = address
        self._driver = driver
        self._registry = registry
        self._counters = counters
        self._log = log
        self._random = Random(seed)
        self._calls: list[WatchCall] = []  # calls in flight, the oldest first
        self._address_changed = trio.Event()
        self._address_changed_at = float("-inf")
        self._updates_applied = 0

    @property
    def is_running(self) -> bool:
        """Whether `watch` is running."""
        return self.state is not WatchState.STOPPED

    def change_address(self, address: Address) -> None:
        """Watch the service at another address from now on.

        Calls to the old address, which could hang or return outdated lists, are cancelled, and so is a backoff that
        its failures caused.
        """
        self._address = address
        self._address_changed_at = trio.current_time()
        for call in self._calls:
            call.scope.cancel()
        self._address_changed.set()

    async def start(self) -> None:
        """Watch after a delay that spreads the first calls of balancers that start together."""
        self._confirm()
        await trio.sleep(watch_policy.start_delay(self._random, is_local_agent=self.is_local_agent))
        await self.watch()

    async def watch(self) -> None:
        """Keep a watch open until cancelled. Returns at once if this is running already."""
        if self.is_running:
            return
        self.state = WatchState.CONNECTING
        try:
            await self._watch_forever()
        finally:
            self.state = WatchState.STOPPED

    async def _watch_forever(self) -> None:
        failures = 0  # calls that failed in a row
        last_failure: FailureReason | None = None
        while True:
            self._address_changed = trio.Event()
            self.state = WatchState.CONNECTING
            ended = await self._follow_one_watch(may_hedge=last_failure is not FailureReason.REJECTED)
            was_successful = ended.was_followed() or self._address_changed.is_set()
            failures = 0 if was_successful else failures + 1
            last_failure = None if was_successful else ended.failure
            self.state = WatchState.BACKING_OFF
            with trio.move_on_after(self._reconnect_delay(ended, failures)):
                await self._address_changed.wait()

    def _reconnect_delay(self, ended: WatchCall, failures: int) -> float:
        if ended.was_followed():
            return watch_policy.reconnect_delay(self._random, timed_out=ended.failure is FailureReason.SILENT)
        if failures and ended.failure is FailureReason.REJECTED and not self.is_local_agent:
            return watch_policy.rejected_delay(failures, self._random, balancer_count=self.balancer_count)
        return self._backoff_delay(failures)

    def _backoff_delay(self, failures: int) -> float:
        relocation_ends = self._address_changed_at + watch_policy.RELOCATION_SECONDS
        return watch_policy.backoff_delay(
            failures,
            self._random,
            is_local_agent=self.is_local_agent,
            is_relocating=trio.current_time() < relocation_ends,
        )

    async def _follow_one_watch(self, *, may_hedge: bool) -> WatchCall:
        """Open a watch, follow it to its end and return the call that was followed, or the last that failed.

        A call that hangs is hedged by a second one, and the first to respond is followed. A call that may only be
        queued is not hedged: the service would serve the second call too, which delays those of all balancers.
        """
        calls = [self._new_call()]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_call, calls[0])
            if may_hedge and watch_policy.may_hedge(self.balancer_count, is_local_agent=self.is_local_agent):
                with trio.move_on_after(watch_policy.HEDGE_DELAY_SECONDS):
                    await calls[0].responded_or_ended.wait()
                if not calls[0].responded_or_ended.is_set():
                    self._counters.add("discovery_calls_hedged")
                    calls.append(self._new_call())
                    nursery.start_soon(self._run_call, calls[1])
        return next((call for call in calls if call.was_followed()), calls[-1])

    def _new_call(self) -> WatchCall:
        return WatchCall(f"{DISCOVERY_PATH}?watch=1&from={self.revision}", self._updates_applied)

    async def _run_call(self, call: WatchCall) -> None:
        """Run a call to its end and record how it ended."""
        self._counters.add("discovery_calls_started")
        self._calls.append(call)
        try:
            with call.scope:
                await call.read(
                    self._address,
                    is_local_agent=self.is_local_agent,
                    on_value=partial(self._handle_value, call),
                )
                self._log.event("discovery_call_ended", target=call.target)
        except Exception as error:
            self._record_failure(call, error)
        finally:
            self._calls.remove(call)
            call.responded_or_ended.set()

    def _record_failure(self, call: WatchCall, error: Exception) -> None:
        call.failure = _failure_reason(error)
        if call.failure is FailureReason.UNREACHABLE:
            self._confirm()  # no change counts as known while the service is unreachable
        self._counters.add("discovery_calls_failed")
        self._counters.add(f"discovery_calls_failed_{call.failure.value}")
        self._log.event(
            "discovery_call_failed",
            target=call.target,
            reason=call.failure.value,
            error=str(error),
            stage=call.stage.value,
            age=round(call.age, 3),
        )
        if call.failure is FailureReason.INTERNAL_ERROR:
            record_internal_error(error, self._counters, self._log)

    def _confirm(self) -> None:
        """Report the list to the driver as current. A local agent's list counts as known without a confirmation."""
        if not self.is_local_agent:
            self._driver.endpoint_list_confirmed()

    def _handle_value(self, call: WatchCall, value: bytes) -> None:
        if value:
            self._apply(call, parse_endpoint_list(load_json(value)))
        self._registry.confirmed_at = trio.current_time()
        self._confirm()
        if call.followed_since is None:
            self._follow(call)

    def _follow(self, call: WatchCall) -> None:
        """Follow a call from its first complete line on, and cancel the other one."""
        self.state = WatchState.FOLLOWING
        call.followed_since = trio.current_time()
        call.responded_or_ended.set()
        for other in self._calls:
            if other is not call:
                other.scope.cancel()

    def _apply(self, call: WatchCall, update: EndpointListUpdate) -> None:
        if self._is_outdated(call, update):
            self._counters.add("endpoint_updates_ignored")
            return
        if update.endpoints or update.complete:
            self._log_update(update)
        self._counters.add("endpoint_updates_applied")
        self._driver.update_endpoints(update.scope, self._registry.apply(update))
        # Set only after the update is applied: one that an internal error lost must be requested again.
        self.revision = update.revision
        self._updates_applied += 1
        call.updates_seen = self._updates_applied

    def _is_outdated(self, call: WatchCall, update: EndpointListUpdate) -> bool:
        """Whether an update is older than what is known.

        A complete list with a lower revision that was requested after the last update was applied is current: it
        comes from a service that restarted and counts revisions from the beginning.
        """
        restarted = update.complete and call.updates_seen == self._updates_applied
        return update.revision < self.revision and not restarted

    def _log_update(self, update: EndpointListUpdate) -> None:
        endpoints = [
            [record.uid, record.state.value, record.started_at, record.weight, record.machine_type]
            for record in update.endpoints
        ]
        self._log.event("endpoints_updated", revision=update.revision, complete=update.complete, endpoints=endpoints)


def _failure_reason(error: Exception) -> FailureReason:
    if isinstance(error, DiscoveryError):
        return error.failure_reason
    return FailureReason.INVALID_RESPONSE if isinstance(error, DecodeError) else FailureReason.INTERNAL_ERROR
