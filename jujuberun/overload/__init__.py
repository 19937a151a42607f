"""Order of waiting starts, and what is refused when room is short.

Sends and receives nothing. `terms`, `ranking`, `limits`, `demand`, `credit` and
`work` decide without state of other parts; `order` applies them to the starts
of a balancer, and `outlook` explains one without sending it. `busy_flows`
counts what keeps a slot busy, at an agent. `comparison` and `central_queue`
measure, and are imported by no other part.
"""
