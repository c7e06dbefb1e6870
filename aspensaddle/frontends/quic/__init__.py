"""The QUIC front: places sessions by connection id and does not terminate them. See `docs/quic.md`."""
