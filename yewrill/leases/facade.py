"""The subsystem that runs this member's `LeaseNode` on the store and the membership's datagrams."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Mapping
from typing import Any, Protocol

import trio

from yewrill.leases import disk as on_disk
from yewrill.leases.format import pack, unpack
from yewrill.leases.node import KnownHolder, LeaseNode, NodeOutput
from yewrill.leases.raft_types import (
    PersistentRaftState,
)
from yewrill.leases.states import StateMachine
from yewrill.membership import Members
from yewrill.membership.link import MembershipLink
from yewrill.membership.parts import FragmentAssembler, MalformedPayload, split_payload
from yewrill.membership.transport import OWNERSHIP
from yewrill.service.subsystems import SubsystemContext
from yewrill.store import Store, StoreError

log = logging.getLogger("yewrill.ownership")

# Limit on the messages that wait while the disk is written; more are dropped, as a network may do.
MAX_QUEUED_MESSAGES = 512


class Unanswered(Exception):
    """A submission to the log got no answer; it may have been applied or not."""


class OwnershipConfig(Protocol):
    """The section `ownership` of the settings file. `span` is the duration of a lease in seconds."""

    voters: tuple[str, ...]
    dir: str
    span: float
    trust_disk: bool


class Ownership:
    """A subsystem of the service. It needs the membership subsystem."""

    name = "ownership"

    def __init__(self, config: OwnershipConfig):
        self._config = config
        self._node: LeaseNode | None = None
        self._store: Store | None = None
        self._disk: PersistentRaftState | None = None
        self._incarnation = 0
        self._queue: list[tuple[Any, str]] = []
        self._wake_up = trio.Event()
        self._wanted_roles: set[str] = set()
        self._machines: dict[str, StateMachine] = {}
        # By submission number: an event that is set when the reply arrives.
        self._reply_events: dict[int, trio.Event] = {}
        # Number of the last message, by which the fragments of a large message are told apart from others.
        self._datagram_number = random.SystemRandom().getrandbits(40)
        self._dropped = self._malformed = 0
        self.calls = {"release": self._release}

    def attach(self, context: SubsystemContext) -> None:
        """Takes the subsystems that this one uses."""
        members = context.subsystems["members"]
        assert isinstance(members, Members)
        self._members = members
        self._views = context.subsystems.get("views")
        if self._views is not None:
            # A lambda, because `_wake_up` is replaced by a new event after each wake-up.
            self._views.watch(lambda: self._wake_up.set())  # noqa: PLW0108

    # -- interface for other subsystems

    def request_lease(self, role: str) -> None:
        """Requests the lease on a role from now on, whenever no other member holds it."""
        self._wanted_roles.add(role)
        if self._node is not None and not self._is_outside_views():
            self._node.request_lease(role)
        self._wake_up.set()

    def _is_outside_views(self) -> bool:
        """Returns whether views are in use and this member is in none; it then holds no lease."""
        return self._views is not None and self._views.view() is None

    def owns(self, role: str) -> int:
        """Returns the fencing number of this member's lease while the lease is certain to hold, else 0."""
        outside = self._node is None or self._is_outside_views()
        return 0 if outside else self._node.owns(role, trio.current_time())

    def last_known_holder(self, role: str, now: float) -> tuple[int, str]:
        """Returns the highest known fencing number of a role, and the holder of its lease.

        The holder is "" if no voter has reported it for two lease durations, or if it is this member and its
        lease is no longer certain to hold.
        """
        if self._node is None:
            return 0, ""
        if number := self.owns(role):
            return number, self._node.me
        holder, number, at = self._node.known_holders.get(role, KnownHolder("", 0, 0.0))
        is_recent = now - at < 2.0 * self._config.span
        return number, holder if is_recent and holder != self._node.me else ""

    def register_machine(self, name: str, machine: StateMachine) -> None:
        """Registers a state machine of the log. All voters must register it, before `run`."""
        self._machines[name] = machine

    async def submit(self, machine: str, data: bytes, timeout_seconds: float) -> bytes:
        """Submits data to a state machine of the log; returns its reply once a majority has stored the entry.

        Raises Unanswered after `timeout_seconds`, or if the log can't be reached. The submission may then
        have taken effect or not, and it may be submitted again, so the state machine must recognise a
        repetition. The same holds if the caller is cancelled.
        """
        node = self._node
        number = (
            0
            if node is None or self._is_outside_views()
            else node.submit(machine, data, trio.current_time())
        )
        if node is None or not number:
            raise Unanswered(
                "not submitted: the member is starting, in no view, or has too many pending submissions"
            )
        reply_event = self._reply_events[number] = trio.Event()
        self._wake_up.set()
        try:
            with trio.move_on_after(timeout_seconds):
                await reply_event.wait()
            if number not in node.results:
                raise Unanswered(f"no voter answered within {timeout_seconds:g} s")
            reply = node.results[number]
            if reply is None:
                raise Unanswered(f"the voters have no state machine {machine}")
            return reply
        finally:
            del self._reply_events[number]
            node.withdraw(number)

    async def admits(self, role: str, number: int) -> bool:
        """Returns whether a command with this fencing number may be executed.

        A number higher than all before is stored on disk first; if that fails, the command is refused.
        """
        node = self._node
        if node is None or self._store is None:
            return False
        before = node.fence.highest.get(role, 0)
        if not node.fence.admits(role, number):
            return False
        if number > before:
            try:
                await self._store.awrite(on_disk.fence_batch(role, number))
            except (StoreError, OSError) as error:
                log.error(
                    "fencing_number_not_stored role=%s number=%d reason=%s", role, number, error
                )
                return False
        return True

    # -- running

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled; the store is closed then. Raises StoreError or OSError if it can't open."""
        await self._members.opened.wait()
        link = self._members.link
        assert link is not None
        me = link.machine.me.name
        self._store = store = await trio.to_thread.run_sync(Store, self._config.dir)
        try:
            await self._open(store, me)
            link.payload_handlers[OWNERSHIP] = self._receive
            task_status.started()
            await self._serve(link)
        finally:
            link.payload_handlers.pop(OWNERSHIP, None)
            with trio.CancelScope(shield=True):
                await trio.to_thread.run_sync(store.close)

    async def _open(self, store: Store, me: str) -> None:
        voters = self._config.voters
        self._disk, before = on_disk.read(store, voters)
        # The incarnation must grow even if the disk has lost the number of the last one.
        self._incarnation = max(before + 1, time.time_ns() // 1_000_000)
        await store.awrite(on_disk.state_batch(None, self._disk, self._incarnation))
        rng = random.Random(random.SystemRandom().getrandbits(64))
        node = LeaseNode(
            me,
            voters,
            self._disk,
            self._incarnation,
            rng,
            trio.current_time(),
            lease_seconds=self._config.span,
            trust_disk=self._config.trust_disk,
            machines=self._machines,
        )
        node.fence.highest = on_disk.read_fences(store)
        self._node = node
        self._wake_up.set()  # roles that were requested before the start are due now
        log.info(
            "lease_node_started name=%s voter=%s term=%d entries=%d",
            me,
            me in voters,
            self._disk.term,
            self._disk.snapshot.index + len(self._disk.log),
        )

    def _receive(self, data: bytes, sender: str, address: tuple[str, int]) -> list:
        if len(self._queue) < MAX_QUEUED_MESSAGES:
            self._queue.append((data, sender))
            self._wake_up.set()
        else:
            self._dropped += 1
        return []

    async def _serve(self, link: MembershipLink) -> None:
        node, assembler, held_numbers = self._node, FragmentAssembler(), {}
        assert node is not None
        while True:
            with trio.move_on_at(node.due):
                await self._wake_up.wait()
            self._wake_up = trio.Event()
            queue, self._queue = self._queue, []
            for data, sender in queue:
                try:
                    payload = assembler.take(sender, data)
                    message = None if payload is None else unpack(payload)
                except MalformedPayload:
                    self._malformed += 1
                    continue
                if message is not None:
                    await self._store_and_send(
                        link, node.receive(trio.current_time(), message, sender)
                    )
            now = trio.current_time()
            self._follow_views(node, now)
            if now >= node.due:
                await self._store_and_send(link, node.tick(now))
            for number in node.results.keys() & self._reply_events.keys():
                self._reply_events[number].set()
            for role in sorted(self._wanted_roles):
                number = self.owns(role)
                if number != held_numbers.get(role, 0):
                    held_numbers[role] = number
                    if number:
                        log.info("lease_acquired role=%s number=%d", role, number)
                    else:
                        known = node.known_holders.get(role, KnownHolder("", 0, 0.0))
                        log.info("lease_lost role=%s number=%d", role, known.number)

    def _follow_views(self, node: LeaseNode, now: float) -> None:
        """Gives up all roles while this member is in no view, and requests them again once it is in one."""
        if not self._is_outside_views():
            for role in self._wanted_roles - node.wanted_roles:
                node.request_lease(role)
        elif node.wanted_roles:
            for role in sorted(node.wanted_roles):
                node.give_up(role, now)

    async def _store_and_send(self, link: MembershipLink, output: NodeOutput) -> None:
        """Stores the state, then sends the messages: they promise state that must already be on disk."""
        node = self._node
        assert node is not None and self._store is not None
        if output.save is not None and not node.failed:
            try:
                await self._store.awrite(
                    on_disk.state_batch(self._disk, output.save, self._incarnation)
                )
                self._disk = output.save
            except (StoreError, OSError) as error:
                node.fail(str(error))
                log.error("voter_disabled name=%s reason=%s", node.me, error)
                return
        out = []
        for name, message in output.messages:
            listed = link.machine.entries.get(name)
            if listed is not None:
                self._datagram_number += 1
                out += [
                    (listed.claim.address, part)
                    for part in split_payload(pack(message), self._datagram_number)
                ]
        await link.send_payloads(OWNERSHIP, out)

    # -- operators

    async def _release(self, role: str) -> bool:
        """Gives up the lease on a role if this member holds it. Another member gets it, or later this one."""
        node = self._node
        if node is None or role not in self._wanted_roles:
            return False
        if node.owns(role, trio.current_time()):
            node.give_up(role, trio.current_time())
            node.request_lease(role)
            self._wake_up.set()
        return True

    def status(self) -> dict[str, Any]:
        """Returns the leases and the state of the voter as plain values, for the management interface."""
        node, now = self._node, trio.current_time()
        if node is None:
            return {"duties": []}
        result: dict[str, Any] = {
            "duties": [
                {
                    "duty": role,
                    "number": self.last_known_holder(role, now)[0],
                    "owner": self.last_known_holder(role, now)[1],
                    "ours": bool(self.owns(role)),
                    "fence": node.fence.highest.get(role, 0),
                }
                for role in sorted(self._wanted_roles)
            ]
        }
        if node.driver is not None:
            raft = node.driver.raft
            missing = set() if raft.is_voting else set(raft.voters()) - raft.answered_by - {raft.me}
            result["voter"] = {
                "role": raft.role.value,
                "leader": raft.leader,
                "term": raft.term,
                "commit": raft.commit_index,
                "entries": raft.last_index,
                "counts": raft.is_voting,
                "failed": node.failed,
                "unanswered": sorted(missing),
            }
        return {**result, **self.metrics()}

    def metrics(self) -> Mapping[str, int]:
        """Returns the counts since the start, by metric name."""
        node = self._node
        if node is None:
            return {}
        return {
            "ownership_elected": node.elected,
            "ownership_fenced": node.fence.refused,
            "ownership_lost": self._dropped,
            "ownership_malformed": self._malformed,
            "ownership_failed": int(bool(node.failed)),
        }
