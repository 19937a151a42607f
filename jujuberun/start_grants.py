"""Start rates at the agent: the new flows that each balancer may send."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from jujuberun.ids import Address, ServiceId

HANDSHAKE_CPU_S = 0.0033  # CPU time of a QUIC handshake
REQUEST_CPU_S = 0.0003  # CPU time of a request
CPU_SHARE = 0.7  # fraction of a core for handshakes and requests together
# Fraction of a core for handshakes, however many requests arrive.
MIN_HANDSHAKE_CPU_SHARE = 0.1
GRANT_PERIOD_S = 2.0  # interval of compute_grants()
GRANT_LIFETIME_S = 6.0  # three periods: a limit survives two lost messages
LIMIT_THRESHOLD = 0.6  # grants begin if starts reach this fraction of the rate
# If a service uses at least this fraction of its grant, its demand counts as
# unbounded; otherwise its demand is what it uses, and its grant usually ends.
BACKLOG_THRESHOLD = 0.8
# Fraction of the rate that is divided evenly, so that a balancer without recent
# starts can send new ones.
EVEN_SHARE = 0.2

DivideFunction = Callable[
    [float, Mapping[Address, float]], dict[Address, float]
]


@dataclass(frozen=True, slots=True)
class StartGrant:
    """The start rate granted to one balancer, as sent in a Grant message.

    Attributes:
        balancer: peer address of the balancer.
        service: service that the grant is for.
        rate: start packets per second.
        expires: lifetime, seconds from receipt.
    """

    balancer: Address
    service: ServiceId
    rate: float
    expires: float


@dataclass(slots=True)
class _StartRecord:
    """Starts of one service in this period and its last grants, by balancer."""

    starts: dict[Address, int] = field(default_factory=dict)
    granted: dict[Address, float] = field(default_factory=dict)


def divide_equally(
    rate: float, starts: Mapping[Address, float]
) -> dict[Address, float]:
    """Divides the rate equally among the senders."""
    return dict.fromkeys(starts, rate / max(1, len(starts)))


def divide_by_use(
    rate: float, starts: Mapping[Address, float]
) -> dict[Address, float]:
    """Divides EVEN_SHARE evenly and the rest in proportion to recent starts."""
    total = sum(starts.values())
    if total <= 0.0:
        return divide_equally(rate, starts)
    even_part = EVEN_SHARE * rate / len(starts)
    rest = (1.0 - EVEN_SHARE) * rate
    return {
        sender: even_part + rest * count / total
        for sender, count in starts.items()
    }


def divide_max_min(
    rate: float, demands: Mapping[ServiceId, float]
) -> dict[ServiceId, float]:
    """Returns the max-min fair shares of a rate.

    Args:
        rate: rate to divide.
        demands: rate that each service wants; math.inf for no upper bound.
    """
    shares: dict[ServiceId, float] = {}
    remaining = rate
    ordered = sorted(demands, key=lambda service: demands[service])
    for index, service in enumerate(ordered):
        share = min(demands[service], remaining / (len(ordered) - index))
        shares[service] = share
        remaining -= share
    return shares


class StartGrants:
    """Computes the start rates that an agent grants to balancers."""

    def __init__(self, divide: DivideFunction) -> None:
        self._divide = divide
        self._services: dict[ServiceId, _StartRecord] = {}
        self._request_count = 0
        self._period_start = -math.inf

    @classmethod
    def from_config(
        cls, divide: DivideFunction = divide_by_use
    ) -> "StartGrants":
        """Creates an instance that has granted nothing yet.

        Args:
            divide: function that divides a service's rate among balancers.
        """
        return cls(divide)

    def record_start(self, service: ServiceId, balancer: Address) -> None:
        """Counts a start packet that a balancer forwarded to this agent."""
        record = self._services.setdefault(service, _StartRecord())
        record.starts[balancer] = record.starts.get(balancer, 0) + 1

    def record_request(self) -> None:
        """Counts a request on a known flow."""
        self._request_count += 1

    def compute_grants(self, now: float) -> list[StartGrant]:
        """Ends a period and computes its grants; called every GRANT_PERIOD_S.

        Args:
            now: seconds, monotonic.

        Returns:
            The grants to send; none for a service that needs no limit.
        """
        elapsed = now - self._period_start
        self._period_start = now
        requests, self._request_count = self._request_count, 0
        if not GRANT_PERIOD_S / 2 <= elapsed <= 3 * GRANT_PERIOD_S:
            # After the agent starts or pauses, the counts give no valid rate.
            for record in self._services.values():
                record.starts.clear()
            return []
        rate = compute_start_rate(requests / elapsed)
        rates = {
            service: sum(record.starts.values()) / elapsed
            for service, record in self._services.items()
        }
        has_grants = any(record.granted for record in self._services.values())
        is_near_limit = (
            has_grants or sum(rates.values()) >= LIMIT_THRESHOLD * rate
        )
        demands = self._estimate_demands(rates, rate)
        shares = divide_max_min(rate, demands)
        grants: list[StartGrant] = []
        for service, record in self._services.items():
            # A service whose share covers its demand needs no limit.
            is_limited = is_near_limit and shares[service] < demands[service]
            grants += self._make_grants(
                service, record, shares[service], is_limited
            )
        self._services = {
            service: record
            for service, record in self._services.items()
            if record.starts or record.granted
        }
        return grants

    def _estimate_demands(
        self, rates: dict[ServiceId, float], rate: float
    ) -> dict[ServiceId, float]:
        """Estimates the demand of each service, start packets per second.

        It is unbounded, math.inf, for a service that uses almost its whole
        grant, or almost an equal share of the rate if it has no grant.
        """
        demands = {}
        for service, offered in rates.items():
            granted = sum(self._services[service].granted.values())
            allotted = granted or rate / len(rates)
            backlogged = offered >= BACKLOG_THRESHOLD * allotted
            demands[service] = math.inf if backlogged else offered
        return demands

    def _make_grants(
        self,
        service: ServiceId,
        record: _StartRecord,
        share: float,
        is_limited: bool,
    ) -> list[StartGrant]:
        starts = record.starts
        record.granted = self._divide(share, starts) if is_limited else {}
        # A balancer is forgotten after a whole period without a start.
        record.starts = {sender: 0 for sender, n in starts.items() if n}
        return [
            StartGrant(balancer, service, rate, GRANT_LIFETIME_S)
            for balancer, rate in record.granted.items()
        ]


def compute_start_rate(requests: float) -> float:
    """Returns the rate of new flows that an agent accepts, per second.

    Args:
        requests: requests per second on known flows.
    """
    spare = CPU_SHARE - requests * REQUEST_CPU_S
    return max(spare, MIN_HANDSHAKE_CPU_SHARE) / (
        HANDSHAKE_CPU_S + REQUEST_CPU_S
    )
