"""What the rest of the program uses of ownership: a hook that has this member's node on disk and socket."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Mapping
from typing import Any, Protocol

import trio

from yewrill.leases import disk as on_disk
from yewrill.leases.format import pack, unpack
from yewrill.leases.node import LeaseNode, NodeOutput
from yewrill.leases.raft_types import (
    PersistentRaftState,
)
from yewrill.leases.states import StateMachine
from yewrill.membership import Members
from yewrill.membership.link import OWNERSHIP, MembershipLink
from yewrill.membership.parts import FragmentAssembler, MalformedPayload, split_payload
from yewrill.service.subsystems import SubsystemContext
from yewrill.store import Store, StoreError

log = logging.getLogger("yewrill.ownership")

MAX_QUEUED_MESSAGES = 512  # messages that wait for the disk; more are lost, as on any network


class Unanswered(Exception):
    """The log has not answered; whether it took what was said is not known."""


class OwnershipConfig(Protocol):
    """What the operators' file says. `span` in seconds."""

    voters: tuple[str, ...]
    dir: str
    span: float
    trust_disk: bool


class Ownership:
    """A hook of the service. It needs the membership's hook."""

    name = "ownership"

    def __init__(self, config: OwnershipConfig):
        self._config = config
        self._node: LeaseNode | None = None
        self._store: Store | None = None
        self._disk: PersistentRaftState | None = None
        self._incarnation = 0
        self._queue: list[tuple[Any, str]] = []
        self._woken = trio.Event()
        self._wanted: set[str] = set()
        self._machines: dict[str, StateMachine] = {}
        self._answers: dict[
            int, trio.Event
        ] = {}  # who waits for what was submitted; bounded by the node
        self._number = random.SystemRandom().getrandbits(40)  # of messages that are cut in parts
        self._lost = self._malformed = 0
        self.calls = {"release": self._release}

    def attach(self, context: SubsystemContext) -> None:
        members = context.subsystems["members"]
        assert isinstance(members, Members)
        self._members = members
        self._views = context.subsystems.get("views")
        if self._views is not None:
            self._views.watch(lambda: self._woken.set())  # noqa: PLW0108 - the event is replaced

    # -- what other parts use

    def want(self, duty: str) -> None:
        """Try to own a duty from here on, whenever nobody else does."""
        self._wanted.add(duty)
        if self._node is not None and not self._outside():
            self._node.want(duty)
        self._woken.set()

    def _outside(self) -> bool:
        """With agreed views, whoever is in none owns nothing, and asks for nothing."""
        return self._views is not None and self._views.view() is None

    def owns(self, duty: str) -> int:
        """The number of our grant while it is sure to hold, else 0."""
        outside = self._node is None or self._outside()
        return 0 if outside else self._node.owns(duty, trio.current_time())

    def seen(self, duty: str, now: float) -> tuple[int, str]:
        """The highest number heard of, and the owner; nobody if that was not heard for two spans."""
        if self._node is None:
            return 0, ""
        if number := self.owns(duty):
            return number, self._node.me
        owner, number, at = self._node.known.get(duty, ("", 0, 0.0))
        lately = now - at < 2.0 * self._config.span
        return number, owner if lately and owner != self._node.me else ""

    def carry(self, name: str, machine: StateMachine) -> None:
        """Have the log carry a state machine; said before it runs, at all voters."""
        self._machines[name] = machine

    async def submit(self, machine: str, data: bytes, patience: float) -> bytes:
        """What a state machine of the log says to this, once most voters have it on disk. Raises Unanswered
        after `patience` seconds, when it may have taken effect or not: it may be said again under the same
        number of the machine's own."""
        node = self._node
        number = (
            0
            if node is None or self._outside()
            else node.submit(machine, data, trio.current_time())
        )
        if node is None or not number:
            raise Unanswered("no log is to be reached")
        waiting = self._answers[number] = trio.Event()
        self._woken.set()
        try:
            with trio.move_on_after(patience):
                await waiting.wait()
            if number not in node.results:
                raise Unanswered(f"no answer in {patience:g} s")
            said = node.results[number]
            if said is None:
                raise Unanswered(f"the voters have no {machine}")
            return said
        finally:
            del self._answers[number]
            node.withdraw(number)

    async def admits(self, duty: str, number: int) -> bool:
        """Whether an order under this number is to be obeyed; a higher number is on disk before the yes."""
        node = self._node
        if node is None or self._store is None:
            return False
        before = node.fence.highest.get(duty, 0)
        if not node.fence.admits(duty, number):
            return False
        if number > before:
            try:
                await self._store.awrite(on_disk.fence(duty, number))
            except (StoreError, OSError) as error:
                log.error("fence-not-kept duty=%s number=%d: %s", duty, number, error)
                return False
        return True

    # -- running

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
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
        # Above every earlier start's, also where the disk has forgotten some of them.
        self._incarnation = max(before + 1, time.time_ns() // 1_000_000)
        await store.awrite(on_disk.changes(None, self._disk, self._incarnation))
        rng = random.Random(random.SystemRandom().getrandbits(64))
        node = LeaseNode(
            me,
            voters,
            self._disk,
            self._incarnation,
            rng,
            trio.current_time(),
            span=self._config.span,
            trust_disk=self._config.trust_disk,
            machines=self._machines,
        )
        node.fence.highest = on_disk.read_fences(store)
        self._node = node
        self._woken.set()  # what was wanted before is asked for
        log.info(
            "ownership name=%s voter=%s term=%d entries=%d",
            me,
            me in voters,
            self._disk.term,
            self._disk.snapshot.index + len(self._disk.log),
        )

    def _receive(self, data: bytes, sender: str, address: tuple[str, int]) -> list:
        if len(self._queue) < MAX_QUEUED_MESSAGES:
            self._queue.append((data, sender))
            self._woken.set()
        else:
            self._lost += 1
        return []

    async def _serve(self, link: MembershipLink) -> None:
        node, joiner, owned = self._node, FragmentAssembler(), {}
        assert node is not None
        while True:
            with trio.move_on_at(node.due):
                await self._woken.wait()
            self._woken = trio.Event()
            queue, self._queue = self._queue, []
            for data, sender in queue:
                try:
                    whole = joiner.take(sender, data)
                    what = None if whole is None else unpack(whole)
                except MalformedPayload:
                    self._malformed += 1
                    continue
                if what is not None:
                    await self._carry_out(link, node.receive(trio.current_time(), what, sender))
            now = trio.current_time()
            self._heed_views(node, now)
            if now >= node.due:
                await self._carry_out(link, node.tick(now))
            for number in node.results.keys() & self._answers.keys():
                self._answers[number].set()
            for duty in sorted(self._wanted):
                number = self.owns(duty)
                if number != owned.get(duty, 0):
                    owned[duty] = number
                    log.info(
                        "owner duty=%s number=%d %s",
                        duty,
                        number or node.known.get(duty, ("", 0))[1],
                        "is ours" if number else "is not ours any more",
                    )

    def _heed_views(self, node: LeaseNode, now: float) -> None:
        """Out of the agreed views, let others have our duties; back in one, want them again."""
        if not self._outside():
            for duty in self._wanted - node.wanted:
                node.want(duty)
        elif node.wanted:
            for duty in sorted(node.wanted):
                node.give_up(duty, now)

    async def _carry_out(self, link: MembershipLink, step: NodeOutput) -> None:
        """First to disk, then out: what is said rests on what is kept."""
        node = self._node
        assert node is not None and self._store is not None
        if step.save is not None and not node.failed:
            try:
                await self._store.awrite(on_disk.changes(self._disk, step.save, self._incarnation))
                self._disk = step.save
            except (StoreError, OSError) as error:
                node.fail(str(error))
                log.error("voter-stands-down name=%s: %s", node.me, error)
                return
        out = []
        for name, what in step.messages:
            listed = link.machine.entries.get(name)
            if listed is not None:
                self._number += 1
                out += [
                    (listed.claim.address, part) for part in split_payload(pack(what), self._number)
                ]
        await link.send_payloads(OWNERSHIP, out)

    # -- operators

    async def _release(self, duty: str) -> bool:
        """Give a duty up if it is ours; another gets it, or we again after a while."""
        node = self._node
        if node is None or duty not in self._wanted:
            return False
        if node.owns(duty, trio.current_time()):
            node.give_up(duty, trio.current_time())
            node.want(duty)
            self._woken.set()
        return True

    def status(self) -> dict[str, Any]:
        """For operators, as plain values."""
        node, now = self._node, trio.current_time()
        if node is None:
            return {"duties": []}
        found: dict[str, Any] = {
            "duties": [
                {
                    "duty": duty,
                    "number": self.seen(duty, now)[0],
                    "owner": self.seen(duty, now)[1],
                    "ours": bool(self.owns(duty)),
                    "fence": node.fence.highest.get(duty, 0),
                }
                for duty in sorted(self._wanted)
            ]
        }
        if node.driver is not None:
            raft = node.driver.raft
            missing = set() if raft.is_voting else set(raft.voters()) - raft.answered_by - {raft.me}
            found["voter"] = {
                "role": raft.role.value,
                "leader": raft.leader,
                "term": raft.term,
                "commit": raft.commit_index,
                "entries": raft.last_index,
                "counts": raft.is_voting,
                "failed": node.failed,
                "unanswered": sorted(missing),
            }
        return {**found, **self.metrics()}

    def metrics(self) -> Mapping[str, int]:
        """Counts since the start, by the names operators see."""
        node = self._node
        if node is None:
            return {}
        return {
            "ownership_elected": node.elected,
            "ownership_fenced": node.fence.refused,
            "ownership_lost": self._lost,
            "ownership_malformed": self._malformed,
            "ownership_failed": int(bool(node.failed)),
        }
