"""What an agent knows of a flow's candidates, in this and former tables."""

from dataclasses import dataclass
from typing import Any

from jujuberun.generations import Generations, Version
from jujuberun.ids import Address, FlowId, Generation, TargetId
from jujuberun.manifest import Service
from jujuberun.peers import Peers, PeerState
from jujuberun.wire import unpack_address

FORMER_S = 10.0  # homes of a replaced generation are asked for so long


@dataclass(frozen=True, slots=True)
class View:
    """Candidates of a flow by the newest generation that is known.

    Attributes:
        service: the service that the packet belongs to.
        generation: generation of the candidates.
        candidates: ids, home first.
        agents: peer address of each candidate.
        former: agents that may hold an entry from former tables, oldest
            first.
        retired: the address belongs to no service any more.
    """

    service: Service
    generation: Generation
    candidates: tuple[TargetId, ...]
    agents: tuple[Address, ...]
    former: tuple[Address, ...]
    retired: bool = False


class Views:
    """Builds views from the manifest's history."""

    def __init__(self, generations: Generations, peers: Peers) -> None:
        self._generations = generations
        self._peers = peers

    def build(
        self, forward: Any, flow: FlowId, own: Address, now: float
    ) -> View | None:
        """Returns the view for a packet, or None when nothing is known.

        Args:
            forward: the packet.
            flow: its flow id.
            own: peer address of this agent.
            now: seconds, monotonic.
        """
        current = self._generations.current
        if current is None:
            return None
        address = unpack_address(forward.address)
        newest = current.manifest.generation
        if forward.generation > newest and forward.candidates:
            return self._build_ahead(forward, flow, address, own, now)
        service = current.tables.find_service(address)
        version, retired = current, False
        if service is None:
            version = self._find_retired(address, now)
            if version is None:
                return None
            service, retired = version.tables.find_service(address), True
        names, agents = _list_candidates(version, service, flow)
        former = self._list_former(address, flow, now)
        former = tuple(a for a in former if a != own and a not in agents[:1])
        return View(service, newest, names, agents, former, retired)

    def find_homes(
        self, address: Address, flow: FlowId, now: float
    ) -> tuple[Address, ...]:
        """Returns the agents at which an owner registers a flow.

        These are home and backup, and the third candidate while one of them
        counts as gone.

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
            version = self._find_retired(address, now)
            if version is None:
                return ()
            service = version.tables.find_service(address)
        _, agents = _list_candidates(version, service, flow)
        alive = [
            agent
            for agent in agents
            if self._peers.find(agent).judge(now) is not PeerState.GONE
        ]
        return tuple(alive[:2]) or agents[:2]

    def _build_ahead(
        self,
        forward: Any,
        flow: FlowId,
        address: Address,
        own: Address,
        now: float,
    ) -> View | None:
        """Builds the view of a packet that is newer than this agent."""
        current = self._generations.current
        service = current.manifest.services.get(forward.service_id)
        if service is None:
            return None
        targets = current.manifest.targets
        names = tuple(n for n in forward.candidates if n in targets)
        agents = tuple(targets[name].agent for name in names)
        former = self._list_former(address, flow, now)
        mine = current.tables.find_service(address)
        if mine is not None:
            former += _list_candidates(current, mine, flow)[1][:2]
        former = tuple(a for a in dict.fromkeys(former) if a != own)
        return View(
            service, Generation(forward.generation), names, agents, former
        )

    def _list_former(
        self, address: Address, flow: FlowId, now: float
    ) -> tuple[Address, ...]:
        """Returns homes in tables that were replaced lately, oldest first."""
        found: list[Address] = []
        for version in self._generations.history(now):
            if now - version.replaced > FORMER_S:
                break
            service = version.tables.find_service(address)
            if service is None:
                continue
            _, agents = _list_candidates(version, service, flow)
            for agent in agents[:2]:
                peer = self._peers.find(agent)
                if peer.judge(now) is PeerState.GONE:
                    continue
                found.append(agent)
                break
        found.reverse()
        return tuple(dict.fromkeys(found))

    def _find_retired(self, address: Address, now: float) -> Version | None:
        for version in self._generations.history(now):
            if version.tables.find_service(address) is not None:
                return version
        return None


def _list_candidates(
    version: Version, service: Service, flow: FlowId
) -> tuple[tuple[TargetId, ...], tuple[Address, ...]]:
    names = version.tables.find_candidates(service, flow)
    targets = version.manifest.targets
    return names, tuple(targets[name].agent for name in names)
