"""Work that arriving starts of one pool ask for, by the value that it has."""

import math
from dataclasses import dataclass

from jujuberun.ids import ServiceId

# Time constant of the measured rates: a flood shows within a second, and a few
# starts that arrive together do not look like one.
RATE_PERIOD_S = 1.0
# A service whose rate fell below this part of a start is forgotten.
MIN_STARTS = 0.01
# Rates change little in this time, and are needed for each start that waits.
RATES_RETENTION_S = 0.05
# Values for each second of work that differ by less than this factor count as
# equal, because measured work varies by as much.
EQUAL_RATIO = 1.2


@dataclass(slots=True)
class _ServiceDemand:
    """Starts of one service, as moving sums over the period."""

    density: float = 0.0
    starts: float = 0.0
    work: float = 0.0
    updated_at: float = -math.inf

    def decay(self, now: float) -> None:
        """Brings the sums to the present time."""
        factor = math.exp((self.updated_at - now) / RATE_PERIOD_S)
        self.starts *= factor
        self.work *= factor
        self.updated_at = now


class PoolDemand:
    """Arrivals of one pool's services at one balancer."""

    def __init__(self) -> None:
        self._services: dict[ServiceId, _ServiceDemand] = {}
        self._rates: list[tuple[float, float]] = []
        self._starts = 0.0
        self._listed_at = -math.inf

    def record(
        self, service: ServiceId, density: float, work: float, now: float
    ) -> None:
        """Counts a start that arrives.

        Args:
            service: its service.
            density: value of an answer in time for each second of work.
            work: seconds of a slot for its answer.
            now: seconds, monotonic.
        """
        demand = self._services.setdefault(service, _ServiceDemand())
        demand.decay(now)
        demand.density = density
        demand.starts += 1
        demand.work += work

    def count_starts(self, now: float) -> float:
        """Returns the starts that arrived in the last period."""
        self._list_rates(now)
        return self._starts

    def measure_above(self, density: float, now: float) -> float:
        """Returns the arriving work of more value, in seconds a second.

        Args:
            density: value for each second of work to compare with.
            now: seconds, monotonic.
        """
        self._list_rates(now)
        return sum(
            rate for other, rate in self._rates if other > density * EQUAL_RATIO
        )

    def _list_rates(self, now: float) -> None:
        """Lists value and rate of each service that sends starts."""
        if now - self._listed_at < RATES_RETENTION_S:
            return
        self._listed_at, self._rates, self._starts = now, [], 0.0
        for service, demand in list(self._services.items()):
            demand.decay(now)
            if demand.starts < MIN_STARTS:
                del self._services[service]
                continue
            self._starts += demand.starts
            rate = demand.work / RATE_PERIOD_S
            self._rates.append((demand.density, rate))
