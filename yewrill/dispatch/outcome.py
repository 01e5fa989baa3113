"""Every way an attempt, or the connection that carries it, can end, and what each means to the module."""

from __future__ import annotations

from enum import Enum

from yewrill.policy import interface as api


class Ending(Enum):
    """How one route step came to its end."""

    SERVED = "served"  # the destination gave its result for this very operation
    FAILED = "failed"  # it said that the job failed
    GARBLED = "garbled"  # it sent something that is not the protocol's
    TURNED_AWAY = "turned away"  # it sent the job back unstarted
    UNREACHED = (
        "unreached"  # refused, never came up, or broke before the request's last byte was written
    )
    RESET = "reset"  # broke, or told of a lost job, after the last byte was written
    # As these two, on a connection kept from before and with no word come back: it may just have been old.
    WORN_UNREACHED = "worn, unreached"
    WORN_RESET = "worn, reset"
    TIMED_OUT = "timed out"
    CALLED_OFF = "called off"  # the module or the end of the program withdrew it
    NOT_SENT = "not sent"  # held back here before its first byte
    BROKEN = "broken"  # a fault of our own while it was out

    @property
    def outcome(self) -> str:
        """The module's word for it: the one place where endings turn into outcomes."""
        return _OUTCOME[self]

    @property
    def worn(self) -> bool:
        """Whether it tells of the connection more than of the destination."""
        return self in (Ending.WORN_UNREACHED, Ending.WORN_RESET)


_OUTCOME = {
    Ending.SERVED: api.SERVED,
    Ending.FAILED: api.ERROR,
    Ending.GARBLED: api.ERROR,
    Ending.TURNED_AWAY: api.FULL,
    Ending.UNREACHED: api.NO_CONNECTION,
    Ending.RESET: api.CONNECTION_LOST,
    Ending.WORN_UNREACHED: api.NO_CONNECTION,
    Ending.WORN_RESET: api.CONNECTION_LOST,
    Ending.TIMED_OUT: api.TIMEOUT,
    Ending.CALLED_OFF: api.CANCELLED,
    Ending.NOT_SENT: api.NOT_SENT,
    Ending.BROKEN: api.ERROR,  # may have run, as far as anyone here can tell
}
