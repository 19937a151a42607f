"""Check that a start reaches a target of the pool that it is meant for.

`start_check` decides at the agent, `shared_tags` at the balancer; both are
without input or output.
"""
