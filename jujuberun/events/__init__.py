"""Table of the events that parts count, with advice for operators.

May import nothing but its own modules.
"""

from jujuberun.events.event import NO_ACTION, REPORT_FAULT, Event
from jujuberun.events.packets import PACKET_EVENTS

# Reasons for which a message of a peer is refused before it is processed.
MESSAGE_REFUSALS = (
    "truncated",
    "oversized",
    "mac",
    "malformed",
    "stale",
    "replay",
)


EVENTS = (
    Event(
        "balancer",
        "answers_unsent",
        "The kernel had no buffer space to send a response to a caller.",
        "The VM's network is overloaded: add balancers.",
    ),
    Event(
        "balancer",
        "answers_without_address",
        "A response arrived for a service address that is not served here.",
        "Expected for some seconds after an address is removed.",
    ),
    Event(
        "balancer",
        "bind_failed",
        "A service address could not be bound.",
        "Read the log; assign the address to the VM or map it in [addresses].",
    ),
    Event(
        "balancer",
        "oversized",
        "A datagram of a caller was too large to be forwarded.",
        "Find the caller; datagrams above 60,000 bytes are not forwarded.",
    ),
    Event(
        "balancer",
        "resets",
        "A reset was sent to a caller.",
        "Compare with the reset events of the agents, which state the reason.",
    ),
    Event(
        "balancer",
        "failed",
        "An unexpected error ended the handling of a packet or a timer.",
        REPORT_FAULT,
    ),
    Event(
        "balancer",
        "received",
        "A datagram of a caller arrived.",
        NO_ACTION,
    ),
    Event(
        "balancer",
        "starts_refused",
        "A packet that would have started a flow was refused with a reset.",
        "The service has too little capacity: add targets, or wait.",
    ),
    Event(
        "agent",
        "conflicts",
        "A flow had two owners, and one of them released it.",
        "Expected after a partition; otherwise report a fault.",
    ),
    Event(
        "agent",
        "dropped_unsettled",
        "A packet was dropped while the owner of its flow was unknown.",
        "Expected for 3 s after a start or a pause of the agent.",
    ),
    Event(
        "agent",
        "dropped_young",
        "A packet that overtook its flow's registration was dropped.",
        NO_ACTION,
    ),
    Event(
        "agent",
        "failed",
        "An unexpected error ended the handling of a packet or a timer.",
        REPORT_FAULT,
    ),
    Event(
        "agent",
        "flows_created",
        "The agent became owner of a new flow.",
        NO_ACTION,
    ),
    Event(
        "agent",
        "flows_failed",
        "A flow ended with an error, for example on opening it to the target.",
        "Check the target and the limit of open file descriptors.",
    ),
    Event(
        "agent",
        "handed_on",
        "A packet was forwarded to another agent.",
        "If it rises for minutes, balancers do not learn owners of flows.",
    ),
    Event(
        "agent",
        "hops",
        "A packet was dropped after it had passed 4 agents.",
        "Expected for seconds after a change; otherwise report a fault.",
    ),
    Event(
        "agent",
        "loop",
        "A packet returned to an agent that had already forwarded it.",
        "Expected for seconds after a change; otherwise report a fault.",
    ),
    Event(
        "agent",
        "malformed",
        "A forwarded packet had no payload or an address of invalid length.",
        REPORT_FAULT,
    ),
    Event(
        "agent",
        "no_service",
        "A packet arrived for a service that is not in this agent's manifest.",
        "Compare generations; one process may be cut off.",
    ),
    Event(
        "agent",
        "other_service",
        "A caller used the address of a flow for another service.",
        "Expected after an address is moved to another service.",
    ),
    Event(
        "agent",
        "released",
        "A flow was released because another agent owns it as well.",
        "Expected after a partition; otherwise report a fault.",
    ),
    Event(
        "agent",
        "reset_*",
        "A flow was reset; the suffix is the reason sent to the caller.",
        "unknown-flow: flows of an agent that failed; no-owner, no-service: "
        "compare generations; overloaded: add targets.",
    ),
    Event("link", "called", "A TCP call to a peer was answered.", NO_ACTION),
    Event("link", "served", "A TCP call of a peer was served.", NO_ACTION),
    Event(
        "link",
        "no-handler",
        "A peer sent a call of unknown type.",
        REPORT_FAULT,
    ),
    Event(
        "link",
        "connections-lost",
        "A TCP connection of a peer was reset or sent a malformed frame.",
        "Expected while peers restart; otherwise check the network path.",
    ),
    Event(
        "link",
        "accept-failed",
        "A TCP connection of a peer could not be accepted yet.",
        "Check the limit of open file descriptors.",
    ),
    Event(
        "link",
        "failed",
        "An unexpected error ended a TCP connection of a peer.",
        REPORT_FAULT,
    ),
    Event(
        "link",
        "handler-failed",
        "The handler of a peer's call raised an error.",
        REPORT_FAULT,
    ),
    Event(
        "link",
        "busy",
        "A call was refused because too many others are waiting.",
        "Expected after a large outage; otherwise report a fault.",
    ),
    Event(
        "link",
        "slow-reader",
        "The connection of a peer that read too slowly was closed.",
        "Check the network path to this peer.",
    ),
    Event(
        "link",
        "too-many-connections",
        "A TCP connection of a peer was refused.",
        "Expected after a large outage; otherwise report a fault.",
    ),
    Event(
        "dump",
        "accept-failed",
        "A connection to the admin address could not be accepted yet.",
        "Check the limit of open file descriptors.",
    ),
    Event(
        "dump",
        "failed",
        "An unexpected error ended a connection to the admin address.",
        REPORT_FAULT,
    ),
    *(
        Event(
            part,
            "failed",
            "An unexpected error ended the handling of a new document by "
            "another part.",
            REPORT_FAULT,
        )
        for part in ("generations", "members", "drains")
    ),
    Event(
        "generations",
        "refused",
        "A manifest was refused; the one in force stays.",
        "Read the reason in the log and publish a valid manifest.",
    ),
    Event(
        "members",
        "refused",
        "A VM list was refused; the one in force stays.",
        "Read the reason in the log.",
    ),
    Event(
        "members",
        "ignored",
        "A malformed VM of a list was left out; the others are listed.",
        "Read the log of the process that read the platform.",
    ),
    Event(
        "spread",
        "failed",
        "An unexpected error ended a step of the gossip, or a fetch.",
        REPORT_FAULT,
    ),
    Event("spread", "sent", "A status message was sent to a peer.", NO_ACTION),
    Event(
        "spread", "received", "A status message arrived from a peer.", NO_ACTION
    ),
    Event(
        "spread",
        "pushes",
        "A status message with a change was sent to peers.",
        NO_ACTION,
    ),
    Event("spread", "fetches", "A document was fetched.", NO_ACTION),
    Event(
        "spread",
        "failed-fetches",
        "A document could not be fetched from a peer.",
        "Check TCP between the peer addresses.",
    ),
    Event("spread", "history", "An earlier manifest was fetched.", NO_ACTION),
    Event(
        "spread", "malformed", "A status message was malformed.", REPORT_FAULT
    ),
    Event(
        "spread",
        "refused",
        "A document of a peer was refused.",
        "Read the reason in the state dump; publish a higher generation.",
    ),
    Event(
        "spread",
        "pauses",
        "The process did not run for more than 1 s.",
        "The VM was paused or is short of CPU; move it.",
    ),
    *(
        Event(
            "link",
            reason,
            "A TCP message of a peer was refused.",
            "See the same reason in refused_messages_total.",
        )
        for reason in MESSAGE_REFUSALS
    ),
    *PACKET_EVENTS,
)


def find_event(part: str, name: str) -> Event | None:
    """Returns the table entry of an event of a part, or None."""
    for event in EVENTS:
        if event.part != part:
            continue
        stem = event.name.removesuffix("*")
        if name == event.name or (stem != event.name and name.startswith(stem)):
            return event
    return None
