"""Bounded cache of the routes of flows, in two ages."""

from typing import Any, Generic, TypeVar

from jujuberun.ids import Address

R = TypeVar("R")
DEFAULT_CAPACITY = 400_000  # flows
AGE_S = 120.0  # flows without a packet go after once to twice this time


class CacheBudget:
    """Bounds the flows in all caches of a process together."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._half = max(1, capacity // 2)
        self._caches: list[FlowCache[Any]] = []
        self._young = 0

    def add(self, cache: "FlowCache[Any]") -> None:
        """Counts the flows of a cache from now on."""
        self._caches.append(cache)

    def remove(self, cache: "FlowCache[Any]") -> None:
        """Counts the flows of a cache no longer."""
        self._caches.remove(cache)

    def note_stored(self) -> None:
        """Counts a new young flow; ages all caches when they are half full."""
        self._young += 1
        if self._young >= self._half:
            self.age()

    def age(self) -> None:
        """Makes all young flows old, and drops the old ones."""
        self._young = 0
        for cache in self._caches:
            cache.age()


class FlowCache(Generic[R]):
    """Maps callers to routes and forgets those that are not used.

    Two dictionaries replace a time stamp for each flow: a hit moves the flow
    to the young one, and ageing drops the old one.
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
        """Forgets the route of a caller's flow."""
        self._young.pop(caller, None)
        self._old.pop(caller, None)

    def age(self) -> None:
        """Makes the young flows old, and drops the old ones."""
        self._old, self._young = self._young, {}
