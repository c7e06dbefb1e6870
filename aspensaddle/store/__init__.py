"""A small replicated store for the configuration and state of one operator's daemons (`docs/store.md`)."""
