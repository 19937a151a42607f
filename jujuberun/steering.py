"""Choice of targets for packet flows, from what their agents report."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Any

import xxhash

from jujuberun.ids import Address, DomainId, PoolId, TargetId, VmState
from jujuberun.manifest import PoolShare
from jujuberun.members import Vm, VmList

# A start that no agent confirms for so long is offered to another target. A
# round trip between failure domains takes 2 ms, and a busy agent some more.
OFFER_TIMEOUT_S = 0.06
MISSES_TO_SUSPECT = 2  # offers in a row that nobody confirmed
SUSPECT_S = 1.0  # first suspicion; doubles with each one in a row
MAX_SUSPECT_S = 8.0
USUAL_SERVICE_S = 0.03  # of a target that reported no time yet
SLOW_RATIO = 2.0  # against the median of its pool; less is within the noise
WARMUP_RATIO = 1.6  # slowness of a target that has just started
# Part of the time left that a start may queue: targets differ in speed, and the
# time of their work varies by half.
QUEUE_SHARE = 0.5
COST_STEP_S = 0.005  # smaller differences of the expected wait are noise
# An agent that stops and starts again is away for about so long.
RESTART_S = 0.6
# Targets that left are still asked for the flows that they may hold.
FORMER_S = 60.0


@dataclass(slots=True)
class Candidate:
    """What one balancer believes of a target; times are monotonic.

    Attributes:
        id: id of its registration.
        agent: address that takes its packets.
        pool: pool that it serves.
        domain: its failure domain.
        slots: requests that it runs at the same time.
        leaving: it takes no new flows.
        warm_at: when its slow start ends.
        busy: flows that waited for its answer when its agent last reported.
        reported: when that was.
        offered: starts sent to it since then.
        service_time: seconds that an answer takes, as its agent reports.
        misses: offers in a row that were not confirmed.
        strikes: suspicions in a row.
        suspected_until: end of the suspicion.
        left: when it disappeared from the list, None while it stands there.
    """

    id: TargetId
    agent: Address
    pool: PoolId
    domain: DomainId
    slots: int
    leaving: bool
    warm_at: float
    seed: int
    busy: int = 0
    reported: float = -math.inf
    offered: int = 0
    service_time: float = 0.0
    misses: int = 0
    strikes: int = 0
    suspected_until: float = -math.inf
    left: float | None = None

    def find_age(self, now: float) -> float | None:
        """Returns seconds since its agent last reported, None if never."""
        if self.reported == -math.inf:
            return None
        return round(now - self.reported, 3)


class Steering:
    """Keeps the targets of all pools and chooses among them."""

    def __init__(self, domain: DomainId) -> None:
        """Args: failure domain of this balancer."""
        self._domain = domain
        self._candidates: dict[TargetId, Candidate] = {}
        self._pools: dict[PoolId, list[Candidate]] = {}
        self._by_agent: dict[Address, list[Candidate]] = {}

    def update(self, vm_list: VmList, now: float) -> None:
        """Takes a new list of registered targets.

        Args:
            vm_list: the list in force.
            now: seconds, monotonic.
        """
        for vm in vm_list.vms.values():
            if vm.target is not None:
                self._take(vm, now)
        for candidate in list(self._candidates.values()):
            if TargetId(candidate.id) in vm_list.vms:
                candidate.left = None
                continue
            if candidate.left is None:
                candidate.left = now
            if now - candidate.left > FORMER_S:
                del self._candidates[candidate.id]
        self._index()

    def find(self, target: TargetId) -> Candidate | None:
        """Returns a target that is or was listed lately."""
        return self._candidates.get(target)

    def find_by_agent(self, agent: Address) -> list[Candidate]:
        """Returns the targets whose packets an agent takes, newest first."""
        return self._by_agent.get(agent, [])

    def choose(
        self,
        pools: Iterable[PoolShare],
        key: bytes,
        excluded: Collection[TargetId],
        now: float,
        trust_all: bool = False,
    ) -> Candidate | None:
        """Returns the target that should take a new flow.

        The target with the least expected wait wins, then one in the own
        failure domain. A hash of the flow decides among equals, so that
        balancers do not all choose the same one.

        Args:
            pools: pools of the service with their weights.
            key: key of the flow.
            excluded: targets that cannot take it.
            now: seconds, monotonic.
            trust_all: whether a suspected target may be chosen.
        """
        pool = choose_pool(pools, key)
        usable = [
            candidate
            for candidate in self._pools.get(pool, ())
            if candidate.left is None
            and not candidate.leaving
            and candidate.id not in excluded
            and (trust_all or candidate.suspected_until <= now)
        ]
        if not usable:
            return None
        usual = _find_median(usable)
        return min(
            usable,
            key=lambda candidate: (
                self._estimate(candidate, usual, now),
                candidate.domain != self._domain,
                -_hash(key, candidate.seed),
            ),
        )

    def compute_room(self, candidate: Candidate, left: float) -> int:
        """Returns how many busy flows let a start be answered in time.

        Args:
            candidate: target that it would queue at.
            left: seconds that the caller still waits.
        """
        service = candidate.service_time or USUAL_SERVICE_S
        wait = QUEUE_SHARE * (left - service)
        return candidate.slots + max(0, int(candidate.slots * wait / service))

    def list_holders(
        self, pools: Collection[PoolId], key: bytes, now: float
    ) -> list[Candidate]:
        """Returns the targets that may hold a flow, the likeliest first.

        Args:
            pools: pools that the service has or had lately.
            key: key of the flow.
            now: seconds, monotonic.
        """
        found = [c for pool in pools for c in self._pools.get(pool, ())]
        found.sort(
            key=lambda candidate: (
                candidate.suspected_until > now,
                candidate.left is not None,
                candidate.domain != self._domain,
                -_hash(key, candidate.seed),
            )
        )
        return found

    def note_offer(self, candidate: Candidate) -> None:
        """Notes a start that was sent to a target."""
        candidate.offered += 1

    def note_report(
        self, candidate: Candidate, busy: int, service_time: float, now: float
    ) -> None:
        """Takes load and speed of a target from a message of its agent.

        Args:
            candidate: the target.
            busy: flows that wait for its answer.
            service_time: seconds that an answer takes, 0 if unknown.
            now: seconds, monotonic.
        """
        candidate.busy = busy
        candidate.service_time = service_time
        candidate.reported = now
        candidate.offered = 0
        candidate.misses = 0
        candidate.strikes = 0
        candidate.suspected_until = -math.inf

    def note_miss(self, candidate: Candidate, now: float) -> bool:
        """Notes an offer that nobody confirmed.

        Returns:
            Whether the target has become suspected by it.
        """
        candidate.misses += 1
        candidate.offered = max(0, candidate.offered - 1)
        if candidate.misses < MISSES_TO_SUSPECT:
            return False
        candidate.misses = 0
        hold = min(MAX_SUSPECT_S, SUSPECT_S * 2**candidate.strikes)
        candidate.strikes += 1
        candidate.suspected_until = now + hold
        return True

    def note_stop(self, candidate: Candidate, now: float) -> None:
        """Notes that the agent of a target is about to stop."""
        candidate.suspected_until = now + RESTART_S

    def note_pause(self) -> None:
        """Voids suspicions after a pause of this process."""
        for candidate in self._candidates.values():
            candidate.misses = 0
            candidate.strikes = 0
            candidate.suspected_until = -math.inf

    def describe(self, now: float) -> dict[str, Any]:
        """Returns all targets as JSON types."""
        return {
            candidate.id: {
                "pool": candidate.pool,
                "leaving": candidate.leaving,
                "left": candidate.left is not None,
                "busy": candidate.busy,
                "offered": candidate.offered,
                "service_time_s": round(candidate.service_time, 4),
                "suspected": candidate.suspected_until > now,
            }
            for candidate in self._candidates.values()
        }

    def _take(self, vm: Vm, now: float) -> None:
        target = vm.target
        name = TargetId(vm.id)
        held = self._candidates.get(name)
        if held is None or held.agent != vm.peer or held.pool != target.pool:
            self._candidates[name] = Candidate(
                name,
                vm.peer,
                target.pool,
                vm.domain,
                target.slots,
                vm.state is VmState.LEAVING,
                now + target.warmup,
                xxhash.xxh3_64_intdigest(vm.id.encode()),
            )
            return
        held.slots = target.slots
        held.leaving = vm.state is VmState.LEAVING
        held.warm_at = now + target.warmup

    def _index(self) -> None:
        self._pools = {}
        self._by_agent = {}
        for candidate in self._candidates.values():
            self._pools.setdefault(candidate.pool, []).append(candidate)
            self._by_agent.setdefault(candidate.agent, []).append(candidate)
        for candidates in self._by_agent.values():
            candidates.sort(key=lambda candidate: candidate.left is not None)

    def _estimate(
        self, candidate: Candidate, usual: float, now: float
    ) -> tuple[int, float]:
        """Returns expected wait in steps of COST_STEP_S, and load."""
        service = candidate.service_time or usual
        if now < candidate.warm_at:
            service *= WARMUP_RATIO
        # What was reported is worked off at the pace of the slots.
        done = (now - candidate.reported) * candidate.slots / service
        load = candidate.offered + max(0.0, candidate.busy - done)
        queued = max(0.0, load + 1 - candidate.slots) / candidate.slots
        cost = queued * service
        if service > SLOW_RATIO * usual:
            cost += service - usual
        return round(cost / COST_STEP_S), load / candidate.slots


def choose_pool(pools: Iterable[PoolShare], key: bytes) -> PoolId | None:
    """Returns the pool of a new flow, by the weights and a hash of its key."""
    shares = [share for share in pools if share.weight > 0]
    if not shares:
        return None
    if len(shares) == 1:
        return shares[0].pool
    total = sum(share.weight for share in shares)
    place = xxhash.xxh3_64_intdigest(key) % total
    for share in shares:
        place -= share.weight
        if place < 0:
            return share.pool
    return shares[-1].pool


def _hash(key: bytes, seed: int) -> int:
    return xxhash.xxh3_64_intdigest(key, seed=seed)


def _find_median(candidates: Collection[Candidate]) -> float:
    times = sorted(c.service_time for c in candidates if c.service_time)
    return times[len(times) // 2] if times else USUAL_SERVICE_S
