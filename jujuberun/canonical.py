"""Canonical text of a manifest, from which its digest is computed."""

import json
import re
from functools import lru_cache
from typing import TYPE_CHECKING, Any

from jujuberun.addresses import format_address

if TYPE_CHECKING:
    from jujuberun.manifest import Manifest, PoolShare, Service, Target

# Size of the caches of services, of targets and of their parts. Most entries
# of a new manifest are unchanged since the previous one. The limit is the
# maximum number of services in manifest.schema.json: with a lower one, a larger
# manifest would evict each entry before its next use.
MAX_CACHED_ENTRIES = 10_000
_HEAD_PATTERN = re.compile(
    r'\{"generation":([1-9][0-9]{0,18}),'
    r'(?:"epoch":([1-9][0-9]{0,6}),)?"services":\['
)
_TAIL = '],"targets":[]}'
_SERVICE_START = '{"id":'
_SEPARATOR = "}," + _SERVICE_START


def dump_manifest(manifest: "Manifest") -> bytes:
    """Returns the canonical JSON text of a manifest."""
    services = ",".join(map(dump_service, manifest.services.values()))
    targets = ",".join(map(_dump_target, manifest.targets.values()))
    epoch = f'"epoch":{manifest.epoch},' if manifest.epoch else ""
    text = (
        f'{{"generation":{manifest.generation},{epoch}'
        f'"services":[{services}],"targets":[{targets}]}}'
    )
    return text.encode()


def split_manifest(data: bytes) -> tuple[int, int, list[str]] | None:
    """Splits the canonical text of a manifest that has no targets.

    Args:
        data: text of a manifest.

    Returns:
        The generation, the epoch and the text of each service, or None if the
        manifest has targets, no services or another form. The parts are not
        checked.
    """
    try:
        text = data.decode()
    except UnicodeDecodeError:
        return None
    head = _HEAD_PATTERN.match(text)
    if head is None or not text.endswith(_TAIL):
        return None
    # A quote within a string is escaped, so the separator appears only
    # between two services.
    texts = text[head.end() : -len(_TAIL)].split(_SEPARATOR)
    first, last = 0, len(texts) - 1
    return (
        int(head[1]),
        int(head[2] or 0),
        [
            ("" if index == first else _SERVICE_START)
            + service
            + ("" if index == last else "}")
            for index, service in enumerate(texts)
        ],
    )


@lru_cache(MAX_CACHED_ENTRIES)
def dump_service(service: "Service") -> str:
    """Returns the canonical JSON text of a service."""
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
        document["pools"] = list(map(_make_share, service.pools))
    if service.idle_timeout:
        document["idle_timeout"] = float(service.idle_timeout)
    if service.objective:
        document["objective"] = float(service.objective)
    if service.time_limit:
        document["time_limit"] = float(service.time_limit)
    if service.kind is not None:
        document["kind"] = service.kind.value
    return json.dumps(document, separators=(",", ":"))


def _make_share(share: "PoolShare") -> dict[str, Any]:
    document: dict[str, Any] = {"pool": share.pool, "weight": share.weight}
    if share.warmup_rate:
        document["warmup_rate"] = float(share.warmup_rate)
    return document


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
