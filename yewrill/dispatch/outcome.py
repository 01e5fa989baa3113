"""Every way an attempt, or the connection that carries it, can end, and what each means to the policy."""

from __future__ import annotations

from enum import Enum

from yewrill.policy.interface import PolicyOutcome


class AttemptOutcome(Enum):
    """How an attempt ended. The values appear in traces."""

    SERVED = "served"  # the worker gave its result for this very request
    FAILED = "failed"  # it said that the request failed
    MALFORMED_RESPONSE = "garbled"  # it sent something that is not the protocol's
    REJECTED = "turned away"  # it sent the request back unstarted
    UNREACHABLE = (
        "unreached"  # refused, never came up, or broke before the request's last byte was written
    )
    RESET = "reset"  # broke, or reported a lost request, after the last byte was written
    # As these two, on a kept connection and without a byte of an answer: it may just have been stale.
    STALE_UNREACHABLE = "worn, unreached"
    STALE_RESET = "worn, reset"
    TIMED_OUT = "timed out"
    CANCELLED = "called off"  # the policy or the end of the program withdrew it
    NOT_SENT = "not sent"  # withdrawn here before its first byte
    INTERNAL_ERROR = "broken"  # an error of our own while it was out

    @property
    def policy_outcome(self) -> PolicyOutcome:
        """The same in the policy's coarser terms."""
        return _POLICY_OUTCOMES[self]

    @property
    def stale_connection(self) -> bool:
        """Whether it tells of the connection more than of the worker."""
        return self in (AttemptOutcome.STALE_UNREACHABLE, AttemptOutcome.STALE_RESET)


_POLICY_OUTCOMES = {
    AttemptOutcome.SERVED: PolicyOutcome.SERVED,
    AttemptOutcome.FAILED: PolicyOutcome.ERROR,
    AttemptOutcome.MALFORMED_RESPONSE: PolicyOutcome.ERROR,
    AttemptOutcome.REJECTED: PolicyOutcome.REJECTED,
    AttemptOutcome.UNREACHABLE: PolicyOutcome.NO_CONNECTION,
    AttemptOutcome.RESET: PolicyOutcome.CONNECTION_LOST,
    AttemptOutcome.STALE_UNREACHABLE: PolicyOutcome.NO_CONNECTION,
    AttemptOutcome.STALE_RESET: PolicyOutcome.CONNECTION_LOST,
    AttemptOutcome.TIMED_OUT: PolicyOutcome.TIMEOUT,
    AttemptOutcome.CANCELLED: PolicyOutcome.CANCELLED,
    AttemptOutcome.NOT_SENT: PolicyOutcome.NOT_SENT,
    AttemptOutcome.INTERNAL_ERROR: PolicyOutcome.ERROR,  # may have run, as far as anyone here can tell
}
