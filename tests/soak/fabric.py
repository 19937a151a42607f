"""Network in front of the balancers: health checks and flow hashing."""

import zlib
from typing import Any

import anyio

from jujuberun.addresses import format_address
from jujuberun.port import SocketPort
from soak.layout import ADMIN_PORT, PACKET_PORT, Host
from soak.links import Links

CHECK_PERIOD_S = 0.5
# This many failed checks in a row take a balancer out of rotation.
MAX_MISSES = 2
_REQUEST = b"GET /health HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n"


class Fabric:
    """Sends each packet to a balancer of the caller's failure domain.

    Attributes:
        all_ready: set when all balancers have been in rotation at the same
            time.
    """

    def __init__(self, balancers: list[Host], links: Links) -> None:
        """Args: all balancers, and the state of the links."""
        self._balancers = balancers
        self._links = links
        self.all_ready = anyio.Event()
        self._misses = dict.fromkeys((b.name for b in balancers), MAX_MISSES)

    def list_rotation(self, domain: str) -> list[Host]:
        """Returns the balancers that receive packets of a failure domain.

        These are the ready balancers of the domain if at least half of its
        balancers are ready, and all balancers of the domain if fewer are. If
        none is ready, they are the ready balancers of all domains, or all
        balancers if there is none.
        """
        own = [b for b in self._balancers if b.domain == domain]
        ready = [b for b in own if self._misses[b.name] < MAX_MISSES]
        if 2 * len(ready) >= len(own) and ready:
            return ready
        if ready:
            return own
        ready_anywhere = [
            b for b in self._balancers if self._misses[b.name] < MAX_MISSES
        ]
        return ready_anywhere or self._balancers

    def send(
        self, port: SocketPort, packet: bytes, flow: Any, domain: str
    ) -> None:
        """Sends a packet to the balancer that the hash of its flow selects."""
        rotation = self.list_rotation(domain)
        text = format_address(flow.address) + format_address(flow.service)
        balancer = rotation[zlib.crc32(text.encode()) % len(rotation)]
        if self._links.passes("callers", balancer.name):
            port.send(packet, (balancer.bind_address, PACKET_PORT))

    async def wait_ready_again(self) -> None:
        """Waits until all balancers are in rotation, as from now on."""
        # A balancer that stops may have been in rotation at its last check.
        await anyio.sleep(2 * CHECK_PERIOD_S)
        self.all_ready = anyio.Event()
        await self.all_ready.wait()

    async def run(self) -> None:
        """Checks the health of all balancers until cancelled."""
        async with anyio.create_task_group() as group:
            for balancer in self._balancers:
                group.start_soon(self._check_health, balancer)

    async def _check_health(self, balancer: Host) -> None:
        while True:
            began = anyio.current_time()
            if await _is_ready(balancer):
                self._misses[balancer.name] = 0
                if not any(self._misses.values()):
                    self.all_ready.set()
            else:
                self._misses[balancer.name] += 1
            await anyio.sleep_until(began + CHECK_PERIOD_S)


async def _is_ready(balancer: Host) -> bool:
    with anyio.move_on_after(CHECK_PERIOD_S):
        try:
            async with await anyio.connect_tcp(
                balancer.bind_address, ADMIN_PORT
            ) as stream:
                await stream.send(_REQUEST)
                return b" 200 " in await stream.receive()
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            return False
    return False
