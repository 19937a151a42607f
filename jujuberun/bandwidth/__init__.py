"""Limit of concurrent uploads through a balancer whose link is slow.

`upload_limit`, `flow_sizes`, `link_flow` and `uploads` decide without input or
output; `upload_gate` holds, releases and refuses starts by calls of the
balancer. `replay` and `replay_limits` compute loads in virtual time, and are
imported by no other part.
"""
