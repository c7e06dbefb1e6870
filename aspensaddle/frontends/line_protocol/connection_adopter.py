"""Adoption of connections that were open at a server before this process started."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import partial

import trio

from aspensaddle.core.events import Outcome
from aspensaddle.core.settings import RequestClass
from aspensaddle.frontends.line_protocol.connection_slots import ConnectionSlot
from aspensaddle.frontends.line_protocol.frontend_state import FrontendState
from aspensaddle.frontends.line_protocol.link import Link
from aspensaddle.frontends.line_protocol.open_connections import OpenConnections
from aspensaddle.frontends.line_protocol.open_request import OpenRequest
from aspensaddle.frontends.line_protocol.request_state import RequestState
from aspensaddle.frontends.line_protocol.responses import ERROR, ConnectionEnd
from aspensaddle.frontends.line_protocol.server_connector import AttemptEstablished

ADOPTION_TIMEOUT_SECONDS = 38.0  # the protocol counts a connection as lost after 40 s
ATTEMPT_TIMEOUT_SECONDS = 5.0  # time limit for a silent server, if the class allows another attempt
INITIAL_BACKOFF_SECONDS = 0.5  # pause after the first attempt; it doubles with each further one
MAX_BACKOFF_SECONDS = 8.0  # the pauses between six attempts cover most of the adoption timeout
ENDPOINT_LIST_CHECK_SECONDS = 0.1  # pause between two checks whether the endpoint list has the server


class AdoptionResult(Enum):
    """Result of an adoption."""

    ESTABLISHED = "established"
    SERVED = "served"  # the server answered the request at once, without an open connection
    CLIENT_DISCONNECTED = "client_disconnected"
    PROTOCOL_VIOLATION = "protocol_violation"
    SERVER_UNAVAILABLE = "server_unavailable"  # the server is draining or has left the endpoint list
    RETRY_NOT_ALLOWED = "retry_not_allowed"  # an attempt may have been executed, and the class forbids another
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    SHUTTING_DOWN = "shutting_down"
    REPEATED = "repeated"  # a request of the same id may have been executed, and the class forbids another
    EVICTED = "evicted"  # descriptors ran out while it had no connection to the server


# Results for which the client is answered ERR whatever its class.
FAILURES = (AdoptionResult.PROTOCOL_VIOLATION, AdoptionResult.REPEATED)


@dataclass(slots=True)
class _Adoption:
    """Progress of one adoption. Times are in seconds on the event loop's clock."""

    state: RequestState
    slot: ConnectionSlot
    open_request: OpenRequest
    server_name: str
    request_class: RequestClass
    deadline: float
    server: int | None = None
    attempts: int = 0
    possibly_executed_at: float | None = None  # start of the first attempt that may have been executed
    established: AttemptEstablished | None = None
    response: bytes = b""  # the response of a server that served the request at once
    result: AdoptionResult = AdoptionResult.CLIENT_DISCONNECTED  # stays if the adoption is cancelled

    @property
    def may_retry(self) -> bool:
        """Whether the request class allows another attempt now."""
        if self.possibly_executed_at is None:
            return True
        return self.request_class.allows_retry_after(trio.current_time() - self.possibly_executed_at)

    @property
    def client_may_retry(self) -> bool:
        """Whether a retry by the client is harmless."""
        return self.possibly_executed_at is None or self.request_class.client_may_retry


