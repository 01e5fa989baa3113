"""The request lifecycle: at most one attempt at a time and one final answer. Independent of any protocol."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from yewrill.dispatch.attempt_log import must_be_logged
from yewrill.dispatch.engine import DecisionEngine
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt, Failure, Rejection, Request

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Served:
    """The final answer of a request that a worker served, with the worker's result."""

    result: Any


Answer = Served | Rejection | Failure
AttemptRunner = Callable[[Attempt], Awaitable[tuple[AttemptOutcome, Any]]]


async def run_request(
    request: Request, engine: DecisionEngine, run_attempt: AttemptRunner
) -> Answer | None:
    """Runs attempts until the request has its final answer; returns None if its client left first.

    On cancellation, the attempt in progress is reported as an internal error; the caller then has to call
    `engine.client_left`."""
    try:
        while True:
            choice = await engine.pick(request)
            if not isinstance(choice, Attempt):
                return choice
            outcome, result = AttemptOutcome.INTERNAL_ERROR, None
            try:
                outcome, result = await run_attempt(choice)
            except Exception:
                # An exception ends this attempt only; the policy module must assume that the request may have
                # run.
                log.exception(
                    "attempt_raised request=%s worker=%s outcome=internal_error",
                    request.id,
                    choice.worker,
                )
            finally:
                engine.report(choice, outcome)
            if outcome is AttemptOutcome.SERVED:
                return None if request.client_left else Served(result)
            log.log(
                logging.INFO if must_be_logged(request) else logging.DEBUG,
                "attempt_failed request=%s worker=%s outcome=%s attempt=%d sent=%s",
                request.id,
                choice.worker,
                outcome.value,
                choice.number,
                "yes" if choice.sent else "no",
            )
    except Exception:
        # The client gets an answer even after an unexpected exception.
        log.exception("request_raised request=%s answer=failed", request.id)
        engine.client_left(request)
        return Failure("internal fault")
