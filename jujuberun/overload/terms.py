"""What the callers of a service lose when a start waits or is refused."""

from collections.abc import Iterable
from dataclasses import dataclass

from jujuberun.ids import PoolId, ServiceId, ServiceKind, Urgency
from jujuberun.manifest import Service

# Relative value of an answer by urgency class. Operators state only the order;
# a factor of two is the smallest at which the more urgent of two starts of
# usual work (20 to 40 ms) goes first whatever work each needs.
CLASS_WEIGHTS = {Urgency.URGENT: 4.0, Urgency.NORMAL: 2.0, Urgency.BULK: 1.0}
# A caller may repeat requests of these kinds after any failure. Others run at
# most once and can be repeated only after a refusal, so that a failure after
# their flow opened is final.
REPEATABLE_KINDS = (ServiceKind.IDEMPOTENT, ServiceKind.DOWNLOAD, None)
UNREPEATABLE_WEIGHT = 1.5
# Part of the value that a late answer has until the time limit. Callers give
# it between a tenth and a half.
LATE_VALUE = 0.3
# A caller abandons a start after 1.4 s; a start that has not been placed by
# then has lost its value.
START_LIFETIME_S = 1.3


@dataclass(frozen=True, slots=True)
class StartTerms:
    """What a start of a service is worth, and until when.

    Attributes:
        weight: value of an answer in time, relative to one of class BULK.
        objective: seconds within which callers expect an answer.
        time_limit: seconds after which an answer is worth nothing, 0 if
            unknown.
        is_repeatable: whether the caller may repeat a request that failed
            after its flow opened.
    """

    weight: float
    objective: float
    time_limit: float
    is_repeatable: bool

    @classmethod
    def from_service(cls, service: Service, objective: float) -> "StartTerms":
        """Creates the terms of a service.

        Args:
            service: a service with a time limit or a kind.
            objective: the service's objective, or the default, in seconds.
        """
        weight = CLASS_WEIGHTS[service.urgency]
        is_repeatable = service.kind in REPEATABLE_KINDS
        if not is_repeatable:
            weight *= UNREPEATABLE_WEIGHT
        return cls(weight, objective, service.time_limit, is_repeatable)

    def compute_value(self, span: float) -> float:
        """Returns the value of an answer.

        Args:
            span: seconds from the caller's first packet to the answer.
        """
        if span <= self.objective:
            return self.weight
        if self.time_limit and span > self.time_limit:
            return 0.0
        return LATE_VALUE * self.weight


class TermsTable:
    """Terms of the services in force, as far as they state any."""

    def __init__(self) -> None:
        self._terms: dict[ServiceId, StartTerms] = {}
        self._weights: dict[PoolId, tuple[float, ...]] = {}

    def update(
        self, services: Iterable[Service], default_objective: float
    ) -> None:
        """Takes over the services of a manifest.

        Args:
            services: all services of the manifest.
            default_objective: seconds for services without an objective.
        """
        self._terms = {}
        weights: dict[PoolId, set[float]] = {}
        for service in services:
            if not service.time_limit and service.kind is None:
                continue
            objective = service.objective or default_objective
            terms = StartTerms.from_service(service, objective)
            self._terms[service.id] = terms
            for share in service.pools:
                weights.setdefault(share.pool, set()).add(terms.weight)
        self._weights = {p: tuple(sorted(w)) for p, w in weights.items()}

    def find(self, service: ServiceId) -> StartTerms | None:
        """Returns the terms of a service, None if it does not state any."""
        return self._terms.get(service)

    def list_weights(self, pool: PoolId | None) -> tuple[float, ...]:
        """Returns the different weights of a pool's services, ascending.

        All balancers with one manifest know the same ones.
        """
        return self._weights.get(pool, ())
