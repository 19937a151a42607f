"""The manifest, which defines the services and their targets."""

import dataclasses
import hashlib
import json
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

from result import Err, Ok, Result

from jujuberun.addresses import parse_address
from jujuberun.canonical import (
    MAX_CACHED_ENTRIES,
    dump_manifest,
    dump_service,
    split_manifest,
)
from jujuberun.delta import MAX_DOCUMENT_BYTES
from jujuberun.errors import ManifestError
from jujuberun.first_packet import FirstPacket
from jujuberun.ids import (
    Address,
    DomainId,
    Generation,
    PoolId,
    Protocol,
    Rank,
    ServiceId,
    ServiceKind,
    TargetId,
    Urgency,
)
from jujuberun.schema import (
    SchemaViolation,
    compile_schema,
    format_key,
    format_value,
    load_schema,
)

MAX_MANIFEST_BYTES = MAX_DOCUMENT_BYTES
MAX_SERVICES: int = load_schema()["properties"]["services"]["maxItems"]
_STEP = "check manifest"


@dataclass(frozen=True, slots=True)
class Target:
    """An application process that serves requests or flows of services.

    Attributes:
        id: name, unique in the manifest.
        address: address at which the target's agent reaches the application.
        agent: peer address of the agent beside the target.
        domain: failure domain of the target's VM.
        slots: number of requests that the target can run at the same time.
        connection_limit: number of flows that the target can hold at the
            same time.
    """

    id: TargetId
    address: Address
    agent: Address
    domain: DomainId
    slots: int
    connection_limit: int


