"""Rate limit of targets that have just started.

`bounds`, `start_window` and `offer_limits` decide, without input or output.
`agent_limit` and `cold_targets` connect them to messages, logs and counts of
the agent and of the balancer. May import identifiers, setting values, logs,
messages, and the types of pools and targets.
"""
