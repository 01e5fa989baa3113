"""Who lives, and how many we are: membership of the dispatchers of one installation, without a server.

Promises: every member that can be reached by a part of the others is listed by all of them within a bounded
time, and one that can't be is listed as dead by them; no single member, broken or lying under its own name,
has a healthy one taken for dead, and one that hears nobody takes nobody for dead; each instance sends and
looks at no more bytes a second than its budget, whatever the size or an attacker. It does not promise that
all see the same at one moment, nor that two halves of a cut network agree: each half lists the other as dead
until the cut heals, and then both list all again.

`machine.py` (pure) takes messages and the time, and gives messages back; `evidence.py` (pure) says what a
silence is worth, and which ways between two members work; `suspicion.py` (pure) says how long a doubt may
last and how much a member trusts itself; `intake.py` (pure) has the budgets of what goes out and comes in;
`format.py` turns messages into authenticated datagrams and back; `parts.py` cuts what other parts say into
payloads; `transport.py` (no I/O) puts these together; `link.py` runs it on the socket of `udp.py`; `Members`
in `facade.py` is all that others use.
"""

from yewrill.membership.facade import Members, MembersConfig, View

__all__ = ["Members", "MembersConfig", "View"]
