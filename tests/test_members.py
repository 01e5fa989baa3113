"""Membership: datagrams can't be forged or replayed, and member lists stay correct on a faulty network.

The tests of the state machine run it on a simulated network with loss, partitions, pauses and false messages.
They guard against healthy members that are declared dead, dead members that stay listed, and lists that do
not converge after a fault.
"""

import os
from dataclasses import replace

import pytest
import trio
import ujson
from helper import ScriptedWorker, done, running_service, trio_test
from hypothesis import given, settings
from hypothesis import strategies as st

from yewrill.config.errors import ConfigError
from yewrill.config.reading import read_config
from yewrill.config.schema import MembersConfig
from yewrill.lab.netsim import MembershipNet, NetworkPath
from yewrill.membership import Members
from yewrill.membership.format import MAX_DATAGRAM_BYTES, Codec, DatagramRejected, UnknownRun
from yewrill.membership.intake import InboundBudget
from yewrill.membership.messages import ALIVE, DEAD, LEFT, SUSPECT, Claim, Message
from yewrill.membership.suspicion import CONFIRMATIONS_FOR_MINIMUM, MAX_HEALTH_SCORE, Suspicion

HERE, THERE = ("127.0.0.1", 1), ("127.0.0.1", 2)
KEYS = [b"k" * 32, b"l" * 32]
TEXT = st.text(max_size=64)
CLAIM = st.builds(
    Claim,
    TEXT.filter(bool),
    st.tuples(TEXT.filter(bool), st.integers(0, 65535)),
    TEXT,
    TEXT,
    st.integers(0, 2**48),
    st.integers(ALIVE, LEFT),
    TEXT,
)


def pair(keys=KEYS[:1], other=KEYS[:1]):
    """Returns two codecs that know each other's run."""
    a, b = Codec("a", 11, list(keys)), Codec("b", 22, list(other))
    with pytest.raises(UnknownRun) as unknown_run:
        b.decode(a.encode(Message("ping"), THERE), HERE)
    assert a.decode(b.hello(HERE, unknown_run.value.run), THERE)[1].kind == "hello"
    assert a.take_undelivered(THERE) == Message("ping") and a.take_undelivered(THERE) is None
    return a, b


# -------------------------------------------------------------------------------------------- datagram codec


@given(
    st.sampled_from(["ping", "ack", "nack", "help", "list", "news"]),
    st.integers(0, 2**63),
    TEXT,
    st.lists(CLAIM, max_size=12),
)
def test_codec_decodes_an_encoded_message_less_the_updates_that_do_not_fit(
    kind, number, about, updates
):
    a, b = pair()
    data = a.encode(Message(kind, number, about, tuple(updates)), THERE)
    sender, message = b.decode(data, HERE)
    assert len(data) <= MAX_DATAGRAM_BYTES and sender == "a"
    assert (message.kind, message.number, message.about) == (kind, number, about)
    assert message.updates == tuple(updates[: len(message.updates)])


@given(st.data())
def test_codec_rejects_changed_truncated_and_invented_datagrams(data):
    a, b = pair()
    valid = bytearray(a.encode(Message("ping", 7, "b"), THERE))
    at = data.draw(st.integers(0, len(valid) - 1))
    valid[at] ^= data.draw(st.integers(1, 255))
    for bad in (
        bytes(valid),
        bytes(valid[:at]),
        data.draw(st.binary(max_size=MAX_DATAGRAM_BYTES + 9)),
    ):
        with pytest.raises(DatagramRejected):
            b.decode(bad, HERE)


def test_codec_accepts_a_datagram_once_and_only_in_the_run_that_it_was_made_for():
    a, b = pair()
    first, second = (a.encode(Message("ping", n), THERE) for n in (1, 2))
    # Datagrams may arrive out of order.
    assert b.decode(second, HERE)[1].number == 2 and b.decode(first, HERE)[1].number == 1
    for again in (first, second):
        with pytest.raises(DatagramRejected, match="replay"):
            b.decode(again, HERE)
    old = a.encode(Message("ping", 3), THERE)
    for _ in range(70):
        b.decode(a.encode(Message("ping"), THERE), HERE)
    # A counter older than the replay window can't be told from a replay.
    with pytest.raises(DatagramRejected, match="replay"):
        b.decode(old, HERE)
    # b has been restarted in the meantime.
    with pytest.raises(UnknownRun):
        Codec("b", 23, KEYS[:1]).decode(a.encode(Message("ping"), THERE), HERE)
    restarted = Codec("a", 12, KEYS[:1])
    restarted.decode(b.hello(HERE, 12), THERE)
    from_earlier_run = a.encode(Message("ping"), THERE)
    assert b.decode(restarted.encode(Message("ping"), THERE), HERE)
    with pytest.raises(DatagramRejected, match="earlier run"):
        b.decode(from_earlier_run, HERE)


