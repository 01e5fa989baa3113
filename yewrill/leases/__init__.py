"""Leases with fencing numbers on roles of the fleet, granted by a replicated log among a few voters.

Promises: a role has at most one holder whose commands are executed, and each lease has a number that only
grows. A holder that was paused finds its lease expired by its own clock; should that clock be wrong, whoever
executes the command refuses the number. This holds whatever is lost, late, duplicated or killed, and also
where a voter's disk lost synced data, as long as the peers that have its acknowledgements have not restarted
since. It doesn't promise a holder at all times: without a majority of voters there is none.

`raft.py` and `raft_types.py` (pure) keep one order of entries; `lease_table.py` (pure) is the state that they
make, and the fence; `timing.py` (pure) has Raft's timers; `node.py` (pure) is one member's whole part;
`states.py` adds further state machines; `format.py` and `disk.py` are the codecs of messages and of the
store; `Ownership` in `facade.py` is all that others use.
docs/ownership-design.md.
"""

from yewrill.leases.facade import Ownership, OwnershipConfig

__all__ = ["Ownership", "OwnershipConfig"]
