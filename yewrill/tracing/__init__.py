"""Tracing: one record per request that says where its time went and why it was answered as it was.

Guarantees: the record of every late, rejected, failed, retried or abandoned request is kept while the queue
has capacity, and dropped records are counted; the parts of a breakdown add up to the whole. Not guaranteed:
delivery of records that exceed the capacity of the queue (and of the spool, if there is a store).

Modules: `tracer.py` is the interface to the dispatcher. It opens a record (`record.py`) and decides by
`sampling.py` whether the finished one is kept. `export.py` writes batches of records to files and to a
collector (`otlp.py` encodes them, `retry.py` decides after each response). `context.py` reads and writes W3C
Trace Context, `breakdown.py` divides a request's time into parts. `reading.py`, `report.py` and
`commands.py` implement the command line. The package imports nothing else of yewrill.
"""
