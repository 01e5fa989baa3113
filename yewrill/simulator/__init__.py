"""Runs the policy module under the simulator: codec of the simulator's protocol, and host process."""
