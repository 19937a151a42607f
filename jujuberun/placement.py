"""Choice of owners, active targets and peers that take over requests."""

import math
import random
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from jujuberun.ids import TargetId
from jujuberun.manifest import Service, Target

STALE_S = 10.0  # an older load message says nothing about the present
PEERS = 2  # peers asked to take over a request
_PROBES = 4  # targets compared where no list of candidates is given
# Spare slots per square root of the load keep the share of requests that wait
# about equal from 2 to 2,000 slots (square-root staffing).
_SPARE_SLOTS = 1.0
_SMOOTH_S = 10.0  # time constant of the smoothed load
# A load above this multiple of the slots in use counts at once. Without it, a
# step from 20% to 70% load gave a p99 wait of 1.6 s instead of 0.7 s.
_SURGE = 1.5
_HOLD_S = 30.0  # a surplus of targets must last so long before it is released
_MAX_SCAN = 32  # targets looked at when all that were compared are full
_TYPICAL_SHARE = 0.1  # weight of one report in the mean over all targets
_MIN_REPORTS = 4  # fewer targets do not stand for all of a service
_UNKNOWN = -math.inf


class ActiveTargets(tuple[TargetId, ...]):
    """Targets in order; a membership test costs the same at any number."""

    _members: frozenset[TargetId]

    def __new__(cls, targets: Iterable[TargetId]) -> "ActiveTargets":
        """Builds the tuple and the set of its members."""
        chosen = super().__new__(cls, targets)
        chosen._members = frozenset(chosen)
        return chosen

    def __contains__(self, target: object) -> bool:
        """Returns whether the target is among them."""
        return target in self._members


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that the agent of a target reported.

    Attributes:
        busy: slots in use.
        queued: requests that wait for a slot.
        flows: open flows.
    """

    busy: int
    queued: int
    flows: int


@dataclass(slots=True)
class _Known:
    slots: int
    limit: int
    load: TargetLoad = TargetLoad(0, 0, 0)
    at: float = _UNKNOWN
    assigned: int = 0  # flows that this process placed there since the report


def _weigh_equally(target: TargetId, now: float) -> float:
    return 1.0


class Loads:
    """What one process knows of the load of one service's targets.

    Attributes:
        weigh: returns the weight of a target at a time, above 0 up to 1.
    """

    def __init__(
        self,
        targets: Iterable[Target],
        weigh: Callable[[TargetId, float], float] = _weigh_equally,
    ) -> None:
        """Knows no load yet.

        Args:
            targets: targets of the service.
            weigh: weight of a target above 0 up to 1, as Health.weigh.
        """
        self.weigh = weigh
        self._known = {
            target.id: _Known(target.slots, target.connection_limit)
            for target in targets
        }
        self._typical = 0.0  # flows on a slot, mean of recent reports

    def note(
        self, target: TargetId, load: TargetLoad, age: float, now: float
    ) -> None:
        """Takes a reported load, unless a newer report is known.

        Args:
            target: whose load it is; one of another service is ignored.
            load: as its agent reported it.
            age: seconds since the agent reported it.
            now: seconds, monotonic.
        """
        known = self._known.get(target)
        if known is None or now - age <= known.at:
            return
        known.load = load
        known.at = now - age
        known.assigned = 0
        flows = load.flows / known.slots
        self._typical += _TYPICAL_SHARE * (flows - self._typical)

    def note_assigned(self, target: TargetId) -> None:
        """Counts a flow that this process placed on the target."""
        known = self._known.get(target)
        if known is not None:
            known.assigned += 1

    def forget(self) -> None:
        """Voids all reports, after a gap of the clock."""
        for known in self._known.values():
            known.at = _UNKNOWN
            known.assigned = 0

    def list_reports(
        self, now: float, count: int, excluded: Collection[TargetId]
    ) -> list[tuple[TargetId, TargetLoad, float]]:
        """Returns the newest reports with their age, to pass them on."""
        fresh = [
            (now - known.at, target, known.load)
            for target, known in self._known.items()
            if now - known.at < STALE_S and target not in excluded
        ]
        fresh.sort(key=lambda entry: entry[0])
        return [(target, load, age) for age, target, load in fresh[:count]]

    def is_full(self, target: TargetId, now: float) -> bool:
        """Returns whether the target is at its connection limit."""
        known = self._known[target]
        flows = known.load.flows if now - known.at < STALE_S else 0
        return flows + known.assigned >= known.limit

    def score_flows(self, target: TargetId, now: float) -> float:
        """Returns how unattractive a target is for a new flow.

        The flow itself is counted, so that an idle target of low weight does
        not look as good as an idle healthy one.
        """
        known = self._known[target]
        load = self._count_flows(known, now) + 1
        return load / (known.slots * self.weigh(target, now))

    def estimate_demand(
        self, active: Collection[TargetId], now: float
    ) -> float | None:
        """Estimates the slots that the service's requests ask for.

        The known active targets stand for the unknown ones; work on targets
        outside the active set is added as reported.

        Args:
            active: targets that this process holds for active.
            now: seconds, monotonic.

        Returns:
            Slots, or None while fewer than _MIN_REPORTS are fresh.
        """
        demand, seen, others, slots = 0.0, 0, 0.0, 0
        reports = 0
        for target, known in self._known.items():
            inside = target in active
            slots += known.slots if inside else 0
            if now - known.at >= STALE_S:
                continue
            work = known.load.busy + known.load.queued
            if inside:
                demand += work
                seen += known.slots
                reports += 1
            else:
                others += work
        if reports < min(_MIN_REPORTS, max(1, len(active))):
            return None
        return demand * slots / seen + others

    def _count_flows(self, known: _Known, now: float) -> float:
        if now - known.at < STALE_S:
            return known.load.flows + known.assigned
        return self._typical * known.slots + known.assigned


def choose_owner(
    candidates: Sequence[TargetId],
    loads: Loads,
    active: Sequence[TargetId],
    now: float,
) -> TargetId | None:
    """Chooses the owner of a new flow at its home.

    Compares the first two candidates that may take it by known load; the
    earlier one wins a tie. When fewer than two may, active targets at places
    that follow from the candidates take part, at constant cost.

    Args:
        candidates: of the flow, the home first.
        loads: known loads of the service.
        active: targets that may get new work; suspects and leaving targets
            are not among them.
        now: seconds, monotonic.

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
            for target in _probe(candidates, active)
            if target not in usable and not loads.is_full(target, now)
        ][: 2 - len(usable)]
    if not usable:
        some = active[:_MAX_SCAN]
        usable = [t for t in some if not loads.is_full(t, now)]
    if not usable:
        return None
    return min(usable, key=lambda target: loads.score_flows(target, now))


