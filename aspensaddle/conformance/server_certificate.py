"""The TLS certificate of the stand-in servers."""

from __future__ import annotations

import datetime
from functools import cache
from pathlib import Path
from tempfile import TemporaryDirectory

from aioquic.quic.configuration import QuicConfiguration
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

VALIDITY = datetime.timedelta(days=1)  # both before and after the current time


@cache
def server_configuration() -> QuicConfiguration:
    """Return a configuration with a self-signed certificate, which is created once per process."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "runner")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - VALIDITY)
        .not_valid_after(now + VALIDITY)
        .sign(key, hashes.SHA256())
    )
    with TemporaryDirectory() as folder:
        cert, private = Path(folder) / "cert.pem", Path(folder) / "key.pem"
        cert.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        private.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
            )
        )
        configuration = QuicConfiguration(is_client=False)
        configuration.load_cert_chain(cert, private)
    return configuration
