"""Imports the configuration of other programs. See `docs/importer.md`."""
