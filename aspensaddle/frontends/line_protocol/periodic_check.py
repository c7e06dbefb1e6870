"""Periodic check of the open connections and of the event loop's lag."""

from __future__ import annotations

import trio

from aspensaddle.frontends.line_protocol.frontend_state import FrontendState

CHECK_INTERVAL_SECONDS = 0.25


async def run_periodic_check(frontend: FrontendState) -> None:
    """Until cancelled, report lag and late echoes to the driver and stop the relays of silent servers."""
    while True:
        due_at = trio.current_time() + CHECK_INTERVAL_SECONDS
        await trio.sleep(CHECK_INTERVAL_SECONDS)
        now = trio.current_time()
        frontend.driver.record_event_loop_lag(now - due_at)
        for request_id, state in list(frontend.open_connections.items()):
            if state.relay is not None:
                state.relay.check_silence(now)
                overdue = state.relay.echo_overdue(now)
                if overdue > CHECK_INTERVAL_SECONDS:
                    frontend.driver.record_response_delay(request_id, overdue)
