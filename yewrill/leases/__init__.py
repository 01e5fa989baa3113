"""Leases with fencing numbers on roles of the fleet, granted by a replicated log among a few voters.

Guarantees: a role has at most one holder whose commands are executed, and the fencing numbers of its leases
only grow. A holder that was paused finds its lease expired by its own clock; if that clock is wrong, whoever
executes a command refuses its number. This holds whatever messages are lost, late or duplicated and whichever
processes are killed, and also if a voter's disk loses synced data, as long as the peers that have its
acknowledgements have not restarted since. Not guaranteed: a holder at all times. Without a majority of voters
there is none.

`raft.py` and `raft_types.py` replicate the log; `lease_table.py` is the state made by its entries, and the
fence; `timing.py` has Raft's timers; `node.py` is one member's part of the protocol; `states.py` adds further
state machines. These do no I/O. `format.py` is the codec of messages, `disk.py` that of the stored state. The
rest of the program uses `Ownership` in `facade.py` only. See docs/ownership-design.md.
"""

from yewrill.leases.facade import Ownership, OwnershipConfig

__all__ = ["Ownership", "OwnershipConfig"]
