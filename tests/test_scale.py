"""The control plane of large fleets, in virtual time and within the shipped budgets.

Guards against a fleet that does not form or loses leases because the budgets hold back its messages, and
against traffic that grows with the fleet's size.
"""

import math
import random

import msgspec
import pytest

from yewrill.lab.netsim import NetworkPath
from yewrill.lab.scale import plan
from yewrill.lab.scale.events import WideFleet, create_settled_fleet, send_rates
from yewrill.lab.scale.fit import fit_line
from yewrill.lab.scale.module import state_bytes
from yewrill.lab.scale.plan import FleetMix, FleetTooLarge
from yewrill.lab.scale.virtual import FleetParameters, VirtualFleet
from yewrill.membership.format import Codec
from yewrill.membership.intake import BURST_SECONDS, InboundBudget, Priority, TokenBucket
from yewrill.membership.machine import SwimMember
from yewrill.membership.messages import Claim, Message
from yewrill.membership.transport import VIEWS, Transport
from yewrill.views import admission
from yewrill.views.agreement import VoteState
from yewrill.views.attestation import PROPOSERS, SHIFT_SECONDS, Attestations
from yewrill.views.cut import watermarks
from yewrill.views.format import (
    MAX_ATTESTED,
    Heartbeat,
    JoinRequest,
    JoinResponse,
    MessageAssembler,
    decode_tally,
    decode_vote,
    encode_tally,
    encode_vote,
    pack,
    priority_of,
    unpack,
)
from yewrill.views.machine import ViewMachine
from yewrill.views.timing import ViewCounters, ViewTiming
from yewrill.views.view import Entry, View
from yewrill.views.view_member import ViewMember

LOOPBACK = NetworkPath(delay=0.0002, jitter=0.0002)


def entries(size):
    return tuple(Entry(f"m{i:04d}", i + 1, ("h", i)) for i in range(size))


# -- formation of a fleet


@pytest.mark.parametrize(
    "dispatchers, seed, within", [(24, 1, 15.0), (24, 2, 15.0), (24, 5, 15.0), (60, 1, 20.0)]
)
def test_dispatchers_started_at_once_agree_within_the_shipped_budget(dispatchers, seed, within):
    fleet = VirtualFleet(seed, FleetParameters(dispatchers, path=LOOPBACK))
    assert fleet.until(fleet.agreed, within) is not None
    assert not fleet.conflicts and not fleet.lost_leases
    assert not sum(n.transport.held_back_by[Priority.HEARTBEAT] for n in fleet.living())


def test_dispatchers_in_several_regions_with_packet_loss_agree():
    fleet = WideFleet(3, FleetParameters(33, path=NetworkPath(loss=0.02)))
    assert fleet.form() is not None and not fleet.conflicts


def test_at_rest_the_bytes_per_member_stay_within_the_budget_and_no_lease_is_lost():
    """The bytes must not grow faster than the logarithm of the size; they even fall."""
    found = {}
    for size in (24, 72, 200):
        fleet = create_settled_fleet(size)
        found[size] = send_rates(fleet, 6.0)
        assert not fleet.lost_leases and fleet.held_back == fleet.flooded == 0
    rates = [found[size]["bytes_per_s"] for size in sorted(found)]
    for (small, less), (large, more) in zip(
        list(zip(sorted(found), rates, strict=True))[:-1],
        list(zip(sorted(found), rates, strict=True))[1:],
        strict=True,
    ):
        assert more <= less * math.log(large) / math.log(small)
    assert found[24]["bytes_per_s"] < plan.BUDGET_BYTES_PER_S
    assert found[200]["bytes_per_s"] < plan.BUDGET_BYTES_PER_S_AT_REST


def test_a_partition_of_a_region_leaves_the_others_their_leases_and_heals():
    fleet = create_settled_fleet(33)
    cut_off = [name for name in fleet.nodes if fleet.region(name) == 2]
    remaining = sorted(set(fleet.nodes) - set(cut_off))
    fleet.cut(cut_off, remaining, heal_after=15.0)
    assert fleet.until(lambda: fleet.agreed(remaining), 6.0) is not None
    fleet.run(15.0)
    assert not fleet.lost(cut_off)
    assert fleet.until(fleet.agreed, 15.0) is not None and not fleet.conflicts


# -- joining members


def attested_by(rank, joiners):
    """Returns the joiners that a member of a view of nine attests after four join requests of each."""
    view = View(1, entries(9))
    machine = ViewMachine(view.entries[rank], (), None, random.Random(rank), 0.0)
    machine.install(view, 0.0)
    for request_number in range(4):
        now = 0.1 + 0.3 * request_number
        for name in joiners:
            joiner = Entry(name, 5, (name, 1))
            machine.receive(
                now,
                JoinRequest(joiner, 1, 300, 1 if request_number else -1, 0),
                name,
                joiner.address,
            )
    return [entry.name for entry in machine._attested_joiners()]


