"""Sample values of every message between dispatchers, one for each kind and form.

The values are built by the current code; the bytes that they must be encoded to are stored as fixtures.
"""

from __future__ import annotations

import msgspec
from fixture_files import Encoded

from yewrill.leases import format as ownership
from yewrill.leases import lease_table, raft_types, states
from yewrill.membership.format import KINDS, Codec
from yewrill.membership.messages import ALIVE, DEAD, LEFT, SUSPECT, Claim
from yewrill.membership.messages import Message as Datagram
from yewrill.membership.parts import split_payload
from yewrill.reservations import asking
from yewrill.reservations.book import Book
from yewrill.reservations.windows import MINUTE, Window
from yewrill.views import admission, view
from yewrill.views import format as views
from yewrill.views.agreement import VoteState
from yewrill.views.bootstrap import Bootstrap
from yewrill.views.lease_renewal import Round
from yewrill.zone_failover import format as zones
from yewrill.zone_failover import plan

# -- members

OLD_KEY, NEW_KEY = bytes(range(16)), bytes(range(100, 164))
SENDER_RUN, RECEIVER_RUN = 0x1111222233334444, 0xFFFFEEEEDDDDCCCC
SENDER_ADDRESS, RECEIVER_ADDRESS = ("127.0.0.1", 7401), ("127.0.0.2", 7402)
CLAIMS = (
    Claim("alpha", SENDER_ADDRESS, "north", "upper", 3, ALIVE, ""),
    Claim("beta", RECEIVER_ADDRESS, "south", "lower", 2**40, SUSPECT, "alpha"),
    Claim("gämma", ("10.1.2.3", 65535), "", "", 0, DEAD, "beta"),
    Claim("delta", ("10.1.2.4", 0), "zone", "", 2**48, LEFT, ""),
)
MANY_CLAIMS = tuple(
    Claim(f"member-{i:03d}", ("10.0.0.1", 7000 + i), "north", "upper", i, ALIVE, "")
    for i in range(60)
)
DATAGRAMS = (
    ("ping", Datagram("ping", 17, "beta", CLAIMS)),
    ("ack", Datagram("ack", 2**63, "beta", ())),
    ("nack", Datagram("nack", 18, "gämma", CLAIMS[1:3])),
    ("help", Datagram("help", 19, "delta", ())),
    ("list", Datagram("list", 2**56 - 1, "beta", CLAIMS[:1])),
    ("news", Datagram("news", 0, "", CLAIMS[2:])),
    ("cargo", Datagram("cargo", 0, "", (), b"\x00\x01payload of another part\xff")),
    ("cargo and news", Datagram("cargo", 1, "", CLAIMS[:2], b"x" * 600)),
)


def sending_codec() -> Codec:
    return Codec("alpha", SENDER_RUN, [OLD_KEY])


def receiving_codec() -> Codec:
    """Returns a codec that signs with the new key and also accepts the old one."""
    return Codec("beta", RECEIVER_RUN, [NEW_KEY, OLD_KEY])


def members_datagrams() -> Encoded:
    """Encodes a conversation. The first ping goes to an unknown member, whose hello makes the runs known."""
    sender, receiver = sending_codec(), receiving_codec()
    first = sender.encode(Datagram("ping", 1, "beta"), RECEIVER_ADDRESS)
    greeting = receiver.hello(SENDER_ADDRESS, SENDER_RUN)
    sender_with_both = Codec("alpha", SENDER_RUN, [OLD_KEY, NEW_KEY])
    sender_with_both.encode(Datagram("ping", 1, "beta"), RECEIVER_ADDRESS)
    sender_with_both.decode(greeting, RECEIVER_ADDRESS)
    encoded = {
        label: [sender_with_both.encode(message, RECEIVER_ADDRESS)] for label, message in DATAGRAMS
    }
    full = sender_with_both.encode(Datagram("ping", 5, "beta", MANY_CLAIMS), RECEIVER_ADDRESS)
    assert {message.kind for _, message in DATAGRAMS} | {"hello"} == set(KINDS)
    return {"to a stranger": [first], "hello": [greeting], **encoded, "as much as fits": [full]}


