"""A randomized soak test: real dispatcher processes on loopback, overlapping faults, and a strict oracle.

A seed determines a whole run (`plan.py`): the dispatchers, their settings, and faults that overlap in time.
The dispatchers are the unmodified program, each with a small preloaded library (`shim.c`, `shim.py`) that
makes system calls fail, delays or fails disk writes, and sets the wall clock forward or back. Around them are
simulated workers, discovery and clients that misbehave (`workers.py`, `discovery.py`, `clients.py`). All that
these parties see goes into one history (`events.py`), timed by the monotonic clock. The oracle (`oracle.py`),
which does no I/O, checks the history against the guarantees of a dispatcher. `python -m yewrill lab soak
--seed N` runs one seed; see `commands.py`.

The dispatcher never imports this package. The library is built on demand and is no part of the product.
"""
