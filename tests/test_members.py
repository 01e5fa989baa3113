"""Membership: datagrams that can't be forged or replayed, and a list that stays true in a bad network."""

import os
from dataclasses import replace

import pytest
import trio
import ujson
from helper import Peer, done, story, world
from hypothesis import given, settings
from hypothesis import strategies as st

from yewrill.config.errors import ConfigError
from yewrill.config.reading import read_config
from yewrill.config.schema import MembersConfig
from yewrill.lab.netsim import MembershipNet, Path
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
    """Two codecs that know each other's run."""
    a, b = Codec("a", 11, list(keys)), Codec("b", 22, list(other))
    with pytest.raises(UnknownRun) as unknown_run:
        b.decode(a.encode(Message("ping"), THERE), HERE)
    assert a.decode(b.hello(HERE, unknown_run.value.run), THERE)[1].kind == "hello"
    assert a.take_undelivered(THERE) == Message("ping") and a.take_undelivered(THERE) is None
    return a, b


# ------------------------------------------------------------------------------------------------- the format


@given(
    st.sampled_from(["ping", "ack", "nack", "help", "list", "news"]),
    st.integers(0, 2**63),
    TEXT,
    st.lists(CLAIM, max_size=12),
)
def test_a_message_comes_out_as_it_went_in_but_for_news_beyond_the_size(kind, number, about, news):
    a, b = pair()
    data = a.encode(Message(kind, number, about, tuple(news)), THERE)
    sender, message = b.decode(data, HERE)
    assert len(data) <= MAX_DATAGRAM_BYTES and sender == "a"
    assert (message.kind, message.number, message.about) == (kind, number, about)
    assert message.updates == tuple(news[: len(message.updates)])


@given(st.data())
def test_no_byte_may_be_changed_and_no_bytes_made_up(data):
    a, b = pair()
    sound = bytearray(a.encode(Message("ping", 7, "b"), THERE))
    at = data.draw(st.integers(0, len(sound) - 1))
    sound[at] ^= data.draw(st.integers(1, 255))
    for bad in (
        bytes(sound),
        bytes(sound[:at]),
        data.draw(st.binary(max_size=MAX_DATAGRAM_BYTES + 9)),
    ):
        with pytest.raises(DatagramRejected):
            b.decode(bad, HERE)


def test_a_datagram_is_taken_once_and_only_by_the_run_that_it_was_made_for():
    a, b = pair()
    first, second = (a.encode(Message("ping", n), THERE) for n in (1, 2))
    assert (
        b.decode(second, HERE)[1].number == 2 and b.decode(first, HERE)[1].number == 1
    )  # out of order
    for again in (first, second):
        with pytest.raises(DatagramRejected, match="replay"):
            b.decode(again, HERE)
    old = a.encode(Message("ping", 3), THERE)
    for _ in range(70):
        b.decode(a.encode(Message("ping"), THERE), HERE)
    with pytest.raises(
        DatagramRejected, match="replay"
    ):  # older than the window: it can't be told from a replay
        b.decode(old, HERE)
    with pytest.raises(UnknownRun):  # b has been started anew since
        Codec("b", 23, KEYS[:1]).decode(a.encode(Message("ping"), THERE), HERE)
    later = Codec("a", 12, KEYS[:1])
    later.decode(b.hello(HERE, 12), THERE)
    last_of_the_old = a.encode(Message("ping"), THERE)
    assert b.decode(later.encode(Message("ping"), THERE), HERE)
    with pytest.raises(DatagramRejected, match="earlier run"):
        b.decode(last_of_the_old, HERE)


def test_keys_change_one_member_after_another_without_a_gap():
    for mine, other in ((KEYS[:1], KEYS), (KEYS, KEYS[::-1]), (KEYS[::-1], KEYS[1:])):
        a, b = pair(mine, other)
        assert b.decode(a.encode(Message("ping"), THERE), HERE)
    with pytest.raises(DatagramRejected, match="code"):
        Codec("b", 1, KEYS[1:]).decode(Codec("a", 2, KEYS[:1]).encode(Message("ping"), THERE), HERE)


