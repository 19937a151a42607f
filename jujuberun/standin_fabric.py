"""Stand-in for a network fabric that spreads packets over balancers."""

import random
import socket

from jujuberun.ids import Address
from jujuberun.port import BATCH_PACKETS, SocketPort


class Fabric:
    """Maps service addresses to local addresses of the balancers.

    Several balancers on one machine can't bind the same service address, so
    each balancer binds a local address for it. Callers choose a random balancer
    for each packet, as a fabric does that spreads packets.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._locals_by_balancer: dict[str, dict[Address, Address]] = {}
        self._service_by_local: dict[Address, Address] = {}
        self._locals_by_service: dict[Address, list[Address]] = {}

    def add(self, balancer: str, addresses: dict[Address, Address]) -> None:
        """Adds a balancer.

        Args:
            balancer: name of the balancer.
            addresses: local address of the balancer by service address.
        """
        self._locals_by_balancer[balancer] = addresses
        for service, local in addresses.items():
            self._service_by_local[local] = service
        self._rebuild_locals_by_service()

    def withdraw(self, balancer: str) -> None:
        """Stops sending packets to a balancer; its answers still arrive."""
        self._locals_by_balancer.pop(balancer, None)
        self._rebuild_locals_by_service()

    def choose(self, service: Address) -> Address | None:
        """Returns the address of a random balancer, or None if none is left."""
        candidates = self._locals_by_service.get(service)
        return self._rng.choice(candidates) if candidates else None

    def list_locals(self, service: Address) -> list[Address]:
        """Returns the local address of each balancer for a service address."""
        return list(self._locals_by_service.get(service, ()))

    def find_service(self, local: Address) -> Address | None:
        """Returns the service address that a local address belongs to."""
        return self._service_by_local.get(local)

    def _rebuild_locals_by_service(self) -> None:
        self._locals_by_service = {}
        for addresses in self._locals_by_balancer.values():
            for service, local in addresses.items():
                self._locals_by_service.setdefault(service, []).append(local)


class SprayPort(SocketPort):
    """A caller's port that sends and receives through the fabric."""

    def __init__(self, sock: socket.socket, fabric: Fabric) -> None:
        super().__init__(sock)
        self._fabric = fabric

    @classmethod
    def open(cls, fabric: Fabric) -> "SprayPort":
        """Opens a port on a loopback address that the kernel chooses."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", 0))
        return cls(sock, fabric)

    def read_available(
        self, limit: int = BATCH_PACKETS
    ) -> list[tuple[bytes, Address]]:
        """Returns received packets, with service addresses as their sources."""
        batch = []
        for data, local in super().read_available(limit):
            service = self._fabric.find_service(local)
            if service is not None:
                batch.append((data, service))
        return batch

    def send(self, data: bytes, address: Address) -> bool:
        """Sends a datagram to a service address through a random balancer."""
        local = self._fabric.choose(address)
        return local is not None and super().send(data, local)
