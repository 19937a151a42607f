"""Listener on a service address, with the routes of its flows."""

import anyio

from jujuberun.cache import CacheBudget, FlowCache
from jujuberun.encoder import ForwardEncoder
from jujuberun.generations import ManifestVersion
from jujuberun.ids import Address, Generation, ServiceId, TargetId
from jujuberun.manifest import Service
from jujuberun.peers import Peer, Peers
from jujuberun.port import Port
from jujuberun.wire import Forward, pack_address

MAX_CANDIDATE_ROUTES = 20_000


class Route:
    """Destination of the packets of some flows.

    Attributes:
        service_id: service of the flows.
        owner: target that owns the flows, or None if it is not known.
        peer: agent that receives the packets.
        seal: encodes and signs the Forward message of one packet.
    """

    __slots__ = ("_encoder", "owner", "peer", "seal", "service_id")

    def __init__(
        self,
        service_id: ServiceId,
        owner: TargetId | None,
        peer: Peer,
        encoder: ForwardEncoder,
    ) -> None:
        self.service_id = service_id
        self.owner = owner
        self.peer = peer
        self._encoder = encoder
        self.seal = encoder.seal


class Listener:
    """The socket of one service address and the routes of its flows.

    Attributes:
        port: socket of the address.
        address: service address.
        packed_address: service address, packed into 6 bytes.
        service: service at the address.
        version: newest version of the manifest that has this service.
        cache: routes of flows whose owner is known, by caller.
        last_packet_at: monotonic time in seconds of the last packet, or of the
            opening of the socket if there was none.
        retired: whether the manifest in force lacks the address.
        serve_scope: cancel scope of the task that serves the socket.
    """

    def __init__(
        self,
        port: Port,
        service: Service,
        version: ManifestVersion,
        budget: CacheBudget,
    ) -> None:
        self.port = port
        self.address = service.address
        self.packed_address = pack_address(service.address)
        self.service = service
        self.version = version
        self.cache: FlowCache[Route] = FlowCache(budget)
        self._owner_routes: dict[tuple[str, str, Address], Route] = {}
        self._candidate_routes: dict[tuple[str, ...], Route] = {}
        self.last_packet_at = 0.0
        self.retired = False
        self.serve_scope: anyio.CancelScope | None = None

    def find_candidate_route(
        self,
        peers: Peers,
        candidate: TargetId,
        candidates: tuple[TargetId, ...],
    ) -> Route:
        """Returns the route of flows whose owner is not known.

        Args:
            peers: provides the codec and the peer of the route.
            candidate: candidate whose agent receives the packets.
            candidates: all candidates of the flows.
        """
        key = (candidate, *candidates)
        route = self._candidate_routes.get(key)
        if route is not None:
            return route
        if len(self._candidate_routes) >= MAX_CANDIDATE_ROUTES:
            self._candidate_routes.clear()
        manifest = self.version.manifest
        peer = peers.find(manifest.targets[candidate].agent)
        forward = Forward(
            self.service.id,
            manifest.generation,
            self.packed_address,
            list(candidates),
            0,
        )
        encoder = ForwardEncoder(peers.codec, forward, peer.address)
        route = Route(self.service.id, None, peer, encoder)
        self._candidate_routes[key] = route
        return route

    def learn_owner(
        self,
        peers: Peers,
        service_id: ServiceId,
        caller: Address,
        owner: TargetId,
        agent: Address,
    ) -> None:
        """Caches the owner of a caller's flow.

        Args:
            peers: provides the codec and the peer of the route.
            service_id: service of the flow.
            caller: address of the caller.
            owner: target that owns the flow.
            agent: peer address of the owner's agent.
        """
        key = (service_id, owner, agent)
        route = self._owner_routes.get(key)
        if route is None:
            forward = Forward(
                service_id,
                Generation(0),
                self.packed_address,
                [],
                0,
                owner=owner,
            )
            encoder = ForwardEncoder(peers.codec, forward, agent)
            route = Route(service_id, owner, peers.find(agent), encoder)
            self._owner_routes[key] = route
        if self.cache.find(caller) is not route:
            self.cache.store(caller, route)

    def change_service(
        self, service: Service, version: ManifestVersion
    ) -> None:
        """Applies the service that a new manifest has at this address."""
        self.service = service
        self.version = version
        self._candidate_routes.clear()
