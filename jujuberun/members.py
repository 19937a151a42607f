"""The platform's list of live and leaving VMs."""

import hashlib
import json
import logging
import socket
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from anyio.abc import TaskStatus
from result import Err, Ok, Result

from jujuberun.addresses import format_address, parse_address
from jujuberun.delta import MAX_DOCUMENT_BYTES, digest_document
from jujuberun.errors import SourceError
from jujuberun.generations import OfferResult
from jujuberun.ids import Address, DomainId, PoolId, Role, VmId, VmState

# With three watchers, two of a group may be down or get no answer from the
# platform. A fixed number keeps the reads independent of the size of the fleet.
WATCHERS_PER_GROUP = 3
MAX_SLOTS = 10_000  # the maximum of slots in manifest.schema.json
MAX_WARMUP_S = 86_400.0
_MAX_TEXTS = 8  # number of recent texts that are kept as bases of deltas

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Registration:
    """A target that registers itself in a pool, as the VM list describes it.

    Attributes:
        pool: the pool that the target serves.
        address: where the application listens, as its agent reaches it.
        slots: requests that it runs at the same time.
        warmup: seconds for which it is still slow after its start, counted
            from the receipt of the VM list.
    """

    pool: PoolId
    address: Address
    slots: int
    warmup: float


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
        index: version number, which grows at each change.
        vms: VMs by id.
    """

    index: int = 0
    vms: dict[VmId, Vm] = field(default_factory=dict)


def parse_vm_list(data: bytes) -> Result[VmList, SourceError]:
    """Parses the platform's VM list.

    Args:
        data: JSON text {"index": n, "vms": [{"id", "role", "peer", "domain",
            "state", "target"}]}; target is optional: {"pool", "address",
            "slots", "warmup"}.

    Returns:
        Ok with the list, or Err if the text is malformed or too large.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return _refuse(f"the list has more than {MAX_DOCUMENT_BYTES} bytes")
    try:
        document = json.loads(data)
        vms = [_build_vm(entry) for entry in document["vms"]]
        index = int(document["index"])
    except RecursionError:
        return _refuse("malformed: nested too deeply")
    except (AttributeError, KeyError, OSError, TypeError, ValueError) as error:
        return _refuse(f"malformed: {error!r}")
    if not 0 <= index < 1 << 62:
        return _refuse(f"index is {index}; expected 0 to 2**62 - 1")
    return Ok(VmList(index, {vm.id: vm for vm in vms}))


def dump_vm_list(vm_list: VmList) -> bytes:
    """Returns the JSON text of a VM list."""
    vms = [_dump_vm(vm) for vm in vm_list.vms.values()]
    document = {"index": vm_list.index, "vms": vms}
    return json.dumps(document, separators=(",", ":")).encode()


def choose_watchers(vm_list: VmList) -> frozenset[VmId]:
    """Returns the VMs that watch the platform.

    They are the first WATCHERS_PER_GROUP live VMs of each failure domain and
    role, in the order of a hash of their ids, so that all processes choose the
    same VMs. The hash spreads them over racks if the ids of a rack share a
    prefix.
    """
    groups: dict[tuple[DomainId, Role], list[VmId]] = defaultdict(list)
    for vm in vm_list.vms.values():
        if vm.state is VmState.LIVE:
            groups[vm.domain, vm.role].append(vm.id)
    watchers: set[VmId] = set()
    for group in groups.values():
        watchers.update(sorted(group, key=_hash_id)[:WATCHERS_PER_GROUP])
    return frozenset(watchers)


