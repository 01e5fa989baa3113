"""What operators can ask of a running dispatcher, one method a call of the management listener.

Imported only where `mgmt` is set. An order holds for both runs of a dispatcher that is being upgraded, and
its answer says whether a restart remembers it.
"""

from __future__ import annotations

import logging
import time
from functools import partial
from typing import TYPE_CHECKING

import ujson

from yewrill.dispatch.safety import CloseReason, HeldBack
from yewrill.net.connection import Retries
from yewrill.net.http import Reply
from yewrill.net.management import Call

if TYPE_CHECKING:
    from yewrill.service.service import Service
    from yewrill.service.subsystems import Subsystem

log = logging.getLogger("yewrill")

NOT_KEPT = b", but not on disk: a restart forgets it\n"
NO_SUCH_WORKER = Reply(404, b"no such profiler\n")


class ManagementCalls:
    """The calls at one service."""

    def __init__(self, service: Service):
        self._service = service

    def by_path(self) -> dict[str, Call]:
        """Every call, by the path that it is asked under."""
        subsystems = self._service.subsystems
        return {
            "/_ready": Call("GET", self._ready),
            "/_vars": Call("GET", self._metrics),
            "/_lameduck/on": Call("PUT", partial(self._lame, True, b"draining")),
            "/_lameduck/off": Call("PUT", partial(self._lame, False, b"serving")),
            "/_profilers/detach": Call("PUT", self._detach, named=True),
            "/_profilers/attach": Call("PUT", self._attach, named=True),
            **{
                f"/_{subsystem.name}": Call("GET", partial(self._status, subsystem))
                for subsystem in subsystems
            },
            **{
                f"/_{subsystem.name}/{call}": Call(
                    "PUT", partial(self._order, subsystem, call), named=True
                )
                for subsystem in subsystems
                for call in subsystem.calls
            },
        }

    async def _ready(self) -> Reply:
        service = self._service
        if service.serving and not service.draining and len(service.endpoints):
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
        log.info("%s-%s name=%s", subsystem.name, call, name)
        return Reply(200, f"{call} {name}\n".encode())

    async def _metrics(self) -> Reply:
        service = self._service
        for subsystem in service.subsystems:
            service.metrics.add(subsystem.metrics())
        if service.tracing_hooks is not None:
            service.metrics.add(service.tracing_hooks.metrics())
        service.metrics.add(service.engine.violations.metrics())
        service.metrics.add(self._reasons())
        avoided = service.engine.avoided()
        listed = service.endpoints.names
        disabled = sum(not service.endpoints.may_send(name) or name in avoided for name in listed)
        gauges = {
            "concurrent": service.engine.pending,
            "targets": len(listed),
            "targets_disabled": disabled,
        }
        return Reply(200, service.metrics.text(gauges).encode())

    def _reasons(self) -> dict[str, int]:
        """Why attempts were held back and connections closed, and how often calls of the system failed."""
        held_back = self._service.worker_connections.held_back
        closes = self._service.listener.closes
        return {
            **{f"held_back.{reason.name.lower()}": held_back[reason] for reason in HeldBack},
            **{f"closed.{reason.value}": closes[reason] for reason in CloseReason},
            "accept_failures": self._service.listener.accept_failures,
            "call_retries": Retries.counted,
        }

    async def _detach(self, name: str) -> Reply:
        service = self._service
        if not service.endpoints.take_out(name):
            return NO_SUCH_WORKER
        log.info("detached worker=%s", name)
        kept = service.persistent_state is None or await service.persistent_state.write_detached(
            name
        )
        await service.agree({"out": name})
        return _done(b"detached", kept)

    async def _attach(self, name: str) -> Reply:
        service = self._service
        if not service.endpoints.put_back(name):
            return NO_SUCH_WORKER
        log.info("attached worker=%s", name)
        kept = service.persistent_state is None or await service.persistent_state.write_reattached(
            name
        )
        await service.agree({"back": name, "at": time.time() * 1000.0})
        return _done(b"attached", kept)

    async def _lame(self, on: bool, told: bytes) -> Reply:
        service = self._service
        service.set_operator_drain(on)
        kept = (
            service.persistent_state is None
            or await service.persistent_state.write_operator_drain(on)
        )
        await service.agree({"lame": on})
        return _done(told, kept)


def _done(what: bytes, kept: bool) -> Reply:
    """The answer to an order, which holds whether it is on disk or not."""
    return Reply(200, what + (b"\n" if kept else NOT_KEPT))
