"""The subsystem `views`: runs one member's state machine on the membership's link, and persists its view."""

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

# Limit on the datagrams that wait while the store is written; more are dropped, as a network may do.
MAX_QUEUED_DATAGRAMS = 512
PERSISTED_KEY = b"views/kept"
LEAVE_TIMEOUT_SECONDS = 0.5  # time for announcing the departure when the process ends


class Views:
    """The subsystem that maintains the agreed views, on top of the membership."""

    name = "views"
    calls: Mapping[str, Any] = {}

    def __init__(self, config: ViewsConfig):
        self._config = config
        self._machine: ViewMachine | None = None
        self._store: Store | None = None
        # A view that is not on disk yet; nothing is sent until it is on disk.
        self._unpersisted: PersistedView | None = None
        self._queue: list[tuple[bytes, str, Address]] = []
        self._wakeup = trio.Event()
        self._watchers: list[Callable[[], None]] = []
        self._notified_state: tuple[int, bool] = (0, False)
        # Number of the last message, by which its fragments are told apart from those of other messages.
        self._message_number = random.SystemRandom().getrandbits(40)
        self._dropped = self._malformed = self._persist_failures = 0

    def attach(self, context: SubsystemContext) -> None:
        """Sets the membership that the views are built on."""
        members = context.subsystems["members"]
        assert isinstance(members, Members)
        self._members = members

    # -- for other subsystems

    def view(self) -> View | None:
        """Returns the view in which this member holds a lease, None without a lease.

        A lease means recent contact with a majority of the view, in both directions. Without one, no decision
        may be based on the list of members.
        """
        return None if self._machine is None else self._machine.view(trio.current_time())

    @property
    def number(self) -> int:
        """Number of the view in which this member holds a lease, 0 without a lease."""
        view = self.view()
        return 0 if view is None else view.number

    def watch(self, wake: Callable[[], None]) -> None:
        """Registers a callback that is called when a view is installed, or its lease is lost or regained."""
        self._watchers.append(wake)

    # -- running

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Runs until cancelled, then leaves the view within LEAVE_TIMEOUT_SECONDS.

        Raises StoreError or OSError if the store can't be opened.
        """
        await self._members.opened.wait()
        link = self._members.link
        assert link is not None
        self._store = store = await trio.to_thread.run_sync(Store, self._config.dir)
        try:
            stored = store.get(PERSISTED_KEY)
            persisted = (
                None if stored is None else msgspec.msgpack.decode(stored, type=PersistedView)
            )
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
                with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
                    if self._machine is not None:
                        await self._carry_out(link, self._machine.leave(trio.current_time()))
                await self._close_store()

    def _receive(self, data: bytes, sender: str, address: Address) -> list:
        if len(self._queue) < MAX_QUEUED_DATAGRAMS:
            self._queue.append((data, sender, address))
            self._wakeup.set()
        else:
            self._dropped += 1
        return []

    async def _serve(self, link: MembershipLink, machine: ViewMachine) -> None:
        last_list_change, assembler = None, MessageAssembler()
        while True:
            if last_list_change is not link.list_changed:
                last_list_change = link.list_changed
                machine.set_known_members(
                    {
                        name: m.claim.address
                        for name, m in link.machine.entries.items()
                        if m.claim.state not in (DEAD, LEFT)
                    },
                    trio.current_time(),
                )
            with trio.move_on_at(link.next_wakeup(machine.due)):
                await self._wakeup.wait()
            self._wakeup = trio.Event()
            now = trio.current_time()
            # The machine ticks first, to detect a pause before it processes messages that arrived in it.
            if now >= machine.due:
                await self._carry_out(link, machine.tick(now))
            queue, self._queue = self._queue, []
            for data, sender, address in queue:
                try:
                    message = assembler.take(sender, data)
                except MalformedPayload:
                    self._malformed += 1
                    continue
                if message is not None:
                    now = trio.current_time()
                    await self._carry_out(link, machine.receive(now, message, sender, address))
            self._notify(machine)

    async def _carry_out(self, link: MembershipLink, step: Step) -> None:
        """Persists a step's view, then sends its messages. They may depend on the view of an earlier step."""
        if step.persist is not None:
            self._unpersisted = step.persist
        if self._unpersisted is not None and not await self._persist(self._unpersisted):
            return
        for address, message in step.messages:
            self._message_number += 1
            parts = [(address, part) for part in pack(message, self._message_number)]
            await link.send_payloads(VIEWS, parts, priority_of(message))

    async def _persist(self, persisted: PersistedView) -> bool:
        """Persists a view; returns whether that succeeded.

        A store that rejects all writes after a disk error is closed, and opened again at the next attempt.
        """
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
        number, has_lease = (0 if installed is None else installed.number), view is not None
        if (number, has_lease) == self._notified_state:
            return
        self._notified_state = number, has_lease
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
        """Returns the status for operators, as plain values."""
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
                    "can": list(e.capabilities),
                    "incarnation": f"{e.incarnation:012x}",
                }
                for e in installed.entries
            ],
            **self.metrics(),
        }

    def metrics(self) -> dict[str, int]:
        """Returns the counters since the start, by metric name."""
        if self._machine is None:
            return {}
        counters = self._machine.counters
        return {
            "views_number": self.number,
            "views_installed": counters.installed,
            "views_proposed": counters.proposed,
            "views_taken_out": counters.removed,
            "views_late": counters.pauses,
            "views_conflict": counters.conflicts,
            "views_refused": counters.rejected,
            "views_lost": self._dropped,
            "views_malformed": self._malformed,
            "views_not_kept": self._persist_failures,
        }