def test_keys_can_be_replaced_one_member_at_a_time_without_rejected_datagrams():
    for mine, other in ((KEYS[:1], KEYS), (KEYS, KEYS[::-1]), (KEYS[::-1], KEYS[1:])):
        a, b = pair(mine, other)
        assert b.decode(a.encode(Message("ping"), THERE), HERE)
    with pytest.raises(DatagramRejected, match="code"):
        Codec("b", 1, KEYS[1:]).decode(Codec("a", 2, KEYS[:1]).encode(Message("ping"), THERE), HERE)


def test_inbound_budget_under_a_flood_from_unknown_addresses_still_admits_members():
    budget = InboundBudget(20_000.0)
    peers = [("127.0.0.1", port) for port in range(100, 110)]
    budget.set_members(peers)
    admitted_unknown = admitted_members = 0
    # For one second, forged datagrams arrive beside the usual traffic of the members.
    for i in range(100_000):
        now = i / 100_000
        admitted_unknown += budget.admits(now, ("127.0.0.1", 20_000 + i % 40_000), 400)
        if i % 10_000 == 0:
            admitted_members += sum(budget.admits(now, peer, 150) for peer in peers)
    assert admitted_unknown <= 40 and admitted_members == 100 and budget.refused >= 99_000


# ---------------------------------------------------------------------- state machine on a simulated network


def joined(seed, members=24, **more):
    """Returns a network on which all members have joined."""
    net = MembershipNet(seed, members, zones=3, **more)
    assert net.until(net.agreed, 20.0) is not None
    return net


def test_simulated_network_with_the_same_seed_gives_the_same_run():
    runs = [joined(3).run(10.0) for _ in range(2)]
    assert (
        len({tuple((n.name, n.sent, n.machine.due) for n in net.nodes.values()) for net in runs})
        == 1
    )


@pytest.mark.parametrize("seed", range(3))
def test_member_that_dies_or_leaves_is_removed_from_all_lists_and_no_other_is(seed):
    net = joined(seed)
    net.kill("m0003")
    assert net.until(net.agreed, 20.0) is not None and not net.false_deaths
    net.restart("m0003")
    assert net.until(net.agreed, 20.0) is not None
    net.leave("m0004")
    assert net.until(net.agreed, 12.0) is not None and not net.false_deaths
    # The members that received the announcement itself list it as departed; others may list it as dead.
    assert any(n.machine.entries["m0004"].claim.state == LEFT for n in net.living())


def test_loss_duplicates_and_delays_remove_at_most_one_member_and_only_for_a_while():
    net = joined(5)
    net.default_path = NetworkPath(delay=0.02, jitter=0.03, loss=0.2, duplication=0.1)
    net.run(60.0)
    # As many false declarations as if all 24 members declared the same healthy member dead.
    assert len(net.false_deaths) <= 24
    net.default_path = NetworkPath()
    assert net.until(net.agreed, 20.0) is not None


def test_partitioned_groups_each_list_their_own_members_and_rejoin_after_the_partition():
    net = joined(6)
    names = sorted(net.nodes)
    minority, majority = names[:9], names[9:]
    net.cut(minority, majority)
    assert net.until(lambda: net.agreed(minority) and net.agreed(majority), 200.0) is not None
    net.paths.clear()
    assert net.until(net.agreed, 60.0) is not None


def test_members_on_a_cut_or_one_way_path_that_others_can_reach_are_not_removed():
    net = joined(7)
    # The other members still receive messages from both.
    net.cut(["m0001"], ["m0002"])
    net.cut(["m0003"], ["m0004", "m0005"], both=False)
    net.run(60.0)
    assert not net.false_deaths and net.agreed()


@pytest.mark.parametrize("seed", range(3))
def test_member_that_resumes_after_a_pause_declares_nobody_dead(seed):
    net = joined(seed + 10)
    net.pause("m0002", 20.0)
    net.run(19.0)
    assert not any(net.lists(n.name, "m0002") for n in net.living() if n.name != "m0002")
    net.run(30.0)
    assert net.agreed() and not net.false_deaths
    assert net.nodes["m0002"].machine.counts.late >= 1


def test_member_that_accuses_all_others_has_nobody_removed():
    net = joined(8)

    def accuse(node, message):
        names = [c for c in node.machine.members() if c.name != node.name]
        accused = [
            replace(c, state=DEAD if i % 2 else SUSPECT, by=f"m{i % 24:04d}")
            for i, c in enumerate(net.rng.sample(names, 8))
        ]
        return replace(message, updates=tuple(accused))

    net.nodes["m0001"].falsify = accuse
    net.run(60.0)
    assert not net.false_deaths
    assert net.agreed(sorted(net.nodes)) or all(
        net.lists(a, b) for a in net.nodes for b in net.nodes
    )
    # The accused refute with a higher incarnation. A claim with too high an incarnation to refute is dropped.
    assert net.nodes["m0002"].machine.counts.refuted + net.nodes["m0002"].machine.me.incarnation > 0
    machine = net.nodes["m0002"].machine
    irrefutable = Claim("m0005", THERE, incarnation=2**60, state=DEAD)
    machine.receive(net.now, Message("news", updates=(irrefutable,)), "m0001", HERE)
    assert machine.entries["m0005"].claim.state == ALIVE and machine.counts.dropped


