"""Choice of owners, active targets and peers that take over requests."""

import math
import random
from collections.abc import Collection, Iterable, Sequence

import xxhash

from jujuberun.ids import TargetId
from jujuberun.loads import Loads
from jujuberun.manifest import Service, Target

PEERS = 2  # peers asked to take over a request
# A target outside the active set runs requests of its open flows itself only
# when no peer has taken them for so long. 0.02 s woke idle targets.
PEERS_FIRST_S = 0.25
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

    def change_targets(
        self, targets: Iterable[Target], headroom: float
    ) -> None:
        """Takes the targets and headroom of a new manifest."""
        self._ordered = order_targets(targets)
        self._headroom = headroom

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
