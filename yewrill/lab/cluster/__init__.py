"""Test rig: a cluster of real dispatcher processes, simulated workers and clients, faults, and an auditor.

The dispatchers are the unmodified program. One clock times the history of every party. The auditor reads
histories only and reports each breach with the lines that contradict each other; it is tested against
dispatchers that are broken on purpose in one way each. The rig does not measure performance: what it asserts
also holds on a busy machine. See docs/cluster-rig.md.
"""