class Members:
    """Holds the newest VM list; only a list of a higher index replaces it.

    Attributes:
        current: the list; before the first one, an empty list of index 0.
        text: text of the list, empty before the first one.
        text_digest: digest_document of the text, empty before the first one.
        is_watcher: whether this VM watches the platform.
        peers: peer addresses of all other VMs, including leaving ones.
        refused: reasons of the latest refusals, oldest first.
    """

    name = "members"

    def __init__(self, vm: VmId) -> None:
        """Creates an empty store.

        Args:
            vm: id of this VM.
        """
        self.current = VmList()
        self.text = b""
        self.text_digest = b""
        self.is_watcher = False
        self.peers: tuple[Address, ...] = ()
        self.refused: deque[str] = deque(maxlen=20)
        self._vm = vm
        self._texts: deque[tuple[bytes, bytes]] = deque(maxlen=_MAX_TEXTS)
        self._listeners: list[Callable[[VmList], None]] = []
        self._reported_conflict: tuple[int, bytes] = (0, b"")
        self._received_at = 0.0

    @property
    def position(self) -> int:
        """Index of the current list, 0 before the first one."""
        return self.current.index

    @property
    def digest(self) -> bytes:
        """Digest of the text of the list, empty before the first one."""
        return self.text_digest

    def find_text(self, digest: bytes) -> bytes | None:
        """Returns the text with this digest, None if no recent list has it."""
        for known_digest, text in self._texts:
            if known_digest == digest:
                return text
        return None

    def subscribe(self, listener: Callable[[VmList], None]) -> None:
        """Calls the listener with the current list and each later one."""
        self._listeners.append(listener)
        if self.text:
            listener(self.current)

    def offer(
        self, data: bytes, origin: str, now: float
    ) -> Result[OfferResult, SourceError]:
        """Replaces the current list if the offered one is valid and newer.

        Args:
            data: text of the list, see parse_vm_list.
            origin: "platform" or the address of a peer.
            now: seconds, monotonic.

        Returns:
            Ok with the result, or Err if the list is malformed or has the
            index of the current list but other content.
        """
        if data == self.text:
            return Ok(OfferResult.KNOWN)
        match parse_vm_list(data):
            case Err(error):
                self.refused.append(f"{origin}: {error}")
                logger.error("members: VM list refused: %s: %s", origin, error)
                return Err(error)
            case Ok(vm_list):
                pass
        if self.text and vm_list.index <= self.current.index:
            if vm_list.index < self.current.index:
                return Ok(OfferResult.OLDER)
            self.report_conflict(digest_document(data), origin)
            text = f"index {vm_list.index} is in use with other content"
            return Err(SourceError("accept VM list", origin, text))
        self._replace_list(vm_list, data, now)
        return Ok(OfferResult.IN_FORCE)

    def report_conflict(self, digest: bytes, origin: str) -> None:
        """Reports a peer that has other content for the current index.

        A repeated report of the same digest is ignored.

        Args:
            digest: digest of the peer's text.
            origin: address of the peer.
        """
        if (self.position, digest) == self._reported_conflict:
            return
        self._reported_conflict = (self.position, digest)
        text = f"{origin}: index {self.position} is in use with other content"
        self.refused.append(text)
        logger.error("members: VM list refused: %s", text)

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Returns at once: this part has state but runs no task."""
        task_status.started()

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns index, number of VMs, age in seconds and refusals."""
        return {
            "index": self.position,
            "vms": len(self.current.vms),
            "watches_platform": self.is_watcher,
            "held_for_s": (
                round(now - self._received_at, 3) if self.text else None
            ),
            "refused": list(self.refused)[-5:],
        }

    def _replace_list(self, vm_list: VmList, data: bytes, now: float) -> None:
        self.current = vm_list
        self.text = data
        self.text_digest = digest_document(data)
        self._texts.append((self.text_digest, data))
        self._received_at = now
        self.is_watcher = self._vm in choose_watchers(vm_list)
        others = (vm for vm in vm_list.vms.values() if vm.id != self._vm)
        self.peers = tuple(vm.peer for vm in others)
        for listener in self._listeners:
            listener(vm_list)


def _hash_id(vm: VmId) -> bytes:
    return hashlib.blake2b(vm.encode(), digest_size=8).digest()


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
    return entry


def _build_vm(entry: dict[str, Any]) -> Vm:
    target = entry.get("target")
    return Vm(
        VmId(_check_text(entry["id"])),
        Role(entry["role"]),
        _check_address(entry["peer"]),
        DomainId(_check_text(entry["domain"])),
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
        PoolId(_check_text(entry["pool"])),
        _check_address(entry["address"]),
        slots,
        warmup,
    )


def _check_address(value: str) -> Address:
    address = parse_address(value)
    # Host names are refused, because each datagram would resolve the name.
    socket.inet_pton(socket.AF_INET, address[0])
    if not 0 < address[1] < 65_536:
        raise ValueError(f"port is {address[1]}; expected 1 to 65535")
    return address


def _check_text(value: str) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"found {value!r}; expected a text that is not empty")
    return value
