"""QUIC front end: routes connections by their connection IDs without terminating them. See `docs/quic.md`."""
