"""Selection of targets for packet flows, based on reports of their agents.

A start is the packet that opens a flow. A start that was sent to a target is an
offer to that target.
"""

import math
from collections.abc import Collection, Iterable
from typing import Any

import xxhash

from jujuberun.addresses import format_address
from jujuberun.draining.drains import Drains
from jujuberun.ids import Address, DomainId, PoolId, TargetId, VmState
from jujuberun.manifest import PoolShare
from jujuberun.poolcheck.shared_tags import find_shared_tags
from jujuberun.target_state import TargetState, choose_pool, rank_targets
from jujuberun.vm_list import Vm, VmList

# Consecutive unconfirmed offers after which a target is suspected.
OFFERS_TO_SUSPECT = 2
# Each consecutive suspicion lasts twice as long as the one before.
FIRST_SUSPICION_S = 1.0
MAX_SUSPICION_S = 8.0
# Service time assumed for a target that has not reported one. A comparison with
# other targets assumes the median of those that have reported one.
DEFAULT_SERVICE_TIME_S = 0.03
# A target is slow when its service time exceeds the median of its pool by this
# factor. Smaller differences may be random.
SLOW_RATIO = 2.0
# Factor by which the service time of a target is longer during its slow start.
WARMUP_RATIO = 1.6
# Maximum fraction of the remaining time, without the service time, that a start
# may wait in a target's queue. The rest is kept in reserve, because targets
# differ in speed and their service time varies by half.
MAX_QUEUE_SHARE = 0.5
# Expected waits are rounded to multiples of this step, because smaller
# differences may be random.
COST_STEP_S = 0.005
# A flow has this many likely targets, by a hash of its key. A new flow goes to
# the least loaded of them, so that another balancer that receives its packets
# finds its target in one step, however many targets there are.
LIKELY_TARGETS = 6
# A new flow whose likely targets are all busy goes to one of this many more
# groups of as many targets.
MAX_FURTHER_GROUPS = 2
MEDIAN_RETENTION_S = 0.1
# Time for which an agent is unreachable while it restarts.
AGENT_RESTART_S = 0.6
# A target that is no longer registered may still hold flows, so packets are
# sent to it for this long, and longer while flows at it are in use.
REMOVED_TARGET_RETENTION_S = 60.0