def choose_peers(
    own: TargetId,
    loads: Loads,
    active: Sequence[TargetId],
    now: float,
    rng: random.Random,
) -> tuple[TargetId, ...]:
    """Chooses the peers asked to take over a request that has not started.

    Random active targets of any failure domain, by weight. Reported load is
    not used: it is older than most requests take, and asking the least loaded
    of four by report gave longer waits than asking random ones.

    Args:
        own: target whose slots are busy.
        loads: gives the weights.
        active: targets that may get new work, without suspects.
        now: seconds, monotonic.
        rng: source of random choices.
    """
    sample = rng.sample(active, min(len(active), _PROBES + 1))
    # Weighted sampling without replacement (Efraimidis and Spirakis).
    drawn = sorted(
        (rng.expovariate(loads.weigh(target, now)), target)
        for target in sample
        if target != own
    )
    return tuple(target for _, target in drawn[:PEERS])


class ActiveSet:
    """The targets of one service that get new work, as one process sees it.

    Every process orders the targets alike and takes a prefix, so sets that
    processes compute from different reports differ only at their ends.
    """

    def __init__(self, headroom: float, ordered: Sequence[Target]) -> None:
        self._headroom = headroom
        self._ordered = tuple(ordered)
        self._smooth: float | None = None
        self._updated = 0.0
        # Slots that the load needs before headroom; None while it is unknown.
        self._lean: int | None = None
        # Since when fewer have been enough, and how many of them.
        self._surplus_since: float | None = None
        self._surplus_peak = 0

    @classmethod
    def from_service(
        cls, service: Service, targets: Iterable[Target]
    ) -> "ActiveSet":
        """Builds the set.

        Args:
            service: its headroom is used.
            targets: targets of the service; their order does not matter.
        """
        return cls(service.headroom, order_targets(targets))

    def update(
        self,
        load: float | None,
        now: float,
        excluded: Collection[TargetId] = (),
    ) -> ActiveTargets:
        """Returns the targets that may get new work.

        The set grows with the smoothed load, at once in a surge, and shrinks
        when less has been enough for _HOLD_S.

        Args:
            load: slots that the service's requests ask for, None when unknown;
                before the first known load all targets are active.
            now: seconds, monotonic.
            excluded: suspects and leaving targets; others replace them.
        """
        if load is not None:
            need = _add_spare(self._blend(load, now))
            self._adapt(math.ceil(max(need, load / _SURGE)), now)
        usable = [t for t in self._ordered if t.id not in excluded]
        if self._lean is None:
            return ActiveTargets(target.id for target in usable)
        lean = _count_prefix(usable, self._lean)
        spare = self._headroom * (len(usable) - lean)
        # Without the tolerance 0.1 * 70 rounds up to 8.
        count = lean + math.ceil(spare - 1e-9)
        return ActiveTargets(target.id for target in usable[:count])

    def _blend(self, load: float, now: float) -> float:
        if self._smooth is None:
            self._smooth = load
        else:
            passed = max(0.0, now - self._updated)
            share = 1.0 - math.exp(-passed / _SMOOTH_S)
            self._smooth += share * (load - self._smooth)
        self._updated = now
        return self._smooth

    def _adapt(self, need: int, now: float) -> None:
        if self._lean is None or need >= self._lean:
            self._lean = need
            self._surplus_since = None
            return
        if self._surplus_since is None:
            self._surplus_since = now
            self._surplus_peak = need
        self._surplus_peak = max(self._surplus_peak, need)
        if now - self._surplus_since >= _HOLD_S:
            self._lean = self._surplus_peak
            self._surplus_since = None


