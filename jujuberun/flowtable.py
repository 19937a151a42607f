"""Cache of packet flows at a balancer, with the targets tried for each."""

import math
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass, field

from jujuberun.frames import (
    NO_BUSY_LIMIT,
    Frame,
    compute_sequence_distance,
)
from jujuberun.ids import PoolId, ServiceId, TargetId, Urgency
from jujuberun.manifest import PoolShare
from jujuberun.overload.terms import StartTerms
from jujuberun.ownersearch.flow_search import (
    MAX_WINDOW_BYTES,
    FlowSearch,
    compute_advance,
)

# After this time without a bounce, all targets are tried again for a flow,
# because the target that holds it may have been registered late.
BOUNCE_RETENTION_S = 1.0


@dataclass(slots=True)
class Offer:
    """A start packet that was sent to a target.

    Attributes:
        target: id of the target.
        sent_at: time of sending, seconds, monotonic.
        sequence: first sequence number of the target, None until its
            agent confirms the start.
        timed_out: whether no agent confirmed the start in time.
        is_repeated: whether the start was sent to the target again.
        busy_limit: number of busy flows below which the agent accepts it.
        is_named: whether it carried the name of the target's pool.
        states_pool: whether the agent that confirmed the start stated its pool.
            Without it, the target may be another one at the same address.
    """

    target: TargetId
    sent_at: float
    sequence: int | None = None
    timed_out: bool = False
    is_repeated: bool = False
    busy_limit: int = NO_BUSY_LIMIT
    is_named: bool = False
    states_pool: bool = False


