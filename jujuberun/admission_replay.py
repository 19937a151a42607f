"""Replays the arrivals of a trace through the admission of targets."""

import heapq
import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from jujuberun.admission import Admission
from jujuberun.candidate_table import CandidateTable
from jujuberun.ids import (
    DomainId,
    Outcome,
    RequestId,
    ServiceId,
    TargetId,
    Urgency,
)
from jujuberun.manifest import Target
from jujuberun.request import Admit, Decision, Refusal, Request
from jujuberun.trace import WORKLOADS, Arrival

EXPIRY_CHECK_PERIOD_S = 0.05  # between searches for expired requests
SLOTS_PER_TARGET = 2
DOMAIN_COUNT = 4


class AdmissionControl(Protocol):
    """Interface of an admission that can be replayed."""

    def admit(self, request: Request, now: float) -> Decision:
        """Decides on a request."""

    def take_next(self, now: float) -> Request | None:
        """Returns the next request for a free slot."""

    def take_refused(self, now: float) -> list[tuple[Request, Refusal]]:
        """Returns requests refused after they were queued."""

    def finish(
        self, request: Request, now: float, outcome: Outcome, shed: bool = False
    ) -> None:
        """Frees the slot of a request."""

    def estimate_wait(self, request: Request, now: float) -> float:
        """Estimates the wait of a request; replays only compare the results."""


@dataclass(slots=True)
class Attempt:
    """One attempt to run a request; times are in seconds.

    Attributes:
        arrival: arrival in the trace.
        target: target that the request was sent to.
        request: request given to the admission of the target.
        started: time when it got a slot, None if it got none.
        finished: time when it was answered, None if it was not.
        refused: time when it was refused, None if it was not.
        refusal: the refusal, None if it was not refused.
    """

    arrival: Arrival
    target: TargetId
    request: Request
    started: float | None = None
    finished: float | None = None
    refused: float | None = None
    refusal: Refusal | None = None

    @property
    def wait(self) -> float:
        """Seconds from arrival until it got a slot, infinite if it got none."""
        if self.started is None:
            return math.inf
        return self.started - self.request.arrived

    @property
    def useful(self) -> bool:
        """Whether it was answered by its deadline."""
        return (
            self.finished is not None and self.finished <= self.arrival.deadline
        )


