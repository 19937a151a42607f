"""Work that each service needs: seconds of a slot for one answer.

Answers go from the agent to the caller, so a balancer sees none. An agent
measures the answers of its target and reports the last one of a service in the
next confirmation for the same service, which names the service anyway.
"""

from collections import OrderedDict
from dataclasses import dataclass

from jujuberun.ids import PoolId, ServiceId

# Weight of one answer in an agent's moving average: a target that becomes slow
# is noticed after about ten answers.
TARGET_WEIGHT = 0.1
# The same for the work of a service at a balancer, where single answers that
# differ by half must not change an order by value: their mean varies by 3%.
SERVICE_WEIGHT = 0.02
# An answer in progress for longer was lost or is a stream; it says nothing
# about the work of the service.
MAX_WORK_S = 60.0
# Shorter answers are counted with this time: a slot is also occupied while its
# packets arrive.
MIN_WORK_S = 0.001
# Services of which an agent keeps a measured answer: more than share one pool.
MAX_AGENT_SERVICES = 64
# The part of a flow key that holds the address of the service.
_SERVICE_PART = slice(6, 12)
# Services of which a balancer keeps the work: as many as the caches of the
# manifest hold.
MAX_SERVICES = 8_192


class AnswerWork:
    """Answers of one target, as its agent measures them.

    Attributes:
        mean: moving average over all services in seconds, 0 if unknown.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        self._last: OrderedDict[bytes, float] = OrderedDict()

    def record(self, key: bytes, seconds: float) -> None:
        """Records an answer that did not wait for a slot.

        Args:
            key: key of the flow.
            seconds: time from the request to its answer.
        """
        change = seconds - self.mean
        self.mean += change * (TARGET_WEIGHT if self.mean else 1.0)
        service = key[_SERVICE_PART]
        self._last[service] = seconds
        self._last.move_to_end(service)
        if len(self._last) > MAX_AGENT_SERVICES:
            self._last.popitem(last=False)

    def take(self, key: bytes) -> int | None:
        """Returns the last answer of a flow's service once, in microseconds.

        Returns None if there was none since the last call, so that the
        confirmation has its former size.
        """
        seconds = self._last.pop(key[_SERVICE_PART], None)
        return None if seconds is None else round(seconds * 1e6)


@dataclass(slots=True)
class Work:
    """Work of a service in seconds of a slot.

    Attributes:
        mean: moving average.
        deviation: moving average of the distance from the mean.
        samples: number of answers, up to which the average counts each alike.
    """

    mean: float
    deviation: float = 0.0
    samples: int = 0

    def record(self, seconds: float) -> None:
        """Includes one answer."""
        self.samples += 1
        weight = max(SERVICE_WEIGHT, 1 / self.samples)
        distance = abs(seconds - self.mean)
        if self.samples > 1:
            self.deviation += weight * (distance - self.deviation)
        self.mean += weight * (seconds - self.mean)

    @property
    def likely_maximum(self) -> float:
        """Seconds that few answers exceed."""
        return self.mean + 2 * self.deviation


class WorkTable:
    """Work by pool and service, as one balancer learned it."""

    def __init__(self) -> None:
        self._works: OrderedDict[tuple[PoolId | None, ServiceId], Work] = (
            OrderedDict()
        )

    def record(
        self, pool: PoolId | None, service: ServiceId, microseconds: int | None
    ) -> None:
        """Includes an answer that an agent reports.

        Args:
            pool: pool of the agent's target.
            service: service of the flow that the report confirms.
            microseconds: the report, None if it has none.
        """
        if microseconds is None or not 0 < microseconds <= MAX_WORK_S * 1e6:
            return
        key, seconds = (pool, service), max(MIN_WORK_S, microseconds / 1e6)
        work = self._works.get(key)
        if work is None:
            work = self._works[key] = Work(seconds)
        work.record(seconds)
        self._works.move_to_end(key)
        if len(self._works) > MAX_SERVICES:
            self._works.popitem(last=False)

    def find(
        self, pool: PoolId | None, service: ServiceId, default: float
    ) -> Work:
        """Returns the work of a service.

        Args:
            pool: pool that serves it.
            service: id of the service.
            default: seconds while it is unknown: the median of the pool.
        """
        return self._works.get((pool, service)) or Work(default)

    def describe(self) -> dict[str, dict[str, float]]:
        """Returns the learned work as JSON types."""
        return {
            f"{pool}/{service}": {
                "mean_s": round(work.mean, 4),
                "deviation_s": round(work.deviation, 4),
            }
            for (pool, service), work in self._works.items()
        }
