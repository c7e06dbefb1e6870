"""Helpers without knowledge of any part: validated values, files, addresses, sockets, the log and counters."""
