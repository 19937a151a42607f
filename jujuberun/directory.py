"""Directory of flow owners that home and backup agents keep."""

from enum import Enum
from typing import Any

from jujuberun.ids import Address, FlowId, ServiceId, TargetId

EXPIRY_S = 300.0  # entries that no owner refreshes
GRANT_S = 10.0  # claims that no registration confirms
REFRESH_S = 120.0  # period at which owners register all their flows


class Verdict(Enum):
    """What became of a registration."""

    RECORDED = "recorded"
    CONFLICT = "conflict"


class Entry:
    """Who owns a flow.

    Attributes:
        owner: id of the owning target.
        agent: peer address of the owner's agent.
        service_id: service that the flow belongs to.
        created: wall clock in ms at which the owner created the flow, 0 for a
            claim that was granted and is not confirmed yet.
        expires: seconds, monotonic.
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
    """Soft state: owners register flows, and entries expire without them."""

    def __init__(self) -> None:
        self._entries: dict[FlowId, Entry] = {}

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)

    def find(self, flow: FlowId, now: float) -> Entry | None:
        """Returns the entry of a flow that has not expired, or None.

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

    def grant(
        self,
        flow: FlowId,
        claimant: TargetId,
        agent: Address,
        service_id: ServiceId,
        now: float,
    ) -> None:
        """Records that a claimant may own a flow, until it registers it."""
        self._entries[flow] = Entry(
            claimant, agent, service_id, 0, now + GRANT_S
        )

    def learn(
        self,
        flow: FlowId,
        owner: TargetId,
        agent: Address,
        service_id: ServiceId,
        now: float,
    ) -> None:
        """Records an owner that another agent named."""
        self._entries[flow] = Entry(owner, agent, service_id, 0, now + EXPIRY_S)

    def register(
        self,
        flow: FlowId,
        owner: TargetId,
        agent: Address,
        service_id: ServiceId,
        created: int,
        now: float,
    ) -> tuple[Verdict, Entry]:
        """Records an owner's registration.

        Of two owners the one that created the flow earlier stays, then the
        one with the lower id, so that every home decides alike.

        Args:
            flow: flow id.
            owner: id of the owning target.
            agent: peer address of the owner's agent.
            service_id: service that the flow belongs to.
            created: wall clock in ms at which the owner created it.
            now: seconds, monotonic.

        Returns:
            RECORDED with the new entry, or CONFLICT with the entry of the
            owner that loses, which should release the flow.
        """
        new = Entry(owner, agent, service_id, created, now + EXPIRY_S)
        old = self.find(flow, now)
        if old is None or old.owner == owner or old.created == 0:
            self._entries[flow] = new
            return Verdict.RECORDED, new
        if (old.created, old.owner) <= (created, owner):
            return Verdict.CONFLICT, new
        self._entries[flow] = new
        return Verdict.CONFLICT, old

    def release(self, flow: FlowId, owner: TargetId) -> None:
        """Forgets a flow, if this owner has it."""
        entry = self._entries.get(flow)
        if entry is not None and entry.owner == owner:
            del self._entries[flow]

    def expire(self, now: float) -> int:
        """Drops expired entries and returns their number.

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
