"""One owner at a time for work on behalf of the fleet, by a replicated log among a few voters.

Promises: a duty has at most one owner whose orders are obeyed, each grant with a number that only grows; an
owner that wakes late finds its grant over by its own clock, and should that clock lie, whoever carries out
its order refuses the number; all of this whatever is lost, late, doubled or killed, and also where a voter's
disk lost what it had called synced, as long as those who remember its word have not restarted since. It does
not promise an owner at all times: without a majority of voters there is none, and work rests.

`raft.py` (pure) keeps one order of entries; `duties.py` (pure) is the state that they make, grants and
fences; `timing.py` (pure) says when a voter stands and speaks; `node.py` (pure) is one member's whole part;
`format.py` and `disk.py` are bytes; `Ownership` in `facade.py` is all that others use.
docs/ownership-design.md.
"""

from yewrill.leases.facade import Ownership, OwnershipConfig

__all__ = ["Ownership", "OwnershipConfig"]
