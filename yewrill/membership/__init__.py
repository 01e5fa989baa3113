"""Decentralised group membership of the dispatchers of one fleet (SWIM with Lifeguard).

Guarantees:

- A member that some other members can reach is listed as alive by all others within a bounded time; a member
  that no other can reach is listed as dead.
- A single member that is faulty, or lies under its own name, cannot have a healthy member declared dead. An
  isolated member declares nobody dead.
- Each process sends and processes at most as many bytes a second as its budget allows, whatever the size of
  the group and even under attack.

The lists of two members may differ at a given moment. The two halves of a partitioned network do not agree
either: each lists the other as dead until the partition heals, and then both list all members again.

Modules without I/O, from the bottom up: `messages.py` (claims and messages), `config.py` (settings),
`evidence.py` (how unlikely a silence is, which directions of a link work), `suspicion.py` (how long a
suspicion lasts, the local health score), `table.py` (the member table), `gossip.py` (pending updates),
`context.py` (state that probing and suspicion tracking share), `detector.py` (judges silence), `tracker.py`
(follows a suspicion until the member is declared dead or refutes it), `probe.py` (which member to ping, and
when) and `machine.py` (the protocol's state machine). `intake.py` holds the byte budgets, `format.py` the
codec of authenticated datagrams, `parts.py` fragments the messages of other subsystems, and `transport.py`
combines all of these. `link.py` runs a transport on the socket of `udp.py`, and `Members` in `facade.py` is
the interface for the rest of the service.
"""

from yewrill.membership.facade import Members, MembersConfig, MembershipSnapshot

__all__ = ["Members", "MembersConfig", "MembershipSnapshot"]
