"""Logging and metrics. Imports no other package of yewrill."""