@dataclass(slots=True)
class FlowEntry:
    """State of one flow as a balancer knows it.

    Attributes:
        key: flow key: packed addresses of the caller and the service.
        service: id of the service at the flow's address.
        pools: pools of the service at the flow's first packet here.
        used_at: time of the last packet, seconds, monotonic.
        first_seen_at: time of the first packet at this balancer, seconds,
            monotonic.
        start_packet: the start packet while it may be offered again, else
            None.
        sequence: first sequence number of the caller; -1 if unknown.
        offers: offers of the start to targets, in order of sending.
        declined: targets whose agents declined the start since the balancer
            last held it.
        decline_count: declines since the balancer last held the start.
        hold_count: how often the balancer held the start.
        bounced_by: targets that bounced a packet of the flow, or whose agents
            answered that they do not hold it.
        bounced_at: time of the last bounce, seconds, monotonic.
        search: search for the target that holds the flow, None while it is
            known.
        last_sequences: sequence and acknowledged number of the caller's last
            packet.
        is_resent: whether the caller had sent the data of that packet before.
        unanswered_since: time of the first packet that requested a confirmation
            from the confirmed owner without an answer or progress of the
            caller since, infinite if there is none.
        was_reset: whether the caller was sent a reset for the start.
        urgency: urgency class of the service; lower values go first.
        objective: seconds within which the caller expects an answer.
        start_delay: seconds from the caller's first start packet to the copy
            that reached this balancer first.
        terms: what the start is worth, None if its service does not state it.
        generation: generation of the manifest that the pools are from.
    """

    key: bytes
    service: ServiceId
    pools: tuple[PoolShare, ...]
    used_at: float
    first_seen_at: float
    start_packet: bytes | None = None
    sequence: int = 0
    offers: list[Offer] = field(default_factory=list)
    declined: set[TargetId] = field(default_factory=set)
    decline_count: int = 0
    hold_count: int = 0
    bounced_by: set[TargetId] = field(default_factory=set)
    bounced_at: float = 0.0
    search: FlowSearch | None = None
    last_sequences: tuple[int, int] = (-1, -1)
    is_resent: bool = False
    unanswered_since: float = math.inf
    was_reset: bool = False
    urgency: int = Urgency.NORMAL
    objective: float = 0.0
    start_delay: float = 0.0
    terms: StartTerms | None = None
    generation: int = 0

    @property
    def began_elsewhere(self) -> bool:
        """Whether another balancer received the start."""
        return self.sequence < 0

    @property
    def is_accepted(self) -> bool:
        """Whether an agent has confirmed the start."""
        return any(offer.sequence is not None for offer in self.offers)

    @property
    def can_be_refused(self) -> bool:
        """Whether a refusal is true: no target has opened the start or may."""
        if any(o.target not in self.bounced_by for o in self.offers):
            return False
        if self.start_packet is None or self.was_reset:
            return False
        # The caller sent an earlier copy of such a start to another balancer,
        # where it may have been accepted.
        return not self.start_delay or bool(self.offers)

    @property
    def pool_ids(self) -> tuple[PoolId, ...]:
        """Ids of the pools."""
        return tuple(share.pool for share in self.pools)

    def compute_remaining(self, now: float) -> float:
        """Returns the seconds until the objective is missed."""
        return self.objective - self.start_delay - (now - self.first_seen_at)

    def find_offer(self, target: TargetId) -> Offer | None:
        """Returns the last offer to a target."""
        for offer in reversed(self.offers):
            if offer.target == target:
                return offer
        return None

    def list_unconfirmed_offers(self) -> list[Offer]:
        """Returns the offers that no agent confirmed and no target returned."""
        return [
            offer
            for offer in self.offers
            if offer.timed_out
            and offer.sequence is None
            and offer.target not in self.bounced_by
        ]

    def find_owner(self, frame: Frame) -> TargetId | None:
        """Returns the target that a packet after the start belongs to.

        Two targets may have answered copies of the start. The caller continues
        with one of them, and acknowledges the sequence numbers of that one.
        An offer alone does not show that its target holds the flow, unless it
        is the only one: the caller continues, so a target has answered it, and
        the confirmation of its agent is late. Returns None otherwise.
        """
        accepted = [
            offer
            for offer in self.offers
            if offer.sequence is not None
            and offer.target not in self.bounced_by
        ]
        if not accepted:
            return self._find_only_offer()
        if len(accepted) == 1:
            return accepted[0].target
        return min(
            accepted,
            key=lambda offer: compute_sequence_distance(
                offer.sequence, frame.acknowledged
            ),
        ).target

    def _find_only_offer(self) -> TargetId | None:
        """Returns the only target that can have answered the start, or None."""
        if self.began_elsewhere or self.start_delay or len(self.offers) != 1:
            return None
        target = self.offers[0].target
        return None if target in self.bounced_by else target

    def list_offered(self) -> list[TargetId]:
        """Returns the targets that may have taken the start, last one first."""
        return [
            offer.target
            for offer in reversed(self.offers)
            if offer.target not in self.bounced_by
        ]

    def record_answered_start(self, frame: Frame) -> None:
        """Records that a packet after the start shows an answer to the start.

        The start is not offered to further targets then: they would open the
        flow a second time.
        """
        if self.start_packet is None:
            return
        sent = compute_sequence_distance(self.sequence, frame.sequence)
        if sent <= MAX_WINDOW_BYTES:
            self.start_packet = None

    def record_and_check_repeat(self, frame: Frame) -> bool:
        """Records a packet; returns whether it repeats the one before."""
        before, self.last_sequences = (
            self.last_sequences,
            (frame.sequence, frame.acknowledged),
        )
        self.is_resent = (
            frame.size > 0
            and before[0] >= 0
            and not compute_advance(before[0], frame.sequence)
        )
        if frame.acknowledged != before[1] and compute_advance(
            before[1], frame.acknowledged
        ):
            self.unanswered_since = math.inf
        expects_answer = frame.size > 0 or frame.closes
        return self.last_sequences == before and expects_answer

    def record_decline(self, target: TargetId, is_limited: bool) -> None:
        """Records that an agent declined the start, which ends its offer.

        Args:
            target: id of the agent's target.
            is_limited: whether a limit of a cold target was exceeded. An agent
                that has restarted declines a repeated offer then, although the
                target may have opened the flow before, so the offer remains.
        """
        kept = []
        for offer in self.offers:
            if offer.target != target or offer.sequence is not None:
                kept.append(offer)
            elif is_limited and offer.is_repeated:
                offer.timed_out = True
                kept.append(offer)
        self.offers = kept
        self.declined.add(target)
        self.decline_count += 1

    def record_bounce(self, target: TargetId, now: float) -> None:
        """Records that a target bounced a packet of the flow."""
        self.bounced_by.add(target)
        self.bounced_at = now

    def drop_confirmations(self, targets: Collection[TargetId]) -> None:
        """Drops what agents confirmed that did not state their pools.

        Args:
            targets: targets that cannot be those of the agents.
        """
        self.offers = [
            offer
            for offer in self.offers
            if offer.target not in targets
            or offer.sequence is None
            or offer.states_pool
        ]

    def start_search(self, frame: Frame, data: bytes, now: float) -> FlowSearch:
        """Starts the search for the owner with a packet of the flow."""
        self.search = FlowSearch(frame, data, now)
        if self.unanswered_since < math.inf:
            # The confirmed owner may be alive until it was silent for longer.
            self.search.progress_at = self.unanswered_since
        return self.search

    def restart_search(self) -> None:
        """Lets the search ask all targets again."""
        self.bounced_by.clear()
        self.search.start_pass()

    def expire_bounces(self, now: float) -> None:
        """Allows targets to be tried again after BOUNCE_RETENTION_S."""
        if self.bounced_by and now - self.bounced_at > BOUNCE_RETENTION_S:
            self.bounced_by.clear()


class FlowTable:
    """Flow entries by key, in order of their last use."""

    def __init__(self, limit: int) -> None:
        """Creates an empty table.

        Args:
            limit: maximum number of entries.
        """
        self._limit = limit
        self._entries: OrderedDict[bytes, FlowEntry] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of flows."""
        return len(self._entries)

    def find(self, key: bytes, now: float) -> FlowEntry | None:
        """Returns the entry of a flow, or None, and marks it as used now."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.used_at = now
            self._entries.move_to_end(key)
        return entry

    def contains(self, entry: FlowEntry) -> bool:
        """Returns whether an entry has been neither replaced nor removed."""
        return self._entries.get(entry.key) is entry

    def add(self, entry: FlowEntry) -> None:
        """Adds or replaces an entry; evicts the least recently used if full."""
        self._entries[entry.key] = entry
        self._entries.move_to_end(entry.key)
        while len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def expire(self, idle: float, now: float) -> None:
        """Removes entries that were not used for more than idle seconds."""
        while self._entries:
            entry = next(iter(self._entries.values()))
            if now - entry.used_at <= idle:
                return
            del self._entries[entry.key]
