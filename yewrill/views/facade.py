"""What the rest of the program uses of the views: a hook that has this member's machine on the members'
socket, and what it kept on disk."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any

import msgspec
import trio

from yewrill.membership import Members
from yewrill.membership.link import Address, MembershipLink
from yewrill.membership.messages import DEAD, LEFT
from yewrill.membership.parts import MalformedPayload
from yewrill.membership.transport import VIEWS
from yewrill.service.subsystems import SubsystemContext
from yewrill.store import Batch, Store, StoreError, StorePoisoned
from yewrill.views.config import ViewsConfig
from yewrill.views.format import Parts, pack, priority_of
from yewrill.views.machine import Machine, Step
from yewrill.views.view import Entry, Kept, View

log = logging.getLogger("yewrill.views")

MOST_QUEUED = 512  # datagrams that wait for the disk; more are lost, as on any network
KEPT = b"views/kept"
GOODBYE = 0.5  # seconds at the end for saying that we leave


class Views:
    """A hook of the service. It needs the membership's hook."""

    name = "views"
    calls: Mapping[str, Any] = {}

    def __init__(self, config: ViewsConfig):
        self._config = config
        self._machine: Machine | None = None
        self._store: Store | None = None
        self._unkept: Kept | None = None  # what is said next rests on it, and it is not on disk yet
        self._queue: list[tuple[bytes, str, Address]] = []
        self._woken = trio.Event()
        self._watchers: list[Callable[[], None]] = []
        self._told: tuple[int, bool] = (0, False)
        self._number = random.SystemRandom().getrandbits(40)  # of messages that are cut in parts
        self._lost = self._malformed = self._not_kept = 0

    def attach(self, context: SubsystemContext) -> None:
        members = context.subsystems["members"]
        assert isinstance(members, Members)
        self._members = members

    # -- what other parts use

    def view(self) -> View | None:
        """The view that we are in, while a majority of it has lately been heard, and has heard us; else None:
        then nothing is to be decided by who is there."""
        return None if self._machine is None else self._machine.view(trio.current_time())

    @property
    def number(self) -> int:
        """The number of that view; 0: none."""
        view = self.view()
        return 0 if view is None else view.number

    def watch(self, wake: Callable[[], None]) -> None:
        """Have a part told whenever another view is installed, or ours is lost or won back."""
        self._watchers.append(wake)

    # -- running

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        await self._members.opened.wait()
        link = self._members.link
        assert link is not None
        self._store = store = await trio.to_thread.run_sync(Store, self._config.dir)
        try:
            found = store.get(KEPT)
            kept = None if found is None else msgspec.msgpack.decode(found, type=Kept)
            me = link.machine.me
            rng = random.Random(random.SystemRandom().getrandbits(64))
            entry = Entry(me.name, rng.getrandbits(48) | 1, me.address, me.zone, self._config.can)
            self._machine = Machine(entry, self._config.founders, kept, rng, trio.current_time())
            log.info(
                "views name=%s founder=%s kept=%d",
                me.name,
                me.name in self._config.founders,
                0 if kept is None else kept.number,
            )
            link.payload_handlers[VIEWS] = self._receive
            task_status.started()
            await self._serve(link, self._machine)
        finally:
            link.payload_handlers.pop(VIEWS, None)
            with trio.CancelScope(shield=True):
                with trio.move_on_after(GOODBYE):
                    if self._machine is not None:
                        await self._carry_out(link, self._machine.leave(trio.current_time()))
                await self._close_store()

    def _receive(self, data: bytes, sender: str, address: Address) -> list:
        if len(self._queue) < MOST_QUEUED:
            self._queue.append((data, sender, address))
            self._woken.set()
        else:
            self._lost += 1
        return []

    async def _serve(self, link: MembershipLink, machine: Machine) -> None:
        listed, parts = None, Parts()
        while True:
            if listed is not link.list_changed:
                listed = link.list_changed
                machine.know(
                    {
                        name: m.claim.address
                        for name, m in link.machine.entries.items()
                        if m.claim.state not in (DEAD, LEFT)
                    },
                    trio.current_time(),
                )
            with trio.move_on_at(link.next_turn(machine.due)):
                await self._woken.wait()
            self._woken = trio.Event()
            now = trio.current_time()
            if (
                now >= machine.due
            ):  # a pause is seen by it, before what arrived meanwhile is looked at
                await self._carry_out(link, machine.tick(now))
            queue, self._queue = self._queue, []
            for data, sender, address in queue:
                try:
                    message = parts.take(sender, data)
                except MalformedPayload:
                    self._malformed += 1
                    continue
                if message is not None:
                    now = trio.current_time()
                    await self._carry_out(link, machine.receive(now, message, sender, address))
            self._tell(machine)

    async def _carry_out(self, link: MembershipLink, step: Step) -> None:
        """First to disk, then out: what is said rests on what is kept, also on what an earlier step kept."""
        if step.keep is not None:
            self._unkept = step.keep
        if self._unkept is not None and not await self._keep(self._unkept):
            return
        for address, message in step.messages:
            self._number += 1
            parts = [(address, part) for part in pack(message, self._number)]
            await link.send_payloads(VIEWS, parts, priority_of(message))

    async def _keep(self, kept: Kept) -> bool:
        """Whether it is on disk now. A store whose sync failed is opened anew by the next try."""
        try:
            if self._store is None:
                self._store = await trio.to_thread.run_sync(Store, self._config.dir)
            await self._store.awrite(Batch().put(KEPT, msgspec.msgpack.encode(kept)))
        except (StoreError, OSError) as error:
            self._not_kept += 1
            log.error("view-not-kept number=%d: %s", kept.number, error)
            if isinstance(error, StorePoisoned):
                await self._close_store()
            return False
        self._unkept = None
        return True

    async def _close_store(self) -> None:
        store, self._store = self._store, None
        if store is not None:
            with suppress(StoreError, OSError):
                await trio.to_thread.run_sync(store.close)

    def _tell(self, machine: Machine) -> None:
        installed = machine.installed
        view = machine.view(trio.current_time())
        number, holds = (0 if installed is None else installed.number), view is not None
        if (number, holds) == self._told:
            return
        self._told = number, holds
        if view is not None:
            log.info(
                "view number=%d digest=%s members=%s",
                view.number,
                view.digest.hex(),
                ",".join(entry.name for entry in view.entries),
            )
        else:
            log.info("view none last=%d (%s)", number, machine.standing(trio.current_time()))
        for wake in self._watchers:
            wake()

    # -- operators

    def status(self) -> dict[str, Any]:
        """For operators, as plain values."""
        machine, now = self._machine, trio.current_time()
        if machine is None:
            return {"view": None, "standing": "not running"}
        installed, view = machine.installed, machine.view(now)
        return {
            "view": None if view is None else view.number,
            "last": 0 if installed is None else installed.number,
            "digest": "" if installed is None else installed.digest.hex(),
            "standing": machine.standing(now),
            "members": []
            if installed is None
            else [
                {
                    "name": e.name,
                    "zone": e.zone,
                    "address": ":".join(map(str, e.address)),
                    "can": list(e.can),
                    "incarnation": f"{e.incarnation:012x}",
                }
                for e in installed.entries
            ],
            **self.metrics(),
        }

    def metrics(self) -> dict[str, int]:
        """Counts since the start, by the names operators see."""
        if self._machine is None:
            return {}
        counts = self._machine.counts
        return {
            "views_number": self.number,
            "views_installed": counts.installed,
            "views_proposed": counts.proposed,
            "views_taken_out": counts.taken_out,
            "views_late": counts.late,
            "views_conflict": counts.conflict,
            "views_refused": counts.refused,
            "views_lost": self._lost,
            "views_malformed": self._malformed,
            "views_not_kept": self._not_kept,
        }
