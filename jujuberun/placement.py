"""Chooses flow owners, active targets and peers that take over requests."""

import math
import random
from collections.abc import Collection, Iterable, Sequence

import xxhash

from jujuberun.ids import TargetId
from jujuberun.loads import LoadTable
from jujuberun.manifest import Service, Target

PEERS_ASKED = 2  # peers that are asked to take over one request
# A target outside the active set offers the requests of its open flows to
# peers for this long before it runs them itself. With 0.02 s, targets that
# should stay idle ran requests.
PEERS_FIRST_S = 0.25
# Number of active targets compared if the candidates do not suffice.
_SAMPLED_TARGETS = 4
# Square-root staffing: spare slots in proportion to the square root of the load
# keep the share of requests that wait about equal from 2 to 2,000 slots.
_SPARE_SLOTS_PER_SQRT_LOAD = 1.0
_LOAD_TIME_CONSTANT_S = 10.0
# The set grows at once, without smoothing, when the load exceeds this multiple
# of the slots needed so far. With smoothing alone, a step from 20% to 70% load
# gave a p99 wait of 1.6 s instead of 0.7 s.
_SURGE_FACTOR = 1.5
# The set shrinks only if fewer slots have sufficed for this long.
_SHRINK_DELAY_S = 30.0
# Number of active targets examined if all compared targets are full.
_MAX_SCANNED_TARGETS = 32


class ActiveTargets(tuple[TargetId, ...]):
    """An ordered tuple of targets with a constant-time membership test."""

    _members: frozenset[TargetId]

    def __new__(cls, targets: Iterable[TargetId]) -> "ActiveTargets":
        """Builds the tuple and the set for membership tests."""
        chosen = super().__new__(cls, targets)
        chosen._members = frozenset(chosen)
        return chosen

    def __contains__(self, target: object) -> bool:
        """Returns whether the target is in the tuple."""
        return target in self._members


def choose_owner(
    candidates: Sequence[TargetId],
    loads: LoadTable,
    active: Sequence[TargetId],
    now: float,
) -> TargetId | None:
    """Chooses the owner of a new flow; called by the agent of its home.

    Compares the known loads of the first two candidates that are active and
    not full; the earlier one wins a tie. When fewer than two candidates
    qualify, active targets fill the gap. Their positions are derived from the
    candidates, so the cost does not depend on the number of targets.

    Args:
        candidates: candidates of the flow, the home first.
        loads: known loads of the service's targets.
        active: targets that may get new work, without suspects and leaving
            targets.
        now: monotonic time in seconds.

    Returns:
        The owner, or None when no active target has room for a flow.
    """
    usable = [
        target
        for target in candidates
        if target in active and not loads.is_full(target, now)
    ][:2]
    if len(usable) < 2:
        usable += [
            target
            for target in _sample_active(candidates, active)
            if target not in usable and not loads.is_full(target, now)
        ][: 2 - len(usable)]
    if not usable:
        scanned = active[:_MAX_SCANNED_TARGETS]
        usable = [t for t in scanned if not loads.is_full(t, now)]
    if not usable:
        return None
    return min(usable, key=lambda target: loads.score_flows(target, now))


def choose_peers(
    own: TargetId,
    loads: LoadTable,
    active: Sequence[TargetId],
    now: float,
    rng: random.Random,
) -> tuple[TargetId, ...]:
    """Chooses the peers to ask to take over a request that has not started.

    Draws active targets of any failure domain at random, by weight. Reported
    load is ignored because a report is usually older than a request takes:
    asking the target with the least reported load out of four gave longer
    waits than asking random targets.

    Args:
        own: target that hands the request over.
        loads: source of the weights.
        active: targets that may get new work, without suspects.
        now: monotonic time in seconds.
        rng: source of randomness.

    Returns:
        Up to PEERS_ASKED targets, without `own`.
    """
    sample = rng.sample(active, min(len(active), _SAMPLED_TARGETS + 1))
    # Weighted sampling without replacement (Efraimidis and Spirakis).
    drawn = sorted(
        (rng.expovariate(loads.weigh(target, now)), target)
        for target in sample
        if target != own
    )
    return tuple(target for _, target in drawn[:PEERS_ASKED])


