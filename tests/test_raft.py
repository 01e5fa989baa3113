"""The replicated log: all orders of events within bounds, and long random runs with many faults at once.

Mutants, each with one fault, show that the checks find a violation of each invariant.
"""

import random
from dataclasses import replace

import pytest

from yewrill.lab.netsim import NetworkPath
from yewrill.lab.raftcheck import Bounds, Checker, InvariantViolation, World
from yewrill.lab.raftnet import RaftNet
from yewrill.leases import raft as raft_module
from yewrill.leases.raft import Raft
from yewrill.leases.raft_types import (
    COMMAND,
    VOTERS,
    LogEntry,
    PersistentRaftState,
    Snapshot,
)

# ------------------------------------------------------------------------------------- mutants of the machine


class VoteNotStored(Raft):
    def _on_vote(self, message):
        super()._on_vote(message)
        self.ready.save = None


class VotesForOlderLogs(Raft):
    def _is_up_to_date(self, message):
        return True


class VotesTwice(Raft):
    def _on_vote(self, message):
        self.vote = ""
        super()._on_vote(message)


class CommitsEntriesOfEarlierTerms(Raft):
    def _advance_commit_index(self):
        for index in range(self.last_index, self.commit_index, -1):
            if self._majority(
                {self.me} | {name for name, matched in self.match_index.items() if matched >= index}
            ):
                self._commit_to(index)
                return


class AppendsWithoutMatchingTerm(Raft):
    def _on_append(self, message):
        super()._on_append(
            replace(message, entry_term=self.term_at(message.index))
            if message.index <= self.last_index
            else message
        )


class AcceptsEarlierIncarnations(Raft):
    def receive(self, message):
        self.incarnations[message.sender] = min(
            self.incarnations.get(message.sender, 0), message.incarnation
        )
        super().receive(message)


# ------------------------------------------------------------------------------------------------- all orders


class StartsAtFigure37(Checker):
    """Starts in the middle of figure 3.7 of Ongaro's thesis: one voter has an entry of term 2, another one
    of term 3."""

    def start(self) -> World:
        world = super().start()
        for name, term, log in (("a", 3, (1, 2)), ("b", 2, (1,)), ("c", 3, (1, 3))):
            entries = tuple(LogEntry(t) for t in log)
            disk = PersistentRaftState(
                term, "c" if term == 3 else "", entries, Snapshot(0, 0, self.names)
            )
            raft = self.create_raft(name, 1, disk)
            raft.is_voting, raft.commit_index = True, 1
            world.nodes[name], world.saved_states[name] = raft, (disk,)
        world.committed = (LogEntry(1),)
        return world


ONE_TERM = Bounds(term=1, log=2, messages=2, crashes=0)
ELECTIONS = Bounds(term=2, log=2, messages=2, commands=0, crashes=0, states=15_000)
CRASH = Bounds(term=1, log=1, messages=2, commands=0, crashes=1, states=15_000)
LOST_TAIL = Bounds(term=2, log=2, messages=2, commands=0, crashes=1, lost_tails=1, states=8_000)
EARLIER_TERMS = Bounds(term=5, log=3, messages=2, commands=0, crashes=0, states=25_000)


@pytest.mark.parametrize(
    ("checker", "bounds", "complete"),
    [
        (Checker, ONE_TERM, True),
        (Checker, ELECTIONS, False),
        (Checker, CRASH, False),
        (Checker, LOST_TAIL, False),
        (StartsAtFigure37, replace(EARLIER_TERMS, states=6_000), False),
    ],
)
def test_every_order_of_events_within_the_bounds_keeps_the_invariants(
    checker, bounds, complete, monkeypatch
):
    # One entry per message, so that only some of several entries may arrive.
    monkeypatch.setattr(raft_module, "MAX_ENTRIES_PER_MESSAGE", 1)
    found = checker(bounds).run()
    assert not found.violation, (found.violation, found.path)
    assert found.complete or not complete


@pytest.mark.parametrize(
    ("mutant", "checker", "bounds", "trust_disk"),
    [
        (VoteNotStored, Checker, CRASH, True),
        (VotesTwice, Checker, ELECTIONS, False),
        (VotesForOlderLogs, Checker, ELECTIONS, False),
        (CommitsEntriesOfEarlierTerms, StartsAtFigure37, EARLIER_TERMS, False),
        (Raft, Checker, LOST_TAIL, True),
    ],
)
def test_the_checker_finds_the_fault_of_each_mutant(
    mutant, checker, bounds, trust_disk, monkeypatch
):
    monkeypatch.setattr(raft_module, "MAX_ENTRIES_PER_MESSAGE", 1)
    found = checker(bounds, mutant, trust_disk=trust_disk).run()
    assert found.violation and found.path


# ---------------------------------------------------------------------------------------------- random runs