def test_all_observers_prefer_the_same_joiners_whatever_the_order_of_their_requests():
    names = [f"j{i}" for i in range(40)]
    lists = [attested_by(rank, random.Random(rank).sample(names, len(names))) for rank in range(9)]
    for attested in lists:
        assert len(attested) > MAX_ATTESTED and attested == sorted(attested, key=admission.sort_key)
    enough = watermarks(8)[1]  # number of attestations that a joiner needs
    admitted = [name for name in names if sum(name in v[:MAX_ATTESTED] for v in lists) >= enough]
    assert len(admitted) >= MAX_ATTESTED // 2


def test_joiners_request_less_often_the_more_joiners_are_before_them():
    names = sorted((f"j{i}" for i in range(200)), key=admission.sort_key)
    found = [admission.slowdown(8, name, names) for name in names]
    assert found[:8] == [1] * 8 and found == sorted(found) and max(found) <= admission.MAX_SLOWDOWN
    # 200 joiners send fewer requests than 45 that are not slowed down.
    assert sum(1.0 / stretch for stretch in found) < 45
    assert admission.slowdown(200, names[-1], names) == 1


def test_attestations_go_to_the_proposers_first_and_to_more_members_if_they_stay_silent():
    view = View(4, entries(40))
    attestations = Attestations(view, 0, 0.25)
    joiner = Entry("new", 7, ("h", 99))
    assert attestations.recipients(1.0, frozenset()) == [] and attestations.record(0, (joiner,))
    recipients = {e.name for e in attestations.recipients(1.0, frozenset())}
    proposers = [view.entries[rank].name for rank in view.proposal_order()]
    assert recipients == set(proposers[:PROPOSERS]) - {"m0000"}
    assert attestations.recipients(1.1, frozenset()) == []  # attestations are not repeated at once
    later = {e.name for e in attestations.recipients(1.0 + SHIFT_SECONDS, frozenset())}
    assert later == set(proposers[: 2 * PROPOSERS]) - {"m0000"}
    dead = frozenset(view.proposal_order()[:PROPOSERS])
    again = {e.name for e in attestations.recipients(30.0, dead)}
    assert again and not again & {view.entries[rank].name for rank in dead}
    assert attestations.attesters() == {joiner: {0}} and not attestations.record(0, (joiner,))


# -- votes sent as tallies, to a peer that holds the proposal


def test_a_tally_decodes_to_the_vote_only_with_the_same_proposal_and_ballot():
    vote = VoteState((3, 1), 0b111, proposal=b"x" * 900, accepted=0b110)
    tally = encode_tally(vote, 5)
    assert decode_tally(tally, vote._replace(accepted=0b1), 5) == vote
    assert decode_tally(tally, vote._replace(proposal=b"y"), 5) is None
    assert decode_tally(tally, vote._replace(ballot=(4, 1)), 5) is None
    assert decode_tally(tally, VoteState((3, 1)), 5) is None


def test_a_proposal_is_not_sent_again_to_a_peer_that_has_shown_to_hold_it():
    view = View(4, entries(3))
    one, other = (
        ViewMember(
            view,
            rank,
            ViewTiming(),
            random.Random(rank),
            ViewCounters(),
            0.0,
            stale_leases=False,
            lease_until=99.0,
        )
        for rank in (0, 1)
    )
    vote = VoteState((1, 2), 0b111, proposal=b"x" * 900, accepted=0b100)
    for member in (one, other):
        assert member.vote.merge(vote)
    to_other, to_one = one.edges[1], other.edges[0]
    first = one._message(to_other, 1.0)
    assert first.vote is not None and first.tally is None
    other.merge(1.0, first, to_one, "m0000")
    second = other._message(to_one, 1.1)
    assert second.vote is None and second.tally is not None  # `one` sent the proposal itself
    one.merge(1.2, second, to_other, "m0001")
    assert one.vote.state.accepted == 0b111
    assembler = MessageAssembler()
    received = [
        message for part in pack(first) if (message := assembler.take("m0000", part)) is not None
    ]
    assert [type(message) for message in received] == [Heartbeat]


def test_heartbeats_and_join_responses_of_the_first_format_are_still_decoded():
    """An older member sends messages without the fields added later, and ignores those fields."""
    heartbeat = Heartbeat(4, b"8 bytes!", 7, 250, 10, 0, version=2)
    answer = JoinResponse(4, b"8 bytes!", 10, size=9)
    for message, fields in ((heartbeat, 11), (answer, 6)):
        plain = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
        assert len(plain) > fields
        old = unpack(msgspec.msgpack.encode(plain[:fields]))
        assert type(old) is type(message) and old.number == 4
    assert (
        unpack(
            msgspec.msgpack.encode(msgspec.msgpack.decode(msgspec.msgpack.encode(heartbeat))[:11])
        ).version
        == 1
    )
    vote = VoteState((1, 0), 0b1)
    assert (
        decode_vote(Heartbeat(4, b"8 bytes!", 7, 0, 0, 0, vote=encode_vote(vote, 3)).vote, 3)
        == vote
    )


