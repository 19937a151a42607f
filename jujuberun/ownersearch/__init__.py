"""Search for the target that holds a moved flow.

`search_step`, `flow_search`, `answer_clock`, `flow_locator`, `address_rounds`,
`agent_knowledge` and `lost_search` decide without input or output.
`search_runner` takes the steps, `search_sender` sends packets,
`lost_flow_handler` resets. `agent_inquiries`, `other_pools` and `held_flows`
exchange messages between a balancer and agents.
"""
