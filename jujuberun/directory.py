"""Directory of flow owners, kept by home and backup agents."""

from enum import Enum
from typing import Any

from jujuberun.ids import Address, FlowId, ServiceId, TargetId

ENTRY_EXPIRY_S = 300.0  # after the last registration
CLAIM_EXPIRY_S = 10.0  # for granted claims that no registration confirms
REGISTRATION_PERIOD_S = 120.0  # owners register all their flows this often


class RegistrationOutcome(Enum):
    """Result of a registration."""

    RECORDED = "recorded"
    CONFLICT = "conflict"


class OwnerEntry:
    """The owner of a flow, as a directory knows it.

    Attributes:
        owner: id of the owning target.
        agent: peer address of the owner's agent.
        service_id: service that the flow belongs to.
        created: wall clock in ms at which the owner created the flow, 0 until
            the owner has registered it here.
        expires: when the entry expires, seconds, monotonic.
    """

    __slots__ = ("agent", "created", "expires", "owner", "service_id")

    def __init__(
        self,
        owner: TargetId,
        agent: Address,
        service_id: ServiceId,
        created: int,
        expires: float,
    ) -> None:
        self.owner = owner
        self.agent = agent
        self.service_id = service_id
        self.created = created
        self.expires = expires


class Directory:
    """Owners of flows by flow id.

    Entries are soft state: they expire unless owners register their flows
    again.
    """

    def __init__(self) -> None:
        self._entries: dict[FlowId, OwnerEntry] = {}

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)

    def find(self, flow: FlowId, now: float) -> OwnerEntry | None:
        """Returns the entry of a flow, or None if it is absent or expired.

        Args:
            flow: flow id.
            now: seconds, monotonic.
        """
        entry = self._entries.get(flow)
        if entry is None:
            return None
        if entry.expires <= now:
            del self._entries[flow]
            return None
        return entry

    def record_claim(
        self,
        flow: FlowId,
        claimant: TargetId,
        agent: Address,
        service_id: ServiceId,
        now: float,
    ) -> None:
        """Records a granted claim, until the claimant registers the flow."""
        self._entries[flow] = OwnerEntry(
            claimant, agent, service_id, 0, now + CLAIM_EXPIRY_S
        )

    def record_owner(
        self,
        flow: FlowId,
        owner: TargetId,
        agent: Address,
        service_id: ServiceId,
        now: float,
    ) -> None:
        """Records an owner that another agent has reported."""
        self._entries[flow] = OwnerEntry(
            owner, agent, service_id, 0, now + ENTRY_EXPIRY_S
        )

    def register(
        self,
        flow: FlowId,
        owner: TargetId,
        agent: Address,
        service_id: ServiceId,
        created: int,
        now: float,
    ) -> tuple[RegistrationOutcome, OwnerEntry]:
        """Records an owner's registration of a flow.

        If two owners register a flow, the one that created it earlier keeps
        it. If both created it at the same time, the one with the lower id
        keeps it. By this rule, home and backup choose the same owner.

        Args:
            flow: flow id.
            owner: id of the owning target.
            agent: peer address of the owner's agent.
            service_id: service that the flow belongs to.
            created: wall clock in ms at which the owner created the flow.
            now: seconds, monotonic.

        Returns:
            RECORDED with the new entry, or CONFLICT with the entry of the
            losing owner, which should release the flow.
        """
        new = OwnerEntry(
            owner, agent, service_id, created, now + ENTRY_EXPIRY_S
        )
        old = self.find(flow, now)
        if old is None or old.owner == owner or old.created == 0:
            self._entries[flow] = new
            return RegistrationOutcome.RECORDED, new
        if (old.created, old.owner) <= (created, owner):
            return RegistrationOutcome.CONFLICT, new
        self._entries[flow] = new
        return RegistrationOutcome.CONFLICT, old

    def release(self, flow: FlowId, owner: TargetId) -> None:
        """Removes the entry of a flow if it names this owner."""
        entry = self._entries.get(flow)
        if entry is not None and entry.owner == owner:
            del self._entries[flow]

    def expire(self, now: float) -> int:
        """Removes expired entries and returns their number.

        Args:
            now: seconds, monotonic.
        """
        gone = [f for f, e in self._entries.items() if e.expires <= now]
        for flow in gone:
            del self._entries[flow]
        return len(gone)

    def dump_state(self) -> dict[str, Any]:
        """Returns the number of entries by owner."""
        owners: dict[str, int] = {}
        for entry in self._entries.values():
            owners[entry.owner] = owners.get(entry.owner, 0) + 1
        return {"entries": len(self._entries), "by_owner": owners}
