"""Converts nginx configuration files to the balancer's configuration. See `docs/importer.md`."""
