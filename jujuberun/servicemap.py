"""Packet services by address, with the pools that they used recently."""

from jujuberun.flowtable import FlowEntry
from jujuberun.frames import unpack_service
from jujuberun.ids import Address, Generation, PoolId, Protocol, ServiceId
from jujuberun.manifest import Manifest, Service

# Flows that were opened in a pool stay there when their service moves to
# another pool. For this long, a balancer that saw the move asks the former pool
# at once; later, and at other balancers, `ownersearch.other_pools` finds it.
FORMER_POOL_RETENTION_S = 60.0


class ServiceMap:
    """Packet services of the manifest in force, and their former pools.

    Attributes:
        generation: generation of the manifest, 0 before the first one.
    """

    def __init__(self) -> None:
        self.generation = Generation(0)
        self._services: dict[Address, Service] = {}
        self._former_pools: dict[Address, dict[PoolId, float]] = {}

    def __len__(self) -> int:
        """Returns the number of services."""
        return len(self._services)

    def update(self, manifest: Manifest, now: float) -> None:
        """Replaces the services by those of a manifest that came into force."""
        services = {
            service.address: service
            for service in manifest.services.values()
            if service.protocol is Protocol.PACKET
        }
        for address, service in self._services.items():
            new = services.get(address)
            # Unchanged services are usually the same object.
            if new is service or new == service:
                continue
            former = self._former_pools.setdefault(address, {})
            for share in service.pools:
                former[share.pool] = now
        self._services = services
        self.generation = manifest.generation

    def refresh(self, entry: FlowEntry) -> bool:
        """Gives a start that has not opened the pools of its service now.

        Returns:
            Whether there is a service at the flow's address.
        """
        service = self._services.get(unpack_service(entry.key))
        if service is None:
            return False
        entry.service, entry.pools = service.id, service.pools
        entry.generation = self.generation
        return True

    def find(self, address: Address) -> Service | None:
        """Returns the service at an address, or None if there is none."""
        return self._services.get(address)

    def find_by_id(self, name: ServiceId) -> Service | None:
        """Returns the service with an id, or None if there is none."""
        for service in self._services.values():
            if service.id == name:
                return service
        return None

    def list_pools(self, address: Address) -> tuple[PoolId, ...]:
        """Returns the pools of the service at an address, former ones last."""
        service = self._services.get(address)
        current = () if service is None else service.pools
        former = self._former_pools.get(address, ())
        names = (*(share.pool for share in current), *former)
        return tuple(dict.fromkeys(names))

    def expire(self, now: float) -> None:
        """Removes pools that were replaced over FORMER_POOL_RETENTION_S ago."""
        for address, pools in list(self._former_pools.items()):
            kept = {
                pool: replaced_at
                for pool, replaced_at in pools.items()
                if now - replaced_at <= FORMER_POOL_RETENTION_S
            }
            if kept:
                self._former_pools[address] = kept
            else:
                del self._former_pools[address]
