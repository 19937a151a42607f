"""The VM list of the platform: its types and its text."""

import json
import socket
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

from result import Err, Ok, Result

from jujuberun.addresses import format_address, parse_address
from jujuberun.canonical import MAX_CACHED_ENTRIES
from jujuberun.delta import MAX_DOCUMENT_BYTES
from jujuberun.errors import SourceError
from jujuberun.ids import Address, DomainId, PoolId, Role, VmId, VmState
from jujuberun.values import read_name

MAX_SLOTS = 10_000  # the maximum of slots in manifest.schema.json
MAX_WARMUP_S = 86_400.0
MAX_LIST_BYTES = MAX_DOCUMENT_BYTES
# Ids and failure domains. Keys of platforms have up to 200 bytes, to which the
# start of a target is added.
MAX_TEXT_BYTES = 255
# Upper bound of the JSON text of one VM: two texts, of which each byte takes at
# most three, and 400 bytes for all else.
_MAX_VM_BYTES = 2 * 3 * MAX_TEXT_BYTES + 400
_HEAD_BYTES = 100  # upper bound of the text around the VMs
_FIRST_MULTICAST = 224  # addresses above are multicast, reserved or broadcast
_VM_ERRORS = (
    AttributeError,
    LookupError,
    OverflowError,
    TypeError,
    ValueError,
)


