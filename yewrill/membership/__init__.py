"""Membership (SWIM) of the dispatchers of one installation, without a server.

Promises: every member that can be reached by a part of the others is listed by all of them within a bounded
time, and one that can't be is listed as dead by them; no single member, faulty or lying under its own name,
has a healthy one declared dead, and an isolated member declares nobody dead; each process sends and processes
no more bytes a second than its budget, whatever the size or an attacker. It does not promise that all lists
are equal at one moment, nor that two halves of a partitioned network agree: each half lists the other as dead
until the partition heals, and then both list all again.

Pure, from the bottom: `messages.py` (claims and messages), `config.py`, `evidence.py` (how unlikely a silence
is, which directions of a link work), `suspicion.py` (how long a suspicion lasts, the local health score),
`table.py` (the members), `gossip.py` (pending updates), `context.py` (what the parts of a member share),
`detector.py` (judges silence), `tracker.py` (from suspicion to death or refutation), `probe.py` (whom to ping
and when) and `machine.py`, which joins them. `intake.py` has the byte budgets, `format.py` the authenticated
datagrams, `parts.py` fragments payloads of other subsystems; `transport.py` joins all that without I/O,
`link.py` runs it on the socket of `udp.py`, and `Members` in `facade.py` is what others use.
"""

from yewrill.membership.facade import Members, MembersConfig, MembershipSnapshot

__all__ = ["Members", "MembersConfig", "MembershipSnapshot"]
