"""Leases: the lease table, fences, codecs of messages and of stored state, and simulated members with faults.

The tests guard against two holders of a role at once, and against commands of a former holder being executed.
"""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yewrill.lab.ownnet import OwnNet, run_random_faults
from yewrill.lab.raftcheck import InvariantViolation
from yewrill.leases import disk as on_disk
from yewrill.leases import lease_table as lease_table_module
from yewrill.leases.format import Reply, Request, pack, unpack
from yewrill.leases.lease_table import (
    CLAIM,
    GIVE_UP,
    RENEW,
    Fence,
    LeaseCommand,
    LeaseResult,
    LeaseTable,
)
from yewrill.leases.raft_types import (
    COMMAND,
    VOTERS,
    LogEntry,
    PersistentRaftState,
    RaftMessage,
    Snapshot,
)
from yewrill.membership.parts import FragmentAssembler, MalformedPayload, split_payload
from yewrill.store import Store

LEASE_COMMANDS = st.builds(
    LeaseCommand,
    st.sampled_from((CLAIM, RENEW, GIVE_UP)),
    st.sampled_from("xy"),
    st.sampled_from("abc"),
    st.integers(1, 30),
    st.integers(0, 6),
    st.integers(0, 900),
)
ENTRY = st.builds(
    LogEntry,
    st.integers(0, 9),
    st.sampled_from((COMMAND, VOTERS)),
    st.binary(max_size=400),
    st.just(("a", "b")),
)


@given(st.lists(st.tuples(st.integers(0, 500), LEASE_COMMANDS), max_size=60))
def test_the_lease_table_has_one_holder_per_role_growing_numbers_and_no_repeated_effects(entries):
    table, clock, highest = LeaseTable(), 0, {}
    for i, (elapsed_ms, drawn) in enumerate(entries, 1):
        clock, command = clock + elapsed_ms, replace(drawn, id=i)
        before = LeaseTable.unpack(table.pack())
        result = table.apply(clock, command)
        # A table restored from bytes agrees.
        assert before.apply(clock, command) == result and before == table
        current = table.view(command.role, table.clock)
        if result.ok and command.action == CLAIM:
            assert result.number == highest.get(command.role, 0) + 1
            highest[command.role] = result.number
        assert table.highest_numbers.get(command.role, 0) == highest.get(command.role, 0)
        assert not current.holder or current.number == table.highest_numbers[command.role]
        assert table.apply(clock, command) == result  # a repetition has the same result


@given(st.lists(st.tuples(st.sampled_from("xy"), st.integers(0, 9)), max_size=30))
def test_a_fence_refuses_numbers_below_the_highest(commands):
    fence, highest = Fence(), {}
    for role, number in commands:
        assert fence.admits(role, number) == (number >= highest.get(role, 0))
        highest[role] = max(number, highest.get(role, 0))


SNAPSHOT = st.builds(
    Snapshot, st.integers(0, 9), st.integers(0, 9), st.just(("a",)), st.binary(max_size=3000)
)
MESSAGES = st.one_of(
    st.builds(Request, LEASE_COMMANDS),
    st.builds(Reply, st.integers(0, 9), st.booleans(), st.just(LeaseResult(True, 1, "a", 5))),
    st.builds(
        RaftMessage,
        st.just("append"),
        st.just("a"),
        st.just("b"),
        st.integers(0, 9),
        entries=st.lists(ENTRY, max_size=6).map(tuple),
        snapshot=st.none() | SNAPSHOT,
    ),
)


@given(MESSAGES, st.randoms(), st.binary(max_size=30))
def test_messages_are_decoded_from_fragments_in_any_order_and_malformed_ones_are_refused(
    message, rng, invalid
):
    fragments, assembler = split_payload(pack(message), 7), FragmentAssembler()
    rng.shuffle(fragments)
    decoded = [
        payload for fragment in fragments if (payload := assembler.take("a", fragment)) is not None
    ]
    assert [unpack(payload) for payload in decoded] == [message]
    for malformed in (invalid, fragments[0][:-1]):
        with pytest.raises(MalformedPayload):
            unpack(assembler.take("b", malformed) or b"")


