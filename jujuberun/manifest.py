"""The manifest: services, their targets and a generation."""

import hashlib
import json
from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from jujuberun.addresses import parse_address
from jujuberun.canonical import KEPT_TEXTS, dump_manifest
from jujuberun.errors import ManifestError
from jujuberun.ids import (
    Address,
    DomainId,
    Generation,
    PoolId,
    Protocol,
    ServiceId,
    TargetId,
    Urgency,
)
from jujuberun.schema import Problem, compile_schema

MAX_MANIFEST_BYTES = 1_000_000
_STEP = "check manifest"
_SHOWN_CHARACTERS = 60  # of a wrong value in an error


class FirstPacketRule(Enum):
    """How a datagram that may start a flow is recognised."""

    QUIC = "quic"
    ANY = "any"
    PREFIX = "prefix"


@dataclass(frozen=True, slots=True)
class FirstPacket:
    """Tells whether a datagram may start a flow.

    Attributes:
        rule: the kind of rule.
        prefix: bytes that the first datagram begins with, for PREFIX.
    """

    rule: FirstPacketRule
    prefix: bytes = b""

    @classmethod
    def from_config(cls, text: str) -> "FirstPacket":
        """Builds the rule from its text in the manifest.

        Args:
            text: "quic", "any" or "prefix:" and hexadecimal digits.
        """
        if text.startswith("prefix:"):
            prefix = bytes.fromhex(text.removeprefix("prefix:"))
            return cls(FirstPacketRule.PREFIX, prefix)
        return cls(FirstPacketRule(text))

    @property
    def text(self) -> str:
        """The rule as from_config reads it."""
        if self.rule is FirstPacketRule.PREFIX:
            return f"prefix:{self.prefix.hex()}"
        return self.rule.value

    def accepts(self, payload: bytes) -> bool:
        """Returns whether the payload may start a flow."""
        match self.rule:
            case FirstPacketRule.ANY:
                return True
            case FirstPacketRule.PREFIX:
                return payload.startswith(self.prefix)
            case FirstPacketRule.QUIC:
                # RFC 9000: long header, fixed bit set, packet type Initial.
                return bool(payload) and payload[0] & 0xF0 == 0xC0


@dataclass(frozen=True, slots=True)
class Target:
    """An application process that does the work of services.

    Attributes:
        id: name, unique in the manifest.
        address: where the application listens, as its agent reaches it.
        agent: peer address of the agent beside it.
        domain: failure domain of its VM.
        slots: requests that it runs at the same time.
        connection_limit: flows that it holds at the same time.
    """

    id: TargetId
    address: Address
    agent: Address
    domain: DomainId
    slots: int
    connection_limit: int


@dataclass(frozen=True, slots=True)
class PoolShare:
    """Share of a service's new flows that one pool takes.

    Attributes:
        pool: targets that register themselves under this name.
        weight: share in relation to the weights of the other pools.
    """

    pool: PoolId
    weight: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the targets that carry it.

    Attributes:
        id: name, unique in the manifest.
        address: where callers send their packets.
        urgency: class for admission.
        headroom: 0 uses as few targets as possible, 1 spreads over all.
        protocol: how agents end its flows.
        first_packet: which datagrams may start a flow.
        targets: ids of its targets, in the manifest's order.
        pools: where its targets register themselves, for protocol PACKET.
        idle_timeout: seconds after which a flow without packets may be
            forgotten, 0 for the default of the daemon.
        objective: seconds in which callers want an answer, 0 if unknown.
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


@dataclass(frozen=True, slots=True)
class Manifest:
    """One accepted manifest.

    Attributes:
        generation: version number; a higher one replaces a lower one.
        services: by id.
        targets: by id.
        digest: BLAKE2b of the canonical text, 16 bytes.
    """

    generation: Generation
    services: dict[ServiceId, Service]
    targets: dict[TargetId, Target]
    digest: bytes = field(compare=False, default=b"")

    def find_service(self, address: Address) -> Service | None:
        """Returns the service at an address, or None."""
        for service in self.services.values():
            if service.address == address:
                return service
        return None


def load_schema() -> dict[str, Any]:
    """Returns the JSON schema of the manifest."""
    path = Path(__file__).with_name("manifest.schema.json")
    return json.loads(path.read_text(encoding="utf-8"))


def parse_manifest(data: bytes) -> Result[Manifest, ManifestError]:
    """Parses and validates a manifest.

    Args:
        data: JSON text, UTF-8, at most MAX_MANIFEST_BYTES bytes.

    Returns:
        Ok with the manifest, or Err naming the key, its value and what is
        allowed.
    """
    if len(data) > MAX_MANIFEST_BYTES:
        return _refuse("file", f"{len(data)} bytes", "at most 1,000,000 bytes")
    try:
        # A text without a byte order mark: json.loads would take UTF-16 too.
        text = data.decode("utf-8")
        document = json.loads(
            text,
            object_pairs_hook=_build_object,
            parse_constant=_refuse_constant,
        )
    except RecursionError:
        return _refuse("file", "nested too deeply", "one JSON object")
    except ValueError as error:
        return _refuse("file", "not JSON", f"one JSON object ({error})")
    problem = _CHECK(document)
    if problem is not None:
        return _refuse_by_schema(problem)
    refusal = _find_problem(document)
    if refusal is not None:
        return Err(refusal)
    return Ok(_build_manifest(document))


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    keys = dict(pairs)
    if len(keys) == len(pairs):
        return keys
    seen: set[str] = set()
    for name, _ in pairs:
        if name in seen:
            shown = _show(name)
            raise ValueError(f"key {shown} stands twice in one object")
        seen.add(name)
    return keys


