"""Addresses of a soak: each host has its own in the loopback range."""

import random
import socket
from dataclasses import dataclass

PACKET_PORT = 8172
PEER_PORT = 7720
ADMIN_PORT = 8167
TARGET_PORT = 8165
OUTBOUND_PORT = 8162
STORE_PORT = 8169
# A block of the loopback range is tried so often before the run gives up.
_TRIES = 50


@dataclass(frozen=True, slots=True)
class Host:
    """One simulated VM.

    Attributes:
        name: for logs.
        domain: its failure domain.
        real: address that its processes bind.
        alias: address by which all others know it; the proxy listens there.
    """

    name: str
    domain: str
    real: str
    alias: str


@dataclass(frozen=True, slots=True)
class Layout:
    """Addresses below one second octet, so that two soaks do not meet."""

    octet: int

    @classmethod
    def find_free(cls, rng: random.Random) -> "Layout":
        """Returns a layout whose block nobody uses.

        Raises:
            OSError: no block of many was free.
        """
        for _ in range(_TRIES):
            layout = cls(rng.randrange(16, 250))
            if layout.is_free():
                return layout
        raise OSError("no free block of loopback addresses")

    def is_free(self) -> bool:
        """Returns whether the store's address can be bound."""
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind((self.store, STORE_PORT))
            except OSError:
                return False
        return True

    @property
    def store(self) -> str:
        """Address of the store."""
        return f"127.{self.octet}.250.1"

    def make_balancer(self, number: int, domain: str) -> Host:
        """Returns the host of a balancer."""
        return self._make(f"balancer-{number}", domain, 10, 20, number)

    def make_target(self, number: int, domain: str) -> Host:
        """Returns the host of a target with its agent."""
        return self._make(f"target-{number}", domain, 30, 40, number)

    def find_store_proxy(self, number: int) -> str:
        """Returns the address at which a balancer finds the store."""
        return f"127.{self.octet}.60.{number + 1}"

    def find_caller(self, number: int) -> str:
        """Returns the address of a host of callers."""
        return f"127.{self.octet}.80.{number + 1}"

    def _make(
        self, name: str, domain: str, real: int, alias: int, number: int
    ) -> Host:
        place = f"{number // 250}.{number % 250 + 1}"
        third, _, fourth = place.partition(".")
        return Host(
            name,
            domain,
            f"127.{self.octet}.{real + int(third)}.{fourth}",
            f"127.{self.octet}.{alias + int(third)}.{fourth}",
        )
