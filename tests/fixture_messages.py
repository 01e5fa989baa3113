"""Sample values of every message between dispatchers, one for each kind and form.

The values are built by the code as it stands; what they must be encoded to is stored in fixtures.
"""

from __future__ import annotations

from fixture_files import Encoded

from yewrill.members.format import KINDS, Codec
from yewrill.members.machine import ALIVE, DEAD, LEFT, SUSPECT, Claim
from yewrill.members.machine import Message as Datagram
from yewrill.members.parts import cut

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
    """Signs with the new key and takes the old one too."""
    return Codec("beta", RECEIVER_RUN, [NEW_KEY, OLD_KEY])


def members_datagrams() -> Encoded:
    """A conversation: the first ping is to a stranger, whose greeting makes it known."""
    sender, receiver = sending_codec(), receiving_codec()
    first = sender.encode(Datagram("ping", 1, "beta"), RECEIVER_ADDRESS)
    greeting = receiver.hello(SENDER_ADDRESS, SENDER_RUN)
    sender_with_both = Codec("alpha", SENDER_RUN, [OLD_KEY, NEW_KEY])
    sender_with_both.encode(Datagram("ping", 1, "beta"), RECEIVER_ADDRESS)
    sender_with_both.decode(greeting, RECEIVER_ADDRESS)
    told = {
        label: [sender_with_both.encode(message, RECEIVER_ADDRESS)] for label, message in DATAGRAMS
    }
    full = sender_with_both.encode(Datagram("ping", 5, "beta", MANY_CLAIMS), RECEIVER_ADDRESS)
    assert {message.kind for _, message in DATAGRAMS} | {"hello"} == set(KINDS)
    return {"to a stranger": [first], "hello": [greeting], **told, "as much as fits": [full]}


# -- parts

PAYLOADS = (
    ("empty", b"", 0),
    ("one part", b"short", 7),
    ("one whole part", bytes(range(256)) * 3 + bytes(132), 8),
    ("three parts", bytes(range(256)) * 8, 2**32),
)


def parts() -> Encoded:
    return {label: cut(payload, number) for label, payload, number in PAYLOADS}
