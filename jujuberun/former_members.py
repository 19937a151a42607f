"""What a process still believes of VMs after the platform has lost changes.

A platform that comes back from a copy lists VMs as they were some seconds ago,
until they have reported themselves again. For this short time, what a process
knew before corrects the list.
"""

import dataclasses
import math
from dataclasses import dataclass

from jujuberun.ids import VmId, VmState
from jujuberun.vm_list import Vm, VmList

# VMs that still exist have reported themselves again about two seconds after
# the platform is back.
REPORT_AGAIN_S = 2.5
# The copy's entry of a VM that has left lapses after three heartbeats, which
# take up to 2 s each.
LAPSE_S = 6.0
# The platform may come back from a copy that is at most this old.
MAX_COPY_AGE_S = 60.0


@dataclass(slots=True)
class FormerMembers:
    """Corrects VM lists of a new epoch by what was known before it began.

    Attributes:
        known: VMs of the former epoch that the new one has not confirmed.
        gone: VMs that the first list of the epoch contains, although they had
            left before.
        report_until: time until which a live VM of `known` is kept, seconds,
            monotonic.
        lapse_until: time until which a VM of `known` is kept leaving and a VM
            of `gone` is left out, seconds, monotonic.
    """

    known: dict[VmId, Vm] = dataclasses.field(default_factory=dict)
    gone: frozenset[VmId] = frozenset()
    report_until: float = -math.inf
    lapse_until: float = -math.inf
    _removed_at: dict[VmId, float] = dataclasses.field(default_factory=dict)

    def record_list(self, before: VmList, after: VmList, now: float) -> None:
        """Records that a list came into force.

        Args:
            before: the list that it replaces, as it was corrected.
            after: the list.
            now: seconds, monotonic.
        """
        if now >= self.lapse_until:
            self.known, self.gone = {}, frozenset()
        if after.epoch > before.epoch and before.vms:
            self._begin_epoch(before, after, now)
        else:
            self.gone &= after.vms.keys()
            present = after.vms.keys() | self.known.keys()
            for name in before.vms.keys() - present:
                self._removed_at[name] = now
        self.known = {
            name: vm
            for name, vm in self.known.items()
            if not _is_confirmed(vm, after)
        }
        self._removed_at = {
            name: at
            for name, at in self._removed_at.items()
            if now - at <= MAX_COPY_AGE_S
            and (name not in after.vms or name in self.gone)
        }

    def correct(self, listed: VmList, now: float) -> VmList:
        """Returns the list with what is still believed from before.

        VMs that are missing are kept unless another VM has their address, VMs
        that were leaving still leave, and VMs that had left stay out.

        Args:
            listed: the list, as the platform published it.
            now: seconds, monotonic.
        """
        vms = listed.vms
        if now < self.lapse_until and self.gone:
            vms = {
                name: vm for name, vm in vms.items() if name not in self.gone
            }
        addresses = {vm.peer for vm in vms.values()}
        vms = vms | {
            name: vm
            for name, vm in self.known.items()
            if now < self._find_end(vm)
            and (name in vms or vm.peer not in addresses)
        }
        return dataclasses.replace(listed, vms=vms)

    def find_next_end(self, now: float) -> float:
        """Returns when a correction ends next, infinite if there is none."""
        ends = [self._find_end(vm) for vm in self.known.values()]
        if self.gone:
            ends.append(self.lapse_until)
        return min((end for end in ends if end > now), default=math.inf)

    def _find_end(self, vm: Vm) -> float:
        """Returns until when a VM of `known` is kept."""
        if vm.state is VmState.LEAVING:
            return self.lapse_until
        return self.report_until

    def _begin_epoch(self, before: VmList, after: VmList, now: float) -> None:
        self.known = dict(before.vms)
        self.gone = frozenset(self._removed_at.keys() & after.vms.keys())
        self.report_until = now + REPORT_AGAIN_S
        self.lapse_until = now + LAPSE_S


def _is_confirmed(known: Vm, listed: VmList) -> bool:
    vm = listed.vms.get(known.id)
    if vm is None:
        return False
    # A VM that is leaving does not become live again.
    return vm.state is VmState.LEAVING or known.state is VmState.LIVE
