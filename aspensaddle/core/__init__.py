"""The decisions, their settings, events and actions, and the driver that carries events in and actions out.

They do no I/O, apart from the operator's file of machine types, and know no clock but the driver's. The
platform's field names are known to the settings parser alone.
"""
