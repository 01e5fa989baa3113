"""What a dispatcher keeps over a restart: the operators' word, the list of workers, attempts that are out.

Promises: an attempt of a job that may not simply run twice has its record on disk before its first byte, or
it is not sent; an operators' call waits for the disk before its answer, and the answer says whether it got
there. A disk that errs costs no other job anything: a store whose sync failed is closed and opened anew,
again and again with growing pauses, and then gets everything that is to be kept once more.

`attempts.py` is pure: records of attempts and what to believe of them, by clocks that may have been set.
`disk.py` holds the store and opens it anew. `keeper.py` is what the rest of the program uses. Imported only
where `state_dir` is set.
"""

from yewrill.persistence.persistent_state import PersistentState

__all__ = ["PersistentState"]
