"""What a dispatcher keeps over a restart: operators' settings, the endpoint list, attempts in flight.

Promises: an attempt of a request that must not simply run twice has its record on disk before its first
byte is sent, or it is not sent; a management call waits for the disk before its answer, and the answer says
whether the setting got there. A failing disk affects no other request: a store whose sync failed is closed
and reopened, with exponential backoff, and then the whole state is written again.

`attempts.py` is pure: records of attempts, and what follows from them when clocks may have been set.
`clock.py` reads these clocks. `disk.py` opens, writes and reopens the store. `attempt_journal.py` records
attempts, `operator_state.py` reads and writes what operators set, and `persistent_state.py` joins them for
the rest of the program. Imported only where `state_dir` is set.
"""

from yewrill.persistence.persistent_state import PersistentState

__all__ = ["PersistentState"]