class AdmissionReplay:
    """Simulation of the targets of a deployment with their admission.

    Attributes:
        attempts: all attempts so far, in the order in which they were sent.
        dead_targets: targets that have stopped answering.
        avoided_targets: dead targets that get no new requests because their
            failure has been detected.
    """

    def __init__(
        self,
        tables: Mapping[ServiceId, CandidateTable],
        admissions: Mapping[TargetId, AdmissionControl],
        urgencies: Mapping[ServiceId, Urgency],
        on_end: Callable[[Attempt, float], None] = lambda attempt, now: None,
    ) -> None:
        self._tables = tables
        self._admissions = admissions
        self._urgencies = urgencies
        self._on_end = on_end
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_count = 0
        self._open_attempts: dict[RequestId, Attempt] = {}
        self.attempts: list[Attempt] = []
        self.dead_targets: set[TargetId] = set()
        self.avoided_targets: set[TargetId] = set()

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Schedules a call of the action, which gets the current time."""
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, action))

    def run(self, arrivals: Iterable[Arrival]) -> list[Attempt]:
        """Replays the arrivals until all of them have ended."""
        for arrival in arrivals:
            self.schedule(
                arrival.at, lambda now, arrival=arrival: self.send(arrival, now)
            )
        self.schedule(0.0, self._check_queues)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.attempts

    def find_candidates(self, arrival: Arrival) -> Sequence[TargetId]:
        """Returns the candidate targets of the arrival's flow."""
        return self._tables[arrival.service].find_candidates(arrival.flow)

    def send(
        self, arrival: Arrival, now: float, target: TargetId | None = None
    ) -> Attempt:
        """Sends a request to a target.

        If no target is given, it goes to the candidate with the shorter
        estimated wait.
        """
        request = Request(
            RequestId(str(len(self.attempts))),
            arrival.service,
            self._urgencies[arrival.service],
            arrival.deadline,
            arrival.idempotent,
            now,
        )
        if target is None:
            target = self._choose_target(arrival, request, now)
        attempt = Attempt(arrival, target, request)
        self.attempts.append(attempt)
        if target in self.dead_targets:
            self._on_end(attempt, now)
            return attempt
        self._open_attempts[request.id] = attempt
        match self._admissions[target].admit(request, now):
            case Admit():
                self._start_attempt(attempt, now)
            case Refusal() as refusal:
                self._refuse_attempt(attempt, refusal, now)
        return attempt

    def _choose_target(
        self, arrival: Arrival, request: Request, now: float
    ) -> TargetId:
        """Returns the candidate with the shortest estimated wait.

        Avoided targets are left out unless all candidates are avoided. The
        choice stands in for the Reserve messages that agents send to peers.
        """
        candidates = self.find_candidates(arrival)
        live = [t for t in candidates if t not in self.avoided_targets]
        return min(
            live or candidates,
            key=lambda t: self._admissions[t].estimate_wait(request, now),
        )

    def _start_attempt(self, attempt: Attempt, now: float) -> None:
        attempt.started = now
        end = now + attempt.arrival.work
        self.schedule(end, lambda now: self._finish_attempt(attempt, now))

    def _finish_attempt(self, attempt: Attempt, now: float) -> None:
        del self._open_attempts[attempt.request.id]
        if attempt.target not in self.dead_targets:
            attempt.finished = now
            admission = self._admissions[attempt.target]
            admission.finish(attempt.request, now, Outcome.ANSWERED)
            self._update_queue(admission, now)
        self._on_end(attempt, now)

    def _refuse_attempt(
        self, attempt: Attempt, refusal: Refusal, now: float
    ) -> None:
        del self._open_attempts[attempt.request.id]
        attempt.refused = now
        attempt.refusal = refusal
        self._on_end(attempt, now)

    def _update_queue(self, admission: AdmissionControl, now: float) -> None:
        while (request := admission.take_next(now)) is not None:
            self._start_attempt(self._open_attempts[request.id], now)
        for request, refusal in admission.take_refused(now):
            self._refuse_attempt(self._open_attempts[request.id], refusal, now)

    def _check_queues(self, now: float) -> None:
        for target, admission in self._admissions.items():
            if target not in self.dead_targets:
                self._update_queue(admission, now)
        if self._events:
            self.schedule(now + EXPIRY_CHECK_PERIOD_S, self._check_queues)


def build_replay(
    name: str,
    shared: bool,
    build_admission: Callable[
        [int, random.Random], AdmissionControl
    ] = Admission.from_config,
    seed: int = 1,
    on_end: Callable[[Attempt, float], None] = lambda attempt, now: None,
) -> AdmissionReplay:
    """Builds a replay of the targets of a deployment.

    Args:
        name: "montreal" or "great-lakes".
        shared: whether both services use all targets; otherwise each
            service has its own targets.
        build_admission: builds the admission of a target from its number of
            slots and a random generator.
        seed: seed of the retry-after times.
        on_end: called when a request was answered, was refused or was lost
            with its target.
    """
    workloads = WORKLOADS[name]
    targets = [
        Target(
            TargetId(f"{workload.service}-{index}"),
            ("127.0.0.1", 1),
            ("127.0.0.1", 2),
            DomainId(f"domain-{index % DOMAIN_COUNT}"),
            SLOTS_PER_TARGET,
            2000,
        )
        for workload in workloads
        for index in range(workload.slots // SLOTS_PER_TARGET)
    ]
    tables = {
        workload.service: CandidateTable.from_targets(
            [t for t in targets if shared or t.id.startswith(workload.service)]
        )
        for workload in workloads
    }
    rng = random.Random(seed)
    admissions = {
        target.id: build_admission(SLOTS_PER_TARGET, rng) for target in targets
    }
    urgencies = {
        workload.service: urgency
        for workload, urgency in zip(
            workloads, (Urgency.URGENT, Urgency.BULK), strict=True
        )
    }
    return AdmissionReplay(tables, admissions, urgencies, on_end)
