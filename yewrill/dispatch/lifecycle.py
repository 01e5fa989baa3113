"""An operation's life: one live attempt at a time, one final answer. It knows no wire."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from yewrill.dispatch.engine import BusyReply, Decisions, Failure, Operation, RouteStep
from yewrill.dispatch.outcome import Ending

log = logging.getLogger("yewrill.core")


@dataclass(frozen=True, slots=True)
class Served:
    """The result that a destination gave for this operation."""

    result: Any


Answer = Served | BusyReply | Failure
Attempt = Callable[[RouteStep], Awaitable[tuple[Ending, Any]]]


async def carry(operation: Operation, decisions: Decisions, attempt: Attempt) -> Answer | None:
    """Pick, try and report until the operation has its answer; None if its client left first."""
    try:
        while True:
            choice = await decisions.pick(operation)
            if not isinstance(choice, RouteStep):
                return choice
            ending, result = Ending.BROKEN, None
            try:
                ending, result = await attempt(choice)
            except Exception:
                # A fault in one attempt ends that attempt; the module sees an error that may have run.
                log.exception(
                    "attempt-fault operation=%s destination=%s", operation.id, choice.destination
                )
            finally:
                decisions.report(choice, ending)
            if ending is Ending.SERVED:
                return None if operation.client_left else Served(result)
            log.debug(
                "attempt operation=%s destination=%s ending=%s",
                operation.id,
                choice.destination,
                ending.value,
            )
    except Exception:
        # Whatever else goes wrong, the client is owed an answer.
        log.exception("operation-fault operation=%s", operation.id)
        decisions.left(operation)
        return Failure("internal fault")
