"""Safety rules: whether an attempt may be sent or repeated, and how much time a worker may be given.

The caller gathers the facts and passes them in; the functions return a reason as an enum member, which goes
to the log and the metrics. A `check_` function returns a rule only if the dispatcher has a bug that would
break that rule: a violation. The caller then skips the action in question, and `Violations` counts it by rule
and logs it with the ids concerned. Nothing else here has side effects.
"""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from yewrill.policy.interface import Idempotency

log = logging.getLogger(__name__)

# Tolerance for the end of a deduplication window; the protocol grants it for requests over sockets.
WINDOW_SLACK_MS = 50.0
# Tolerance for the time-out sent to a worker, which is rounded to whole milliseconds.
TIMEOUT_SLACK_MS = 1.0


class HeldBack(Enum):
    """Why a chosen attempt is not sent: what changed between the choice and its first byte.

    The names appear in metrics, as `held_back.<name>`."""

    DEADLINE_PASSED = "deadline passed"
    WORKER_UNAVAILABLE = "worker drains, is gone or was taken out"
    CLIENT_GONE = "client gone"
    RECORD_NOT_KEPT = "record not on disk"


class Rule(Enum):
    """A safety rule that a check found violated. The names appear in metrics, as `rule_violations.<name>`."""

    OVERLAP = "an attempt is out already"
    UNSAFE_REPEAT = "a non-idempotent request may have run"
    WINDOW_OVER = "a request's deduplication window is over"
    TOLD_TOO_LONG = "a worker is given more time than the client has left"
    CLOSED_UNANSWERED = "a request was read and is closed without an answer"


class CloseReason(Enum):
    """Why a client's connection ends. The values appear in metrics, as `closed.<value>`."""

    CLIENT_ENDED = "client_ended"
    EVICTED = "evicted"  # the connection was idle and made room for a new one
    DRAINED = "drained"  # a drain closed the connection, while idle or after its answer
    CUT = "cut"  # the connection had no complete request when draining ended
    # The connection was closed after an answer, as the protocol or the answer requires.
    LAST_ANSWER = "last_answer"
    BAD_REQUEST = "bad_request"
    FAULT = "fault"


@dataclass(frozen=True, slots=True)
class SendFacts:
    """The facts just before an attempt's first byte is written. Times in ms on the engine's clock."""

    now: float
    deadline: float
    worker_available: bool
    client_gone: bool
    record_kept: bool = True


def may_send(facts: SendFacts) -> HeldBack | None:
    """Returns None if the first byte may be written now, else the reason why not."""
    if not facts.record_kept:
        return HeldBack.RECORD_NOT_KEPT
    if facts.now >= facts.deadline:
        return HeldBack.DEADLINE_PASSED
    if not facts.worker_available:
        return HeldBack.WORKER_UNAVAILABLE
    return HeldBack.CLIENT_GONE if facts.client_gone else None


@dataclass(frozen=True, slots=True)
class AttemptFacts:
    """The facts when an attempt is chosen. `ran_at`: when the first attempt that may have run was sent."""

    now: float
    idempotency: Idempotency
    window: float
    attempt_out: bool
    ran_at: float | None


def check_attempt(facts: AttemptFacts) -> Rule | None:
    """Returns None if another attempt may be made, else the rule that it would violate."""
    if facts.attempt_out:
        return Rule.OVERLAP
    if facts.ran_at is None:
        return None
    if facts.idempotency == Idempotency.NON_IDEMPOTENT:
        return Rule.UNSAFE_REPEAT
    if (
        facts.idempotency == Idempotency.IDEMPOTENT_BY_KEY
        and facts.now - facts.ran_at > facts.window + WINDOW_SLACK_MS
    ):
        return Rule.WINDOW_OVER
    return None


def check_timeout(timeout: float, now: float, deadline: float) -> Rule | None:
    """Returns None if a worker may be given this time-out in ms, else the rule that it would violate."""
    return Rule.TOLD_TOO_LONG if timeout > max(1.0, deadline - now) + TIMEOUT_SLACK_MS else None


class Violations:
    """Counts rule violations and logs each with the ids concerned."""

    def __init__(self) -> None:
        self.counts: Counter[Rule] = Counter()

    def note(self, rule: Rule, **ids: object) -> None:
        """Counts and logs a violation."""
        self.counts[rule] += 1
        id_text = " ".join(f"{name}={value}" for name, value in ids.items())
        log.error("rule_violation rule=%s %s", rule.name.lower(), id_text)

    def metrics(self) -> dict[str, int]:
        """Returns the total and the count of each rule, by metric name."""
        counts = {f"rule_violations.{rule.name.lower()}": self.counts[rule] for rule in Rule}
        return {"rule_violations_total": self.counts.total(), **counts}