def _refuse_constant(name: str) -> None:
    # Not JSON, and NaN would pass every comparison with a bound.
    raise ValueError(f"{name} is not a number")


def _refuse(key: str, value: str, allowed: str) -> Err[ManifestError]:
    return Err(ManifestError(_STEP, key, f"is {value}; allowed: {allowed}"))


def _refuse_by_schema(problem: Problem) -> Err[ManifestError]:
    path = ".".join(_show_key(part) for part in problem.path) or "manifest"
    value = "missing" if problem.missing else _show(problem.value)
    return _refuse(path, value, problem.allowed)


def _show_key(part: str | int) -> str:
    text = str(part)
    plain = text.isascii() and text.isprintable()
    return text if plain and len(text) <= _SHOWN_CHARACTERS else _show(text)


def _show(value: Any) -> str:
    try:
        text = json.dumps(value)
    except RecursionError:
        return "nested too deeply"
    if len(text) <= _SHOWN_CHARACTERS:
        return text
    return text[: _SHOWN_CHARACTERS - 3] + "..."


def _find_problem(document: dict[str, Any]) -> ManifestError | None:
    for kind in ("services", "targets"):
        seen = set()
        for index, entry in enumerate(document[kind]):
            if entry["id"] in seen:
                return _refuse(
                    f"{kind}.{index}.id", repr(entry["id"]), "a unique id"
                ).err_value
            seen.add(entry["id"])
    registering = Protocol.PACKET.value
    named = [s for s in document["services"] if s["protocol"] != registering]
    if named and not document["targets"]:
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
                f"an address that {addresses[address]!r} does not have",
            ).err_value
        addresses[address] = service["id"]
        problem = _find_targets_problem(index, service)
        if problem is not None:
            return problem
        for place, name in enumerate(service["targets"]):
            if name not in targets:
                return _refuse(
                    f"services.{index}.targets.{place}",
                    repr(name),
                    "the id of a target that the manifest defines",
                ).err_value
    return None


def _find_targets_problem(
    index: int, service: dict[str, Any]
) -> ManifestError | None:
    """Returns what is wrong with the places that name a service's targets."""
    key = f"services.{index}"
    packet = service["protocol"] == Protocol.PACKET.value
    if packet and not service.get("pools"):
        allowed = "a list of pools for protocol packet"
        return _refuse(f"{key}.pools", "missing", allowed).err_value
    if packet and service["targets"]:
        allowed = "an empty list for protocol packet"
        return _refuse(f"{key}.targets", "not empty", allowed).err_value
    if not packet and service.get("pools"):
        allowed = "no pools unless the protocol is packet"
        return _refuse(f"{key}.pools", "present", allowed).err_value
    if not packet and not service["targets"]:
        allowed = "a list of at least one target id, each once"
        return _refuse(f"{key}.targets", "[]", allowed).err_value
    return None


def _build_manifest(document: dict[str, Any]) -> Manifest:
    services = [_build_service(entry) for entry in document["services"]]
    targets = [_build_target(entry) for entry in document["targets"]]
    manifest = Manifest(
        Generation(document["generation"]),
        {service.id: service for service in services},
        {target.id: target for target in targets},
    )
    canonical = dump_manifest(manifest)
    digest = hashlib.blake2b(canonical, digest_size=16).digest()
    return Manifest(
        manifest.generation, manifest.services, manifest.targets, digest
    )


_parse_address = lru_cache(KEPT_TEXTS)(parse_address)
_read_first_packet = lru_cache(KEPT_TEXTS)(FirstPacket.from_config)


def _build_service(entry: dict[str, Any]) -> Service:
    return Service(
        id=ServiceId(entry["id"]),
        address=_parse_address(entry["address"]),
        urgency=Urgency[entry["urgency"].upper()],
        # -0.0 equals 0.0 but has another text, and so another digest.
        headroom=abs(float(entry["headroom"])),
        protocol=Protocol(entry["protocol"]),
        first_packet=_read_first_packet(entry["first_packet"]),
        targets=tuple(TargetId(name) for name in entry["targets"]),
        pools=tuple(
            PoolShare(PoolId(share["pool"]), share["weight"])
            for share in entry.get("pools", ())
        ),
        idle_timeout=abs(float(entry.get("idle_timeout", 0.0))),
        objective=abs(float(entry.get("objective", 0.0))),
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


_CHECK = compile_schema(load_schema())
