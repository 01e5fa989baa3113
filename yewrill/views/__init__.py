"""Views: one numbered list of members that a majority agreed on, and who may act by it.

Promises: no two views of one number, and no leases of views of which neither follows the other; whoever holds
a lease has been heard by a majority of its view, and has heard it, within that lease. A fleet that starts at
once agrees within its budgets, batch by batch. It does not promise a view while no majority can talk.

`machine.py` (pure) is one member's part, `inside.py` that within one view: `agreement.py` votes on the next
one, `rollcall.py` renews the lease, `cut.py` judges who is out, `vouching.py` tells whom we vouch for,
`admission.py` orders those that join, `founding.py` makes the first view, `rules.py` has the times and
`format.py` the bytes; `facade.py` is the hook. docs/views-design.md says why.
"""
