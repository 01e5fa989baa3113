"""All messages that three members exchange from their start, over a network without loss.

They cover values that members compute and send: digests, checksums, numbers and ballots.
"""

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
STEP_SECONDS, STEPS = 0.05, 60
KEY = bytes(range(16))


def member_conversation() -> list[str]:
    """Returns the datagrams of members of which the first knows nobody and the others know the first."""
    seeds = [ADDRESSES[VOTERS[0]]]
    machines, codecs = {}, {}
    for at, (name, address) in enumerate(ADDRESSES.items()):
        me = Claim(name, address, "room", "upper", at)
        machines[name] = Membership(me, seeds, random.Random(at), 0.0)
        codecs[name] = Codec(name, 1000 + at, [KEY])
    sent: list[str] = []
    for step in range(STEPS):
        now = STEP_SECONDS * step
        for name, machine in machines.items():
            out = machine.tick(now) if now >= machine.due else []
            queue = [(name, to, message) for to, message in out]
            while queue:
                sender, to, message = queue.pop(0)
                receiver = NAMES[to]
                data = codecs[sender].encode(message, to)
                sent.append(f"{sender} {receiver} {data.hex()}")
                queue += _member_responses(machines, codecs, now, sender, receiver, data)
    return sent


def _member_responses(
    machines: dict[str, Membership],
    codecs: dict[str, Codec],
    now: float,
    sender: str,
    receiver: str,
    data: bytes,
) -> list[tuple[str, Address, Datagram]]:
    """Returns the responses to a datagram. A sender whose run is unknown gets a hello and sends again."""
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


def view_conversation() -> list[str]:
    """Returns the messages of three founders of a view, of which one leaves later."""
    machines, parts = {}, {}
    for at, (name, address) in enumerate(ADDRESSES.items()):
        entry = Entry(name, 100 + at, address, "room", ("voter",))
        machines[name] = Viewer(entry, VOTERS, None, random.Random(at), 0.0)
        machines[name].set_known_members(ADDRESSES, 0.0)
        parts[name] = MessageAssembler()
    sent: list[str] = []
    for step in range(STEPS):
        now = STEP_SECONDS * step
        for name, machine in list(machines.items()):
            if step == STEPS // 2 and name == VOTERS[2]:
                out = machine.leave(now)
            else:
                out = machine.tick(now) if now >= machine.due else None
            queue = [(name, to, message) for to, message in out.messages] if out else []
            while queue:
                sender, to, message = queue.pop(0)
                receiver = NAMES[to]
                for number, payload in enumerate(pack_views(message, len(sent))):
                    sent.append(f"{sender} {receiver} {number} {payload.hex()}")
                    whole = parts[receiver].take(sender, payload)
                    if whole is not None:
                        answer = machines[receiver].receive(now, whole, sender, ADDRESSES[sender])
                        queue += [(receiver, to, message) for to, message in answer.messages]
    return sent


def ownership_conversation() -> list[str]:
    """Returns the messages of three voters that elect a leader and all claim the same role."""
    nodes = {}
    for at, name in enumerate(VOTERS):
        disk = raft_types.PersistentRaftState(snapshot=raft_types.Snapshot(0, 0, VOTERS))
        nodes[name] = LeaseNode(
            name, VOTERS, disk, 100 + at, random.Random(at), 0.0, lease_seconds=1.0
        )
        nodes[name].request_lease("zones")
    sent: list[str] = []
    for step in range(STEPS):
        now = STEP_SECONDS * step
        for name, node in nodes.items():
            out = node.tick(now).messages if now >= node.due else []
            queue = [(name, to, message) for to, message in out]
            while queue:
                sender, receiver, message = queue.pop(0)
                data = pack_ownership(message)
                sent.append(f"{sender} {receiver} {data.hex()}")
                answer = nodes[receiver].receive(now, unpack_ownership(data), sender)
                queue += [(receiver, to, message) for to, message in answer.messages]
    return sent