# -- fragments of payloads

PAYLOADS = (
    ("empty", b"", 0),
    ("one part", b"short", 7),
    ("one whole part", bytes(range(256)) * 3 + bytes(132), 8),
    ("three parts", bytes(range(256)) * 8, 2**32),
)


def parts() -> Encoded:
    return {label: split_payload(payload, number) for label, payload, number in PAYLOADS}


# -- views

ENTRIES = tuple(
    view.Entry(
        f"d{i:02d}", 1000 + i, ("127.0.0.1", 7400 + i), ("north", "south")[i % 2], ("voter",)
    )
    for i in range(14)
)
ROUND = Round(9, 3, 2, 0b10110111011101, 0b1011)
VOTE_STATE = VoteState((4, 2), 0b1111, (3, 1), b"best", b"proposed", 0b101)
SAME_PROPOSAL = VoteState((4, 2), 0b11111111, (4, 2), b"best", b"best", 0)
VIEW = view.View(7, ENTRIES)
REGISTERS = (
    views.Register(0, 2, 5, (), False),
    views.Register(13, 2**40, 255, ENTRIES[:2], True),
)
VIEW_MESSAGES = (
    ("beat, least", views.Heartbeat(1, b"8 bytes.", 2, 500, -1, 0)),
    (
        "beat, whole",
        views.Heartbeat(
            7,
            VIEW.digest,
            2**48,
            0,
            3_600_000,
            2**32 - 1,
            views.encode_round(ROUND, len(ENTRIES)),
            REGISTERS,
            views.encode_vote(VOTE_STATE, len(ENTRIES)),
            b"last change",
            2,
            views.encode_tally(VOTE_STATE, len(ENTRIES)),
            ENTRIES[4:6],
        ),
    ),
    (
        "beat, word without a proposal of its own",
        views.Heartbeat(
            7, VIEW.digest, 1, 250, 10, 1, None, (), views.encode_vote(SAME_PROPOSAL, len(ENTRIES))
        ),
    ),
    ("call, least", views.JoinRequest(ENTRIES[0], 0, 500, -1, 0)),
    (
        "call, whole",
        views.JoinRequest(
            ENTRIES[1],
            6,
            500,
            20,
            5,
            (8, b"founders"),
            view.PersistedView(5, ("d00", "d01", "d02")),
            True,
        ),
    ),
    ("answer, least", views.JoinResponse(7, VIEW.digest, 12)),
    ("answer, whole", views.JoinResponse(7, VIEW.digest, 12, "not yet", b"last change", 14)),
    ("ask", views.PageRequest(7, 1)),
    ("page", views.Page(7, VIEW.digest, 1, 2, ENTRIES[10:])),
)
CHANGE = view.encode_change({2, 5}, [view.Entry("late", 77, ("127.0.0.3", 1)), ENTRIES[0]])
PERSISTED_VIEW = view.PersistedView(7, VIEW.names)


def view_messages() -> Encoded:
    found = {label: views.pack(message, 40) for label, message in VIEW_MESSAGES}
    found["change"] = [CHANGE]
    found["kept"] = [msgspec.msgpack.encode(PERSISTED_VIEW)]
    return found


def derived_view_values() -> dict[str, list]:
    """Returns values that all members derive from the same view and must agree on, but never send."""
    size = len(ENTRIES)
    founding = Bootstrap(ENTRIES[0], (ENTRIES[0].name,), None, 5.0, lambda size: 0.0)
    founding.tick(0.0)
    return {
        "digest": [VIEW.digest.hex(), VIEW.next_view(CHANGE).digest.hex()],
        "names after the change": list(VIEW.next_view(CHANGE).names),
        "neighbours": [list(VIEW.edges(rank)) for rank in range(size)],
        "places": list(VIEW.observers_of("joiner", 5)),
        "turns": VIEW.proposal_order(),
        "order of joiners": [admission.sort_key(entry.name).hex() for entry in ENTRIES],
        "tellers": [admission.sends_change(rank, "joiner") for rank in range(size)],
        "bitmaps": [
            views.encode_bitmap(value, width).hex()
            for value, width in ((0, 3), (5, 14), (1 << 200, 300), ((1 << 300) - 2, 300))
        ],
        "founders' agreement": [founding.accepted_view[0], founding.accepted_view[1].hex()],
        "digest of a proposal": [views.digest_of(b"proposed").hex()],
    }


