"""Bounded cache of the routes of flows, in two ages."""

from typing import Generic, TypeVar

from jujuberun.ids import Address

R = TypeVar("R")
DEFAULT_CAPACITY = 400_000  # flows
ROTATE_S = 120.0


class FlowCache(Generic[R]):
    """Maps callers to routes and forgets those that are not used.

    Two dictionaries replace a time stamp for each flow: a hit moves the flow
    to the young one, and a rotation drops the old one.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._half = max(1, capacity // 2)
        self._young: dict[Address, R] = {}
        self._old: dict[Address, R] = {}
        self._rotated = 0.0

    def __len__(self) -> int:
        """Returns the number of cached flows."""
        return len(self._young) + len(self._old)

    def find(self, caller: Address) -> R | None:
        """Returns the route of a caller's flow, or None."""
        route = self._young.get(caller)
        if route is not None:
            return route
        route = self._old.pop(caller, None)
        if route is not None:
            self._young[caller] = route
        return route

    def store(self, caller: Address, route: R) -> None:
        """Stores the route of a caller's flow."""
        if len(self._young) >= self._half:
            self._old, self._young = self._young, {}
        self._old.pop(caller, None)
        self._young[caller] = route

    def discard(self, caller: Address) -> None:
        """Forgets the route of a caller's flow."""
        self._young.pop(caller, None)
        self._old.pop(caller, None)

    def rotate(self, now: float) -> None:
        """Drops flows without a packet for ROTATE_S to twice ROTATE_S."""
        if now - self._rotated < ROTATE_S:
            return
        self._rotated = now
        self._old, self._young = self._young, {}

    def clear(self) -> None:
        """Forgets all flows."""
        self._young.clear()
        self._old.clear()
