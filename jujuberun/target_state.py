"""State of a target as one balancer knows it, and the order of targets."""

import heapq
import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import xxhash

from jujuberun.draining.drains import Drains
from jujuberun.ids import Address, DomainId, PoolId, TargetId
from jujuberun.manifest import PoolShare


@dataclass(slots=True)
class TargetState:
    """State of a target as one balancer knows it; times are monotonic.

    Attributes:
        id: id of the target, which is also the id of its VM.
        agent: address at which the agent receives the target's packets.
        pool: pool that the target serves.
        domain: failure domain of the target.
        slots: requests that the target runs at the same time.
        leaving: whether the target is leaving and takes no new flows.
        warmup_until: end of the slow start.
        hash_seed: seed for the hash that ranks targets for a flow.
        drains: the failure domains that are drained.
        busy: flows that waited for an answer at the agent's last report.
        reported_at: time of the agent's last report.
        unreported_offers: offers to the target since that report.
        service_time: seconds per answer, as reported by the agent; 0 if
            unknown.
        unconfirmed_offers: consecutive offers that were not confirmed.
        suspicions: consecutive suspicions.
        suspected_until: end of the current suspicion.
        unanswered_since: time of the first packet in search of a flow's owner
            since the agent last sent anything, infinite if there was none.
        inquired_at: time of the last such packet.
        used_at: time of the last packet of a flow that the target is known to
            hold.
        removed_at: time at which the target disappeared from the list of
            registered targets, None while it is registered.
        reads_pool: whether the agent reads the names of pools in starts, None
            if unknown. Agents of the version before compare tags only.
        named_until: time until which the agent gets no start without a name.
        shares_tag: whether another pool with the same tag has a registered
            target at the agent's address.
        started: start of the target, ms by the wall clock of its VM; None if
            unknown.
    """

    id: TargetId
    agent: Address
    pool: PoolId
    domain: DomainId
    slots: int
    leaving: bool
    warmup_until: float
    hash_seed: int
    drains: Drains
    busy: int = 0
    reported_at: float = -math.inf
    unreported_offers: int = 0
    service_time: float = 0.0
    unconfirmed_offers: int = 0
    suspicions: int = 0
    suspected_until: float = -math.inf
    unanswered_since: float = math.inf
    inquired_at: float = -math.inf
    used_at: float = -math.inf
    removed_at: float | None = None
    reads_pool: bool | None = None
    named_until: float = -math.inf
    shares_tag: bool = False
    started: int | None = None

    @property
    def is_drained(self) -> bool:
        """Whether the target's failure domain is drained."""
        return self.domain in self.drains.domains

    @property
    def takes_starts(self) -> bool:
        """Whether new flows may open at the target, as far as is known."""
        return (
            self.removed_at is None
            and not self.leaving
            and self.domain not in self.drains.domains
        )

    def record_inquiry(self, now: float) -> None:
        """Records a packet that the agent or its target has to answer."""
        self.unanswered_since = min(self.unanswered_since, now)
        self.inquired_at = now

    def compute_report_age(self, now: float) -> float | None:
        """Returns seconds since the agent's last report, None if never."""
        if self.reported_at == -math.inf:
            return None
        return round(now - self.reported_at, 3)


def rank_targets(
    candidates: Collection[TargetState], key: bytes, count: int
) -> list[TargetState]:
    """Returns the first targets in the order of a hash of the flow's key.

    All balancers compute the same order.
    """
    compute = xxhash.xxh3_64_intdigest
    hashes = [
        (compute(key, candidate.hash_seed), index)
        for index, candidate in enumerate(candidates)
    ]
    ordered = (
        heapq.nlargest(count, hashes)
        if count < len(hashes)
        else sorted(hashes, reverse=True)
    )
    candidates = list(candidates)
    return [candidates[index] for _, index in ordered]


def choose_pool(pools: Iterable[PoolShare], key: bytes) -> PoolId | None:
    """Returns a pool for a new flow, by weight and a hash of the flow's key."""
    shares = [share for share in pools if share.weight > 0]
    if not shares:
        return None
    if len(shares) == 1:
        return shares[0].pool
    total = sum(share.weight for share in shares)
    position = xxhash.xxh3_64_intdigest(key) % total
    for share in shares:
        position -= share.weight
        if position < 0:
            return share.pool
    return shares[-1].pool