def run_with_random_faults(seed, create_raft=Raft, duration_seconds=30.0, lose_tails=True):
    """Runs three or five voters with random faults, then without: they must be able to commit again."""
    rng = random.Random(seed)
    voters = rng.choice((3, 5))
    path = NetworkPath(
        delay=0.005,
        jitter=rng.choice((0.005, 0.05)),
        loss=rng.choice((0.0, 0.05, 0.2)),
        duplication=0.1,
    )
    net = RaftNet(seed, voters, path, create_raft=create_raft)
    net.voters[rng.choice(net.names)].clock_rate = 1.1
    proposal_count, end = 0, net.now + duration_seconds
    while net.now < end:
        net.run(0.1)
        net.check()
        proposal_count += net.propose(b"%d" % proposal_count)
        chance, target = rng.random(), rng.choice(net.names)
        down = [name for name, voter in net.voters.items() if not voter.up]
        if chance < 0.02 and not down:
            net.kill(target)
        elif chance < 0.08 and down:
            net.restart(down[0], rng.choice((0, 0, 1, 2, 4)) if lose_tails else 0)
        elif chance < 0.10:
            net.pause(target, 3.0 * rng.random())
        elif chance < 0.12:
            others = [name for name in net.names if name != target]
            net.cut([target], others, both=rng.random() < 0.5, heal_after=4.0 * rng.random())
        elif chance < 0.14 and (leader := net.leader()) is not None and leader.applied_index > 3:
            leader.raft.compact(leader.applied_index - 2, b"state")
            net._process_output(leader, leader.raft.take())
    for name in net.names:
        if not net.voters[name].up:
            net.restart(name)
    net.paths.clear()
    assert net.until(lambda: net.leader() is not None and net.propose(b"end"), 20) is not None
    net.run(4)
    net.check()
    assert all(voter.raft.commit_index == len(net.committed) for voter in net.voters.values())
    return net


@pytest.mark.parametrize("seed", range(12))
def test_faults_break_no_invariant_and_the_log_recovers_after_them(seed):
    assert len(run_with_random_faults(seed).committed) > 20


@pytest.mark.parametrize(
    "mutant",
    [AcceptsEarlierIncarnations, AppendsWithoutMatchingTerm, VotesForOlderLogs, VotesTwice],
)
def test_random_runs_find_the_fault_of_each_mutant(mutant):
    def finds_fault(seed):
        try:
            run_with_random_faults(seed, mutant)
        except (InvariantViolation, AssertionError, IndexError):
            return True
        return False

    assert any(finds_fault(seed) for seed in range(60))


def test_a_voter_that_lost_its_log_tail_grants_no_vote_until_a_leader_has_restored_it():
    names = ("a", "b", "c")
    disk = PersistentRaftState(snapshot=Snapshot(0, 0, names))
    nodes = {name: Raft(name, 1, disk, trust_disk=True) for name in names}

    def run(*cut):
        """Delivers messages until there are none."""
        pending = [message for raft in nodes.values() for message in raft.take().messages]
        while pending:
            message = pending.pop(0)
            if message.sender not in cut and message.to not in cut:
                nodes[message.to].receive(message)
                pending += nodes[message.to].take().messages

    nodes["a"].campaign()
    run("c")
    assert nodes["a"].propose(COMMAND, b"x")
    run("c")
    nodes["a"].send_heartbeats()
    run("c")
    assert nodes["b"].commit_index == 2
    nodes["b"] = Raft("b", 2, disk)  # b restarts after its disk has lost everything
    nodes["b"].send_heartbeats()
    run("a")
    nodes["c"].campaign()
    run("a")
    assert nodes["c"].role != "leader" and not nodes["b"].is_voting
    nodes["b"].send_heartbeats()
    run()
    assert nodes["b"].lost_tail and not nodes["b"].is_voting
    nodes["a"].send_heartbeats()
    run()
    nodes["a"].send_heartbeats()
    run()
    assert nodes["b"].is_voting and nodes["b"].commit_index == nodes["a"].commit_index == 2


def test_voter_change_during_another_one_is_refused_and_reads_need_a_majority():
    names = ("a", "b", "c")
    leader = Raft("a", 1, PersistentRaftState(snapshot=Snapshot(0, 0, names)), trust_disk=True)
    peers = {
        name: Raft(name, 1, PersistentRaftState(snapshot=Snapshot(0, 0, names)), trust_disk=True)
        for name in "bcd"
    }

    def run(cut=()):
        pending, confirmed_reads = leader.take(), []
        while pending.messages:
            message = pending.messages.pop(0)
            confirmed_reads += pending.readable
            node = leader if message.to == "a" else peers.get(message.to)
            if node is not None and message.to not in cut:
                node.receive(message)
                output = node.take()
                confirmed_reads += output.readable
                pending.messages += output.messages
        return confirmed_reads + pending.readable

    leader.campaign()
    run()
    assert not leader.propose(VOTERS, voters=("a", "d", "e", "b", "c"))
    assert leader.read(1) and run(cut="bc") == []
    assert leader.read(2) and 2 in run()
    assert leader.propose(VOTERS, voters=("a", "b", "c", "d"))
    # Refused, as another change is not committed yet.
    assert not leader.propose(VOTERS, voters=("a", "b", "c"))
    run()
    assert leader.commit_index == leader.last_index and peers["d"].voters() == ("a", "b", "c", "d")
    assert leader.propose(VOTERS, voters=("b", "c", "d"))
    run()
    assert leader.role != "leader"  # a has been removed from the voters
