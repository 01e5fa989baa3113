"""Traces: one record an operation that says where its time went and why it ended as it did.

It promises: every late, refused, failed, retried or abandoned operation is kept, whole, while the bounds
hold, and what gives way is counted; the parts of a breakdown add up to the whole. It doesn't promise
delivery beyond the queue (and the spool, where there is a store).

How the parts work together: `tracer.py` is what the dispatcher speaks to, with plain values only; it opens
a record (`record.py`), is told its moments, and at its end asks `sampling.py` what becomes of it.
`export.py` takes finished records in batches to files and to a collector (`otlp.py` has the bytes,
`retry.py` decides after each answer, `spool.py` outlives an outage). `context.py` reads and writes W3C
Trace Context, `breakdown.py` cuts a life into its parts. `reading.py`, `report.py` and `commands.py` are
for people. It imports nothing else of yewrill.
"""