# -- zones

PLAN = plan.FailoverPlan(
    3 * plan.PLANS_PER_EPOCH + 2,
    {"north": plan.ZoneEntry(0, 3, False), "south": plan.ZoneEntry(200, 64, True)},
)
ZONE_MESSAGES = (
    ("digest", zones.ZoneMessage(zones.DIGEST, PLAN.version)),
    ("digest, no plan yet", zones.ZoneMessage(zones.DIGEST, plan.FailoverPlan().version)),
    ("ask", zones.ZoneMessage(zones.ASK, PLAN.version, 2**32)),
    (
        "tell",
        zones.ZoneMessage(
            zones.ANSWER,
            PLAN.version,
            41,
            True,
            12.5,
            {"north": (100, 40), "south": (10_000, 0)},
            ("east", "west"),
        ),
    ),
    ("plan", zones.ZoneMessage(zones.PLAN, PLAN.version, plan=PLAN)),
    ("get", zones.ZoneMessage(zones.GET, PLAN.version)),
    ("hint", zones.ZoneMessage(zones.HINT, PLAN.version, unreachable_zones=("south",))),
)


def zone_messages() -> Encoded:
    return {label: [zones.pack(message)] for label, message in ZONE_MESSAGES}


# -- ownership

VOTERS = ("d00", "d01", "d02")
COMMAND = lease_table.LeaseCommand(lease_table.CLAIM, "zones", "d01", 12, 0, 2000)
LOG_ENTRIES = (
    raft_types.LogEntry(1, raft_types.NO_OP),
    raft_types.LogEntry(2, raft_types.COMMAND, lease_table.pack_command(5000, COMMAND)),
    raft_types.LogEntry(2, raft_types.VOTERS, b"", VOTERS),
    raft_types.LogEntry(3, states.STATE, states.pack_entry(6000, "calendar", b"for the machine")),
)
SNAPSHOT = raft_types.Snapshot(40, 3, VOTERS, b"state of the duties")
RAFT_MESSAGES = tuple(
    (f"log: {message.kind}", message)
    for message in (
        raft_types.RaftMessage("ask", "d00", "d01", 2**42, number=2**42),
        raft_types.RaftMessage(
            "remember", "d01", "d00", 7, 3, number=2**42, index=9, entry_term=2, accepted=True
        ),
        raft_types.RaftMessage("prevote", "d00", "d01", 8, 4, number=1, index=9, entry_term=3),
        raft_types.RaftMessage("vote", "d00", "d01", 8, 4, index=9, entry_term=3),
        raft_types.RaftMessage("voted", "d01", "d00", 7, 4, accepted=True),
        raft_types.RaftMessage(
            "append",
            "d00",
            "d02",
            8,
            4,
            number=3,
            index=9,
            entry_term=3,
            commit_index=8,
            entries=LOG_ENTRIES,
        ),
        raft_types.RaftMessage(
            "appended", "d02", "d00", 9, 4, number=3, index=13, accepted=True, is_voting=False
        ),
        raft_types.RaftMessage("snapshot", "d00", "d02", 8, 4, index=40, snapshot=SNAPSHOT),
        raft_types.RaftMessage("confirm", "d00", "d02", 8, 4, commit_index=13),
    )
)
REQUESTS = (
    ("claim", ownership.Request(COMMAND)),
    (
        "renew",
        ownership.Request(lease_table.LeaseCommand(lease_table.RENEW, "zones", "d01", 13, 4, 2000)),
    ),
    (
        "give up",
        ownership.Request(lease_table.LeaseCommand(lease_table.GIVE_UP, "zones", "d01", 14, 4)),
    ),
    ("reply", ownership.Reply(12, True, lease_table.LeaseResult(True, 4, "d01", 1999), "")),
    ("reply of another", ownership.Reply(13, False, lease_table.LeaseResult(False), "d02")),
    ("submit", ownership.Submit("calendar", 99, b"entry")),
    ("submitted", ownership.Submitted(99, True, True, b"result", "d00")),
    ("submitted in vain", ownership.Submitted(100, True, False)),
)
OWNERSHIP_MESSAGES = (*RAFT_MESSAGES, *REQUESTS)


