"""A small replicated key-value store that the daemons of one operator share (`docs/store.md`)."""