class ConnectionAdopter:
    """Reopens connections at the server that the client names; the balancer does not choose one."""

    def __init__(self, frontend: FrontendState, connections: OpenConnections) -> None:
        """Create an adopter that passes reopened connections to `connections`."""
        self._frontend, self._connections = frontend, connections

    async def run(
        self, client: Link, slot: ConnectionSlot, open_request: OpenRequest, server_name: str
    ) -> ConnectionEnd:
        """Reopen a connection, relay it, and return how the client's connection ends."""
        request = open_request.request
        request_class = self._frontend.config.settings.classes[request.class_index]
        deadline = trio.current_time() + ADOPTION_TIMEOUT_SECONDS
        adoption = _Adoption(RequestState(client), slot, open_request, server_name, request_class, deadline)
        await adoption.state.run_while_client_waits(partial(self._reopen, adoption))
        if adoption.established is None and adoption.state.protocol_violation:
            adoption.result = AdoptionResult.PROTOCOL_VIOLATION
        self._record(adoption)
        if adoption.established is None or adoption.server is None:
            return ConnectionEnd(self._response(adoption))
        self._frontend.driver.connection_adopted(adoption.state, request, adoption.server)
        return await self._connections.serve(
            client, adoption.state, request.request_id, adoption.server, adoption.established
        )

    async def _reopen(self, adoption: _Adoption) -> None:
        """Make attempts until one is established or no other is allowed."""
        pending, request_id = self._frontend.pending_requests, adoption.open_request.request.request_id
        pending[request_id] = adoption.state
        try:
            if self._is_forbidden_repetition(adoption):
                adoption.result = AdoptionResult.REPEATED
                return
            while (result := self._result_now(adoption)) is None:
                if adoption.server is None:  # the endpoint list may arrive after the client
                    await self._pause(adoption, ENDPOINT_LIST_CHECK_SECONDS)
                    continue
                await self._attempt(adoption)
                if self._result_now(adoption) is None:
                    await self._pause(adoption, _backoff(adoption.attempts))
            adoption.result = result
        finally:
            del pending[request_id]

    def _is_forbidden_repetition(self, adoption: _Adoption) -> bool:
        driver, request = self._frontend.driver, adoption.open_request.request
        return driver.executed.forbids(request.repetition_id, adoption.request_class, driver.now())

    def _result_now(self, adoption: _Adoption) -> AdoptionResult | None:
        """Return the result of the adoption, or None if it continues."""
        if adoption.established is not None:
            return AdoptionResult.ESTABLISHED
        if adoption.response:
            return AdoptionResult.SERVED
        if adoption.state.final is not None:
            return AdoptionResult.SHUTTING_DOWN
        if adoption.slot.evicted:
            return AdoptionResult.EVICTED
        if trio.current_time() >= adoption.deadline:
            return AdoptionResult.DEADLINE_EXCEEDED
        if adoption.attempts >= self._frontend.config.settings.limits.max_attempts:
            return AdoptionResult.ATTEMPTS_EXHAUSTED
        if not adoption.may_retry:
            return AdoptionResult.RETRY_NOT_ALLOWED
        if adoption.server is None:
            adoption.server = self._frontend.endpoints.find(adoption.server_name)
        if adoption.server is not None and not self._frontend.driver.is_ready(adoption.server):
            return AdoptionResult.SERVER_UNAVAILABLE
        return None

    async def _attempt(self, adoption: _Adoption) -> None:
        """Make one attempt and record its outcome."""
        state, server = adoption.state, adoption.server
        assert server is not None
        adoption.attempts += 1
        self._frontend.slots.activate(adoption.slot)
        driver, repetition_id, is_recorded = self._frontend.driver, adoption.open_request.request.repetition_id, False
        possibly_executed_before = adoption.possibly_executed_at
        started_at = trio.current_time()

        def may_start() -> bool:
            nonlocal is_recorded
            allowed = driver.may_start_adoption(state, server)
            if allowed and adoption.possibly_executed_at is None:
                # Set before the first byte, as a shutdown may cancel the attempt before it has an outcome.
                adoption.possibly_executed_at = started_at
                is_recorded = driver.executed.record(repetition_id, adoption.request_class, driver.now())
            return allowed

        with state.renew_attempt_scope():
            await self._frontend.slots.wait_for_descriptor()
            started_at = trio.current_time()
            result = await self._frontend.connector.attempt(
                server, adoption.open_request.line_for_server, _attempt_timeout(adoption), may_start
            )
            if isinstance(result, AttemptEstablished):
                adoption.established = result
            elif result.outcome is Outcome.OK:
                adoption.response = result.response
            elif result.outcome.known_not_executed:
                adoption.possibly_executed_at = possibly_executed_before
                if is_recorded:
                    driver.executed.discard(repetition_id)

    async def _pause(self, adoption: _Adoption, seconds: float) -> None:
        """Wait between two attempts, without a claim to descriptors; a shutdown or an eviction ends the wait."""
        with adoption.state.renew_attempt_scope(), self._frontend.slots.reconnect(adoption.slot):
            await trio.sleep_until(min(trio.current_time() + seconds, adoption.deadline))

    def _response(self, adoption: _Adoption) -> bytes:
        if adoption.response:
            return adoption.response
        if adoption.result in FAILURES or not adoption.client_may_retry:
            return ERROR
        return self._frontend.unavailable_response()

    def _record(self, adoption: _Adoption) -> None:
        request = adoption.open_request.request
        self._frontend.counters.add(f"adoptions_{adoption.result.value}")
        self._frontend.log.event(
            "connection_adopted",
            request_id=request.request_id,
            affinity_key=request.affinity_key,
            class_index=request.class_index,
            session_group=request.session_group,
            server=adoption.server_name,
            established=adoption.established is not None,
            result=adoption.result.value,
            attempts=adoption.attempts,
        )


def _backoff(attempts: int) -> float:
    """Return the pause in seconds after the given number of attempts."""
    return min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2.0 ** (attempts - 1))


def _attempt_timeout(adoption: _Adoption) -> float:
    """Return the timeout of an attempt in seconds: all the time left if no other attempt may follow it."""
    time_left = adoption.deadline - trio.current_time()
    if adoption.request_class.allows_retry_after(ATTEMPT_TIMEOUT_SECONDS):
        return min(ATTEMPT_TIMEOUT_SECONDS, time_left)
    return time_left
