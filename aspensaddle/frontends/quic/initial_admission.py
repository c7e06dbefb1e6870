"""Admission of Initials to unknown connection IDs: tokens, address validation by Retry, and the rate of decryptions.

No I/O: answers are sent by the responder.
"""

from __future__ import annotations

from dataclasses import dataclass

from aspensaddle.frontends.quic.address_validation import AddressValidationPolicy
from aspensaddle.frontends.quic.connection_id_directory import ConnectionIdKind
from aspensaddle.frontends.quic.context import Context
from aspensaddle.frontends.quic.limits import FairRateLimiter
from aspensaddle.frontends.quic.packets import MIN_CLIENT_CHOSEN_DCID_BYTES, Packet
from aspensaddle.frontends.quic.responder import Responder
from aspensaddle.frontends.quic.retry_tokens import TokenVerdict
from aspensaddle.frontends.quic.session import ClientAddress
from aspensaddle.frontends.quic.session_table import SessionTable


@dataclass(frozen=True, slots=True)
class AdmittedInitial:
    """What is known of an Initial that may be decrypted.

    Attributes:
        validated: Whether a token has validated the client's address.
        original_dcid: The connection ID that the client chose first.
        names_server: Whether the connection ID that the Initial is sent to names a server.
    """

    validated: bool
    original_dcid: bytes
    names_server: bool


class InitialAdmission:
    """Decides which Initials are decrypted, and answers those that need a valid token first."""

    def __init__(self, context: Context, sessions: SessionTable, responder: Responder) -> None:
        """Start with the settings in force."""
        self._context, self._sessions, self._responder = context, sessions, responder
        self.configure()

    def configure(self) -> None:
        """Use the settings in force."""
        settings = self._context.settings
        self._limiter = FairRateLimiter(settings.answers_per_s, self._context.now)
        self._address_validation = (
            None
            if settings.retry is None
            else AddressValidationPolicy(settings.retry.above_per_s, settings.most_pending)
        )

    def admit(self, packet: Packet, client_address: ClientAddress, pending_count: int) -> AdmittedInitial | None:
        """Return what is known of an Initial that may be decrypted; None if it was answered or dropped.

        Args:
            packet: the Initial.
            client_address: the address that it came from.
            pending_count: the number of sessions that are being set up.
        """
        context = self._context
        validated, original_dcid = False, packet.dcid
        if packet.token and context.settings.retry is not None:
            verdict, contents = context.settings.retry.tokens.check(
                packet.token, client_address[0], client_address[1], packet.dcid, context.unix_time()
            )
            context.counters.add(f"quic tokens {verdict.value}")
            if verdict is TokenVerdict.VALID and contents is not None:
                validated, original_dcid = True, contents.original_dcid
            elif verdict is not TokenVerdict.ABSENT:
                self._sessions.by_client_cid.put(packet.dcid, None, context.now)
                self._responder.send_invalid_token(packet, client_address)
                return None
        names_server = self._names_server(packet.dcid)
        if not validated and not names_server and self._requires_validation(packet, pending_count):
            self._responder.send_retry(packet, client_address)
            return None
        if not self._limiter.try_acquire(client_address, context.now):
            # Decrypting an Initial costs some hashing. It is not routed by its connection ID either: that would be a
            # new session that the balancer has not placed.
            context.counters.add("quic initials held back")
            return None
        return AdmittedInitial(validated, original_dcid, names_server)

    def _names_server(self, dcid: bytes) -> bool:
        directory = self._context.directory
        if not directory.is_routable(dcid):
            return False
        return directory.look_up(dcid, self._context.unix_time()).kind is ConnectionIdKind.SERVER

    def _requires_validation(self, packet: Packet, pending_count: int) -> bool:
        if self._address_validation is None or len(packet.dcid) < MIN_CLIENT_CHOSEN_DCID_BYTES:
            return False
        return self._address_validation.requires_validation(self._context.now, pending_count)
