"""Start rates at the balancer: new flows pass as agents have granted."""

import math
import random
from dataclasses import dataclass, field

from jujuberun.ids import Address, ServiceId
from jujuberun.request import Reason, Refuse

BURST_S = 0.1  # a service may save up this much of its rate
MIN_BURST = 2.0  # start packets
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0
PRESSURE_GAIN = 0.01  # weight of the newest packet in the share refused


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one service and the grants behind its rate."""

    rate: float = math.inf  # start packets per second
    tokens: float = MIN_BURST
    filled: float = 0.0
    checked: float = math.inf  # when the first grant expires
    refused: float = 0.0  # share of the last start packets
    agents: int = 0
    grants: dict[Address, tuple[float, float]] = field(default_factory=dict)


class StartLimits:
    """Limits the start packets of services; packets of known flows skip it.

    A service without a valid grant has no limit. An agent that grants nothing
    while others of its service do counts with their mean rate, because the
    flows of a service are spread evenly over its agents.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._buckets: dict[ServiceId, _Bucket] = {}

    @classmethod
    def from_config(cls, rng: random.Random) -> "StartLimits":
        """Builds limits without a grant.

        Args:
            rng: spreads the retry-after times.
        """
        return cls(rng)

    def set_agents(self, counts: dict[ServiceId, int], now: float) -> None:
        """Takes the number of agents of each service from a new manifest.

        Args:
            counts: agents of every service; grants of others are forgotten.
            now: seconds, monotonic.
        """
        for service in self._buckets.keys() - counts.keys():
            del self._buckets[service]
        for service, bucket in self._buckets.items():
            bucket.agents = counts[service]
            self._compute_rate(bucket, now)

    def grant(
        self,
        service: ServiceId,
        agent: Address,
        rate: float,
        expires: float,
        agents: int,
        now: float,
    ) -> None:
        """Records what an agent granted.

        Args:
            service: service that the grant is for.
            agent: peer address of the agent.
            rate: start packets per second that it accepts from here.
            expires: seconds from now until the grant ends.
            agents: number of agents that the service has.
            now: seconds, monotonic.
        """
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = _Bucket(filled=now)
            self._buckets[service] = bucket
        bucket.grants[agent] = (max(0.0, rate), now + expires)
        bucket.agents = agents
        self._compute_rate(bucket, now)

    def check_start(self, service: ServiceId, now: float) -> Refuse | None:
        """Decides on a packet that may start a flow.

        Args:
            service: service that it was sent to.
            now: seconds, monotonic.

        Returns:
            None if it may pass, else the refusal for the caller's reset.
        """
        bucket = self._buckets.get(service)
        if bucket is None:
            return None
        if now >= bucket.checked:
            self._compute_rate(bucket, now)
        rate = bucket.rate
        if rate == math.inf:
            return None
        tokens = bucket.tokens + (now - bucket.filled) * rate
        bucket.tokens = min(tokens, max(MIN_BURST, BURST_S * rate))
        bucket.filled = now
        passes = bucket.tokens >= 1.0
        bucket.refused += PRESSURE_GAIN * ((not passes) - bucket.refused)
        if passes:
            bucket.tokens -= 1.0
            return None
        # Offered packets per accepted one: the callers that wait need so many
        # times longer than one second.
        window = MIN_RETRY_S / max(1e-9, 1.0 - bucket.refused)
        spread = self._rng.uniform(0.5, 1.5)
        return Refuse(Reason.OVERLOADED, min(MAX_RETRY_S, window) * spread)

    def describe(self, now: float) -> dict[str, dict[str, float]]:
        """Returns rate, share refused and number of grants by service."""
        for bucket in self._buckets.values():
            self._compute_rate(bucket, now)
        return {
            service: {
                "rate": bucket.rate,
                "refused_share": round(bucket.refused, 4),
                "grants": len(bucket.grants),
            }
            for service, bucket in self._buckets.items()
            if bucket.grants
        }

    def _compute_rate(self, bucket: _Bucket, now: float) -> None:
        for agent, (_, end) in list(bucket.grants.items()):
            if end <= now:
                del bucket.grants[agent]
        count = len(bucket.grants)
        if not count:
            bucket.rate = bucket.checked = math.inf
            bucket.refused = 0.0
            return
        if bucket.rate == math.inf:
            bucket.filled = now
        total = sum(rate for rate, _ in bucket.grants.values())
        bucket.rate = total * max(bucket.agents, count) / count
        bucket.checked = min(end for _, end in bucket.grants.values())
