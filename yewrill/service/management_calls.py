"""Management calls of a running dispatcher, one method for each path of the management listener.

This module is imported only if `mgmt` is set. An operator's order applies to both processes of a hot
restart. The reply to an order says whether the order is persisted, so that it survives a restart.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING, Any

import ujson

from yewrill.net.endpoint_list import EndpointList
from yewrill.net.http import Reply
from yewrill.net.management import Call
from yewrill.service.metrics_report import MetricsReport
from yewrill.service.operator_drain import OperatorDrain
from yewrill.service.run_state import RunState

if TYPE_CHECKING:
    from yewrill.persistence import PersistentState
    from yewrill.service.hot_restart import HotRestart
    from yewrill.service.subsystems import Subsystem

log = logging.getLogger("yewrill")

NOT_STORED = b", but not on disk: a restart forgets it\n"
NO_SUCH_WORKER = Reply(404, b"no such profiler\n")


class ManagementCalls:
    """The management calls of one service."""

    def __init__(
        self,
        run_state: RunState,
        endpoints: EndpointList,
        operator_drain: OperatorDrain,
        metrics_report: MetricsReport,
        subsystems: Sequence[Subsystem],
        *,
        persistent_state: PersistentState | None,
        hot_restart: HotRestart | None,
    ):
        self._run_state = run_state
        self._endpoints = endpoints
        self._operator_drain = operator_drain
        self._metrics_report = metrics_report
        self._subsystems = subsystems
        self._persistent_state = persistent_state
        self._hot_restart = hot_restart

    def by_path(self) -> dict[str, Call]:
        """Returns every call, by its path."""
        return {
            "/_ready": Call("GET", self._ready),
            "/_vars": Call("GET", self._metrics),
            "/_lameduck/on": Call("PUT", partial(self._drain, True, b"draining")),
            "/_lameduck/off": Call("PUT", partial(self._drain, False, b"serving")),
            "/_profilers/detach": Call("PUT", self._detach, named=True),
            "/_profilers/attach": Call("PUT", self._attach, named=True),
            **{
                f"/_{subsystem.name}": Call("GET", partial(self._status, subsystem))
                for subsystem in self._subsystems
            },
            **{
                f"/_{subsystem.name}/{call}": Call(
                    "PUT", partial(self._order, subsystem, call), named=True
                )
                for subsystem in self._subsystems
                for call in subsystem.calls
            },
        }

    async def _ready(self) -> Reply:
        if self._run_state.serving and not self._run_state.draining and len(self._endpoints):
            return Reply(200, b"ready\n")
        return Reply(503, b"not serving\n")

    @staticmethod
    async def _status(subsystem: Subsystem) -> Reply:
        body = ujson.dumps(subsystem.status(), indent=1).encode() + b"\n"
        return Reply(200, body, content_type="application/json")

    @staticmethod
    async def _order(subsystem: Subsystem, call: str, name: str) -> Reply:
        if not await subsystem.calls[call](name):
            return Reply(404, f"{subsystem.name} know of no {name}\n".encode())
        log.info("operator_order subsystem=%s call=%s name=%s", subsystem.name, call, name)
        return Reply(200, f"{call} {name}\n".encode())

    async def _metrics(self) -> Reply:
        return Reply(200, self._metrics_report.text().encode())

    async def _detach(self, name: str) -> Reply:
        if not self._endpoints.detach(name):
            return NO_SUCH_WORKER
        log.info("worker_detached worker=%s", name)
        state = self._persistent_state
        stored = state is None or await state.write_detached(name)
        await self._send_to_other_process({"out": name})
        return _order_reply(b"detached", stored)

    async def _attach(self, name: str) -> Reply:
        if not self._endpoints.attach(name):
            return NO_SUCH_WORKER
        log.info("worker_attached worker=%s", name)
        state = self._persistent_state
        stored = state is None or await state.write_reattached(name)
        await self._send_to_other_process({"back": name, "at": time.time() * 1000.0})
        return _order_reply(b"attached", stored)

    async def _drain(self, on: bool, answer: bytes) -> Reply:
        self._operator_drain.set(on)
        state = self._persistent_state
        stored = state is None or await state.write_operator_drain(on)
        await self._send_to_other_process({"lame": on})
        return _order_reply(answer, stored)

    async def _send_to_other_process(self, message: dict[str, Any]) -> None:
        """Sends an operator's order to the other process of a hot restart, where it applies as well."""
        if self._hot_restart is not None:
            await self._hot_restart.send_and_confirm(message)


def _order_reply(answer: bytes, stored: bool) -> Reply:
    """Returns the reply to an order, which is in effect whether it is persisted or not."""
    return Reply(200, answer + (b"\n" if stored else NOT_STORED))
