"""A small replicated key-value store that the balancers of one operator share (`docs/store.md`)."""
