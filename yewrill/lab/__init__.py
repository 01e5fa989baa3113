"""Simulations, model checkers and test rigs of the dispatcher's parts. The dispatcher itself imports none."""