def test_a_flood_from_strange_addresses_leaves_the_peers_their_share():
    intake = InboundBudget(20_000.0)
    peers = [("127.0.0.1", port) for port in range(100, 110)]
    intake.set_members(peers)
    looked = taken = 0
    for i in range(
        100_000
    ):  # one second of forged ones, beside peers that say what they usually do
        now = i / 100_000
        looked += intake.admits(now, ("127.0.0.1", 20_000 + i % 40_000), 400)
        if i % 10_000 == 0:
            taken += sum(intake.admits(now, peer, 150) for peer in peers)
    assert looked <= 40 and taken == 100 and intake.refused >= 99_000


# --------------------------------------------------------------------------------- the machine, in a network


def joined(seed, members=24, **more):
    net = MembershipNet(seed, members, zones=3, **more)
    assert net.until(net.agreed, 20.0) is not None
    return net


def test_the_same_seed_gives_the_same_run():
    runs = [joined(3).run(10.0) for _ in range(2)]
    assert (
        len({tuple((n.name, n.sent, n.machine.due) for n in net.nodes.values()) for net in runs})
        == 1
    )


@pytest.mark.parametrize("seed", range(3))
def test_one_that_dies_is_off_every_list_soon_and_nobody_else(seed):
    net = joined(seed)
    net.kill("m0003")
    assert net.until(net.agreed, 20.0) is not None and not net.false_deaths
    net.restart("m0003")  # under the same name, with nothing known
    assert net.until(net.agreed, 20.0) is not None
    net.leave("m0004")
    assert net.until(net.agreed, 12.0) is not None and not net.false_deaths
    assert any(
        n.machine.entries["m0004"].claim.state == LEFT for n in net.living()
    )  # whom it told itself


def test_loss_doubles_and_late_ones_take_nobody_off_for_long():
    net = joined(5)
    net.default = Path(delay=0.02, jitter=0.03, loss=0.2, duplication=0.1)
    net.run(60.0)
    assert (
        len(net.false_deaths) <= 24
    )  # one death believed by all at most, in 24 minutes of members
    net.default = Path()
    assert net.until(net.agreed, 20.0) is not None


def test_halves_that_lost_each_other_meet_again_and_each_stands_by_itself_meanwhile():
    net = joined(6)
    names = sorted(net.nodes)
    minority, majority = names[:9], names[9:]
    net.cut(minority, majority)
    assert net.until(lambda: net.agreed(minority) and net.agreed(majority), 200.0) is not None
    net.paths.clear()
    assert net.until(net.agreed, 60.0) is not None


def test_one_way_loss_and_a_cut_between_two_take_nobody_off():
    net = joined(7)
    net.cut(["m0001"], ["m0002"])  # the others still hear both
    net.cut(["m0003"], ["m0004", "m0005"], both=False)
    net.run(60.0)
    assert not net.false_deaths and net.agreed()


@pytest.mark.parametrize("seed", range(3))
def test_one_that_was_paused_wakes_without_accusing_anybody(seed):
    net = joined(seed + 10)
    net.pause("m0002", 20.0)
    net.run(19.0)
    assert not any(net.sees(n.name, "m0002") for n in net.living() if n.name != "m0002")
    net.run(30.0)
    assert net.agreed() and not net.false_deaths
    assert net.nodes["m0002"].machine.counts.late >= 1


