"""Shares the event loop between connections with much input.

The event loop runs every task that can go on before it looks at the sockets again. A connection whose input
is at hand would hold it for as long as there is input, and hundreds of connections with a little input each
would do the same together. So a message that takes more than a few reads or parser events waits for a turn:
one such message goes on in each iteration of the event loop, in the order in which they asked. Messages of
ordinary size never wait. What arrives meanwhile is collected by the kernel.
"""

from __future__ import annotations

import trio

# Number of reads of one message that need no turn.
FREE_READS = 2
# Number of parser events that a message may take between two turns.
EVENTS_PER_TURN = 32

_turn = trio.lowlevel.RunVar[trio.Lock]("input_turn")


async def wait_for_turn() -> None:
    """Waits until this task may go on, one in each iteration of the event loop. Always a checkpoint."""
    try:
        turn = _turn.get()
    except LookupError:
        turn = trio.Lock()
        _turn.set(turn)
    async with turn:
        pass  # the next task in the queue is resumed in the next iteration


class InputWork:
    """Counts the reads and parser events of one message, and tells when it needs a turn to go on."""

    __slots__ = ("_events", "_reads")

    def __init__(self) -> None:
        self._reads = self._events = 0

    def read_needs_turn(self) -> bool:
        """Counts the next read; returns whether the message needs a turn before it."""
        self._reads += 1
        self._events = 0
        return self._reads > FREE_READS

    def event_needs_turn(self) -> bool:
        """Counts a parser event; returns whether the message needs a turn before the next one."""
        self._events += 1
        if self._events < EVENTS_PER_TURN:
            return False
        self._events = 0
        return True
