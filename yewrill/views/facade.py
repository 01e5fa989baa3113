"""The subsystem of the views: runs one member's machine on the membership's link, and persists its view."""

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
from yewrill.views.format import MessageAssembler, pack, priority_of
from yewrill.views.machine import Step, ViewMachine
from yewrill.views.view import Entry, PersistedView, View

log = logging.getLogger("yewrill.views")

MAX_QUEUED = 512  # datagrams that wait for the disk; more are dropped, as on any network
PERSISTED_KEY = b"views/kept"
GOODBYE_SECONDS = 0.5  # at the end, to announce that we leave


class Views:
    """A subsystem of the service, on top of the membership."""

    name = "views"
    calls: Mapping[str, Any] = {}

    def __init__(self, config: ViewsConfig):
        self._config = config
        self._machine: ViewMachine | None = None
        self._store: Store | None = None
        self._unpersisted: PersistedView | None = (
            None  # what is said next rests on it, and it is not on disk yet
        )
        self._queue: list[tuple[bytes, str, Address]] = []
        self._woken = trio.Event()
        self._watchers: list[Callable[[], None]] = []
        self._notified: tuple[int, bool] = (0, False)
        self._number = random.SystemRandom().getrandbits(40)  # of messages that are cut in parts
        self._lost = self._malformed = self._persist_failures = 0

    def attach(self, context: SubsystemContext) -> None:
        """Take the membership that it builds on."""
        members = context.subsystems["members"]
        assert isinstance(members, Members)
        self._members = members

    # -- what other parts use

    def view(self) -> View | None:
        """The view that we hold a lease in; None without one.

        With a lease a majority of the view has recently received from us, and we from it. Without one nothing
        may be decided by the list of members.
        """
        return None if self._machine is None else self._machine.view(trio.current_time())

    @property
    def number(self) -> int:
        """The number of that view; 0: none."""
        view = self.view()
        return 0 if view is None else view.number

    def watch(self, wake: Callable[[], None]) -> None:
        """Have `wake` called whenever a view is installed, or its lease is lost or regained."""
        self._watchers.append(wake)

    # -- running

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; then the view is left, within GOODBYE_SECONDS. Raises StoreError, OSError."""
        await self._members.opened.wait()
        link = self._members.link
        assert link is not None
        self._store = store = await trio.to_thread.run_sync(Store, self._config.dir)
        try:
            found = store.get(PERSISTED_KEY)
            persisted = None if found is None else msgspec.msgpack.decode(found, type=PersistedView)
            me = link.machine.me
            rng = random.Random(random.SystemRandom().getrandbits(64))
            entry = Entry(me.name, rng.getrandbits(48) | 1, me.address, me.zone, self._config.can)
            self._machine = ViewMachine(
                entry, self._config.founders, persisted, rng, trio.current_time()
            )
            log.info(
                "views_started member=%s founder=%s persisted_view=%d",
                me.name,
                me.name in self._config.founders,
                0 if persisted is None else persisted.number,
            )
            link.payload_handlers[VIEWS] = self._receive
            task_status.started()
            await self._serve(link, self._machine)
        finally:
            link.payload_handlers.pop(VIEWS, None)
            with trio.CancelScope(shield=True):
                with trio.move_on_after(GOODBYE_SECONDS):
                    if self._machine is not None:
                        await self._carry_out(link, self._machine.leave(trio.current_time()))
                await self._close_store()

    def _receive(self, data: bytes, sender: str, address: Address) -> list:
        if len(self._queue) < MAX_QUEUED:
            self._queue.append((data, sender, address))
            self._woken.set()
        else:
            self._lost += 1
        return []

    async def _serve(self, link: MembershipLink, machine: ViewMachine) -> None:
        listed, parts = None, MessageAssembler()
        while True:
            if listed is not link.list_changed:
                listed = link.list_changed
                machine.set_known_members(
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
            self._notify(machine)

    async def _carry_out(self, link: MembershipLink, step: Step) -> None:
        """Persist first, then send: messages rest on what is persisted, also by an earlier step."""
        if step.persist is not None:
            self._unpersisted = step.persist
        if self._unpersisted is not None and not await self._persist(self._unpersisted):
            return
        for address, message in step.messages:
            self._number += 1
            parts = [(address, part) for part in pack(message, self._number)]
            await link.send_payloads(VIEWS, parts, priority_of(message))

    async def _persist(self, persisted: PersistedView) -> bool:
        """Persist a view; returns whether that succeeded. A store whose sync failed is reopened next time."""
        try:
            if self._store is None:
                self._store = await trio.to_thread.run_sync(Store, self._config.dir)
            await self._store.awrite(Batch().put(PERSISTED_KEY, msgspec.msgpack.encode(persisted)))
        except (StoreError, OSError) as error:
            self._persist_failures += 1
            log.error("view_not_persisted number=%d: %s", persisted.number, error)
            if isinstance(error, StorePoisoned):
                await self._close_store()
            return False
        self._unpersisted = None
        return True

    async def _close_store(self) -> None:
        store, self._store = self._store, None
        if store is not None:
            with suppress(StoreError, OSError):
                await trio.to_thread.run_sync(store.close)

    def _notify(self, machine: ViewMachine) -> None:
        installed = machine.installed
        view = machine.view(trio.current_time())
        number, holds = (0 if installed is None else installed.number), view is not None
        if (number, holds) == self._notified:
            return
        self._notified = number, holds
        if view is not None:
            log.info(
                "view_installed number=%d digest=%s members=%s",
                view.number,
                view.digest.hex(),
                ",".join(entry.name for entry in view.entries),
            )
        else:
            log.info("view_lease_lost last=%d (%s)", number, machine.describe(trio.current_time()))
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
            "standing": machine.describe(now),
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
            "views_not_kept": self._persist_failures,
        }
