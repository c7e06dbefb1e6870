"""The load balancing logic: its settings, events and actions, and the driver that connects it to a process.

The package does no I/O, except that it reads the operator's file of machine types. Only the driver reads a clock, and
only the settings parser knows the field names of the platform.
"""
