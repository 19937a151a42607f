"""The platform's list of live and leaving VMs."""

import json
from dataclasses import dataclass, field

from result import Err, Ok, Result

from jujuberun.errors import SourceError
from jujuberun.ids import Address, DomainId, Role, VmId, VmState
from jujuberun.manifest import format_address, parse_address


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM that runs a daemon.

    Attributes:
        id: name in the platform.
        role: role of its daemon.
        peer: address for messages of other daemons.
        domain: failure domain.
        state: live or leaving.
    """

    id: VmId
    role: Role
    peer: Address
    domain: DomainId
    state: VmState


@dataclass(frozen=True, slots=True)
class VmList:
    """The list at one index of the platform.

    Attributes:
        index: grows at each change.
        vms: by id.
    """

    index: int = 0
    vms: dict[VmId, Vm] = field(default_factory=dict)


def parse_vm_list(data: bytes) -> Result[VmList, SourceError]:
    """Parses the platform's VM list.

    Args:
        data: JSON text {"index": n, "vms": [{"id", "role", "peer", "domain",
            "state"}]}.
    """
    try:
        document = json.loads(data)
        vms = [_build_vm(entry) for entry in document["vms"]]
        return Ok(VmList(int(document["index"]), {vm.id: vm for vm in vms}))
    except (KeyError, TypeError, ValueError) as error:
        return Err(SourceError("parse VM list", "", f"malformed: {error!r}"))


def dump_vm_list(vm_list: VmList) -> bytes:
    """Returns the JSON text of a VM list."""
    vms = [
        {
            "id": vm.id,
            "role": vm.role.value,
            "peer": format_address(vm.peer),
            "domain": vm.domain,
            "state": vm.state.value,
        }
        for vm in vm_list.vms.values()
    ]
    document = {"index": vm_list.index, "vms": vms}
    return json.dumps(document, separators=(",", ":")).encode()


def _build_vm(entry: dict[str, str]) -> Vm:
    return Vm(
        VmId(entry["id"]),
        Role(entry["role"]),
        parse_address(entry["peer"]),
        DomainId(entry["domain"]),
        VmState(entry["state"]),
    )