def order_targets(targets: Iterable[Target]) -> tuple[Target, ...]:
    """Orders targets by turns of their failure domains, alike everywhere.

    The order does not depend on the service, so services that share targets
    leave the same ones idle.
    """
    domains: dict[str, list[Target]] = {}
    for target in sorted(targets, key=lambda target: _hash(target.id)):
        domains.setdefault(target.domain, []).append(target)
    turns = [
        (place, _hash(domain), target)
        for domain, members in domains.items()
        for place, target in enumerate(members)
    ]
    turns.sort(key=lambda turn: turn[:2])
    return tuple(target for _, _, target in turns)


def _add_spare(load: float) -> float:
    return max(1.0, load + _SPARE_SLOTS * math.sqrt(load))


def _count_prefix(targets: Sequence[Target], slots: float) -> int:
    """Returns how many of the first targets have so many slots together."""
    total = 0
    for count, target in enumerate(targets, 1):
        total += target.slots
        if total >= slots:
            return count
    return len(targets)


def _probe(
    candidates: Sequence[TargetId], active: Sequence[TargetId]
) -> list[TargetId]:
    """Returns some active targets at places that follow from a flow's own."""
    if not active:
        return []
    place = _hash("/".join(candidates))
    step = 1 + (place >> 32) % max(1, len(active) - 1)
    count = min(len(active), _PROBES)
    return [active[(place + i * step) % len(active)] for i in range(count)]


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
