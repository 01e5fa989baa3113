"""The life of a request, without any protocol: attempts, their outcomes, safety rules.

`lifecycle.run_request` runs one request to its single final answer. It asks the `engine` for each
choice, which
hands what happens to the decision module, with a `clock` and `health_checks` of its own, and carries out the
module's actions. `request` and `endpoint` are the types in between, `outcome` names every way an attempt
can end,
`safety` says what may be sent, `load_report` and `start_times` check what workers and lists say.
"""
