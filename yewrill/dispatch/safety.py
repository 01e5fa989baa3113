"""Safety rules: whether an attempt may be sent, repeated or given so much time. Pure but for the log.

Whoever sends or closes gathers the facts and asks here; a reason comes back as an enum member, which goes to
the log and the metrics. The `check_` functions answer with a broken rule only where the program has a
fault: a
violation. Violations are counted by rule, logged with the ids concerned, and what they are about is not done.
"""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from yewrill.policy.interface import Idempotency

log = logging.getLogger(__name__)

WINDOW_SLACK_MS = 50.0  # the protocol's, on sockets
TIMEOUT_SLACK_MS = 1.0  # a worker is given whole milliseconds


class HeldBack(Enum):
    """Why an attempt's first byte is not written now: things have changed since it was chosen.

    The names appear in metrics, as `held_back.<name>`."""

    DEADLINE_PASSED = "deadline passed"
    WORKER_UNAVAILABLE = "worker drains, is gone or was taken out"
    CLIENT_GONE = "client gone"
    RECORD_NOT_KEPT = "record not on disk"


class Rule(Enum):
    """A rule that a check found broken. The names appear in metrics, as `rule_violations.<name>`."""

    OVERLAP = "an attempt is out already"
    UNSAFE_REPEAT = "a non-idempotent request may have run"
    WINDOW_OVER = "a request's deduplication window is over"
    TOLD_TOO_LONG = "a worker is given more time than the client has left"
    CLOSED_UNANSWERED = "a request was read and is closed without an answer"


class CloseReason(Enum):
    """Why a client's connection ends. The values appear in metrics, as `closed.<value>`."""

    CLIENT_ENDED = "client_ended"
    EVICTED = "evicted"  # idle, and its place was needed
    DRAINED = "drained"  # closed while idle, or after its answer, by a drain
    CUT = "cut"  # it had no whole request when draining ended
    LAST_ANSWER = "last_answer"  # its protocol or its answer ends it
    BAD_REQUEST = "bad_request"
    FAULT = "fault"


@dataclass(frozen=True, slots=True)
class SendFacts:
    """What is known as an attempt's first byte is about to be written. Milliseconds on the engine's clock."""

    now: float
    until: float
    worker_available: bool
    client_gone: bool
    record_kept: bool = True


def may_send(facts: SendFacts) -> HeldBack | None:
    """Whether the first byte may be written now: None, or why not."""
    if not facts.record_kept:
        return HeldBack.RECORD_NOT_KEPT
    if facts.now >= facts.until:
        return HeldBack.DEADLINE_PASSED
    if not facts.worker_available:
        return HeldBack.WORKER_UNAVAILABLE
    return HeldBack.CLIENT_GONE if facts.client_gone else None


@dataclass(frozen=True, slots=True)
class AttemptFacts:
    """What is known as an attempt is chosen. `ran_at`: when the first attempt that may have run was sent."""

    now: float
    idempotency: Idempotency
    window: float
    attempt_out: bool
    ran_at: float | None


def check_attempt(facts: AttemptFacts) -> Rule | None:
    """Whether another attempt may be made: None, or the rule that it would break."""
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
    """Whether a worker may be given so many ms: None, or the rule that it would break."""
    return Rule.TOLD_TOO_LONG if timeout > max(1.0, deadline - now) + TIMEOUT_SLACK_MS else None


class Violations:
    """Counts what the checks found, and logs each with the ids concerned."""

    def __init__(self) -> None:
        self.counts: Counter[Rule] = Counter()

    def note(self, rule: Rule, **ids: object) -> None:
        """A check has found a rule broken."""
        self.counts[rule] += 1
        concerned = " ".join(f"{name}={value}" for name, value in ids.items())
        log.error("rule_violation rule=%s %s", rule.name.lower(), concerned)

    def metrics(self) -> dict[str, int]:
        """By rule, for the metrics."""
        counts = {f"rule_violations.{rule.name.lower()}": self.counts[rule] for rule in Rule}
        return {"rule_violations_total": self.counts.total(), **counts}
