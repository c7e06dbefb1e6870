"""Runs balancers in the simulator, with JSON messages on standard input and output."""