# -- budgets


def transport(bytes_per_s):
    machine = SwimMember(Claim("a", ("h", 1)), [("h", 2)], random.Random(1), 0.0)
    return Transport(machine, Codec("a", 1, [b"k" * 16]), bytes_per_s)


def test_heartbeats_are_sent_when_the_budget_for_gossip_and_lists_is_used_up():
    sender = transport(1000.0)
    full = 1000.0 * BURST_SECONDS
    while sender.send(0.0, [(("h", 2), Message("list", about="x" * 40))]):
        pass
    assert sender.sent <= full * (1.0 - Priority.LIST.value)
    while sender.send(0.0, [(("h", 2), Message("news", about="x" * 40))]):
        pass
    assert sender.sent <= full * (1.0 - Priority.GOSSIP.value)
    assert sender.send(0.0, [(("h", 2), Message("ping", 1))])
    assert sender.send_payloads(0.0, VIEWS, [(("h", 2), b"beat")])
    assert sender.held_back_by == {Priority.LIST: 1, Priority.GOSSIP: 1}


def test_view_heartbeats_and_join_requests_have_heartbeat_priority():
    entry = Entry("n", 1, ("h", 1))
    heartbeat, join_request = (
        Heartbeat(1, b"8 bytes!", 1, 0, 0, 0),
        JoinRequest(entry, 0, 250, -1, 0),
    )
    assert priority_of(heartbeat) is priority_of(join_request) is Priority.HEARTBEAT
    assert priority_of(JoinResponse(1, b"8 bytes!", 0)) is Priority.GOSSIP


def test_a_flooding_member_and_unknown_senders_leave_the_others_their_inbound_budget():
    intake = InboundBudget(10_000.0)
    members = [("h", i) for i in range(20)]
    intake.set_members(members)
    taken = sum(intake.admits(0.0, ("h", 0), 100) for _ in range(1000))
    assert taken * 100 <= 0.25 * 10_000.0 * BURST_SECONDS
    assert sum(intake.admits(0.0, ("strange", i), 100) for i in range(1000)) * 100 <= 5000.0
    rest = sum(intake.admits(0.0, member, 100) for member in members[1:] for _ in range(5))
    assert rest == 5 * 19  # a healthy peer may send five datagrams at once
    assert sum(intake.admits(0.0, m, 100) for m in members for _ in range(99)) * 100 <= 20_000.0


def test_a_token_bucket_keeps_its_reserve():
    bucket = TokenBucket(100.0)
    assert bucket.take(0.0, 100.0, 0.5) and not bucket.take(0.0, 1.0, 0.5) and bucket.take(0.0, 1.0)


# -- membership lists


def test_a_membership_list_is_sent_only_if_its_digest_differs():
    one, other = (
        SwimMember(Claim(name, ("h", at)), [], random.Random(at), 0.0)
        for at, name in enumerate("ab")
    )
    for machine, claim in ((one, other.me), (other, one.me)):
        machine.apply(claim)
    assert one.digest == other.digest
    request = Message("list", one.digest, about="a")
    assert other.receive(0.1, request, "a", ("h", 0)) == []
    other.apply(Claim("c", ("h", 9)))
    (answer,) = other.receive(0.2, request, "a", ("h", 0))
    assert {claim.name for claim in answer[1].updates} == {"a", "b", "c"}
    # An older member sends no digest.
    assert other.receive(0.3, Message("list", about="a"), "a", ("h", 0))


# -- limits of the machine, and fitted lines


def test_a_fleet_too_large_for_the_machine_is_rejected_with_the_limit():
    plan.check_limits(FleetMix(12, 188), 32_000.0)
    with pytest.raises(FleetTooLarge, match="301 processes"):
        plan.check_limits(FleetMix(301, 0), 1e6)
    with pytest.raises(FleetTooLarge, match="half of the machine's 1000 MB"):
        plan.check_limits(FleetMix(12, 188), 1000.0)


def test_a_fitted_line_detects_a_quadratic_term_and_needs_five_sizes():
    sizes = [6.0, 12.0, 24.0, 60.0, 120.0, 200.0]
    straight = fit_line(sizes, [3.0 * size + 7.0 for size in sizes])
    assert straight.slope == pytest.approx(3.0) and straight.constant == pytest.approx(7.0)
    assert (
        not straight.is_nonlinear
        and straight.residual < 1e-9
        and straight.value_at(680.0) == pytest.approx(2047.0)
    )
    assert fit_line(sizes, [0.1 * size * size for size in sizes]).is_nonlinear
    with pytest.raises(ValueError, match="5 sizes, not 2"):
        fit_line([1.0, 2.0], [1.0, 2.0])


def test_the_modules_state_per_worker_and_per_tenant_is_bounded():
    assert (state_bytes(680, 15) - state_bytes(60, 15)) / 620 < 1500
    assert (state_bytes(60, 120) - state_bytes(60, 2)) / 118 < 1500