STATES = st.builds(
    PersistentRaftState,
    st.integers(0, 9),
    st.sampled_from(("", "a", "~")),
    st.lists(ENTRY, max_size=6).map(tuple),
    SNAPSHOT,
)


@settings(max_examples=30)
@given(st.lists(STATES, min_size=1, max_size=6))
def test_the_store_returns_the_state_and_fences_saved_last(tmp_path_factory, states):
    path, before = tmp_path_factory.mktemp("raft"), None
    with Store(path) as store:
        for i, state in enumerate(states, 1):
            store.write(on_disk.state_batch(before, state, i))
            before = state
    with Store(path) as store:
        assert on_disk.read(store, ("x",)) == (states[-1], len(states))
        store.write(on_disk.fence_batch("zones", 7))
        assert on_disk.read_fences(store) == {"zones": 7}


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_give_no_two_holders_at_once_and_stale_commands_are_refused(seed):
    net = run_random_faults(seed)
    net.end_faults()
    assert net.until(lambda: bool(net.owners()), 20) is not None
    assert len(net.acquisitions) > 1 and net.accepted_commands
    assert [number for _, _, number in net.acquisitions] == sorted(
        number for _, _, number in net.acquisitions
    )


def first_violation(seeds):
    for seed in seeds:
        try:
            run_random_faults(seed)
        except InvariantViolation as error:
            return str(error)
    return ""


def test_the_simulation_detects_a_holder_that_counts_its_lease_too_long(monkeypatch):
    monkeypatch.setattr(lease_table_module, "MAX_CLOCK_DRIFT", -4.0)
    assert "act at once" in (violation := first_violation(range(12))) or "owns with" in violation


def test_the_simulation_detects_a_fence_that_admits_every_number(monkeypatch):
    monkeypatch.setattr(Fence, "admits", lambda self, role, number: True)
    assert "obeyed" in first_violation(range(12))


@pytest.mark.parametrize("members", [3, 24])
def test_another_member_gets_the_lease_soon_after_the_holder_was_killed(members):
    net = OwnNet(members, members)
    assert net.until(lambda: bool(net.owners()), 6) is not None
    name, number = net.owners()[0]
    net.kill(name)
    assert net.until(lambda: bool(net.owners()), 8) is not None
    assert net.owners()[0][1] > number


def test_the_lease_is_held_only_while_there_is_a_majority_of_voters():
    net = OwnNet(4, 6)
    assert net.until(lambda: bool(net.owners()), 6) is not None
    for name in ("m0", "m1"):
        net.kill(name)
    net.run(4)
    assert not net.owners()
    for name in ("m0", "m1"):
        net.restart(name)
    assert net.until(lambda: bool(net.owners()), 10) is not None


def test_a_lease_that_was_given_up_goes_to_another_member_at_once():
    net = OwnNet(5, 6, wanting=2)
    net.until(lambda: bool(net.owners()), 6)
    name, number = net.owners()[0]
    net.members[name].node.give_up("zones", net.now)
    assert not net.owners()
    assert net.until(lambda: bool(net.owners()), 4) is not None and net.owners()[0][1] == number + 1


def test_a_voter_whose_disk_fails_stops_voting_and_the_others_go_on():
    net = OwnNet(6, 5, 3)
    net.until(lambda: bool(net.owners()), 6)
    leader = next(
        m for m in net.members.values() if m.node.driver and m.node.driver.raft.role == "leader"
    )
    leader.node.fail("ENOSPC")
    net.run(5)
    assert net.owners() and leader.node.driver.raft.role != "leader"


def test_the_lease_is_granted_again_after_all_members_were_stopped():
    net = OwnNet(7, 5)
    net.run(60)
    for name in net.members:
        net.kill(name)
    net.run(1)
    for name in net.members:
        net.restart(name)
    assert net.until(lambda: bool(net.owners()), 8) is not None
