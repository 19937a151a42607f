"""The VM list in force, and who watches the platform."""

import dataclasses
import hashlib
import logging
import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Collection
from typing import Any

from anyio.abc import TaskStatus
from result import Err, Ok, Result

from jujuberun.containment.units import contain_errors
from jujuberun.delta import digest_document
from jujuberun.documents.recent_texts import RecentTexts
from jujuberun.errors import SourceError
from jujuberun.former_members import FormerMembers
from jujuberun.generations import OfferResult
from jujuberun.ids import Address, DomainId, Rank, Role, VmId, VmState
from jujuberun.vm_list import Vm, VmList, parse_vm_list

# With three watchers, two of a group may be down or get no answer from the
# platform. A fixed number keeps the reads independent of the size of the fleet.
WATCHERS_PER_GROUP = 3

logger = logging.getLogger(__name__)


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

    For some seconds after the platform has lost changes, the list is corrected
    by what was known before.

    Attributes:
        current: the list; before the first one, an empty list of index 0.
        text: text of the list, empty before the first one.
        text_digest: digest_document of the text, empty before the first one.
        is_watcher: whether this VM watches the platform.
        peers: peer addresses of all other VMs, including leaving ones.
        refused: reasons of the latest refusals, oldest first.
        counts: numbers of events by name.
    """

    name = "members"

    def __init__(
        self,
        vm: VmId,
        list_balancers: Callable[[], Collection[str]] = tuple,
    ) -> None:
        """Creates an empty store.

        Args:
            vm: id of this VM.
            list_balancers: returns the hosts of balancers that lists do not
                name. A target that is listed at such a host is left out: what
                is sent there would be taken for packets of callers.
        """
        self._list_balancers = list_balancers
        self.current = VmList()
        self.text = b""
        self.text_digest = b""
        self.is_watcher = False
        self.peers: tuple[Address, ...] = ()
        self.refused: deque[str] = deque(maxlen=20)
        self.counts: Counter[str] = Counter()
        self._vm = vm
        self._texts = RecentTexts()
        self._listeners: list[Callable[[VmList], None]] = []
        self._reported_conflict: tuple[int, bytes] = (0, b"")
        self._received_at = 0.0
        self._listed = VmList()
        self._former = FormerMembers()
        self._correction_end = math.inf

    @property
    def position(self) -> int:
        """Index of the current list, 0 before the first one."""
        return self.current.index

    @property
    def rank(self) -> Rank:
        """Index of the current list; it contains the epoch."""
        return self.current.index, 0

    @property
    def digest(self) -> bytes:
        """Digest of the text of the list, empty before the first one."""
        return self.text_digest

    def find_text(self, digest: bytes) -> bytes | None:
        """Returns the text with this digest, None if no recent list has it."""
        return self._texts.find(digest)

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
                self._record_refusal(f"{origin}: {error}")
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
        self._record_refusal(
            f"{origin}: index {self.position} is in use with other content"
        )

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Returns at once: this part has state but runs no task."""
        task_status.started()

    def expire_corrections(self, now: float) -> None:
        """Ends the corrections of the list whose time is over.

        Args:
            now: seconds, monotonic.
        """
        if now >= self._correction_end:
            self._put_in_force(now)

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns index, epoch, numbers of VMs, age in seconds and refusals."""
        return {
            "index": self.position,
            "epoch": self.current.epoch,
            "listed_vms": len(self._listed.vms),
            "vms": len(self.current.vms),
            "watches_platform": self.is_watcher,
            "held_for_s": (
                round(now - self._received_at, 3) if self.text else None
            ),
            "refused": list(self.refused)[-5:],
            "counts": dict(self.counts),
        }

    def _record_refusal(self, text: str) -> None:
        self.counts["refused"] += 1
        self.refused.append(text)
        logger.error("members: VM list refused: %s", text)

    def _replace_list(self, vm_list: VmList, data: bytes, now: float) -> None:
        if vm_list.epoch > self.current.epoch and self.text:
            logger.info(
                "members: the platform lost changes: epoch %d at index %d "
                "follows epoch %d at index %d",
                vm_list.epoch,
                vm_list.index,
                self.current.epoch,
                self.current.index,
            )
        if vm_list.ignored:
            self.counts["ignored"] += vm_list.ignored
            logger.warning(
                "members: %d VMs of the list at index %d ignored: they are "
                "malformed",
                vm_list.ignored,
                vm_list.index,
            )
        self._former.record_list(self.current, vm_list, now)
        self._listed = vm_list
        self.text = data
        self.text_digest = self._texts.add(data)
        self._received_at = now
        self._put_in_force(now)

    def _leave_out_balancers(self, vm_list: VmList) -> VmList:
        balancers = self._list_balancers()
        vms = {
            name: vm
            for name, vm in vm_list.vms.items()
            if _is_usable(vm, balancers)
        }
        left_out = len(vm_list.vms) - len(vms)
        if not left_out:
            return vm_list
        logger.warning(
            "members: %d targets at addresses of balancers left out at index "
            "%d",
            left_out,
            vm_list.index,
        )
        return dataclasses.replace(vm_list, vms=vms)

    def _put_in_force(self, now: float) -> None:
        self.current = self._leave_out_balancers(
            self._former.correct(self._listed, now)
        )
        self._correction_end = self._former.find_next_end(now)
        self.is_watcher = self._vm in choose_watchers(self.current)
        others = (vm for vm in self.current.vms.values() if vm.id != self._vm)
        self.peers = tuple(vm.peer for vm in others)
        for listener in self._listeners:
            with contain_errors("change of the VM list", self.counts):
                listener(self.current)


def _is_usable(vm: Vm, balancers: Collection[str]) -> bool:
    # What is sent to an agent at the host of a balancer does not reach it.
    return vm.role is not Role.AGENT or vm.peer[0] not in balancers


def _hash_id(vm: VmId) -> bytes:
    return hashlib.blake2b(vm.encode(), digest_size=8).digest()
