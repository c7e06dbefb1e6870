"""Service discovery: the endpoint list, the registry of known servers and the watch that keeps both current."""
