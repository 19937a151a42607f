"""Makes manifests of a given size for tests and measurements."""

from jujuberun.first_packet import FirstPacket, FirstPacketRule
from jujuberun.ids import (
    DomainId,
    Generation,
    Protocol,
    ServiceId,
    TargetId,
    Urgency,
)
from jujuberun.manifest import (
    Manifest,
    Service,
    Target,
)

DOMAINS = ("dorval-a", "dorval-b", "lachine", "saint-laurent")
START_PREFIX = b"S"


def make_target(index: int, name: str = "t", limit: int = 2000) -> Target:
    """Returns a target whose addresses are derived from its index.

    Args:
        index: 0 to 65,535.
        name: prefix of the target id.
        limit: connection limit of the target.
    """
    host = f"127.1.{index // 250}.{index % 250 + 1}"
    return Target(
        id=TargetId(f"{name}-{index}"),
        address=(host, 8000),
        agent=(host, 7000),
        domain=DomainId(DOMAINS[index % len(DOMAINS)]),
        slots=2,
        connection_limit=limit,
    )


def make_service(
    index: int,
    targets: tuple[TargetId, ...],
    protocol: Protocol = Protocol.DATAGRAM,
) -> Service:
    """Returns a service whose address is derived from its index."""
    return Service(
        id=ServiceId(f"s-{index}"),
        address=(f"127.2.{index // 250}.{index % 250 + 1}", 9000),
        urgency=Urgency.NORMAL,
        headroom=1.0,
        protocol=protocol,
        first_packet=FirstPacket(FirstPacketRule.PREFIX, START_PREFIX),
        targets=targets,
    )


def make_manifest(services: int, targets: int, generation: int = 1) -> Manifest:
    """Returns a manifest that divides its targets among its services."""
    target_list = [make_target(index) for index in range(targets)]
    service_list = [
        make_service(index, tuple(t.id for t in target_list[index::services]))
        for index in range(services)
    ]
    return Manifest(
        Generation(generation),
        {service.id: service for service in service_list},
        {target.id: target for target in target_list},
    )