class LastEntryMachine:
    """A state machine that keeps the last entry."""

    def __init__(self) -> None:
        self.data = b""

    def apply(self, at: int, data: bytes) -> bytes:
        self.data = data
        return b"%d" % at

    def pack(self) -> bytes:
        return self.data

    def restore(self, data: bytes) -> None:
        self.data = data


def applied_leases() -> lease_table.LeaseTable:
    """Returns leases after a claim, a renewal, a lease that was given up, and a claim that was rejected."""
    state = lease_table.LeaseTable()
    state.apply(5000, COMMAND)
    state.apply(5500, lease_table.LeaseCommand(lease_table.RENEW, "zones", "d01", 13, 1, 2000))
    state.apply(5600, lease_table.LeaseCommand(lease_table.CLAIM, "calendar", "d02", 1, 0, 1000))
    state.apply(5700, lease_table.LeaseCommand(lease_table.GIVE_UP, "calendar", "d02", 2, 1))
    state.apply(5800, lease_table.LeaseCommand(lease_table.CLAIM, "zones", "d00", 5, 0, 1000))
    return state


def ownership_messages() -> Encoded:
    return {label: [ownership.pack(message)] for label, message in OWNERSHIP_MESSAGES}


def ownership_states() -> Encoded:
    """Encodes log entries, and snapshots of the state that they lead to."""
    machine = LastEntryMachine()
    machine.apply(0, b"kept")
    return {
        "command": [lease_table.pack_command(5000, COMMAND)],
        "entry of a state machine": [states.pack_entry(6000, "calendar", b"entry")],
        "duties": [applied_leases().pack()],
        "snapshot without machines": [states.pack_all(applied_leases(), {})],
        "snapshot with a machine": [states.pack_all(applied_leases(), {"calendar": machine})],
    }


# -- the calendar's entries of that log

HOUR = 60 * MINUTE
CALENDAR = asking.Config(
    (asking.Capacity("north", "std", 40, 10, 2, 2, 1), asking.Capacity("south", "std", 20, 5)),
    {"acme": 500.0},
)
WINDOWS = (Window(2 * HOUR, 3 * HOUR), Window(26 * HOUR, 27 * HOUR))
CALENDAR_ENTRIES = (
    ("ask", asking.Ask("acme", "a1", "std", 10, WINDOWS)),
    (
        "ask for a length",
        asking.Ask("acme", "a2", "std", 24, (Window(HOUR, 9 * HOUR),), HOUR, asking.Spread(4, 2)),
    ),
    ("ask, refused with offers", asking.Ask("acme", "a3", "std", 36, (WINDOWS[0],))),
    ("take an offer", asking.TakeOffer("acme", "a4", 3)),
    ("cancel", asking.Cancel("acme", "a5", 1)),
    ("release", asking.Release("acme", "a6", 2)),
    ("tick", asking.Tick()),
)


def calendar_book() -> tuple[Encoded, bytes]:
    """Returns each entry with its result, and the book that results from all of them."""
    book, found = Book(CALENDAR), {}
    for at, (label, entry) in enumerate(CALENDAR_ENTRIES):
        data = asking.encode(entry)
        found[label] = [data, book.apply(at * MINUTE, data)]
    return found, book.pack()


def calendar() -> Encoded:
    found, book = calendar_book()
    return {**found, "book": [book]}
