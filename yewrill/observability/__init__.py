"""The log and the metrics. Imports nothing of yewrill."""
