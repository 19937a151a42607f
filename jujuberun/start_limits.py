"""Start rates at the balancer: limits new flows to what agents granted."""

import math
import random
from dataclasses import dataclass, field

from jujuberun.ids import Address, ServiceId
from jujuberun.request import Reason, Refusal

BURST_S = 0.1  # capacity of a token bucket: its rate times this time
MIN_BURST_PACKETS = 2.0
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
REFUSED_SHARE_GAIN = 0.01  # weight of the newest packet in refused_share


@dataclass(slots=True)
class _TokenBucket:
    """Token bucket of one service, filled at the rate that its grants allow."""

    rate: float = math.inf  # start packets per second
    tokens: float = MIN_BURST_PACKETS
    filled_at: float = 0.0
    next_expiry: float = math.inf  # earliest expiry of a grant
    refused_share: float = 0.0  # moving mean over the last start packets
    agent_count: int = 0
    # Rate and expiry by peer address of the agent.
    grants: dict[Address, tuple[float, float]] = field(default_factory=dict)


class StartLimits:
    """Limits the rate of start packets per service.

    Packets of known flows are not checked here. A service without a valid grant
    has no limit. If only some agents of a service have granted a rate, each of
    the others counts with the mean of the granted rates, because the flows of a
    service are spread evenly over its agents.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._buckets: dict[ServiceId, _TokenBucket] = {}

    @classmethod
    def from_config(cls, rng: random.Random) -> "StartLimits":
        """Creates limits without any grant.

        Args:
            rng: source of the jitter of retry-after times.
        """
        return cls(rng)

    def set_agent_counts(
        self, counts: dict[ServiceId, int], now: float
    ) -> None:
        """Sets the number of agents of each service from a new manifest.

        Args:
            counts: number of agents by service; grants of services that are not
                listed are removed.
            now: seconds, monotonic.
        """
        for service in self._buckets.keys() - counts.keys():
            del self._buckets[service]
        for service, bucket in self._buckets.items():
            bucket.agent_count = counts[service]
            self._update_rate(bucket, now)

    def grant(
        self,
        service: ServiceId,
        agent: Address,
        rate: float,
        expires: float,
        agent_count: int,
        now: float,
    ) -> None:
        """Records a grant of an agent.

        Args:
            service: service that the grant is for.
            agent: peer address of the agent.
            rate: start packets per second that it accepts from this balancer.
            expires: seconds from now until the grant ends.
            agent_count: number of agents of the service.
            now: seconds, monotonic.
        """
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = _TokenBucket(filled_at=now)
            self._buckets[service] = bucket
        bucket.grants[agent] = (max(0.0, rate), now + expires)
        bucket.agent_count = agent_count
        self._update_rate(bucket, now)

    def check_start(self, service: ServiceId, now: float) -> Refusal | None:
        """Passes or refuses a packet that may start a flow.

        Args:
            service: service that it was sent to.
            now: seconds, monotonic.

        Returns:
            None if the packet may pass, else the refusal to send in a reset to
            the caller.
        """
        bucket = self._buckets.get(service)
        if bucket is None:
            return None
        if now >= bucket.next_expiry:
            self._update_rate(bucket, now)
        rate = bucket.rate
        if rate == math.inf:
            return None
        tokens = bucket.tokens + (now - bucket.filled_at) * rate
        bucket.tokens = min(tokens, max(MIN_BURST_PACKETS, BURST_S * rate))
        bucket.filled_at = now
        passes = bucket.tokens >= 1.0
        bucket.refused_share += REFUSED_SHARE_GAIN * (
            (not passes) - bucket.refused_share
        )
        if passes:
            bucket.tokens -= 1.0
            return None
        # 1 / (1 - refused_share) packets are offered per accepted one, so
        # callers must wait that many times the minimum retry-after time.
        retry_after = MIN_RETRY_AFTER_S / max(1e-9, 1.0 - bucket.refused_share)
        jitter = self._rng.uniform(0.5, 1.5)
        return Refusal(
            Reason.OVERLOADED, min(MAX_RETRY_AFTER_S, retry_after) * jitter
        )

    def describe(self, now: float) -> dict[str, dict[str, float]]:
        """Returns rate, refused share and number of grants by service."""
        for bucket in self._buckets.values():
            self._update_rate(bucket, now)
        return {
            service: {
                "rate": bucket.rate,
                "refused_share": round(bucket.refused_share, 4),
                "grants": len(bucket.grants),
            }
            for service, bucket in self._buckets.items()
            if bucket.grants
        }

    def _update_rate(self, bucket: _TokenBucket, now: float) -> None:
        for agent, (_, expiry) in list(bucket.grants.items()):
            if expiry <= now:
                del bucket.grants[agent]
        count = len(bucket.grants)
        if not count:
            bucket.rate = bucket.next_expiry = math.inf
            bucket.refused_share = 0.0
            return
        if bucket.rate == math.inf:
            bucket.filled_at = now
        total = sum(rate for rate, _ in bucket.grants.values())
        bucket.rate = total * max(bucket.agent_count, count) / count
        bucket.next_expiry = min(expiry for _, expiry in bucket.grants.values())