class ActiveSet:
    """Computes the targets of one service to which a process gives new work.

    Every process orders the targets in the same way and takes a prefix of that
    order. Sets of processes with different load reports therefore differ only
    in their last targets.
    """

    def __init__(self, headroom: float, ordered: Sequence[Target]) -> None:
        self._headroom = headroom
        self._ordered = tuple(ordered)
        self._smoothed_load: float | None = None
        self._smoothed_at = 0.0
        # Slots that the load needs, without headroom; None until a load is
        # known.
        self._needed_slots: int | None = None
        # Time since when fewer slots have sufficed, and the largest number of
        # slots needed since then.
        self._surplus_since: float | None = None
        self._surplus_peak_slots = 0

    @classmethod
    def from_service(
        cls, service: Service, targets: Iterable[Target]
    ) -> "ActiveSet":
        """Builds the set with the service's headroom.

        Args:
            service: source of the headroom.
            targets: targets of the service, in any order.
        """
        return cls(service.headroom, order_targets(targets))

    def change_targets(
        self, targets: Iterable[Target], headroom: float
    ) -> None:
        """Replaces targets and headroom with those of a new manifest."""
        self._ordered = order_targets(targets)
        self._headroom = headroom

    def update(
        self,
        load: float | None,
        now: float,
        excluded: Collection[TargetId] = (),
    ) -> ActiveTargets:
        """Applies the current load and returns the targets that get new work.

        The set grows with the smoothed load and shrinks after fewer slots have
        sufficed for _SHRINK_DELAY_S. In a surge it grows at once.

        Args:
            load: slots that the service's requests need, or None when unknown.
                All targets are active until a load is known.
            now: monotonic time in seconds.
            excluded: suspects and leaving targets; the next targets in order
                replace them.
        """
        if load is not None:
            need = _add_spare(self._smooth_load(load, now))
            self._resize(math.ceil(max(need, load / _SURGE_FACTOR)), now)
        usable = [t for t in self._ordered if t.id not in excluded]
        if self._needed_slots is None:
            return ActiveTargets(target.id for target in usable)
        needed = _count_prefix(usable, self._needed_slots)
        spare = self._headroom * (len(usable) - needed)
        # The tolerance absorbs floating-point errors: 0.07 * 100 is slightly
        # above 7 and would round up to 8.
        count = needed + math.ceil(spare - 1e-9)
        return ActiveTargets(target.id for target in usable[:count])

    def _smooth_load(self, load: float, now: float) -> float:
        if self._smoothed_load is None:
            self._smoothed_load = load
        else:
            elapsed = max(0.0, now - self._smoothed_at)
            alpha = 1.0 - math.exp(-elapsed / _LOAD_TIME_CONSTANT_S)
            self._smoothed_load += alpha * (load - self._smoothed_load)
        self._smoothed_at = now
        return self._smoothed_load

    def _resize(self, need: int, now: float) -> None:
        if self._needed_slots is None or need >= self._needed_slots:
            self._needed_slots = need
            self._surplus_since = None
            return
        if self._surplus_since is None:
            self._surplus_since = now
            self._surplus_peak_slots = need
        self._surplus_peak_slots = max(self._surplus_peak_slots, need)
        if now - self._surplus_since >= _SHRINK_DELAY_S:
            self._needed_slots = self._surplus_peak_slots
            self._surplus_since = None


def order_targets(targets: Iterable[Target]) -> tuple[Target, ...]:
    """Orders targets round robin over their failure domains.

    The order follows from hashes of the ids, so it is the same in every
    process. It does not depend on the service, so services that share targets
    leave the same targets idle.
    """
    domains: dict[str, list[Target]] = {}
    for target in sorted(targets, key=lambda target: _hash(target.id)):
        domains.setdefault(target.domain, []).append(target)
    ranked = [
        (position, _hash(domain), target)
        for domain, members in domains.items()
        for position, target in enumerate(members)
    ]
    ranked.sort(key=lambda entry: entry[:2])
    return tuple(target for _, _, target in ranked)


def _add_spare(load: float) -> float:
    return max(1.0, load + _SPARE_SLOTS_PER_SQRT_LOAD * math.sqrt(load))


def _count_prefix(targets: Sequence[Target], slots: float) -> int:
    """Returns the length of the shortest prefix that has enough slots.

    Args:
        targets: targets in order.
        slots: number of slots that the prefix must have.

    Returns:
        The number of targets; all of them when their slots do not suffice.
    """
    total = 0
    for count, target in enumerate(targets, 1):
        total += target.slots
        if total >= slots:
            return count
    return len(targets)


def _sample_active(
    candidates: Sequence[TargetId], active: Sequence[TargetId]
) -> list[TargetId]:
    """Returns active targets at positions derived from the candidates."""
    if not active:
        return []
    start = _hash("/".join(candidates))
    step = 1 + (start >> 32) % max(1, len(active) - 1)
    count = min(len(active), _SAMPLED_TARGETS)
    return [active[(start + i * step) % len(active)] for i in range(count)]


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
