"""The decision module on the simulator's wire: codec and host."""
