"""Simulates a rolling restart of servers and balancers, in simulated time, against real `Balancer` objects.

No sockets and no processes are used: 30 s of 200 balancers take seconds, so that variants of the balancer can be
compared. Half of the servers are replaced from 4 to 16 s, all balancers restart a tenth at a time from 4 to 24 s, and
one of 20 servers hangs for 6 s.

The `Balancer` objects are the real ones. Everything else is a model (see `model`), written from the operators' pages;
nothing in it is measured. It shows which of two versions is more stable, not what a real fleet will serve. The
model's own assumptions, beyond those pages: how long a message waits as a server nears its capacity, which part of
messages is then answered in time, that a client needs its connection until a fixed time, that a slow start depends on
time alone, and that front ends always have enough CPU time.
"""
