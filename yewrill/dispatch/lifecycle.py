"""An operation's life: one live attempt at a time, one final answer. It knows no wire."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from yewrill.dispatch.engine import Attempt, DecisionEngine, Failure, Rejection, Request
from yewrill.dispatch.outcome import AttemptOutcome

log = logging.getLogger("yewrill.core")


@dataclass(frozen=True, slots=True)
class Served:
    """The result that a destination gave for this operation."""

    result: Any


Answer = Served | Rejection | Failure
AttemptRunner = Callable[[Attempt], Awaitable[tuple[AttemptOutcome, Any]]]


async def carry(
    request: Request, engine: DecisionEngine, run_attempt: AttemptRunner
) -> Answer | None:
    """Pick, try and report until the operation has its answer; None if its client left first."""
    try:
        while True:
            choice = await engine.pick(request)
            if not isinstance(choice, Attempt):
                return choice
            outcome, result = AttemptOutcome.BROKEN, None
            try:
                outcome, result = await run_attempt(choice)
            except Exception:
                # A fault in one attempt ends that attempt; the module sees an error that may have run.
                log.exception("attempt-fault request=%s worker=%s", request.id, choice.worker)
            finally:
                engine.report(choice, outcome)
            if outcome is AttemptOutcome.SERVED:
                return None if request.client_left else Served(result)
            log.debug(
                "attempt request=%s worker=%s outcome=%s",
                request.id,
                choice.worker,
                outcome.value,
            )
    except Exception:
        # Whatever else goes wrong, the client is owed an answer.
        log.exception("operation-fault request=%s", request.id)
        engine.left(request)
        return Failure("internal fault")
