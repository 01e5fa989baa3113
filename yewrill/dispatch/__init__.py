"""The life of a request: the decision engine's adapter, attempts, their outcomes and safety rules."""