@dataclass(frozen=True, slots=True)
class PoolShare:
    """Share of a service's new flows that one pool receives.

    Attributes:
        pool: id of the pool; its targets register themselves under this id.
        weight: weight relative to the weights of the service's other pools.
        warmup_rate: requests per second that a target of the pool can handle
            after its start, while it is cold; 0 if not stated.
    """

    pool: PoolId
    weight: int
    warmup_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the targets that serve it.

    Attributes:
        id: name, unique in the manifest.
        address: address to which callers send their packets.
        urgency: urgency class for admission.
        headroom: number from 0 to 1; 0 uses as few targets as possible, 1
            spreads the load over all targets.
        protocol: who terminates the flows of the service, the agent or the
            target.
        first_packet: which datagrams may start a flow.
        targets: ids of the service's targets, in the order of the manifest.
        pools: pools in which the service's targets register themselves, for
            protocol PACKET.
        idle_timeout: seconds without packets after which the state of a flow
            may be dropped, 0 for the default of the daemon.
        objective: seconds within which callers want an answer, 0 if unknown.
        time_limit: seconds after which an answer is worth nothing to callers,
            0 if unknown.
        kind: what the requests do, None if unknown.
    """

    id: ServiceId
    address: Address
    urgency: Urgency
    headroom: float
    protocol: Protocol
    first_packet: FirstPacket
    targets: tuple[TargetId, ...]
    pools: tuple[PoolShare, ...] = ()
    idle_timeout: float = 0.0
    objective: float = 0.0
    time_limit: float = 0.0
    kind: ServiceKind | None = None


@dataclass(frozen=True, slots=True)
class Manifest:
    """A valid manifest.

    Attributes:
        generation: version number; a manifest with a higher generation
            replaces one with a lower generation.
        services: services by id.
        targets: targets by id.
        digest: BLAKE2b digest of the canonical text, 16 bytes.
        epoch: how often the platform had come back with an older manifest; of
            two manifests of one generation, that of the higher epoch is newer.
    """

    generation: Generation
    services: dict[ServiceId, Service]
    targets: dict[TargetId, Target]
    digest: bytes = field(compare=False, default=b"")
    epoch: int = 0

    @property
    def rank(self) -> Rank:
        """What tells which of two manifests is newer."""
        return self.generation, self.epoch

    def find_service(self, address: Address) -> Service | None:
        """Returns the service at an address, or None."""
        for service in self.services.values():
            if service.address == address:
                return service
        return None


def parse_manifest(data: bytes) -> Result[Manifest, ManifestError]:
    """Parses and validates a manifest.

    Args:
        data: JSON text in UTF-8, at most MAX_MANIFEST_BYTES bytes.

    Returns:
        Ok with the manifest, or Err with an error that names the key, its
        value and what is allowed.
    """
    if len(data) > MAX_MANIFEST_BYTES:
        allowed = f"at most {MAX_MANIFEST_BYTES:,} bytes"
        return _refuse("file", f"{len(data)} bytes", allowed)
    manifest = _parse_canonical(data)
    if manifest is not None:
        return Ok(manifest)
    try:
        # The data must be UTF-8 without a byte order mark. Given the bytes,
        # json.loads would accept UTF-16 too.
        text = data.decode("utf-8")
        document = _load_json(text)
    except RecursionError:
        return _refuse("file", "nested too deeply", "one JSON object")
    except ValueError as error:
        return _refuse("file", "not JSON", f"one JSON object (error: {error})")
    error = _find_error(document)
    return Ok(_build_manifest(document)) if error is None else Err(error)


def _parse_canonical(data: bytes) -> Manifest | None:
    """Parses a manifest of packet services in canonical form.

    Only services that are not in the cache are parsed and checked. A manifest
    of 1,800 services is thus parsed in a few milliseconds after each change.

    Returns:
        The manifest, or None if the data has another form or is invalid.
    """
    split = split_manifest(data)
    if split is None:
        return None
    generation, epoch, texts = split
    services = [parse_service_text(text) for text in texts]
    if any(service is None for service in services):
        return None
    by_id = {service.id: service for service in services}
    addresses = {service.address for service in services}
    if not len(by_id) == len(addresses) == len(services):
        return None
    # All other rules of the manifest concern single services.
    document = _make_document(generation, epoch, json.loads(texts[0]))
    if _find_error(document):
        return None
    digest = hashlib.blake2b(data, digest_size=16).digest()
    return Manifest(Generation(generation), by_id, {}, digest, epoch)


@lru_cache(MAX_CACHED_ENTRIES)
def parse_service_text(text: str) -> Service | None:
    """Returns the service of a text that is valid and canonical, or None."""
    try:
        document = _make_document(1, 0, _load_json(text))
    except (RecursionError, ValueError):
        return None
    if _find_error(document) is not None:
        return None
    service = _build_service(document["services"][0])
    return service if dump_service(service) == text else None


def _make_document(generation: int, epoch: int, service: Any) -> dict[str, Any]:
    head = {"generation": generation, "epoch": epoch}
    return {**head, "services": [service], "targets": []}


def _find_error(document: Any) -> ManifestError | None:
    violation = _check_schema(document)
    if violation is not None:
        return _refuse_by_schema(violation).err_value
    return _find_inconsistency(document)


def _load_json(text: str) -> Any:
    return json.loads(
        text,
        object_pairs_hook=_build_object,
        parse_constant=_refuse_constant,
    )


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    keys = dict(pairs)
    if len(keys) == len(pairs):
        return keys
    seen: set[str] = set()
    for name, _ in pairs:
        if name in seen:
            shown = format_value(name)
            raise ValueError(f"key {shown} appears twice in one object")
        seen.add(name)
    return keys


def _refuse_constant(name: str) -> None:
    # json.loads accepts NaN and Infinity, which are not JSON. Every
    # comparison with NaN is false, so a range check might let it pass.
    raise ValueError(f"{name} is not a JSON number")


def _refuse(key: str, value: str, allowed: str) -> Err[ManifestError]:
    return Err(ManifestError(_STEP, key, f"is {value}; allowed: {allowed}"))


def _refuse_by_schema(violation: SchemaViolation) -> Err[ManifestError]:
    path = ".".join(format_key(part) for part in violation.path) or "manifest"
    value = "missing" if violation.missing else format_value(violation.value)
    return _refuse(path, value, violation.allowed)


def _find_inconsistency(document: dict[str, Any]) -> ManifestError | None:
    # Finds the first error that the schema cannot express.
    for kind in ("services", "targets"):
        seen = set()
        for index, entry in enumerate(document[kind]):
            if entry["id"] in seen:
                return _refuse(
                    f"{kind}.{index}.id", repr(entry["id"]), "a unique id"
                ).err_value
            seen.add(entry["id"])
    packet_protocol = Protocol.PACKET.value
    needing_targets = [
        s for s in document["services"] if s["protocol"] != packet_protocol
    ]
    if needing_targets and not document["targets"]:
        allowed = "a list of at least one target"
        return _refuse("targets", "[]", allowed).err_value
    targets = {entry["id"] for entry in document["targets"]}
    addresses: dict[str, str] = {}
    for index, service in enumerate(document["services"]):
        address = service["address"]
        if address in addresses:
            return _refuse(
                f"services.{index}.address",
                repr(address),
                f"an address that service {addresses[address]!r} does not use",
            ).err_value
        addresses[address] = service["id"]
        error = _find_targets_error(index, service)
        if error is not None:
            return error
        for position, name in enumerate(service["targets"]):
            if name not in targets:
                return _refuse(
                    f"services.{index}.targets.{position}",
                    repr(name),
                    "the id of a target that the manifest defines",
                ).err_value
    return None


def _find_targets_error(
    index: int, service: dict[str, Any]
) -> ManifestError | None:
    """Checks that "targets" and "pools" of a service suit its protocol.

    Returns:
        The first error, or None.
    """
    key = f"services.{index}"
    is_packet = service["protocol"] == Protocol.PACKET.value
    if is_packet and not service.get("pools"):
        allowed = "a list of pools for protocol packet"
        return _refuse(f"{key}.pools", "missing", allowed).err_value
    if is_packet and service["targets"]:
        allowed = "an empty list for protocol packet"
        return _refuse(f"{key}.targets", "not empty", allowed).err_value
    if not is_packet and service.get("pools"):
        allowed = "no pools unless the protocol is packet"
        return _refuse(f"{key}.pools", "present", allowed).err_value
    if not is_packet and not service["targets"]:
        allowed = "a list of at least one target id, without duplicates"
        return _refuse(f"{key}.targets", "[]", allowed).err_value
    return None


def _build_manifest(document: dict[str, Any]) -> Manifest:
    services = [_build_service(entry) for entry in document["services"]]
    targets = [_build_target(entry) for entry in document["targets"]]
    manifest = Manifest(
        Generation(document["generation"]),
        {service.id: service for service in services},
        {target.id: target for target in targets},
        epoch=document.get("epoch", 0),
    )
    canonical = dump_manifest(manifest)
    digest = hashlib.blake2b(canonical, digest_size=16).digest()
    return dataclasses.replace(manifest, digest=digest)


_parse_address = lru_cache(MAX_CACHED_ENTRIES)(parse_address)
_read_first_packet = lru_cache(MAX_CACHED_ENTRIES)(FirstPacket.from_config)


def _build_service(entry: dict[str, Any]) -> Service:
    return Service(
        id=ServiceId(entry["id"]),
        address=_parse_address(entry["address"]),
        urgency=Urgency[entry["urgency"].upper()],
        # abs() turns -0.0 into 0.0: they are equal, but their texts differ,
        # and so would the digests.
        headroom=abs(float(entry["headroom"])),
        protocol=Protocol(entry["protocol"]),
        first_packet=_read_first_packet(entry["first_packet"]),
        targets=tuple(TargetId(name) for name in entry["targets"]),
        pools=tuple(
            PoolShare(
                PoolId(share["pool"]),
                share["weight"],
                abs(float(share.get("warmup_rate", 0.0))),
            )
            for share in entry.get("pools", ())
        ),
        idle_timeout=abs(float(entry.get("idle_timeout", 0.0))),
        objective=abs(float(entry.get("objective", 0.0))),
        time_limit=abs(float(entry.get("time_limit", 0.0))),
        kind=ServiceKind(entry["kind"]) if "kind" in entry else None,
    )


def _build_target(entry: dict[str, Any]) -> Target:
    return Target(
        id=TargetId(entry["id"]),
        address=parse_address(entry["address"]),
        agent=parse_address(entry["agent"]),
        domain=DomainId(entry["domain"]),
        slots=entry["slots"],
        connection_limit=entry["connection_limit"],
    )


_check_schema = compile_schema(load_schema())