@pytest.mark.parametrize("members", [3, 24, 72])
def test_member_sends_fewer_bytes_than_its_budget_under_loss_and_a_death(members):
    net = joined(9, members)
    before = {name: node.sent for name, node in net.nodes.items()}
    net.kill("m0001")
    net.default_path = NetworkPath(loss=0.1)
    net.run(10.0)
    assert max(node.sent - before[name] for name, node in net.nodes.items()) / 10.0 < 10_000


@given(
    st.lists(st.sampled_from("abcdefgh"), max_size=12), st.floats(0.1, 10.0), st.floats(1.0, 5.0)
)
@settings(max_examples=50)
def test_suspicion_is_shortened_by_each_confirmation_down_to_its_minimum(accusers, minimum, factor):
    suspicion = Suspicion(0.0, minimum, minimum * factor, {"me"})
    ends = [suspicion.expires_at()]
    for name in accusers:
        suspicion.accusers.add(name)
        ends.append(suspicion.expires_at())
    assert ends == sorted(ends, reverse=True) and minimum <= ends[-1] <= minimum * factor * 1.000001
    if len(set(accusers)) >= CONFIRMATIONS_FOR_MINIMUM:
        assert ends[-1] == pytest.approx(minimum)


def test_member_that_receives_no_nacks_worsens_its_own_health_score_before_removing_others():
    net = joined(11)
    net.cut(["m0001"], [name for name in net.nodes if name != "m0001"])
    net.run(4.0)
    isolated = net.nodes["m0001"].machine
    assert 4 <= isolated.health.score <= MAX_HEALTH_SCORE and len(isolated.members()) > 20


# --------------------------------------------------------------------------------------------------- sockets


def config(name, peers, **more):
    return MembersConfig(
        ("127.0.0.1", 0), tuple(peers), ("ab" * 16,), name, zone="z", interval=0.05, **more
    )


@trio_test
async def test_three_members_on_loopback_find_each_other_during_a_flood_and_one_leaves():
    first = Members(config("a", [("127.0.0.1", 9)]))
    async with trio.open_nursery() as nursery:
        await nursery.start(first.run)
        scopes, others = [], []
        for name in "bc":
            other = Members(config(name, [first.address]))
            scope = trio.CancelScope()

            async def run(other=other, scope=scope, *, task_status):
                with scope:
                    await other.run(task_status=task_status)

            await nursery.start(run)
            scopes.append(scope)
            others.append(other)
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as flood:
            while not all(m.snapshot().count == 3 for m in (first, *others)):
                await flood.sendto(os.urandom(300), first.address)
                await trio.sleep(0)
        assert {c.name for c in first.snapshot().by_zone()["z"]} == {"a", "b", "c"}
        scopes[0].cancel()
        while first.snapshot().count != 2:
            await first.changed()
        assert {m["name"]: m["state"] for m in first.status()["members"]}["b"] == "left"
        nursery.cancel_scope.cancel()


@trio_test
async def test_service_reports_members_on_its_management_listener_only_if_configured():
    async with running_service(
        ScriptedWorker("d1", done),
        mgmt="127.0.0.1:0",
        members={
            "listen": "127.0.0.1:0",
            "peers": ["127.0.0.1:9"],
            "keys": ["cd" * 16],
            "zone": "north",
        },
    ) as harness:
        await harness.wait_until(lambda: harness.service.subsystems[0].status()["members"])
        status = ujson.loads((await harness.call("GET /_members")).body)
        assert [(m["name"], m["zone"]) for m in status["members"]] == [("yewrill", "north")]
        assert b"members_suspected:0|c" in (await harness.call("GET /_vars")).body
        assert (await harness.ask()).status == 200
    async with running_service(ScriptedWorker("d1", done), mgmt="127.0.0.1:0") as harness:
        assert (
            not harness.service.subsystems and (await harness.call("GET /_members")).status == 404
        )


@pytest.mark.parametrize(
    "change, key",
    [
        ({"keys": []}, "members.keys"),
        ({"keys": ["ab"]}, "members.keys[0]"),
        ({"keys": ["xy" * 16]}, "members.keys[0]"),
        ({"peers": []}, "members.peers"),
        ({"peers": ["here"]}, "members.peers[0]"),
        ({"odd": 1}, "members.odd"),
        ({"listen": "0.0.0.0:7"}, "members.listen"),
        ({"bytes_per_s": 5}, "members.bytes_per_s"),
        ({"name": ""}, "members.name"),
    ],
)
def test_invalid_setting_of_the_section_members_is_named_in_the_error(change, key):
    from test_config import GOOD

    members = {"listen": "127.0.0.1:7", "peers": ["127.0.0.1:9"], "keys": ["ab" * 16]}
    assert read_config({**GOOD, "members": members}).members.name == "yewrill"
    with pytest.raises(ConfigError, match=f"^{key}: ".replace("[", r"\[").replace("]", r"\]")):
        read_config({**GOOD, "members": {**members, **change}})
