"""The decisions, their settings, events and actions, and the driver that carries events in and actions out.

The modules know no wire, and no clock but the driver's.
"""
