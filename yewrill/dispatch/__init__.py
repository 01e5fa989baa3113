"""Protocol-independent request handling: the request lifecycle, attempts, outcomes and safety rules.

`lifecycle.run_request` runs one request to its single final answer and asks the `engine` for each next step.
The engine passes events to the policy module (`yewrill.policy`) and executes the actions that the module
returns; it uses a `clock` with timers and `health_checks`. `request` and `endpoint` hold the shared types,
`outcome` lists every way an attempt can end, and `safety` decides whether an attempt may be sent.
`load_report` validates workers' load reports, `start_times` converts workers' start times to the monotonic
clock, and `rejection_watch` detects request classes of which every request is rejected.
"""
