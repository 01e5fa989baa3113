"""State that outlives a restart of the dispatcher: operators' settings, endpoint list, attempts in flight.

Guarantees: an attempt of a request that is not idempotent, or idempotent only by key, is sent only after its
record is on disk. A management call is answered after the disk has confirmed the setting or failed, and the
answer says which. A failing disk affects no other request: a store whose sync failed is closed and reopened
with exponential backoff, and the whole state is then written again.

`attempts.py` has no I/O: it defines records of attempts and estimates their age when clocks may have been
set. `clock.py` reads the clocks. `disk.py` opens, writes and reopens the store. `attempt_journal.py` records
attempts, `operator_state.py` reads and writes operators' settings, and `persistent_state.py` is the interface
to the rest of the program. The package is imported only if `state_dir` is set.
"""

from yewrill.persistence.persistent_state import PersistentState

__all__ = ["PersistentState"]
