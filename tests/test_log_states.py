"""State machines on the replicated log.

All voters must hold the same state, acknowledged submissions must survive crashes of all voters, and a voter
that lacks a machine must stop instead of skipping an entry.
"""

import msgpack
import pytest

from yewrill.lab.netsim import NetworkPath
from yewrill.lab.ownnet import OwnNet
from yewrill.leases.format import Submit, Submitted, pack, unpack
from yewrill.leases.lease_table import LeaseTable
from yewrill.leases.node import MAX_PENDING_SUBMISSIONS, SNAPSHOT_AFTER_ENTRIES
from yewrill.leases.raft_types import (
    LEADER,
)
from yewrill.leases.states import pack_all, restore_all


class Ledger:
    """A state machine that stores each value once, and returns its position."""

    def __init__(self):
        self.taken, self.times = [], []

    def apply(self, at, data):
        if data not in self.taken:
            self.taken.append(data)
        self.times.append(at)
        return b"%d" % self.taken.index(data)

    def pack(self):
        return msgpack.packb(self.taken)

    def restore(self, data):
        self.taken = msgpack.unpackb(data) if data else []


def ledger_states(net):
    return {
        name: m.node.machines["ledger"].taken
        for name, m in net.members.items()
        if name in net.voters
    }


def submit(net, member, data):
    number = net.members[member].node.submit(
        "ledger", data, net.now * net.members[member].clock_rate
    )
    assert number
    return number


def wait_for_result(net, member, number, max_seconds=60.0):
    node = net.members[member].node
    assert net.until(lambda: number in node.results, max_seconds, 0.05) is not None
    return node.results[number]


def started_net(seed, **options):
    return OwnNet(seed, machines=lambda: {"ledger": Ledger()}, **options).run(5.0)


def test_submissions_of_any_member_give_all_voters_the_same_state():
    net = started_net(1)
    for i in range(6):
        assert wait_for_result(net, f"m{i}", submit(net, f"m{i}", b"%d" % i)) == b"%d" % i
    net.run(2.0)
    assert set(map(tuple, ledger_states(net).values())) == {tuple(b"%d" % i for i in range(6))}
    times = net.members["m0"].node.machines["ledger"].times
    assert times == sorted(times)


@pytest.mark.parametrize("seed", range(6))
def test_acknowledged_submissions_survive_loss_kills_and_a_stop_of_all_voters(seed):
    net = started_net(seed, path=NetworkPath(delay=0.003, jitter=0.01, loss=0.2, duplication=0.1))
    submissions, positions = [], {}
    for i in range(30):
        member = f"m{3 + i % 3}"
        submissions.append((member, submit(net, member, b"%d" % i), b"%d" % i))
        if i % 10 == 5:
            net.kill(f"m{i % 3}")
        net.run(0.4)
        if i % 10 == 9:
            for name in net.voters:
                if not net.members[name].up:
                    net.restart(name)
    net.end_faults()
    for member, number, data in submissions:
        positions[data] = int(wait_for_result(net, member, number))
    for name in net.voters:
        net.kill(name)
    net.run(1.0)
    net.end_faults()
    net.run(10.0)
    assert wait_for_result(net, "m3", submit(net, "m3", b"last")) == b"30"
    net.run(2.0)
    states = ledger_states(net)
    assert len(set(map(tuple, states.values()))) == 1
    assert (
        all(states["m0"][position] == data for data, position in positions.items())
        and len(positions) == 30
    )


def test_a_restarted_voter_recovers_all_machines_from_a_snapshot():
    net = started_net(2)
    net.kill("m2")
    for i in range(SNAPSHOT_AFTER_ENTRIES + 40):
        submit(net, "m4", b"%d" % i)
        net.run(0.02)
    net.run(3.0)
    leader = next(m for n, m in net.members.items() if n in net.voters and m.up)
    assert leader.node.driver.raft.snapshot.index > 0
    net.restart("m2")
    net.run(20.0)
    states = ledger_states(net)
    assert (
        states["m2"] == states["m0"] == states["m1"]
        and len(states["m2"]) == SNAPSHOT_AFTER_ENTRIES + 40
    )


def test_a_voter_that_lacks_a_machine_stops_and_skips_no_entry():
    net = started_net(3)
    node_without_machine = next(
        m.node
        for n, m in net.members.items()
        if n in net.voters and m.node.driver.raft.role != LEADER
    )
    node_without_machine.machines.clear()
    assert wait_for_result(net, "m5", submit(net, "m5", b"x")) == b"0"
    net.run(3.0)
    assert "can't read" in node_without_machine.failed
    assert wait_for_result(net, "m5", submit(net, "m5", b"y")) == b"1"  # the other two voters go on


def test_an_unknown_machine_gives_no_result_and_pending_submissions_are_bounded():
    net = started_net(4)
    node = net.members["m5"].node
    number = node.submit("calendar", b"", net.now)
    assert wait_for_result(net, "m5", number) is None
    for name in net.voters:
        net.kill(name)
    numbers = [node.submit("ledger", b"", net.now) for _ in range(MAX_PENDING_SUBMISSIONS)]
    assert all(numbers) and node.submit("ledger", b"", net.now) == 0
    node.withdraw(numbers[0])
    assert node.submit("ledger", b"", net.now) > 0


def test_a_snapshot_of_the_lease_table_alone_keeps_its_format():
    lease_table = LeaseTable(clock=7, highest_numbers={"zones": 3})
    assert pack_all(lease_table, {}) == lease_table.pack()
    ledger = Ledger()
    ledger.apply(1, b"x")
    snapshot = pack_all(lease_table, {"ledger": ledger})
    other = Ledger()
    assert restore_all(snapshot, {"ledger": other}) == (lease_table, "") and other.taken == [b"x"]
    assert (
        restore_all(lease_table.pack(), {"ledger": other}) == (lease_table, "")
        and other.taken == []
    )
    assert restore_all(snapshot, {}) == (lease_table, "ledger")


@pytest.mark.parametrize(
    "what",
    [
        Submit("calendar", 7, b"x" * 999),
        Submitted(7, True, False),
        Submitted(8, True, True, b"y" * 5000),
        Submitted(9, False, False, b"", "m1"),
    ],
)
def test_submit_messages_are_equal_after_packing_and_unpacking(what):
    assert unpack(pack(what)) == what
