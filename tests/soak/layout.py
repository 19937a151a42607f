"""Addresses of a soak; each host has its own in the loopback range."""

import random
import socket
from dataclasses import dataclass

PACKET_PORT = 8172
PEER_PORT = 7720
ADMIN_PORT = 8167
TARGET_PORT = 8165
OUTBOUND_PORT = 8162
STORE_PORT = 8169
# Number of random address blocks to try for a free one.
_MAX_TRIES = 50


@dataclass(frozen=True, slots=True)
class Host:
    """Addresses of one simulated VM.

    Attributes:
        name: name for settings, logs and faults.
        domain: its failure domain.
        bind_address: address that its processes bind.
        alias: address by which other daemons know the VM; the proxy listens
            there.
    """

    name: str
    domain: str
    bind_address: str
    alias: str


@dataclass(frozen=True, slots=True)
class Layout:
    """Address block 127.octet.0.0/16; concurrent soaks use different ones."""

    octet: int

    @classmethod
    def find_free(cls, rng: random.Random) -> "Layout":
        """Returns a layout whose address block is not in use.

        Raises:
            OSError: none of the tried blocks was free.
        """
        for _ in range(_MAX_TRIES):
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
        return self._make_host(f"balancer-{number}", domain, 10, 20, number)

    def make_target(self, number: int, domain: str) -> Host:
        """Returns the host of a target with its agent."""
        return self._make_host(f"target-{number}", domain, 30, 40, number)

    def find_store_proxy(self, number: int) -> str:
        """Returns the proxy address by which a balancer reaches the store."""
        return f"127.{self.octet}.60.{number + 1}"

    def find_caller(self, number: int) -> str:
        """Returns the address of a host of callers."""
        return f"127.{self.octet}.80.{number + 1}"

    def _make_host(
        self,
        name: str,
        domain: str,
        bind_octet: int,
        alias_octet: int,
        number: int,
    ) -> Host:
        place = f"{number // 250}.{number % 250 + 1}"
        third, _, fourth = place.partition(".")
        return Host(
            name,
            domain,
            f"127.{self.octet}.{bind_octet + int(third)}.{fourth}",
            f"127.{self.octet}.{alias_octet + int(third)}.{fourth}",
        )
