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
    from yewrill.service.subsystems import Hook

log = logging.getLogger("yewrill")

NOT_KEPT = b", but not on disk: a restart forgets it\n"
NO_SUCH_WORKER = Reply(404, b"no such profiler\n")


class OperatorCalls:
    """The calls at one service."""

    def __init__(self, service: Service):
        self._service = service

    def by_path(self) -> dict[str, Call]:
        """Every call, by the path that it is asked under."""
        hooks = self._service.hooks
        return {
            "/_ready": Call("GET", self._ready),
            "/_vars": Call("GET", self._metrics),
            "/_lameduck/on": Call("PUT", partial(self._lame, True, b"draining")),
            "/_lameduck/off": Call("PUT", partial(self._lame, False, b"serving")),
            "/_profilers/detach": Call("PUT", self._detach, named=True),
            "/_profilers/attach": Call("PUT", self._attach, named=True),
            **{f"/_{hook.name}": Call("GET", partial(self._status, hook)) for hook in hooks},
            **{
                f"/_{hook.name}/{call}": Call("PUT", partial(self._order, hook, call), named=True)
                for hook in hooks
                for call in hook.calls
            },
        }

    async def _ready(self) -> Reply:
        service = self._service
        if service.serving and not service.draining and len(service.pool):
            return Reply(200, b"ready\n")
        return Reply(503, b"not serving\n")

    @staticmethod
    async def _status(hook: Hook) -> Reply:
        body = ujson.dumps(hook.status(), indent=1).encode() + b"\n"
        return Reply(200, body, content_type="application/json")

    @staticmethod
    async def _order(hook: Hook, call: str, name: str) -> Reply:
        if not await hook.calls[call](name):
            return Reply(404, f"{hook.name} know of no {name}\n".encode())
        log.info("%s-%s name=%s", hook.name, call, name)
        return Reply(200, f"{call} {name}\n".encode())

    async def _metrics(self) -> Reply:
        service = self._service
        for hook in service.hooks:
            service.figures.add(hook.figures())
        if service.traced is not None:
            service.figures.add(service.traced.figures())
        service.figures.add(service.decisions.violations.figures())
        service.figures.add(self._reasons())
        avoided = service.decisions.avoided()
        listed = service.pool.names
        disabled = sum(not service.pool.may_send(name) or name in avoided for name in listed)
        gauges = {
            "concurrent": service.decisions.pending,
            "targets": len(listed),
            "targets_disabled": disabled,
        }
        return Reply(200, service.figures.text(gauges).encode())

    def _reasons(self) -> dict[str, int]:
        """Why attempts were held back and connections closed, and how often calls of the system failed."""
        held_back = self._service.destinations.held_back
        closes = self._service.listener.closes
        return {
            **{f"held_back.{reason.name.lower()}": held_back[reason] for reason in HeldBack},
            **{f"closed.{reason.value}": closes[reason] for reason in CloseReason},
            "accept_failures": self._service.listener.accept_failures,
            "call_retries": Retries.counted,
        }

    async def _detach(self, name: str) -> Reply:
        service = self._service
        if not service.pool.take_out(name):
            return NO_SUCH_WORKER
        log.info("detached destination=%s", name)
        kept = service.keeper is None or await service.keeper.taken_out(name)
        await service.agree({"out": name})
        return _done(b"detached", kept)

    async def _attach(self, name: str) -> Reply:
        service = self._service
        if not service.pool.put_back(name):
            return NO_SUCH_WORKER
        log.info("attached destination=%s", name)
        kept = service.keeper is None or await service.keeper.put_back(name)
        await service.agree({"back": name, "at": time.time() * 1000.0})
        return _done(b"attached", kept)

    async def _lame(self, on: bool, told: bytes) -> Reply:
        service = self._service
        service.set_lame(on)
        kept = service.keeper is None or await service.keeper.lame(on)
        await service.agree({"lame": on})
        return _done(told, kept)


def _done(what: bytes, kept: bool) -> Reply:
    """The answer to an order, which holds whether it is on disk or not."""
    return Reply(200, what + (b"\n" if kept else NOT_KEPT))
