"""Canonical text of a manifest, from which its digest is computed."""

import json
from functools import lru_cache
from typing import TYPE_CHECKING, Any

from jujuberun.addresses import format_address

if TYPE_CHECKING:
    from jujuberun.manifest import Manifest, Service, Target

# Size of the caches of services, of targets and of their parts. Most entries
# of a new manifest are unchanged since the previous one. The limit is above
# the number of services and of targets in a fleet of the intended size.
MAX_CACHED_ENTRIES = 8_192


def dump_manifest(manifest: "Manifest") -> bytes:
    """Returns the canonical JSON text of a manifest."""
    services = ",".join(map(_dump_service, manifest.services.values()))
    targets = ",".join(map(_dump_target, manifest.targets.values()))
    text = (
        f'{{"generation":{manifest.generation},'
        f'"services":[{services}],"targets":[{targets}]}}'
    )
    return text.encode()


@lru_cache(MAX_CACHED_ENTRIES)
def _dump_service(service: "Service") -> str:
    document: dict[str, Any] = {
        "id": service.id,
        "address": format_address(service.address),
        "urgency": service.urgency.name.lower(),
        # Converted to float, so that equal numbers of different types have
        # the same text.
        "headroom": float(service.headroom),
        "protocol": service.protocol.value,
        "first_packet": service.first_packet.text,
        "targets": list(service.targets),
    }
    if service.pools:
        document["pools"] = [
            {"pool": share.pool, "weight": share.weight}
            for share in service.pools
        ]
    if service.idle_timeout:
        document["idle_timeout"] = float(service.idle_timeout)
    if service.objective:
        document["objective"] = float(service.objective)
    return json.dumps(document, separators=(",", ":"))


@lru_cache(MAX_CACHED_ENTRIES)
def _dump_target(target: "Target") -> str:
    document = {
        "id": target.id,
        "address": format_address(target.address),
        "agent": format_address(target.agent),
        "domain": target.domain,
        "slots": target.slots,
        "connection_limit": target.connection_limit,
    }
    return json.dumps(document, separators=(",", ":"))
