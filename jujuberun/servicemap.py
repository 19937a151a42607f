"""Packet services by their addresses, with the pools they had lately."""

from jujuberun.ids import Address, PoolId, Protocol, ServiceId
from jujuberun.manifest import Manifest, Service

# Flows that began in a pool stay there when their service moves to another.
POOL_HISTORY_S = 60.0


class ServiceMap:
    """The packet services of the manifest in force."""

    def __init__(self) -> None:
        self._services: dict[Address, Service] = {}
        self._former: dict[Address, dict[PoolId, float]] = {}

    def __len__(self) -> int:
        """Returns the number of services."""
        return len(self._services)

    def update(self, manifest: Manifest, now: float) -> None:
        """Takes the manifest that has come into force."""
        services = {
            service.address: service
            for service in manifest.services.values()
            if service.protocol is Protocol.PACKET
        }
        for address, service in self._services.items():
            if services.get(address) == service:
                continue
            former = self._former.setdefault(address, {})
            for share in service.pools:
                former[share.pool] = now
        self._services = services

    def find(self, address: Address) -> Service | None:
        """Returns the service at an address, or None."""
        return self._services.get(address)

    def find_by_id(self, name: ServiceId) -> Service | None:
        """Returns the service with an id, or None."""
        for service in self._services.values():
            if service.id == name:
                return service
        return None

    def list_former_pools(self, address: Address) -> tuple[PoolId, ...]:
        """Returns pools that the service at an address had before."""
        return tuple(self._former.get(address, ()))

    def expire(self, now: float) -> None:
        """Forgets pools of more than POOL_HISTORY_S ago."""
        for address, pools in list(self._former.items()):
            kept = {
                pool: at
                for pool, at in pools.items()
                if now - at <= POOL_HISTORY_S
            }
            if kept:
                self._former[address] = kept
            else:
                del self._former[address]
