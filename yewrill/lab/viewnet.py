"""State machines of agreed views in a simulated network, in virtual time and reproducible by seed.

Members are killed, paused, restarted with the view that they persisted, partitioned in one direction or both,
and duplicated under one name. Each member is told the live members at once; the real membership would tell
them after a while. At every installation of a view and at regular intervals, the network checks the safety
properties: no two views have the same number, and leases are held in the same view or in two consecutive
ones. Times are in seconds.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from yewrill.lab.netsim import NetworkPath, PausableNetwork
from yewrill.membership.parts import MalformedPayload
from yewrill.views.format import MessageAssembler, pack
from yewrill.views.machine import Step, ViewMachine
from yewrill.views.timing import ViewTiming
from yewrill.views.view import Entry, PersistedView, View

# Bytes around the payload of a datagram: tag and authentication code, then name, runs and counter.
DATAGRAM_HEADER_BYTES = 20 + 45
CHECK_INTERVAL_SECONDS = 0.05  # time between two checks of the leases


@dataclass(eq=False)
class Node:
    """A member: its state machine, its disk and the state of its process."""

    name: str
    address: tuple[str, int]
    machine: ViewMachine
    disk: PersistedView | None = None
    paused_until: float = -1.0
    dead: bool = False
    sent: int = 0  # number of bytes that the member sent
    assembler: MessageAssembler = field(default_factory=MessageAssembler)
    inbox: list[tuple[str, tuple[str, int], bytes]] = field(default_factory=list)
    messages_sent: int = 0  # number of messages that the member sent; tells their fragments apart
    next_wakeup: float = float("inf")  # time at which the member's machine is ticked next
    incarnations: set[int] = field(default_factory=set)  # the incarnations of this process so far


class ViewNet(PausableNetwork):
    """Members with their state machines of agreed views on a simulated network."""

    def __init__(
        self,
        seed: int,
        members: int,
        *,
        founders: int = 3,
        timing: ViewTiming | None = None,
        path: NetworkPath | None = None,
        formed: bool = True,
        check: bool = True,
    ):
        super().__init__(seed, path)
        self.timing = timing or ViewTiming()
        self.nodes: dict[str, Node] = {}
        self.all_nodes: list[Node] = []
        self._nodes_by_address: dict[tuple[str, int], Node] = {}
        self.founders = tuple(f"m{i:04d}" for i in range(min(founders, members)))
        self.digests: dict[int, bytes] = {}
        self.views_by_number: dict[int, View] = {}
        self.violations: list[str] = []  # descriptions of the violations of the safety properties
        # Time of each removal of a healthy member from a view, and its name.
        self.false_removals: list[tuple[float, str]] = []
        # Names of members whose removal or loss of the lease is expected.
        self.exempt: set[str] = set()
        # Time that running members outside `exempt` have spent without a lease.
        self.seconds_without_lease: dict[str, float] = {}
        self._killed: dict[int, float] = {}
        names = [f"m{i:04d}" for i in range(members)]
        for i, name in enumerate(names):
            self.start(name, (f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}", 7000))
        if formed:
            view = View(1, tuple(node.machine.me for node in self.nodes.values()))
            for node in self.nodes.values():
                self._carry_out(node, node.machine.install(view, self.now))
        self._checks_leases = check
        if check:
            self.at(self.now, self._check_leases)

    # -- processes

    def start(self, name: str, address: tuple[str, int], disk: PersistedView | None = None) -> Node:
        """Starts a process with the view that it has persisted, if any."""
        me = Entry(name, self.rng.getrandbits(47) + 1, address, "z0")
        machine = ViewMachine(
            me, self.founders, disk, random.Random(self.rng.getrandbits(64)), self.now, self.timing
        )
        node = Node(name, address, machine, disk, incarnations={me.incarnation})
        self.nodes[name] = self._nodes_by_address[address] = node
        self.all_nodes.append(node)
        self._update_known_members()
        self._arm(node)
        return node

    def _update_known_members(self) -> None:
        known = {name: node.address for name, node in self.nodes.items() if not node.dead}
        if len(known) > 64:  # a process needs only a few addresses to start with
            known = {name: known[name] for name in sorted(known)[:64]}
        for node in self.nodes.values():
            node.machine.set_known_members(known, self.now)

    def kill(self, *names: str) -> None:
        """Stops members without an announcement."""
        for name in names:
            self.nodes[name].dead = True

    def restart(self, name: str) -> Node:
        """Kills a member and starts it again with the view that it persisted."""
        old = self.nodes[name]
        old.dead = True
        return self.start(name, old.address, old.disk)

    def start_duplicate(self, name: str, address: tuple[str, int]) -> Node:
        """Starts another process with the name of a member; `nodes` keeps the first one."""
        first = self.nodes[name]
        second = self.start(name, address)
        self.nodes[name] = first
        self._update_known_members()
        return second

    def leave(self, name: str, linger: float = 0.2) -> None:
        """Lets a member leave its view, and stops it after `linger` seconds."""
        node = self.nodes[name]
        self._carry_out(node, node.machine.leave(self.now))
        self.at(self.now + linger, lambda: setattr(node, "dead", True))

    # -- the network

    def _arm(self, node: Node) -> None:
        """Schedules the next tick of a machine; replaces one that is scheduled for later."""
        due = max(node.machine.due, self.now + 1e-3)
        if due >= node.next_wakeup or due == float("inf"):
            return
        node.next_wakeup = due

        def tick() -> None:
            if node.dead or node.next_wakeup != due:
                return
            if self.now >= node.paused_until:
                node.next_wakeup = float("inf")
                self._tick(node)
                self._arm(node)
            else:
                self.at(node.paused_until + 1e-3, tick)

        self.at(due, tick)

    def _tick(self, node: Node) -> None:
        if self.now >= node.machine.due:
            self._carry_out(node, node.machine.tick(self.now))

    def _carry_out(self, node: Node, step: Step) -> None:
        if step.persist is not None:
            node.disk = step.persist
        node.incarnations.add(node.machine.me.incarnation)
        if node.machine.changes:
            self._record_installs(node)
        self._arm(node)
        for address, message in step.messages:
            node.messages_sent += 1
            to = self._nodes_by_address.get(address)
            for part in pack(message, node.messages_sent):
                node.sent += len(part) + 1 + DATAGRAM_HEADER_BYTES
                if to is not None:
                    self.deliver(
                        self.path(node.name, to.name),
                        lambda to=to, part=part: self._arrive(to, node, part),
                    )

    def _arrive(self, to: Node, sender: Node, part: bytes) -> None:
        if to.dead:
            return
        if self.now < to.paused_until:
            to.inbox.append((sender.name, sender.address, part))
        else:
            self._take(to, sender.name, sender.address, part)

    def _take(self, node: Node, sender: str, source: tuple[str, int], data: bytes) -> None:
        try:
            message = node.assembler.take(sender, data)
        except MalformedPayload:
            return
        if message is not None:
            self._carry_out(node, node.machine.receive(self.now, message, sender, source))

    # -- safety properties

    def _record_installs(self, node: Node) -> None:
        for _, view in node.machine.changes:
            if view is None:
                continue
            known = self.digests.setdefault(view.number, view.digest)
            if known != view.digest:
                self.violations.append(f"{self.now:.2f}: two views {view.number}")
            before = self.views_by_number.get(view.number - 1)
            if view.number not in self.views_by_number:
                self.views_by_number[view.number] = view
                for entry in before.entries if before is not None else ():
                    other = self.nodes.get(entry.name)
                    if (
                        view.find(entry.name, entry.incarnation) is None
                        and other is not None
                        and entry.incarnation in other.incarnations
                        and not other.dead
                        and self.now >= other.paused_until
                        and not other.machine._leaving
                        and entry.name not in self.exempt
                    ):
                        self.false_removals.append((self.now, entry.name))
            if node.disk is None or node.disk.number < view.number:
                self.violations.append(f"{self.now:.2f}: {node.name} did not persist {view.number}")
        node.machine.changes.clear()

    def _check_leases(self) -> None:
        numbers = set()
        for node in self.all_nodes:
            if not node.dead and self.now >= node.paused_until:
                view = node.machine.view(self.now)
                if view is not None:
                    numbers.add(view.number)
                elif node.name not in self.exempt:
                    self.seconds_without_lease[node.name] = (
                        self.seconds_without_lease.get(node.name, 0.0) + CHECK_INTERVAL_SECONDS
                    )
            if node.machine.counters.conflicts:
                self.violations.append(f"{self.now:.2f}: conflict at {node.name}")
        if numbers and max(numbers) - min(numbers) > 1:
            self.violations.append(f"{self.now:.2f}: leases in {min(numbers)} and {max(numbers)}")
        self.at(self.now + CHECK_INTERVAL_SECONDS, self._check_leases)

    # -- views of the members

    def living(self) -> list[Node]:
        """Returns the members that run, including paused ones."""
        return [node for node in self.nodes.values() if not node.dead]

    def leased_view(self, name: str) -> View | None:
        """Returns the view in which a member holds a lease, None without a lease."""
        return self.nodes[name].machine.view(self.now)

    def agreed(self, among: Iterable[str] | None = None) -> bool:
        """Returns whether the running members, or `among`, hold leases in one view of exactly these."""
        names = {node.name for node in self.living()} if among is None else set(among)
        views = [self.leased_view(name) for name in names]
        return all(
            view is not None and set(view.names) == names and view.digest == views[0].digest
            for view in views
        )

    def removed(self, names: Iterable[str], among: Iterable[str] | None = None) -> bool:
        """Returns whether these processes, by incarnation, are in no installed view of the other members.

        `among`: the other members that count, by default all that run.
        """
        processes = {(name, self.nodes[name].machine.me.incarnation) for name in names}
        others = [
            node
            for node in self.living()
            if node.name not in {name for name, _ in processes}
            and (among is None or node.name in among)
        ]
        return not any(
            node.machine.installed is not None and node.machine.installed.find(*process) is not None
            for node in others
            for process in processes
        )

    def pause_repeatedly(
        self, names: Iterable[str], running: float, pause: float, until: float
    ) -> None:
        """Pauses members again and again, each with its own phase, until the given time."""
        for name in names:
            self._pause_repeatedly(
                name, running, pause, until, self.now + self.rng.random() * (running + pause)
            )

    def _pause_repeatedly(
        self, name: str, running: float, pause: float, until: float, at: float
    ) -> None:
        def again() -> None:
            if self.now < until:
                self.pause(name, pause)
                self._pause_repeatedly(name, running, pause, until, self.now + running + pause)

        self.at(at, again)
