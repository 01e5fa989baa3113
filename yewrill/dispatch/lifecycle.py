"""The request lifecycle: one live attempt at a time, one final answer. Knows no protocol."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from yewrill.dispatch.engine import DecisionEngine
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt, Failure, Rejection, Request

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Served:
    """The result that a worker gave for this request."""

    result: Any


Answer = Served | Rejection | Failure
AttemptRunner = Callable[[Attempt], Awaitable[tuple[AttemptOutcome, Any]]]


async def run_request(
    request: Request, engine: DecisionEngine, run_attempt: AttemptRunner
) -> Answer | None:
    """Pick, attempt and report until the request has its answer; None if its client left first.

    If cancelled, the attempt that is out is reported as an internal error; the caller says that the
    client left."""
    try:
        while True:
            choice = await engine.pick(request)
            if not isinstance(choice, Attempt):
                return choice
            outcome, result = AttemptOutcome.INTERNAL_ERROR, None
            try:
                outcome, result = await run_attempt(choice)
            except Exception:
                # An error in one attempt ends that attempt; the policy sees one that may have run.
                log.exception(
                    "attempt_raised request=%s worker=%s outcome=internal_error",
                    request.id,
                    choice.worker,
                )
            finally:
                engine.report(choice, outcome)
            if outcome is AttemptOutcome.SERVED:
                return None if request.client_left else Served(result)
            log.debug(
                "attempt_failed request=%s worker=%s outcome=%s",
                request.id,
                choice.worker,
                outcome.value,
            )
    except Exception:
        # Whatever else goes wrong, the client is owed an answer.
        log.exception("request_raised request=%s answer=failed", request.id)
        engine.client_left(request)
        return Failure("internal fault")
