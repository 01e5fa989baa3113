"""What three members say to each other, from their start on, over a network without loss: every message in
bytes. So whatever they compute alike and say (digests, sums, numbers, ballots) is in a fixture too."""

from __future__ import annotations

import random

from fixture_messages import VOTERS

from yewrill.leases import raft_types
from yewrill.leases.format import pack as pack_ownership
from yewrill.leases.format import unpack as unpack_ownership
from yewrill.leases.node import LeaseNode
from yewrill.membership.format import Codec, UnknownRun
from yewrill.membership.machine import SwimMember as Membership
from yewrill.membership.messages import Claim
from yewrill.membership.messages import Message as Datagram
from yewrill.views.format import MessageAssembler
from yewrill.views.format import pack as pack_views
from yewrill.views.machine import ViewMachine as Viewer
from yewrill.views.view import Entry

Address = tuple[str, int]
ADDRESSES: dict[str, Address] = {name: ("127.0.0.1", 7400 + at) for at, name in enumerate(VOTERS)}
NAMES = {address: name for name, address in ADDRESSES.items()}
STEP, STEPS = 0.05, 60  # seconds of a step, and how many
KEY = bytes(range(16))


def members_say() -> list[str]:
    """One knows nobody, the others know it: until all are listed, and on."""
    seeds = [ADDRESSES[VOTERS[0]]]
    machines, codecs = {}, {}
    for at, (name, address) in enumerate(ADDRESSES.items()):
        me = Claim(name, address, "room", "upper", at)
        machines[name] = Membership(me, seeds, random.Random(at), 0.0)
        codecs[name] = Codec(name, 1000 + at, [KEY])
    said: list[str] = []
    for step in range(STEPS):
        now = STEP * step
        for name, machine in machines.items():
            out = machine.tick(now) if now >= machine.due else []
            queue = [(name, to, message) for to, message in out]
            while queue:
                sender, to, message = queue.pop(0)
                receiver = NAMES[to]
                data = codecs[sender].encode(message, to)
                said.append(f"{sender} {receiver} {data.hex()}")
                queue += _members_answer(machines, codecs, now, sender, receiver, data)
    return said


def _members_answer(
    machines: dict[str, Membership],
    codecs: dict[str, Codec],
    now: float,
    sender: str,
    receiver: str,
    data: bytes,
) -> list[tuple[str, Address, Datagram]]:
    """What a datagram is answered with. A stranger is told the run, and says it again."""
    codec, source = codecs[receiver], ADDRESSES[sender]
    try:
        name, message = codec.decode(data, source)
    except UnknownRun as error:
        greeting = codec.hello(source, error.run)
        codecs[sender].decode(greeting, ADDRESSES[receiver])
        again = codecs[sender].take_undelivered(ADDRESSES[receiver])
        return [] if again is None else [(sender, ADDRESSES[receiver], again)]
    out = machines[receiver].receive(now, message, name, source)
    return [(receiver, to, answer) for to, answer in out]


def views_say() -> list[str]:
    """All three found the first view, and one leaves it."""
    machines, parts = {}, {}
    for at, (name, address) in enumerate(ADDRESSES.items()):
        entry = Entry(name, 100 + at, address, "room", ("voter",))
        machines[name] = Viewer(entry, VOTERS, None, random.Random(at), 0.0)
        machines[name].set_known_members(ADDRESSES, 0.0)
        parts[name] = MessageAssembler()
    said: list[str] = []
    for step in range(STEPS):
        now = STEP * step
        for name, machine in list(machines.items()):
            if step == STEPS // 2 and name == VOTERS[2]:
                out = machine.leave(now)
            else:
                out = machine.tick(now) if now >= machine.due else None
            queue = [(name, to, message) for to, message in out.messages] if out else []
            while queue:
                sender, to, message = queue.pop(0)
                receiver = NAMES[to]
                for number, cargo in enumerate(pack_views(message, len(said))):
                    said.append(f"{sender} {receiver} {number} {cargo.hex()}")
                    whole = parts[receiver].take(sender, cargo)
                    if whole is not None:
                        answer = machines[receiver].receive(now, whole, sender, ADDRESSES[sender])
                        queue += [(receiver, to, message) for to, message in answer.messages]
    return said


def ownership_says() -> list[str]:
    """A leader is elected, and all want one duty."""
    nodes = {}
    for at, name in enumerate(VOTERS):
        disk = raft_types.PersistentRaftState(snapshot=raft_types.Snapshot(0, 0, VOTERS))
        nodes[name] = LeaseNode(
            name, VOTERS, disk, 100 + at, random.Random(at), 0.0, lease_seconds=1.0
        )
        nodes[name].want("zones")
    said: list[str] = []
    for step in range(STEPS):
        now = STEP * step
        for name, node in nodes.items():
            out = node.tick(now).messages if now >= node.due else []
            queue = [(name, to, message) for to, message in out]
            while queue:
                sender, receiver, message = queue.pop(0)
                data = pack_ownership(message)
                said.append(f"{sender} {receiver} {data.hex()}")
                answer = nodes[receiver].receive(now, unpack_ownership(data), sender)
                queue += [(receiver, to, message) for to, message in answer.messages]
    return said