@dataclass(frozen=True, slots=True)
class Registration:
    """A target that registers itself in a pool, as the VM list describes it.

    Attributes:
        pool: the pool that the target serves.
        address: where the application listens, as its agent reaches it.
        slots: requests that it runs at the same time.
        warmup: seconds for which it is still slow after its start, counted
            from the receipt of the VM list.
        started: start of the target, ms by the wall clock of its VM; None if
            the platform does not state it.
    """

    pool: PoolId
    address: Address
    slots: int
    warmup: float
    started: int | None = None


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM that runs a daemon.

    Attributes:
        id: name of the VM in the platform.
        role: role of its daemon.
        peer: address for messages of other daemons.
        domain: failure domain.
        state: live or leaving.
        target: the target beside its agent, None if it does not register
            itself.
    """

    id: VmId
    role: Role
    peer: Address
    domain: DomainId
    state: VmState
    target: Registration | None = None


@dataclass(frozen=True, slots=True)
class VmList:
    """The VM list at one index of the platform.

    Attributes:
        index: version number, which grows at each change, also when the epoch
            rises.
        vms: VMs by id.
        epoch: how often the platform has come back with an older list; 0 if it
            never loses changes.
        ignored: number of malformed VMs in the text of the list.
    """

    index: int = 0
    vms: dict[VmId, Vm] = field(default_factory=dict)
    epoch: int = 0
    ignored: int = field(default=0, compare=False)


def check_vm(vm: Vm) -> None:
    """Checks that all processes can use a VM.

    Raises:
        ValueError: a text is too long or not printable, a pool is no name that
            a manifest may contain, or an address cannot be sent to.
    """
    _check_text(vm.id)
    _check_text(vm.domain)
    _check_host(vm.peer[0])
    _check_port(vm.peer[1])
    if vm.target is not None:
        read_name(vm.target.pool)
        _check_host(vm.target.address[0])
        _check_port(vm.target.address[1])


def limit_vms(vms: Mapping[VmId, Vm]) -> dict[VmId, Vm]:
    """Returns the VMs whose list is not too large.

    If not all fit, each pool keeps an equal number, so that a pool of another
    fleet does not displace the targets of this one.

    Args:
        vms: VMs by id, in the order in which they are to be kept.
    """
    if len(vms) * _MAX_VM_BYTES <= MAX_LIST_BYTES:
        return dict(vms)
    pools: dict[PoolId | None, deque[Vm]] = {}
    for vm in vms.values():
        pool = None if vm.target is None else vm.target.pool
        pools.setdefault(pool, deque()).append(vm)
    kept: dict[VmId, Vm] = {}
    left = MAX_LIST_BYTES - _HEAD_BYTES
    while pools:
        for pool in list(pools):
            vm = pools[pool].popleft()
            left -= len(json.dumps(_dump_vm(vm))) + 1
            if left < 0:
                return kept
            kept[vm.id] = vm
            if not pools[pool]:
                del pools[pool]
    return kept


def parse_vm_list(data: bytes) -> Result[VmList, SourceError]:
    """Parses the platform's VM list.

    Malformed VMs are left out, because one of them must not hide the changes of
    all others.

    Args:
        data: JSON text {"index": n, "vms": [{"id", "role", "peer", "domain",
            "state", "target"}], "epoch": n}; epoch is optional, and so is
            target: {"pool", "address", "slots", "warmup", "started"}, of which
            started is optional.

    Returns:
        Ok with the list, or Err if the text is malformed or too large.
    """
    if len(data) > MAX_LIST_BYTES:
        return _refuse(f"the list has more than {MAX_LIST_BYTES} bytes")
    try:
        document = json.loads(data)
        entries = list(document["vms"])
        index = _check_number(document["index"])
        epoch = _check_number(document.get("epoch", 0))
    except RecursionError:
        return _refuse("malformed: nested too deeply")
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return _refuse(f"malformed: {error!r}")
    vms: dict[VmId, Vm] = {}
    ignored = 0
    for entry in entries:
        try:
            vm = _build_vm(entry)
            check_vm(vm)
        except _VM_ERRORS:
            ignored += 1
            continue
        vms[vm.id] = vm
    return Ok(VmList(index, vms, epoch, ignored))


def dump_vm_list(vm_list: VmList) -> bytes:
    """Returns the JSON text of a VM list."""
    vms = [_dump_vm(vm) for vm in vm_list.vms.values()]
    document: dict[str, Any] = {"index": vm_list.index, "vms": vms}
    if vm_list.epoch:
        document["epoch"] = vm_list.epoch
    return json.dumps(document, separators=(",", ":")).encode()


def _refuse(reason: str) -> Err[SourceError]:
    return Err(SourceError("parse VM list", "", reason))


def _dump_vm(vm: Vm) -> dict[str, Any]:
    entry: dict[str, Any] = {
        "id": vm.id,
        "role": vm.role.value,
        "peer": format_address(vm.peer),
        "domain": vm.domain,
        "state": vm.state.value,
    }
    if vm.target is not None:
        entry["target"] = {
            "pool": vm.target.pool,
            "address": format_address(vm.target.address),
            "slots": vm.target.slots,
            "warmup": vm.target.warmup,
        }
        if vm.target.started is not None:
            entry["target"]["started"] = vm.target.started
    return entry


def _build_vm(entry: dict[str, Any]) -> Vm:
    target = entry.get("target")
    return Vm(
        VmId(entry["id"]),
        Role(entry["role"]),
        parse_address(entry["peer"]),
        DomainId(entry["domain"]),
        VmState(entry["state"]),
        None if target is None else _build_registration(target),
    )


def _build_registration(entry: dict[str, Any]) -> Registration:
    slots, warmup = entry["slots"], float(entry["warmup"])
    if not isinstance(slots, int) or not 0 < slots <= MAX_SLOTS:
        raise ValueError(f"slots is {slots!r}; expected 1 to {MAX_SLOTS}")
    if not 0 <= warmup <= MAX_WARMUP_S:
        raise ValueError(f"warmup is {warmup!r}; expected 0 to {MAX_WARMUP_S}")
    return Registration(
        PoolId(entry["pool"]),
        parse_address(entry["address"]),
        slots,
        warmup,
        _check_start(entry.get("started")),
    )


def _check_start(value: int | None) -> int | None:
    if value is None:
        return None
    if not isinstance(value, int) or not 0 <= value < 1 << 62:
        raise ValueError(f"started is {value!r}; expected 0 to 2**62 - 1")
    return value


def _check_number(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"found {value!r}; expected an integer")
    if not 0 <= value < 1 << 62:
        raise ValueError(f"found {value}; expected 0 to 2**62 - 1")
    return value


@lru_cache(MAX_CACHED_ENTRIES)
def _check_host(host: str) -> None:
    """Raises ValueError unless a host is an IPv4 address of one host.

    Host names are refused, because each datagram would resolve the name.
    """
    try:
        first = socket.inet_pton(socket.AF_INET, host)[0]
    except OSError:
        raise ValueError(f"{host!r} is no IPv4 address") from None
    if not 0 < first < _FIRST_MULTICAST:
        raise ValueError(f"{host} is no address of a single host")


def _check_port(port: int) -> None:
    if not 0 < port < 65_536:
        raise ValueError(f"port is {port}; expected 1 to 65535")


def _check_text(value: str) -> None:
    # A text that is printable can be encoded. It may be in messages and logs.
    if (
        not isinstance(value, str)
        or not value.isprintable()
        or not 0 < len(value.encode()) <= MAX_TEXT_BYTES
    ):
        raise ValueError(
            f"found {value!r:.60}; expected a printable text of 1 to "
            f"{MAX_TEXT_BYTES} bytes"
        )
