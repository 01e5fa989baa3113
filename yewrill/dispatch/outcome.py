"""The outcomes of an attempt and of its connection, and their mapping to the policy module's outcomes."""

from __future__ import annotations

from enum import Enum

from yewrill.policy.interface import PolicyOutcome


class AttemptOutcome(Enum):
    """How an attempt ended. The values appear in traces."""

    # The worker returned the result of this request.
    SERVED = "served"
    # The worker reported that the request failed.
    FAILED = "failed"
    # The worker's response violates the protocol.
    MALFORMED_RESPONSE = "garbled"
    # The worker returned the request without having started it.
    REJECTED = "turned away"
    # The connection was refused, could not be established, or broke before the request's last byte was
    # written.
    UNREACHABLE = "unreached"
    # The connection broke, or the worker reported that it lost the request, after the last byte was written.
    RESET = "reset"
    # UNREACHABLE and RESET on a reused connection, without a byte of a response: the connection may have been
    # stale.
    STALE_UNREACHABLE = "worn, unreached"
    STALE_RESET = "worn, reset"
    TIMED_OUT = "timed out"
    # Cancelled by the policy module or by the shutdown of the dispatcher.
    CANCELLED = "called off"
    # Withdrawn by the dispatcher before its first byte was written.
    NOT_SENT = "not sent"
    # The dispatcher raised an unexpected exception during the attempt.
    INTERNAL_ERROR = "broken"

    @property
    def policy_outcome(self) -> PolicyOutcome:
        """The outcome by which the policy module knows this one."""
        return _POLICY_OUTCOMES[self]

    @property
    def stale_connection(self) -> bool:
        """Whether the cause of this outcome may be a stale connection rather than the worker."""
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
    AttemptOutcome.INTERNAL_ERROR: PolicyOutcome.ERROR,  # the request may have run
}
