"""Start rates at the agent: how many new flows it accepts, and from whom."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from jujuberun.ids import Address, ServiceId

HANDSHAKE_S = 0.0033  # CPU time of a QUIC handshake, measured
REQUEST_S = 0.0003  # CPU time of a request, measured
CPU_SHARE = 0.7  # of a core, for handshakes and requests together
MIN_START_SHARE = 0.1  # of a core, for handshakes however many requests come
PERIOD_S = 2.0  # interval of compute_grants()
EXPIRES_S = 6.0  # three periods: two lost messages do not lift a limit
LIMIT_AT = 0.6  # grants begin when starts reach this part of the rate
BACKLOGGED_AT = 0.8  # they end when less than this part of them is used
FLOOR_SHARE = 0.2  # part of the rate divided evenly, so that all can begin

Division = Callable[[float, Mapping[Address, float]], dict[Address, float]]


@dataclass(frozen=True, slots=True)
class StartGrant:
    """What a Grant message to one balancer says.

    Attributes:
        balancer: its peer address.
        service: service that the grant is for.
        rate: start packets per second.
        expires: seconds from receipt.
    """

    balancer: Address
    service: ServiceId
    rate: float
    expires: float


@dataclass(slots=True)
class _Demand:
    """Starts of one service in this period, and the last grants."""

    starts: dict[Address, int] = field(default_factory=dict)
    granted: dict[Address, float] = field(default_factory=dict)


def divide_equally(
    rate: float, starts: Mapping[Address, float]
) -> dict[Address, float]:
    """Gives every sender the same part of the rate."""
    return dict.fromkeys(starts, rate / max(1, len(starts)))


def divide_by_use(
    rate: float, starts: Mapping[Address, float]
) -> dict[Address, float]:
    """Gives every sender a floor and divides the rest by its recent starts."""
    total = sum(starts.values())
    if total <= 0.0:
        return divide_equally(rate, starts)
    floor = FLOOR_SHARE * rate / len(starts)
    rest = (1.0 - FLOOR_SHARE) * rate
    return {
        sender: floor + rest * count / total for sender, count in starts.items()
    }


def divide_fairly(
    rate: float, demands: Mapping[ServiceId, float]
) -> dict[ServiceId, float]:
    """Returns the max-min fair shares of a rate.

    Args:
        rate: what there is to divide.
        demands: what each service wants; math.inf for as much as possible.
    """
    shares: dict[ServiceId, float] = {}
    left = rate
    ordered = sorted(demands, key=lambda service: demands[service])
    for index, service in enumerate(ordered):
        share = min(demands[service], left / (len(ordered) - index))
        shares[service] = share
        left -= share
    return shares


class StartShares:
    """Decides the start rates that an agent grants to balancers."""

    def __init__(self, divide: Division) -> None:
        self._divide = divide
        self._services: dict[ServiceId, _Demand] = {}
        self._requests = 0
        self._since = -math.inf

    @classmethod
    def from_config(cls, divide: Division = divide_by_use) -> "StartShares":
        """Builds shares without a limit.

        Args:
            divide: divides a service's rate among balancers.
        """
        return cls(divide)

    def record_start(self, service: ServiceId, balancer: Address) -> None:
        """Counts a start packet that a balancer forwarded here."""
        demand = self._services.setdefault(service, _Demand())
        demand.starts[balancer] = demand.starts.get(balancer, 0) + 1

    def record_request(self) -> None:
        """Counts a request on a known flow."""
        self._requests += 1

    def compute_grants(self, now: float) -> list[StartGrant]:
        """Closes a period; called every PERIOD_S.

        Args:
            now: seconds, monotonic.

        Returns:
            The grants to send; none for services that need no limit.
        """
        passed = now - self._since
        self._since = now
        requests, self._requests = self._requests, 0
        if not PERIOD_S / 2 <= passed <= 3 * PERIOD_S:
            # After a start or a pause the counts say nothing about a rate.
            for demand in self._services.values():
                demand.starts.clear()
            return []
        rate = compute_start_rate(requests / passed)
        rates = {
            service: sum(demand.starts.values()) / passed
            for service, demand in self._services.items()
        }
        limited = any(demand.granted for demand in self._services.values())
        crowded = limited or sum(rates.values()) >= LIMIT_AT * rate
        wanted = self._find_demands(rates, rate)
        shares = divide_fairly(rate, wanted)
        grants: list[StartGrant] = []
        for service, demand in self._services.items():
            # A service that gets all that it wants needs no limit.
            limits = crowded and shares[service] < wanted[service]
            grants += self._grant(service, demand, shares[service], limits)
        self._services = {
            service: demand
            for service, demand in self._services.items()
            if demand.starts or demand.granted
        }
        return grants

    def _find_demands(
        self, rates: dict[ServiceId, float], rate: float
    ) -> dict[ServiceId, float]:
        """Services near their grant or their even part may want any rate."""
        demands = {}
        for service, wanted in rates.items():
            granted = sum(self._services[service].granted.values())
            full = granted or rate / len(rates)
            backlogged = wanted >= BACKLOGGED_AT * full
            demands[service] = math.inf if backlogged else wanted
        return demands

    def _grant(
        self, service: ServiceId, demand: _Demand, share: float, limits: bool
    ) -> list[StartGrant]:
        starts = demand.starts
        demand.granted = self._divide(share, starts) if limits else {}
        # A balancer is forgotten after a whole period without a start.
        demand.starts = {sender: 0 for sender, n in starts.items() if n}
        return [
            StartGrant(balancer, service, rate, EXPIRES_S)
            for balancer, rate in demand.granted.items()
        ]


def compute_start_rate(requests: float) -> float:
    """Returns the new flows per second that an agent accepts.

    Args:
        requests: requests per second on known flows.
    """
    spare = CPU_SHARE - requests * REQUEST_S
    return max(spare, MIN_START_SHARE) / (HANDSHAKE_S + REQUEST_S)