def test_one_that_accuses_everyone_takes_nobody_off():
    net = joined(8)

    def lie(node, message):
        names = [c for c in node.machine.members() if c.name != node.name]
        accused = [
            replace(c, state=DEAD if i % 2 else SUSPECT, by=f"m{i % 24:04d}")
            for i, c in enumerate(net.rng.sample(names, 8))
        ]
        return replace(message, updates=tuple(accused))

    net.nodes["m0001"].lie = lie
    net.run(60.0)
    assert not net.false_deaths
    assert net.agreed(sorted(net.nodes)) or all(
        net.sees(a, b) for a in net.nodes for b in net.nodes
    )
    # The accused answer with a higher incarnation; one so high that nobody could is no claim at all.
    assert net.nodes["m0002"].machine.counts.refuted + net.nodes["m0002"].machine.me.incarnation > 0
    machine = net.nodes["m0002"].machine
    absurd = Claim("m0005", THERE, incarnation=2**60, state=DEAD)
    machine.receive(net.now, Message("news", updates=(absurd,)), "m0001", HERE)
    assert machine.entries["m0005"].claim.state == ALIVE and machine.counts.dropped


@pytest.mark.parametrize("members", [3, 24, 72])
def test_bytes_stay_within_the_budget_at_every_size_and_in_every_trouble(members):
    net = joined(9, members)
    before = {name: node.sent for name, node in net.nodes.items()}
    net.kill("m0001")
    net.default = Path(loss=0.1)
    net.run(10.0)
    assert max(node.sent - before[name] for name, node in net.nodes.items()) / 10.0 < 10_000


@given(
    st.lists(st.sampled_from("abcdefgh"), max_size=12), st.floats(0.1, 10.0), st.floats(1.0, 5.0)
)
@settings(max_examples=50)
def test_a_doubt_shortens_with_each_that_shares_it_and_never_under_the_least(by, least, factor):
    doubt = Suspicion(0.0, least, least * factor, {"me"})
    ends = [doubt.expires_at()]
    for name in by:
        doubt.accusers.add(name)
        ends.append(doubt.expires_at())
    assert ends == sorted(ends, reverse=True) and least <= ends[-1] <= least * factor * 1.000001
    if len(set(by)) >= CONFIRMATIONS_FOR_MINIMUM:
        assert ends[-1] == pytest.approx(least)


def test_a_member_without_nacks_doubts_itself_first():
    net = joined(11)
    net.cut(["m0001"], [name for name in net.nodes if name != "m0001"])
    net.run(4.0)
    alone = net.nodes["m0001"].machine
    assert 4 <= alone.health.score <= MAX_HEALTH_SCORE and len(alone.members()) > 20


# ------------------------------------------------------------------------------------------------- on sockets


def config(name, peers, **more):
    return MembersConfig(
        ("127.0.0.1", 0), tuple(peers), ("ab" * 16,), name, zone="z", interval=0.05, **more
    )


@story
async def test_three_find_each_other_on_loopback_beside_a_flood_and_one_says_goodbye():
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


@story
async def test_the_service_has_its_members_at_the_door_and_none_without_the_key():
    async with world(
        Peer("d1", done),
        mgmt="127.0.0.1:0",
        members={
            "listen": "127.0.0.1:0",
            "peers": ["127.0.0.1:9"],
            "keys": ["cd" * 16],
            "zone": "north",
        },
    ) as w:
        await w.until(lambda: w.service.subsystems[0].status()["members"])
        said = ujson.loads((await w.call("GET /_members")).body)
        assert [(m["name"], m["zone"]) for m in said["members"]] == [("yewrill", "north")]
        assert b"members_suspected:0|c" in (await w.call("GET /_vars")).body
        assert (await w.ask()).status == 200
    async with world(Peer("d1", done), mgmt="127.0.0.1:0") as w:
        assert not w.service.subsystems and (await w.call("GET /_members")).status == 404


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
def test_a_faulty_key_of_the_membership_is_named(change, key):
    from test_config import GOOD

    members = {"listen": "127.0.0.1:7", "peers": ["127.0.0.1:9"], "keys": ["ab" * 16]}
    assert read_config({**GOOD, "members": members}).members.name == "yewrill"
    with pytest.raises(ConfigError, match=f"^{key}: ".replace("[", r"\[").replace("]", r"\]")):
        read_config({**GOOD, "members": {**members, **change}})
