"""Bounded cache of flow routes, split into young and old flows."""

from typing import Any, Generic, TypeVar

from jujuberun.ids import Address

R = TypeVar("R")
DEFAULT_CACHE_FLOWS = 400_000
# A flow without a packet is evicted after one to two ageing periods.
AGEING_PERIOD_S = 120.0


class CacheBudget:
    """Bounds the total number of flows in all caches of a process."""

    def __init__(self, capacity: int = DEFAULT_CACHE_FLOWS) -> None:
        self._max_young = max(1, capacity // 2)
        self._caches: list[FlowCache[Any]] = []
        self._young_count = 0

    def add(self, cache: "FlowCache[Any]") -> None:
        """Includes a cache in the budget."""
        self._caches.append(cache)

    def remove(self, cache: "FlowCache[Any]") -> None:
        """Excludes a cache from the budget."""
        self._caches.remove(cache)

    def note_stored(self) -> None:
        """Counts a new young flow.

        Ages all caches when the young flows reach half of the capacity.
        """
        self._young_count += 1
        if self._young_count >= self._max_young:
            self.age()

    def age(self) -> None:
        """Evicts the old flows of all caches and makes the young ones old."""
        self._young_count = 0
        for cache in self._caches:
            cache.age()


class FlowCache(Generic[R]):
    """Maps callers to routes and evicts routes that are not used.

    Two dictionaries take the place of a time stamp for each flow: a hit moves
    the flow to the young dictionary, and ageing drops the old dictionary.
    """

    def __init__(self, budget: CacheBudget) -> None:
        self._budget = budget
        self._young: dict[Address, R] = {}
        self._old: dict[Address, R] = {}
        budget.add(self)

    def __len__(self) -> int:
        """Returns the number of cached flows."""
        return len(self._young) + len(self._old)

    def find(self, caller: Address) -> R | None:
        """Returns the route of a caller's flow, or None."""
        route = self._young.get(caller)
        if route is not None:
            return route
        route = self._old.get(caller)
        if route is not None:
            self.store(caller, route)
        return route

    def store(self, caller: Address, route: R) -> None:
        """Stores the route of a caller's flow."""
        self._old.pop(caller, None)
        new = caller not in self._young
        self._young[caller] = route
        if new:
            self._budget.note_stored()

    def discard(self, caller: Address) -> None:
        """Removes the route of a caller's flow."""
        self._young.pop(caller, None)
        self._old.pop(caller, None)

    def age(self) -> None:
        """Evicts the old flows and makes the young ones old."""
        self._old, self._young = self._young, {}
