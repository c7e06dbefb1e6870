"""The steps from a session's setup to an established session that its server's replies lead to."""

from __future__ import annotations

from aspensaddle.frontends.quic.address_limits import HandshakeLimit, ReplyLimit
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.flight import Flight
from aspensaddle.frontends.quic.session import Path, Session, SetupState
from aspensaddle.frontends.quic.session_table import SessionTable


def follow_redirect(
    context: Context,
    sessions: SessionTable,
    session: Session,
    setup: SetupState,
    path: Path,
    data: bytes,
    dcid: bytes,
) -> None:
    """Pass on a server's Retry or Version Negotiation, `data`, as part of the same attempt at the same server.

    The client then sends a new flight, to the connection ID `dcid` of the Retry or with another version, so with
    other keys.
    """
    if setup.bound_to_server:
        return  # a client accepts only one
    setup.bound_to_server = True
    setup.early_replies.clear()
    sessions.by_client_cid.put(setup.dcid, None, context.now)
    setup.dcid, setup.flight = dcid, Flight(dcid)
    sessions.by_client_cid.put(dcid, session, context.now)
    sessions.delivery.deliver(path, data)


def establish_session(
    context: Context, sessions: SessionTable, session: Session, setup: SetupState, path: Path, scid: bytes
) -> None:
    """Make a session established on the path of its attempt, and deliver what the server has sent so far.

    Args:
        context: the state of the front end.
        sessions: the table of sessions.
        session: the session.
        setup: its setup, which ends.
        path: the path of the attempt.
        scid: the connection ID that the server uses.
    """
    session.server, session.path, session.setup = path.server, path, None
    session.handshake_deadline = setup.started_at + context.driver.settings.classes[setup.class_index].deadline
    session.last_active_at = session.last_server_datagram_at = path.last_used_at = context.now
    if isinstance(path.address_limit, HandshakeLimit):
        path.address_limit.validating_cid = scid
    sessions.add_cid(session, scid)
    if not context.directory.is_routable(scid):
        _route_by_address(context, sessions, session, path, scid)
    for data in setup.early_replies:
        sessions.deliver(session, path, data)
    # Further packets to the client-chosen connection ID belong to the session.
    sessions.by_client_cid.put(setup.dcid, session, context.now)


def _route_by_address(context: Context, sessions: SessionTable, session: Session, path: Path, scid: bytes) -> None:
    """Have the session found by its client's address as well.

    Connection IDs that are not routable are found by an exact match only, and the client may change to one that is
    not known here.
    """
    context.counters.add("quic by address")
    session.routed_by_address = True
    if path.address_limit is not None and not scid:
        path.address_limit = ReplyLimit(path.bytes_from_client)  # no connection ID can validate the address
    sessions.by_address[path.client_address] = session
