"""Packet flows that a balancer carries, and where it has sent them."""

from collections import OrderedDict
from dataclasses import dataclass, field

from jujuberun.frames import Frame, measure_distance
from jujuberun.ids import PoolId, ServiceId, TargetId
from jujuberun.manifest import PoolShare

# Packets that were bounced by all targets are tried anew after this time: a
# target may have been registered late.
FORGET_REFUSALS_S = 1.0


@dataclass(slots=True)
class Offer:
    """A start packet that was sent to a target.

    Attributes:
        target: the target.
        sent: when, seconds, monotonic.
        sequence: first sequence number of the target, None until its agent
            confirmed the start.
        missed: nobody confirmed it in time.
    """

    target: TargetId
    sent: float
    sequence: int | None = None
    missed: bool = False


@dataclass(slots=True)
class FlowEntry:
    """What a balancer knows of one flow.

    Attributes:
        key: of the flow.
        service: service that its address belongs to.
        pools: pools of the service when the flow began.
        used: time of its last packet, seconds, monotonic.
        begun: time of its first packet here.
        start: the start packet while it may be offered again.
        sequence: first sequence number of the caller.
        offers: targets that the start was sent to, in order.
        declined: targets that have no free slot for it.
        declines: how often they declined since it was held last.
        holds: how often it was held at the balancer.
        is_held: it waits there for its next offer.
        refused: targets that returned one of its packets.
        refused_at: when the last of them did.
        asked: targets that were sent packets while none is known to hold the
            flow.
        last: sequence numbers of the caller's last packet, own and
            acknowledged.
        ended: the start was refused towards the caller.
        objective: seconds in which the caller wants an answer.
        delay: seconds from the caller's first start packet to the one that
            came here first.
    """

    key: bytes
    service: ServiceId
    pools: tuple[PoolShare, ...]
    used: float
    begun: float
    start: bytes | None = None
    sequence: int = 0
    offers: list[Offer] = field(default_factory=list)
    declined: set[TargetId] = field(default_factory=set)
    declines: int = 0
    holds: int = 0
    is_held: bool = False
    refused: set[TargetId] = field(default_factory=set)
    refused_at: float = 0.0
    asked: list[TargetId] = field(default_factory=list)
    last: tuple[int, int] = (-1, -1)
    ended: bool = False
    objective: float = 0.0
    delay: float = 0.0

    @property
    def is_accepted(self) -> bool:
        """Whether an agent confirmed the start."""
        return any(offer.sequence is not None for offer in self.offers)

    @property
    def pool_ids(self) -> tuple[PoolId, ...]:
        """Ids of its pools."""
        return tuple(share.pool for share in self.pools)

    def compute_left(self, now: float) -> float:
        """Returns the seconds in which an answer is still in time."""
        return self.objective - self.delay - (now - self.begun)

    def find_offer(self, target: TargetId) -> Offer | None:
        """Returns the last offer to a target."""
        for offer in reversed(self.offers):
            if offer.target == target:
                return offer
        return None

    def choose_owner(self, frame: Frame) -> TargetId | None:
        """Returns the target that a later packet of the caller means.

        Two targets may have answered copies of the start. The caller goes on
        with one of them, and acknowledges the sequence numbers of that one.
        """
        open_offers = [o for o in self.offers if o.target not in self.refused]
        accepted = [o for o in open_offers if o.sequence is not None]
        if accepted:
            return min(
                accepted,
                key=lambda offer: measure_distance(
                    offer.sequence, frame.acknowledged
                ),
            ).target
        return open_offers[-1].target if open_offers else None

    def is_repeated(self, frame: Frame) -> bool:
        """Notes a packet; returns whether the caller has sent it before."""
        before, self.last = self.last, (frame.sequence, frame.acknowledged)
        return self.last == before and frame.size > 0

    def list_asked(self) -> list[TargetId]:
        """Returns the targets that were asked and may hold the flow."""
        return [target for target in self.asked if target not in self.refused]

    def note_refusal(self, target: TargetId, now: float) -> None:
        """Notes that a target returned a packet of the flow."""
        self.refused.add(target)
        self.refused_at = now

    def forget_refusals(self, now: float) -> None:
        """Lets targets be tried anew after FORGET_REFUSALS_S."""
        if self.refused and now - self.refused_at > FORGET_REFUSALS_S:
            self.refused.clear()
            self.asked.clear()


class FlowTable:
    """Entries by flow key, the ones used longest ago first."""

    def __init__(self, limit: int) -> None:
        """Args: flows that are held at most."""
        self._limit = limit
        self._entries: OrderedDict[bytes, FlowEntry] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of flows."""
        return len(self._entries)

    def find(self, key: bytes, now: float) -> FlowEntry | None:
        """Returns the entry of a flow and notes its use."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.used = now
            self._entries.move_to_end(key)
        return entry

    def add(self, entry: FlowEntry) -> None:
        """Adds or replaces an entry; the least recently used may go."""
        self._entries[entry.key] = entry
        self._entries.move_to_end(entry.key)
        while len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def expire(self, idle: float, now: float) -> None:
        """Removes entries without a packet for so many seconds."""
        while self._entries:
            entry = next(iter(self._entries.values()))
            if now - entry.used <= idle:
                return
            del self._entries[entry.key]
