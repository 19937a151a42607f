"""Check that a start reaches a target of the pool that it is meant for.

`start_check` and `quarantine` decide at the agent, `agent_versions` and
`shared_tags` at the balancer; all are without input or output. `offer_sender`
sends starts.
"""
