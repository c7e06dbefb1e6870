"""The request that a session setup submits to the driver."""

from __future__ import annotations

from aspensaddle.core.events import Request
from aspensaddle.frontends.quic.client_hello import ClientHello
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.session import Session, SetupState
from aspensaddle.support.hashing import stable_hash

RESPONSE_MARGIN_SECONDS = 0.03  # part of the client's deadline that is reserved for sending the response


def build_request(context: Context, session: Session, setup: SetupState) -> Request:
    """Return the request of a session, by its ClientHello if that was complete."""
    settings = context.driver.settings
    class_index, group = context.settings.rules.classify(setup.flight.client_hello or ClientHello())
    deadline = settings.classes[class_index].deadline
    return Request(
        session.id,
        class_index,
        deadline - RESPONSE_MARGIN_SECONDS - (context.now - setup.started_at),
        affinity_key=stable_hash(setup.original_dcid, 53),
        session_group=stable_hash(group, 53) if group and settings.session_groups else None,
        client_request_id=f"quic cid {setup.original_dcid.hex()}",
    )
