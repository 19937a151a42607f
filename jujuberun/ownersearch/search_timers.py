"""Timers of searches that go on without a packet."""

import heapq
import itertools
import math
from collections.abc import Iterator
from typing import Generic, TypeVar

from jujuberun.ownersearch.flow_search import FlowSearch

Entry = TypeVar("Entry")


class SearchTimers(Generic[Entry]):
    """Timers by time; a search has at most one that counts.

    A timer that is set to a later time stays and is set again when it is due,
    so that a bounce does not cost a change of the order.
    """

    def __init__(self) -> None:
        self._timers: list[tuple[float, int, Entry, FlowSearch]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Returns the number of timers."""
        return len(self._timers)

    @property
    def next_at(self) -> float:
        """Time of the next timer, infinite without one."""
        return self._timers[0][0] if self._timers else math.inf

    def set(self, entry: Entry, search: FlowSearch, due: float) -> bool:
        """Sets when a search goes on.

        Args:
            entry: flow of the search.
            search: the search.
            due: seconds, monotonic; infinite for never.

        Returns:
            Whether this timer is the next one of all.
        """
        search.due_at = due
        if due >= search.timer_at:
            return False
        search.timer_at = due
        heapq.heappush(self._timers, (due, next(self._numbers), entry, search))
        return self._timers[0][3] is search

    def take_due(self, now: float) -> Iterator[tuple[Entry, FlowSearch]]:
        """Removes and returns the flows and searches that are due."""
        while self.next_at <= now:
            at, _, entry, search = heapq.heappop(self._timers)
            if search.timer_at != at:
                continue
            search.timer_at = math.inf
            if search.due_at <= now:
                yield entry, search
            else:
                self.set(entry, search, search.due_at)
