"""QUIC version numbers."""

V1 = 1  # RFC 9000
V2 = 0x6B3343CF  # RFC 9369
