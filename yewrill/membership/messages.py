"""Values that members exchange: claims about a member, and the content of one datagram."""

from __future__ import annotations

from dataclasses import dataclass

ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
STATE_NAMES = ("alive", "suspect", "dead", "left")
# A claim with a higher incarnation is invalid: the member that it is about could never refute it.
MAX_INCARNATION = 2**48

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Claim:
    """A statement about a member: its identity, incarnation and state."""

    name: str
    address: Address
    zone: str = ""
    region: str = ""
    incarnation: int = 0
    state: int = ALIVE
    # The member whose own probes raised the suspicion.
    # In a nack with an ALIVE claim: the member at which messages of the suspect arrive.
    by: str = ""


@dataclass(frozen=True, slots=True)
class Message:
    """The content of one datagram.

    The kinds are:

    - ping: asks for an ack;
    - ack: the answer to a ping, or the statement that the member `about` is alive;
    - nack: the sender got no ack from the member in question; `about` names it if the sender suspects it too;
    - help: asks the receiver to ping the member `about` (an indirect probe);
    - list: asks for the page of the member list that follows the name `about`;
    - news: carries gossip updates only;
    - cargo: carries another subsystem's payload;
    - hello: tells the run (the random number) of the sending process.
    """

    kind: str
    # Number of the request, repeated in its answer; in a list request the digest of the sender's list, or 0.
    number: int = 0
    # The member that the message is about; in a ping the member that it is meant for.
    about: str = ""
    updates: tuple[Claim, ...] = ()
    payload: bytes = b""


OutgoingMessage = tuple[Address, Message]
