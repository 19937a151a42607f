"""Stand-in of the network fabric: sprays packets over the balancers."""

import random
import socket

from jujuberun.ids import Address
from jujuberun.port import BATCH_PACKETS, SocketPort


class Fabric:
    """Knows the local address of each service address on each balancer.

    On one machine several balancers cannot bind one address, so each has a
    local one; callers choose a random balancer for each packet, as a fabric
    that sprays packets would.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._local: dict[str, dict[Address, Address]] = {}
        self._services: dict[Address, Address] = {}
        self._spread: dict[Address, list[Address]] = {}

    def add(self, balancer: str, addresses: dict[Address, Address]) -> None:
        """Adds a balancer.

        Args:
            balancer: its name.
            addresses: its local address for each service address.
        """
        self._local[balancer] = addresses
        for service, local in addresses.items():
            self._services[local] = service
        self._spread_again()

    def withdraw(self, balancer: str) -> None:
        """Sends no more packets to a balancer; its answers still count."""
        self._local.pop(balancer, None)
        self._spread_again()

    def choose(self, service: Address) -> Address | None:
        """Returns the address of a random balancer, or None without any."""
        locals_ = self._spread.get(service)
        return self._rng.choice(locals_) if locals_ else None

    def list_locals(self, service: Address) -> list[Address]:
        """Returns the local addresses of a service address."""
        return list(self._spread.get(service, ()))

    def find_service(self, local: Address) -> Address | None:
        """Returns the service address of a balancer's local address."""
        return self._services.get(local)

    def _spread_again(self) -> None:
        self._spread = {}
        for addresses in self._local.values():
            for service, local in addresses.items():
                self._spread.setdefault(service, []).append(local)


class SprayPort(SocketPort):
    """A caller's port behind the fabric."""

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

    def drain(self, limit: int = BATCH_PACKETS) -> list[tuple[bytes, Address]]:
        """Returns waiting packets, as from their service addresses."""
        batch = []
        for data, local in super().drain(limit):
            service = self._fabric.find_service(local)
            if service is not None:
                batch.append((data, service))
        return batch

    def send(self, data: bytes, address: Address) -> bool:
        """Sends a datagram to a service address by a random balancer."""
        local = self._fabric.choose(address)
        return local is not None and super().send(data, local)
