"""Flows at their owner, each with its own connected socket to the target."""

from collections.abc import Callable
from typing import Any, Protocol

import anyio

from jujuberun.ids import Address
from jujuberun.manifest import Service
from jujuberun.port import Port


class Flow(Protocol):
    """One flow that this agent owns.

    Attributes:
        service: the service that the flow belongs to; it never changes.
        open_requests: requests in progress; 0 for datagram flows.
    """

    service: Service
    open_requests: int

    def deliver(self, payload: bytes, now: float) -> None:
        """Handles one datagram of the caller."""

    async def run(self) -> None:
        """Serves the flow and returns when it has ended."""

    def drain(self) -> None:
        """Ends the flow as soon as its requests in progress are done."""

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state of the flow as JSON types."""


class DatagramFlow:
    """Passes datagrams between the caller and the target."""

    def __init__(
        self,
        service: Service,
        target: Address,
        port: Port,
        send: Callable[[bytes], None],
        idle_timeout: float,
    ) -> None:
        self.service = service
        self.open_requests = 0
        self._target = target
        self._port = port
        self._send = send
        self._idle_timeout = idle_timeout
        self._last_used = anyio.current_time()

    def deliver(self, payload: bytes, now: float) -> None:
        """Passes one datagram of the caller to the target."""
        self._last_used = now
        self._port.send(payload, self._target)

    async def run(self) -> None:
        """Passes answers to the caller until the idle time-out."""
        try:
            while True:
                deadline = self._last_used + self._idle_timeout
                batch = []
                with anyio.CancelScope(deadline=deadline):
                    batch = await self._port.receive()
                now = anyio.current_time()
                if not batch and now >= self._last_used + self._idle_timeout:
                    return
                if batch:
                    self._last_used = now
                for payload, _ in batch:
                    self._send(payload)
        finally:
            self._port.close()

    def drain(self) -> None:
        """Does nothing, as only the caller knows when a datagram flow ends."""

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the service and the seconds since the last packet."""
        return {
            "service": self.service.id,
            "idle_s": round(now - self._last_used, 3),
        }
