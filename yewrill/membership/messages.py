"""The values that members exchange: claims about a member, and the content of one datagram."""

from __future__ import annotations

from dataclasses import dataclass

ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
STATE_NAMES = ("alive", "suspect", "dead", "left")
MAX_INCARNATION = 2**48  # a higher claim is invalid: nobody could refute it for ever

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Claim:
    """What is said of a member: its identity, incarnation and state."""

    name: str
    address: Address
    zone: str = ""
    region: str = ""
    incarnation: int = 0
    state: int = ALIVE
    by: str = ""  # of a suspicion: the member whose own probes raised it


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram's content.

    `kind` is ping, ack, nack, help (ping `about` for me), list (asks for a page of the list), news (gossip
    updates only), cargo (another subsystem's payload) or hello (the sender's run).
    """

    kind: str
    number: int = 0  # list: the digest of the asker's list, 0: none
    about: str = ""  # help: whom to ping; ping: whom it is meant for; list: after which name
    updates: tuple[Claim, ...] = ()
    payload: bytes = b""


OutgoingMessage = tuple[Address, Message]
