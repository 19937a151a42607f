"""Events that the parts count, with what each means to an operator."""

from dataclasses import dataclass

EXPECTED = "Nothing; a basis for comparison."
FAULT = "Report a fault, with the state dump and the log."


# Reasons for which a message is refused before it is used.
REFUSALS = ("truncated", "oversized", "mac", "malformed", "stale", "replay")


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of event.

    Attributes:
        part: name of the part that counts it.
        name: key in the part's counts; a final "*" stands for any ending.
        about: what happened.
        action: what an operator does when it rises.
    """

    part: str
    name: str
    about: str
    action: str


EVENTS = (
    Event(
        "balancer",
        "answers_unsent",
        "The kernel had no room for a response to a caller.",
        "The VM's network is overloaded: add balancers.",
    ),
    Event(
        "balancer",
        "answers_without_address",
        "A response came for a service address that is not served here.",
        "Expected for seconds after an address is removed.",
    ),
    Event(
        "balancer",
        "bind_failed",
        "A service address could not be bound.",
        "Read the log; give the VM the address or map it in [addresses].",
    ),
    Event(
        "balancer",
        "oversized",
        "A datagram of a caller was too large to forward.",
        "Find the caller; datagrams above 60,000 bytes are not forwarded.",
    ),
    Event(
        "balancer",
        "resets",
        "A reset was sent to a caller.",
        "Compare with the resets of the agents, which have the reason.",
    ),
    Event(
        "balancer",
        "received",
        "A datagram of a caller arrived.",
        EXPECTED,
    ),
    Event(
        "balancer",
        "starts_refused",
        "A packet that would have begun a flow was refused with a reset.",
        "Too little capacity for this service: add targets, or wait.",
    ),
    Event(
        "agent",
        "conflicts",
        "A flow had two owners; one gave it up.",
        "Expected after a partition; otherwise report a fault.",
    ),
    Event(
        "agent",
        "dropped_unsettled",
        "A packet was dropped while the owner of its flow was sought.",
        "Expected for 3 s after a start or a pause.",
    ),
    Event(
        "agent",
        "dropped_young",
        "A packet overtook the registration of its flow and was dropped.",
        EXPECTED,
    ),
    Event("agent", "flows_created", "A flow began here.", EXPECTED),
    Event(
        "agent",
        "flows_failed",
        "A flow could not be opened towards the target.",
        "Check the target and the limit of descriptors.",
    ),
    Event(
        "agent",
        "handed_on",
        "A packet was sent on to another agent.",
        "High for minutes: balancers do not learn owners.",
    ),
    Event(
        "agent",
        "hops",
        "A packet was dropped after 4 agents.",
        "Expected for seconds after a change; otherwise report a fault.",
    ),
    Event(
        "agent",
        "loop",
        "A packet came back to an agent that it had passed.",
        "Expected for seconds after a change; otherwise report a fault.",
    ),
    Event(
        "agent",
        "malformed",
        "A forwarded packet had an address of a wrong length.",
        FAULT,
    ),
    Event(
        "agent",
        "no_service",
        "A packet came for a service that the manifest here does not have.",
        "Compare generations; one process may be cut off.",
    ),
    Event(
        "agent",
        "other_service",
        "A caller used the address of a flow for another service.",
        "Expected after an address moved to another service.",
    ),
    Event(
        "agent",
        "released",
        "A flow was given up to another owner.",
        "Expected after a partition; otherwise report a fault.",
    ),
    Event(
        "agent",
        "reset_*",
        "A flow was reset; the ending is the reason that the caller reads.",
        "unknown-flow: flows of an agent that failed; no-owner, no-service: "
        "compare generations; overloaded: add targets.",
    ),
    Event("relay", "starts", "The first packet of a flow came.", EXPECTED),
    Event(
        "relay",
        "start_copies",
        "A caller repeated a start packet.",
        "Rises with loss and with targets that are full.",
    ),
    Event(
        "relay",
        "starts_held",
        "A start waited at the balancer for a place at a target.",
        "For minutes: add targets.",
    ),
    Event(
        "relay",
        "starts_offered_again",
        "An agent did not confirm a start in time.",
        "Expected when a VM fails; otherwise compare suspicions.",
    ),
    Event(
        "relay",
        "starts_bounced",
        "A target returned a start packet: its queue is full.",
        "For minutes: add targets.",
    ),
    Event("relay", "declined", "A target had no free slot.", EXPECTED),
    Event(
        "relay",
        "suspicions",
        "A target became suspected.",
        "jujuberun state names it; check its VM.",
    ),
    Event(
        "relay",
        "flows_adopted",
        "A flow came that began at another balancer.",
        "Expected when balancers join or leave.",
    ),
    Event(
        "relay",
        "bounced",
        "A target returned a packet of a flow that it does not hold.",
        "Expected when balancers join or leave.",
    ),
    Event(
        "relay",
        "bounced_unknown",
        "A returned packet came from an unknown agent or flow.",
        "Compare the VM list with what was ordered.",
    ),
    Event(
        "relay",
        "dropped_no_owner",
        "No target holds the flow of a packet.",
        "Expected after targets crashed.",
    ),
    Event(
        "relay",
        "dropped_no_service",
        "A packet came for an address that the manifest does not have.",
        "Compare generations; one process may be cut off.",
    ),
    Event(
        "relay",
        "dropped_unready",
        "A packet came before manifest and targets were known.",
        "Expected in the first second of a start.",
    ),
    Event(
        "relay",
        "reset_*",
        "A caller was sent a reset; the ending is the reason.",
        "no_service: the address is not in the manifest. no_target: all "
        "targets returned the start. lost_flow: the target lost the flow.",
    ),
    Event(
        "relay",
        "reports_unknown",
        "A message came from an agent that no list names.",
        "Expected for seconds after a target was removed.",
    ),
    Event("relay", "malformed", "A packet could not be read.", FAULT),
    Event("sidecar", "flows_created", "A flow began here.", EXPECTED),
    Event(
        "sidecar",
        "declined",
        "A start was passed back: no free slot, or the agent stops.",
        EXPECTED,
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
        "A packet came for a target that had this address before.",
        "Expected for seconds after addresses were used again.",
    ),
    Event(
        "sidecar",
        "answers_overdue",
        "The target has not answered a request for 5 s.",
        "Check the target.",
    ),
    Event("sidecar", "malformed", "A packet could not be read.", FAULT),
    Event("link", "called", "A TCP call to a peer was answered.", EXPECTED),
    Event("link", "served", "A TCP call of a peer was served.", EXPECTED),
    Event("link", "no-handler", "A peer asked for an unknown thing.", FAULT),
    Event("link", "handler-failed", "A part failed to answer a peer.", FAULT),
    Event(
        "link",
        "busy",
        "A call was refused while too many others wait.",
        "Expected after a large outage; otherwise report a fault.",
    ),
    *(
        Event(
            "link",
            reason,
            "A TCP message of a peer was refused.",
            "As refused_messages with the same reason.",
        )
        for reason in REFUSALS
    ),
    Event(
        "link",
        "slow-reader",
        "A peer read too slowly and was cut off.",
        "Check the network to this peer.",
    ),
    Event(
        "link",
        "too-many-connections",
        "A TCP connection of a peer was refused.",
        "Expected after a large outage; otherwise report a fault.",
    ),
    Event("spread", "sent", "A status message was sent to a peer.", EXPECTED),
    Event("spread", "received", "A status message of a peer came.", EXPECTED),
    Event("spread", "pushes", "News was pushed to a peer.", EXPECTED),
    Event("spread", "fetches", "A document was fetched.", EXPECTED),
    Event(
        "spread",
        "failed-fetches",
        "A document could not be fetched from a peer.",
        "Check TCP between the peer addresses.",
    ),
    Event("spread", "history", "An earlier manifest was fetched.", EXPECTED),
    Event("spread", "malformed", "A status message was malformed.", FAULT),
    Event(
        "spread",
        "refused",
        "A document of a peer was refused.",
        "Read the reason in the state dump; publish a higher generation.",
    ),
    Event(
        "spread",
        "pauses",
        "The process stood still for more than 1 s.",
        "The VM was paused or is short of CPU; move it.",
    ),
)


def find_event(part: str, name: str) -> Event | None:
    """Returns the line of an event that a part counted, or None."""
    for event in EVENTS:
        if event.part != part:
            continue
        stem = event.name.removesuffix("*")
        if name == event.name or (stem != event.name and name.startswith(stem)):
            return event
    return None
