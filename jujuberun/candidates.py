"""Candidate targets of flows under the current and replaced manifests."""

from dataclasses import dataclass
from typing import Any

from jujuberun.generations import Generations, ManifestVersion
from jujuberun.ids import Address, FlowId, Generation, TargetId
from jujuberun.manifest import Service
from jujuberun.peers import Peers, PeerState
from jujuberun.wire import unpack_address

# For this time after a generation was replaced, its homes are asked for the
# owner of a flow.
FORMER_HOMES_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class FlowView:
    """Candidates of a flow in the newest generation that is known.

    Attributes:
        service: the service that the packet belongs to.
        generation: generation of the candidates.
        candidates: target ids, home first.
        agents: peer address of each candidate's agent.
        former_homes: agents that may know the owner from a replaced
            generation, oldest generation first.
        is_retired: whether the service address is no longer in the manifest.
    """

    service: Service
    generation: Generation
    candidates: tuple[TargetId, ...]
    agents: tuple[Address, ...]
    former_homes: tuple[Address, ...]
    is_retired: bool = False


class FlowViews:
    """Builds views of flows from the current and replaced manifests."""

    def __init__(self, generations: Generations, peers: Peers) -> None:
        self._generations = generations
        self._peers = peers

    def build(
        self, forward: Any, flow: FlowId, own: Address, now: float
    ) -> FlowView | None:
        """Returns the view of a packet's flow, or None if no service is known.

        Args:
            forward: the Forward message that carries the packet.
            flow: flow id of the packet.
            own: peer address of this agent.
            now: seconds, monotonic.
        """
        current = self._generations.current
        if current is None:
            return None
        address = unpack_address(forward.address)
        newest = current.manifest.generation
        if forward.generation > newest and forward.candidates:
            return self._build_from_newer_packet(
                forward, flow, address, own, now
            )
        service = current.tables.find_service(address)
        version, retired = current, False
        if service is None:
            version = self._find_last_version(address, now)
            if version is None:
                return None
            service, retired = version.tables.find_service(address), True
        names, agents = _list_candidates(version, service, flow)
        former = self._list_former_homes(address, flow, now)
        former = tuple(a for a in former if a != own and a not in agents[:1])
        return FlowView(service, newest, names, agents, former, retired)

    def find_homes(
        self, address: Address, flow: FlowId, now: float
    ) -> tuple[Address, ...]:
        """Returns the agents at which an owner registers a flow.

        These are the home and the backup. If one of them is gone, the third
        candidate takes its place.

        Args:
            address: service address of the flow.
            flow: flow id.
            now: seconds, monotonic.
        """
        current = self._generations.current
        if current is None:
            return ()
        version, service = current, current.tables.find_service(address)
        if service is None:
            version = self._find_last_version(address, now)
            if version is None:
                return ()
            service = version.tables.find_service(address)
        _, agents = _list_candidates(version, service, flow)
        alive = [
            agent
            for agent in agents
            if self._peers.find(agent).get_state(now) is not PeerState.GONE
        ]
        return tuple(alive[:2]) or agents[:2]

    def _build_from_newer_packet(
        self,
        forward: Any,
        flow: FlowId,
        address: Address,
        own: Address,
        now: float,
    ) -> FlowView | None:
        """Builds the view of a packet of a generation that is unknown here."""
        current = self._generations.current
        service = current.manifest.services.get(forward.service_id)
        if service is None:
            return None
        targets = current.manifest.targets
        names = tuple(n for n in forward.candidates if n in targets)
        agents = tuple(targets[name].agent for name in names)
        former = self._list_former_homes(address, flow, now)
        known_service = current.tables.find_service(address)
        if known_service is not None:
            former += _list_candidates(current, known_service, flow)[1][:2]
        former = tuple(a for a in dict.fromkeys(former) if a != own)
        return FlowView(
            service, Generation(forward.generation), names, agents, former
        )

    def _list_former_homes(
        self, address: Address, flow: FlowId, now: float
    ) -> tuple[Address, ...]:
        """Returns homes in recently replaced generations, oldest first."""
        found: list[Address] = []
        for version in self._generations.list_history(now):
            if now - version.replaced > FORMER_HOMES_TIMEOUT_S:
                break
            service = version.tables.find_service(address)
            if service is None:
                continue
            _, agents = _list_candidates(version, service, flow)
            for agent in agents[:2]:
                peer = self._peers.find(agent)
                if peer.get_state(now) is PeerState.GONE:
                    continue
                found.append(agent)
                break
        found.reverse()
        return tuple(dict.fromkeys(found))

    def _find_last_version(
        self, address: Address, now: float
    ) -> ManifestVersion | None:
        for version in self._generations.list_history(now):
            if version.tables.find_service(address) is not None:
                return version
        return None


def _list_candidates(
    version: ManifestVersion, service: Service, flow: FlowId
) -> tuple[tuple[TargetId, ...], tuple[Address, ...]]:
    names = version.tables.find_candidates(service, flow)
    targets = version.manifest.targets
    return names, tuple(targets[name].agent for name in names)
