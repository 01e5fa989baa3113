"""Every way an attempt, or the connection that carries it, can end, and what each means to the module."""

from __future__ import annotations

from enum import Enum

from yewrill.policy import interface as api


class AttemptOutcome(Enum):
    """How one route step came to its end."""

    SERVED = "served"  # the destination gave its result for this very operation
    FAILED = "failed"  # it said that the job failed
    MALFORMED_RESPONSE = "garbled"  # it sent something that is not the protocol's
    TURNED_AWAY = "turned away"  # it sent the job back unstarted
    UNREACHABLE = (
        "unreached"  # refused, never came up, or broke before the request's last byte was written
    )
    RESET = "reset"  # broke, or told of a lost job, after the last byte was written
    # As these two, on a connection kept from before and with no word come back: it may just have been old.
    STALE_UNREACHABLE = "worn, unreached"
    STALE_RESET = "worn, reset"
    TIMED_OUT = "timed out"
    CANCELLED = "called off"  # the module or the end of the program withdrew it
    NOT_SENT = "not sent"  # held back here before its first byte
    BROKEN = "broken"  # a fault of our own while it was out

    @property
    def policy_outcome(self) -> str:
        """The module's word for it: the one place where endings turn into outcomes."""
        return _OUTCOME[self]

    @property
    def stale_connection(self) -> bool:
        """Whether it tells of the connection more than of the destination."""
        return self in (AttemptOutcome.STALE_UNREACHABLE, AttemptOutcome.STALE_RESET)


_OUTCOME = {
    AttemptOutcome.SERVED: api.PolicyOutcome.SERVED,
    AttemptOutcome.FAILED: api.PolicyOutcome.ERROR,
    AttemptOutcome.MALFORMED_RESPONSE: api.PolicyOutcome.ERROR,
    AttemptOutcome.TURNED_AWAY: api.PolicyOutcome.REJECTED,
    AttemptOutcome.UNREACHABLE: api.PolicyOutcome.NO_CONNECTION,
    AttemptOutcome.RESET: api.PolicyOutcome.CONNECTION_LOST,
    AttemptOutcome.STALE_UNREACHABLE: api.PolicyOutcome.NO_CONNECTION,
    AttemptOutcome.STALE_RESET: api.PolicyOutcome.CONNECTION_LOST,
    AttemptOutcome.TIMED_OUT: api.PolicyOutcome.TIMEOUT,
    AttemptOutcome.CANCELLED: api.PolicyOutcome.CANCELLED,
    AttemptOutcome.NOT_SENT: api.PolicyOutcome.NOT_SENT,
    AttemptOutcome.BROKEN: api.PolicyOutcome.ERROR,  # may have run, as far as anyone here can tell
}
