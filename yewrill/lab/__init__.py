"""Simulations, model checkers and test rigs for the dispatcher, which itself imports none of them."""
