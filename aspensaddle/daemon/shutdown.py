"""The process's own end, from SIGTERM on: phases, each with its time from the settings (`docs/shutdown.md`).

Answer what was taken, move who stands, empty the accept queue, close. What is late in one phase is cut short in it,
by an answer, never by a connection that ends without one.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from aspensaddle.core.settings import Settings
from aspensaddle.frontends.line_protocol.connection_slots import ConnectionStage
from aspensaddle.frontends.line_protocol.frontend import LineProtocolFrontend
from aspensaddle.support.sockets import Listener

# The pages' figures (PROTOCOL, "Figures"), seconds after SIGTERM.
COUNTED_AS = 3.0  # the longest deadline, where it is longer
KILLED_AFTER = 0.7  # and the longest deadline: no sooner
NEWCOMERS = 0.4  # new connections go on coming for this long
# Ours.
SLACK = 0.05  # behind the newcomers; before the kill, for the process to exit
LAST = 0.25  # of the time, for the last answers to be read out
MOVES_OVER = 0.6  # standing clients come again through the front: not all in one moment
STEP = 0.02


@dataclass(frozen=True, slots=True)
class Phases:
    """When each phase is over, in seconds after SIGTERM."""

    newcomers: float  # from here on those who stand are moved
    answered: float  # all whom the process took have their answer, all who stood their MOVE
    emptied: float  # the accept queue too
    closed: float  # nobody is read out any more

    @classmethod
    def of(cls, settings: Settings, late: float) -> Phases:
        """From the settings, for a process that has been `late` by so much of late: each step of its end may find
        it so."""
        killed = min(COUNTED_AS, max(c.deadline for c in settings.classes)) + KILLED_AFTER
        closed = max(killed / 2, killed - SLACK - min(late, killed / 4))
        answered = closed - min(LAST, killed / 4)
        return cls(min(NEWCOMERS + SLACK, answered / 2), answered, (answered + closed) / 2, closed)


async def shut_down(clients: LineProtocolFrontend, listener: Listener, phases: Phases, nursery: trio.Nursery) -> None:
    start = trio.current_time()

    def left(until: float) -> float:
        return start + until - trio.current_time()

    # Newcomers are refused; who was taken goes on, and is sent for the last time while an answer can still come.
    clients.newcomers = False
    clients.driver.stop_attempts_after(left(phases.answered))
    await trio.sleep(max(0.0, left(phases.newcomers)))

    # Who stands is moved, evenly over a while; who comes to stand from now on, at once.
    clients.moving = True
    begun, span = trio.current_time(), max(STEP, min(MOVES_OVER, left(phases.answered) - 2 * STEP))
    going, moved = list(clients.standing.values()), 0
    while clients.left and left(phases.answered) > 0:
        due = min(len(going), 1 + int(len(going) * (trio.current_time() - begun) / span))
        for pending in going[moved:due]:
            pending.move()
        moved = due
        await trio.sleep(min(STEP, max(0.0, left(phases.answered))))

    # The last: answered as they are.
    for pending in list(clients.standing.values()):
        pending.move()
    clients.give_up_all()
    clients.admission.turn_out_all()

    # What the kernel has accepted is taken in, answered and read out like all others.
    while True:
        before = clients.counters["connections"]
        room = clients.accept(listener, nursery)
        if room and clients.counters["connections"] == before or left(phases.emptied) <= 0:
            break
        await trio.sleep(0 if room else STEP)
    listener.close()
    while clients.admission.open and left(phases.closed) > 0:
        await trio.sleep(min(STEP, max(0.0, left(phases.closed))))
    clients.admission.cut_all()
    while clients.admission.count(ConnectionStage.LINGERING):
        await trio.sleep(0)