class Steering:
    """Tracks the targets of all pools and selects one for each new flow.

    Attributes:
        listed_at: time of the first list of targets, seconds, monotonic;
            infinite before.
        drains: the failure domains that take no new flows.
    """

    def __init__(self, domain: DomainId, drains: Drains) -> None:
        """Starts without targets.

        Args:
            domain: failure domain of this balancer.
            drains: the failure domains that take no new flows.
        """
        self.listed_at = math.inf
        self.drains = drains
        self._domain = domain
        self._candidates: dict[TargetId, TargetState] = {}
        self._pools: dict[PoolId, list[TargetState]] = {}
        self._by_agent: dict[Address, list[TargetState]] = {}
        self._medians: dict[PoolId | None, tuple[float, float]] = {}

    def update(self, vm_list: VmList, now: float) -> None:
        """Applies a new list of registered targets.

        Args:
            vm_list: the list in force.
            now: seconds, monotonic.
        """
        self.listed_at = min(now, self.listed_at)
        for vm in vm_list.vms.values():
            if vm.target is not None:
                self._add_or_update(vm, now)
        for candidate in list(self._candidates.values()):
            if TargetId(candidate.id) in vm_list.vms:
                candidate.removed_at = None
                continue
            if candidate.removed_at is None:
                candidate.removed_at = now
            needed_at = max(candidate.removed_at, candidate.used_at)
            if now - needed_at > REMOVED_TARGET_RETENTION_S:
                del self._candidates[candidate.id]
        self._rebuild_indexes()

    def find(self, target: TargetId) -> TargetState | None:
        """Returns a target that is or was recently registered, or None."""
        return self._candidates.get(target)

    def is_listed(self, target: TargetId) -> bool:
        """Returns whether a target is registered now."""
        candidate = self._candidates.get(target)
        return candidate is not None and candidate.removed_at is None

    def find_by_agent(self, agent: Address) -> list[TargetState]:
        """Returns the targets of an agent, registered ones first."""
        return self._by_agent.get(agent, [])

    def add_unlisted(
        self, agent: Address, pool: PoolId, now: float
    ) -> TargetState:
        """Adds the target of an agent whose registration is not known here.

        This process may know only registrations of other targets at the address
        so far. The target takes no starts.

        Args:
            agent: address of the agent.
            pool: pool that the agent states.
            now: seconds, monotonic.
        """
        # The id of a registered target contains no slash.
        name = TargetId(f"{format_address(agent)}/{pool}")
        target = TargetState(
            name,
            agent,
            pool,
            self._domain,
            slots=1,
            leaving=True,
            warmup_until=-math.inf,
            hash_seed=xxhash.xxh3_64_intdigest(name.encode()),
            drains=self.drains,
            removed_at=now,
        )
        self._candidates[name] = target
        self._rebuild_indexes()
        return target

    def list_agents(self) -> tuple[list[Address], list[Address]]:
        """Returns all agents, and those of them with a registered target."""
        listed = [
            agent
            for agent, candidates in self._by_agent.items()
            if candidates[0].removed_at is None
        ]
        return list(self._by_agent), listed

    def has_other_pools(self, pools: Collection[PoolId]) -> bool:
        """Returns whether there are targets that serve none of the pools."""
        return any(pool not in pools for pool in self._pools)

    def choose(
        self,
        pools: Iterable[PoolShare],
        key: bytes,
        excluded: Collection[TargetId],
        now: float,
        include_suspected: bool = False,
    ) -> TargetState | None:
        """Returns the target that should take a new flow, or None.

        Considers the likely targets of the flow. Prefers the shortest expected
        wait, then the lower load, then this balancer's failure domain, then
        the order of the hash. Further targets are considered only while none
        of those before can answer without a wait.

        Args:
            pools: pools of the service with their weights.
            key: key of the flow.
            excluded: targets that must not be chosen.
            now: seconds, monotonic.
            include_suspected: whether a suspected target may be chosen.
        """
        pool = choose_pool(pools, key)
        drained = self.drains.domains
        usable = [
            candidate
            for candidate in self._pools.get(pool, ())
            if candidate.removed_at is None
            and not candidate.leaving
            and (not drained or candidate.domain not in drained)
            and candidate.id not in excluded
            and (include_suspected or candidate.suspected_until <= now)
        ]
        ranked = rank_targets(
            usable, key, LIKELY_TARGETS * (1 + MAX_FURTHER_GROUPS)
        )
        median_s = self.find_service_time(pool, now)
        best, best_cost = None, None
        for index, candidate in enumerate(ranked):
            is_group_end = index and index % LIKELY_TARGETS == 0
            if is_group_end and best_cost[0] <= 0:
                break
            cost = self._estimate_cost(candidate, median_s, now)
            if best_cost is None or cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def estimate_load(self, candidate: TargetState, now: float) -> float:
        """Returns the flows that probably wait for an answer of a target.

        Args:
            candidate: the target.
            now: seconds, monotonic.
        """
        if not candidate.busy:
            return candidate.unreported_offers
        service_s = candidate.service_time or DEFAULT_SERVICE_TIME_S
        if now < candidate.warmup_until:
            service_s *= WARMUP_RATIO
        # Estimates how many of the reported flows have been answered since the
        # report, with all slots in use.
        answered = (now - candidate.reported_at) * candidate.slots / service_s
        return candidate.unreported_offers + max(0.0, candidate.busy - answered)

    def find_service_time(self, pool: PoolId | None, now: float) -> float:
        """Returns the median service time of a pool's targets, in seconds."""
        until, median_s = self._medians.get(pool, (-math.inf, 0.0))
        if now < until:
            return median_s
        times = sorted(
            candidate.service_time
            for candidate in self._pools.get(pool, ())
            if candidate.service_time and candidate.removed_at is None
        )
        median_s = times[len(times) // 2] if times else DEFAULT_SERVICE_TIME_S
        self._medians[pool] = (now + MEDIAN_RETENTION_S, median_s)
        return median_s

    def compute_busy_limit(
        self, candidate: TargetState, remaining: float
    ) -> int:
        """Returns the busy flows below which a start can meet the objective.

        Args:
            candidate: target at which the start would queue.
            remaining: seconds until the caller's objective is missed.
        """
        service_s = candidate.service_time or DEFAULT_SERVICE_TIME_S
        wait = MAX_QUEUE_SHARE * (remaining - service_s)
        return candidate.slots + max(0, int(candidate.slots * wait / service_s))

    def list_possible_owners(
        self, pools: Collection[PoolId], key: bytes, now: float
    ) -> list[TargetState]:
        """Returns the targets that may hold a flow, the most likely first.

        Contains one entry for each pool of an agent: it answers for its target,
        whichever of the entries of that pool at its address the packet was
        meant for. It returns packets that are meant for another pool.

        Args:
            pools: current and recent pools of the service.
            key: key of the flow.
            now: seconds, monotonic.
        """
        listed, removed = [], []
        for pool in pools:
            for candidate in self._pools.get(pool, ()):
                is_listed = candidate.removed_at is None
                (listed if is_listed else removed).append(candidate)
        ranked: dict[tuple[Address, PoolId], TargetState] = {}
        for candidates in (listed, removed):
            for candidate in rank_targets(candidates, key, len(candidates)):
                ranked.setdefault((candidate.agent, candidate.pool), candidate)
        return list(ranked.values())

    def are_most_in_slow_start(
        self, pools: Collection[PoolId], now: float
    ) -> bool:
        """Returns whether at least half of the pools' agents have a new target.

        Agents are counted in place of targets: after a power loss, entries of
        the former starts of targets are listed until they expire.
        """
        listed, started = set(), set()
        for pool in pools:
            for candidate in self._pools.get(pool, ()):
                if candidate.removed_at is not None:
                    continue
                listed.add(candidate.agent)
                if candidate.warmup_until > now:
                    started.add(candidate.agent)
        return bool(listed) and len(started) * 2 >= len(listed)

    def is_drained(self, pool: PoolId | None) -> bool:
        """Returns whether all registered targets of a pool are drained."""
        listed = [c for c in self._pools.get(pool, ()) if c.removed_at is None]
        return bool(listed) and all(c.is_drained for c in listed)

    def record_offer(self, candidate: TargetState) -> None:
        """Counts an offer to a target."""
        candidate.unreported_offers += 1

    def record_returned_offer(self, candidate: TargetState) -> None:
        """Counts an offer that the target returned: it keeps no slot busy."""
        candidate.unreported_offers = max(0, candidate.unreported_offers - 1)

    def record_report(
        self, candidate: TargetState, busy: int, service_time: float, now: float
    ) -> None:
        """Stores load and service time from a message of the agent.

        A report shows that the agent is reachable, so it ends a suspicion.

        Args:
            candidate: the target.
            busy: flows that wait for an answer of the target.
            service_time: seconds per answer, 0 if unknown.
            now: seconds, monotonic.
        """
        candidate.busy = busy
        candidate.service_time = service_time
        candidate.reported_at = now
        candidate.unreported_offers = 0
        candidate.unconfirmed_offers = 0
        candidate.suspicions = 0
        candidate.suspected_until = -math.inf

    def record_timeout(self, candidate: TargetState, now: float) -> bool:
        """Counts an offer that no agent confirmed.

        Returns:
            Whether the target is suspected from now on.
        """
        candidate.unconfirmed_offers += 1
        self.record_returned_offer(candidate)
        if candidate.unconfirmed_offers < OFFERS_TO_SUSPECT:
            return False
        candidate.unconfirmed_offers = 0
        duration_s = min(
            MAX_SUSPICION_S, FIRST_SUSPICION_S * 2**candidate.suspicions
        )
        candidate.suspicions += 1
        candidate.suspected_until = now + duration_s
        return True

    def avoid_during_restart(self, candidate: TargetState, now: float) -> None:
        """Avoids a target for the time that its agent takes to restart."""
        candidate.suspected_until = now + AGENT_RESTART_S

    def clear_suspicions(self) -> None:
        """Clears all suspicions, their counts, and times of silence.

        After a pause of this process, confirmations may be late because the
        process did not run, not because agents did not answer.
        """
        for candidate in self._candidates.values():
            candidate.unconfirmed_offers = 0
            candidate.suspicions = 0
            candidate.suspected_until = -math.inf
            candidate.unanswered_since = math.inf

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state of all targets as JSON types."""
        return {
            candidate.id: {
                "pool": candidate.pool,
                "leaving": candidate.leaving,
                "left": candidate.removed_at is not None,
                "drained": candidate.is_drained,
                "busy": candidate.busy,
                "offered": candidate.unreported_offers,
                "service_time_s": round(candidate.service_time, 4),
                "suspected": candidate.suspected_until > now,
            }
            for candidate in self._candidates.values()
        }

    def _add_or_update(self, vm: Vm, now: float) -> None:
        target = vm.target
        name = TargetId(vm.id)
        known = self._candidates.get(name)
        if known is None or known.agent != vm.peer or known.pool != target.pool:
            known = self._candidates[name] = TargetState(
                name,
                vm.peer,
                target.pool,
                vm.domain,
                target.slots,
                vm.state is VmState.LEAVING,
                now + target.warmup,
                xxhash.xxh3_64_intdigest(vm.id.encode()),
                self.drains,
            )
        known.started = target.started
        known.domain = vm.domain
        known.slots = target.slots
        known.leaving = vm.state is VmState.LEAVING
        known.warmup_until = now + target.warmup

    def _rebuild_indexes(self) -> None:
        self._pools = {}
        self._by_agent = {}
        for candidate in self._candidates.values():
            self._pools.setdefault(candidate.pool, []).append(candidate)
            self._by_agent.setdefault(candidate.agent, []).append(candidate)
        for candidates in self._by_agent.values():
            candidates.sort(
                key=lambda candidate: candidate.removed_at is not None
            )
            listed = {c.pool for c in candidates if c.removed_at is None}
            shared = find_shared_tags(listed) if len(listed) > 1 else ()
            for candidate in candidates:
                candidate.shares_tag = candidate.pool in shared

    def _estimate_cost(
        self, candidate: TargetState, median_s: float, now: float
    ) -> tuple[int, float, bool]:
        """Returns the expected wait in steps, the load, and the distance.

        The wait is in multiples of COST_STEP_S, the load in flows per slot. The
        last value tells whether the target is in another failure domain.
        """
        service_s = candidate.service_time or median_s
        if now < candidate.warmup_until:
            service_s *= WARMUP_RATIO
        load = self.estimate_load(candidate, now)
        queued = max(0.0, load + 1 - candidate.slots) / candidate.slots
        cost = queued * service_s
        if service_s > SLOW_RATIO * median_s:
            cost += service_s - median_s
        return (
            round(cost / COST_STEP_S),
            load / candidate.slots,
            candidate.domain != self._domain,
        )
