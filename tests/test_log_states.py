"""State machines carried by the replicated log: the same everywhere, nothing acknowledged lost or skipped."""

import msgpack
import pytest

from yewrill.lab.netsim import Path
from yewrill.lab.ownnet import OwnNet
from yewrill.leases.format import Submit, Submitted, pack, unpack
from yewrill.leases.lease_table import LeaseTable
from yewrill.leases.node import MAX_PENDING_SUBMISSIONS, SNAPSHOT_AFTER_ENTRIES
from yewrill.leases.raft_types import (
    LEADER,
)
from yewrill.leases.states import pack_all, restore_all


class Ledger:
    """Takes each number once, and says which place it has."""

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


def ledgers(net):
    return {
        name: m.node.machines["ledger"].taken
        for name, m in net.members.items()
        if name in net.voters
    }


def submit(net, who, data):
    number = net.members[who].node.submit("ledger", data, net.now * net.members[who].rate)
    assert number
    return number


def answered(net, who, number, most=60.0):
    node = net.members[who].node
    assert net.until(lambda: number in node.results, most, 0.05) is not None
    return node.results[number]


def net_of(seed, **more):
    return OwnNet(seed, machines=lambda: {"ledger": Ledger()}, **more).run(5.0)


def test_any_member_may_submit_and_all_voters_hold_the_same():
    net = net_of(1)
    for i in range(6):
        assert answered(net, f"m{i}", submit(net, f"m{i}", b"%d" % i)) == b"%d" % i
    net.run(2.0)
    assert set(map(tuple, ledgers(net).values())) == {tuple(b"%d" % i for i in range(6))}
    times = net.members["m0"].node.machines["ledger"].times
    assert times == sorted(times)


@pytest.mark.parametrize("seed", range(6))
def test_what_was_acknowledged_outlasts_kills_loss_and_a_stop_of_all(seed):
    net = net_of(seed, path=Path(delay=0.003, jitter=0.01, loss=0.2, duplication=0.1))
    asked, places = [], {}
    for i in range(30):
        who = f"m{3 + i % 3}"
        asked.append((who, submit(net, who, b"%d" % i), b"%d" % i))
        if i % 10 == 5:
            net.kill(f"m{i % 3}")
        net.run(0.4)
        if i % 10 == 9:
            for name in net.voters:
                if not net.members[name].up:
                    net.restart(name)
    net.peace()
    for who, number, data in asked:
        places[data] = int(answered(net, who, number))
    for name in net.voters:
        net.kill(name)
    net.run(1.0)
    net.peace()
    net.run(10.0)
    assert answered(net, "m3", submit(net, "m3", b"last")) == b"30"
    net.run(2.0)
    held = ledgers(net)
    assert len(set(map(tuple, held.values()))) == 1
    assert all(held["m0"][place] == data for data, place in places.items()) and len(places) == 30


def test_a_snapshot_has_all_machines_and_a_voter_comes_back_by_it():
    net = net_of(2)
    net.kill("m2")
    for i in range(SNAPSHOT_AFTER_ENTRIES + 40):
        submit(net, "m4", b"%d" % i)
        net.run(0.02)
    net.run(3.0)
    leader = next(m for n, m in net.members.items() if n in net.voters and m.up)
    assert leader.node.driver.raft.snapshot.index > 0
    net.restart("m2")
    net.run(20.0)
    held = ledgers(net)
    assert held["m2"] == held["m0"] == held["m1"] and len(held["m2"]) == SNAPSHOT_AFTER_ENTRIES + 40


def test_a_voter_that_lacks_a_machine_stops_and_skips_nothing():
    net = net_of(3)
    without = next(
        m.node
        for n, m in net.members.items()
        if n in net.voters and m.node.driver.raft.role != LEADER
    )
    without.machines.clear()
    assert answered(net, "m5", submit(net, "m5", b"x")) == b"0"
    net.run(3.0)
    assert "can't read" in without.failed
    assert answered(net, "m5", submit(net, "m5", b"y")) == b"1"  # the other two go on


def test_what_nobody_knows_is_said_so_and_what_waits_is_bounded():
    net = net_of(4)
    node = net.members["m5"].node
    number = node.submit("calendar", b"", net.now)
    assert answered(net, "m5", number) is None
    for name in net.voters:
        net.kill(name)
    numbers = [node.submit("ledger", b"", net.now) for _ in range(MAX_PENDING_SUBMISSIONS)]
    assert all(numbers) and node.submit("ledger", b"", net.now) == 0
    node.withdraw(numbers[0])
    assert node.submit("ledger", b"", net.now) > 0


def test_snapshots_of_duties_alone_are_as_they_were():
    duties = LeaseTable(clock=7, highest_numbers={"zones": 3})
    assert pack_all(duties, {}) == duties.pack()
    ledger = Ledger()
    ledger.apply(1, b"x")
    whole = pack_all(duties, {"ledger": ledger})
    other = Ledger()
    assert restore_all(whole, {"ledger": other}) == (duties, "") and other.taken == [b"x"]
    assert restore_all(duties.pack(), {"ledger": other}) == (duties, "") and other.taken == []
    assert restore_all(whole, {}) == (duties, "ledger")


@pytest.mark.parametrize(
    "what",
    [
        Submit("calendar", 7, b"x" * 999),
        Submitted(7, True, False),
        Submitted(8, True, True, b"y" * 5000),
        Submitted(9, False, False, b"", "m1"),
    ],
)
def test_what_is_submitted_comes_out_as_it_went_in(what):
    assert unpack(pack(what)) == what
