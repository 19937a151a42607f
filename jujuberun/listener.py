"""Listener of a service address, and the routes of its flows."""

import anyio

from jujuberun.cache import CacheBudget, FlowCache
from jujuberun.encoder import ForwardRoute
from jujuberun.generations import Version
from jujuberun.ids import Address, Generation, ServiceId, TargetId
from jujuberun.manifest import Service
from jujuberun.peers import Peer, Peers
from jujuberun.port import Port
from jujuberun.wire import Forward, pack_address

MAX_HOME_ROUTES = 20_000


class Route:
    """Where packets of some flows go, with the encoder of their messages."""

    __slots__ = ("_encoder", "owner", "peer", "seal", "service_id")

    def __init__(
        self,
        service_id: ServiceId,
        owner: TargetId | None,
        peer: Peer,
        encoder: ForwardRoute,
    ) -> None:
        self.service_id = service_id
        self.owner = owner
        self.peer = peer
        self._encoder = encoder
        self.seal = encoder.seal


class Listener:
    """The socket of one service address and the routes of its flows."""

    def __init__(
        self,
        port: Port,
        service: Service,
        version: Version,
        budget: CacheBudget,
    ) -> None:
        self.port = port
        self.address = service.address
        self.packed = pack_address(service.address)
        self.service = service
        self.version = version  # the last one with this service
        self.cache: FlowCache[Route] = FlowCache(budget)
        self._owner_routes: dict[tuple[str, str, Address], Route] = {}
        self._home_routes: dict[tuple[str, ...], Route] = {}
        self.used = 0.0
        self.retired = False
        self.scope: anyio.CancelScope | None = None

    def find_home_route(
        self, peers: Peers, home: TargetId, candidates: tuple[TargetId, ...]
    ) -> Route:
        """Returns the route of flows whose owner is not known.

        Args:
            peers: encodes messages and finds peers.
            home: candidate that the packets go to.
            candidates: all candidates of the flows.
        """
        key = (home, *candidates)
        route = self._home_routes.get(key)
        if route is not None:
            return route
        if len(self._home_routes) >= MAX_HOME_ROUTES:
            self._home_routes.clear()
        manifest = self.version.manifest
        peer = peers.find(manifest.targets[home].agent)
        forward = Forward(
            self.service.id,
            manifest.generation,
            self.packed,
            list(candidates),
            0,
        )
        encoder = ForwardRoute(peers.codec, forward, peer.address)
        route = Route(self.service.id, None, peer, encoder)
        self._home_routes[key] = route
        return route

    def learn_owner(
        self,
        peers: Peers,
        service_id: ServiceId,
        caller: Address,
        owner: TargetId,
        agent: Address,
    ) -> None:
        """Caches who owns the flow of a caller.

        Args:
            peers: encodes messages and finds peers.
            service_id: service that the flow belongs to.
            caller: address of the caller.
            owner: target that owns the flow.
            agent: peer address of the owner's agent.
        """
        key = (service_id, owner, agent)
        route = self._owner_routes.get(key)
        if route is None:
            forward = Forward(
                service_id, Generation(0), self.packed, [], 0, owner=owner
            )
            encoder = ForwardRoute(peers.codec, forward, agent)
            route = Route(service_id, owner, peers.find(agent), encoder)
            self._owner_routes[key] = route
        if self.cache.find(caller) is not route:
            self.cache.store(caller, route)

    def change_service(self, service: Service, version: Version) -> None:
        """Takes the service that a new manifest has at this address."""
        self.service = service
        self.version = version
        self._home_routes.clear()
