"""Events of the parts that carry packets of flows, and of their documents."""

from jujuberun.events.event import NO_ACTION, REPORT_FAULT, Event

PACKET_EVENTS = (
    Event("relay", "starts", "The first packet of a flow arrived.", NO_ACTION),
    Event(
        "relay",
        "start_copies",
        "A caller sent a start packet again.",
        "Rises with packet loss and when targets are full.",
    ),
    Event(
        "relay",
        "starts_held",
        "A start waited at the balancer because no target had room.",
        "If it rises for minutes, add targets.",
    ),
    Event(
        "relay",
        "starts_offered_again",
        "An agent did not confirm a start in time.",
        "Expected when a VM fails; otherwise compare with suspicions.",
    ),
    Event(
        "relay",
        "starts_bounced",
        "A target returned a start packet because its queue is full.",
        "If it rises for minutes, add targets.",
    ),
    Event(
        "relay",
        "uploads_held",
        "A start waited for the link of the balancer, because as many uploads "
        "as it takes were in progress, or its service was not known yet.",
        "If it rises for minutes, add balancers or give them faster links.",
    ),
    Event(
        "relay",
        "uploads_refused",
        "The start of an upload found no room on the link in its time.",
        "Add balancers or give them faster links.",
    ),
    Event(
        "relay",
        "uploads_moved",
        "An upload that began at another balancer, or on a flow that was idle, "
        "was counted and not held.",
        NO_ACTION,
    ),
    Event("relay", "declined", "A target had no free slot.", NO_ACTION),
    Event(
        "relay",
        "declined_cold",
        "A target that has just started took no more starts (also declined).",
        "Expected after starts of targets; otherwise compare warmup_rate.",
    ),
    Event(
        "relay",
        "warmups_sent",
        "An agent was told the limit of its cold target.",
        NO_ACTION,
    ),
    Event(
        "relay",
        "suspicions",
        "A balancer began to suspect a target.",
        "Find the target with jujuberun state; check its VM.",
    ),
    Event(
        "relay",
        "flows_adopted",
        "A flow that started at another balancer was adopted.",
        "Expected when balancers join or leave.",
    ),
    Event(
        "relay",
        "bounced",
        "A target returned a packet because it does not have the flow.",
        "Expected when balancers join or leave.",
    ),
    Event(
        "relay",
        "bounced_unknown",
        "A packet was returned by an unknown agent or for an unknown flow.",
        "Compare the VM list with the VMs that should exist.",
    ),
    Event(
        "relay",
        "dropped_no_owner",
        "A packet was dropped because no target has its flow.",
        "Expected after a crash of targets.",
    ),
    Event(
        "relay",
        "dropped_no_service",
        "A packet arrived for an address that is not in the manifest.",
        "Compare generations; one process may be cut off.",
    ),
    Event(
        "relay",
        "dropped_unready",
        "A packet arrived before the manifest and the targets were known.",
        "Expected in the first second after a start.",
    ),
    Event(
        "relay",
        "reset_*",
        "A reset was sent to a caller; the suffix is the reason.",
        "no_service: the address is not in the manifest. no_target: all "
        "targets returned the start or are drained. lost_flow: the target "
        "lost the flow.",
    ),
    Event(
        "relay",
        "reports_unknown",
        "A message arrived from an agent whose target is not registered.",
        "Expected for seconds after a target was removed.",
    ),
    Event(
        "relay",
        "search_copies",
        "A packet was sent to a target in search of the owner of its flow.",
        "Up to 8 for each adopted flow are usual; more: targets are silent.",
    ),
    Event(
        "relay",
        "search_timeouts",
        "A search went on because targets did not answer in the measured time.",
        "Rises with packet loss, full links and failed VMs.",
    ),
    Event(
        "relay",
        "owners_found",
        "An agent confirmed a flow whose owner was searched.",
        NO_ACTION,
    ),
    Event(
        "relay",
        "owners_left_over",
        "All targets but one returned a packet, so that one got the others.",
        "Its agent does not confirm: check its version and its VM.",
    ),
    Event(
        "relay",
        "address_inquiries",
        "An agent was asked at which services its target holds flows.",
        "A round asks all agents; many rounds: flows are lost, or move.",
    ),
    Event(
        "relay",
        "address_answers",
        "An agent answered such a question.",
        "Fewer than questions: agents are silent or of the version before.",
    ),
    Event(
        "relay",
        "pools_named",
        "An agent asked for the name of a start's pool.",
        "Expected while versions are mixed, and after an agent was silent.",
    ),
    Event("relay", "malformed", "A packet could not be read.", REPORT_FAULT),
    Event(
        "relay", "failed", "An unexpected error dropped a packet.", REPORT_FAULT
    ),
    Event(
        "sidecar",
        "confirmed_late",
        "A flow that this agent did not know was confirmed after its target "
        "had sent a packet of it.",
        "Expected after a restart of the agent.",
    ),
    Event(
        "sidecar", "flows_created", "A flow started at this agent.", NO_ACTION
    ),
    Event(
        "sidecar",
        "declined",
        "A start was returned: no free slot, or the agent is stopping.",
        NO_ACTION,
    ),
    Event(
        "sidecar",
        "declined_cold",
        "A start exceeded the limit of the cold target (also declined).",
        "Expected after starts of targets; otherwise compare warmup_rate.",
    ),
    Event(
        "sidecar",
        "bounced",
        "The target returned a packet.",
        "Expected when balancers join or leave, and when its queue is full.",
    ),
    Event(
        "sidecar",
        "other_pool",
        "A packet arrived for another target that used this address before.",
        "Expected for some seconds after an address is reused.",
    ),
    Event(
        "sidecar",
        "answers_overdue",
        "The target has not answered a request for 5 s.",
        "Check the target.",
    ),
    Event(
        "sidecar",
        "addresses_listed",
        "A balancer asked at which services the target holds flows.",
        NO_ACTION,
    ),
    Event(
        "sidecar",
        "declined_unnamed",
        "A balancer of the version before offered a start to a new machine.",
        "Expected while versions are mixed, for 6 s after a VM's start.",
    ),
    Event("sidecar", "malformed", "A packet could not be read.", REPORT_FAULT),
    Event(
        "sidecar",
        "failed",
        "An unexpected error dropped a packet.",
        REPORT_FAULT,
    ),
    Event("drains", "lists", "A newer drain list came into force.", NO_ACTION),
    Event(
        "drains",
        "indexes",
        "A peer had the same drain list with a higher index.",
        NO_ACTION,
    ),
    Event(
        "drains",
        "drained",
        "A failure domain began to be drained.",
        "Compare with the drains that you requested.",
    ),
    Event(
        "drains",
        "returned",
        "A failure domain takes new flows again.",
        "Compare with the drains that you took back.",
    ),
)
