"""Replays recorded arrivals through admission modules, with an event loop."""

import heapq
import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from jujuberun.admission import Admission
from jujuberun.ids import (
    DomainId,
    Outcome,
    RequestId,
    ServiceId,
    TargetId,
    Urgency,
)
from jujuberun.manifest import Target
from jujuberun.request import Refuse, Request, Run, Verdict
from jujuberun.table import Table
from jujuberun.trace import WORKLOADS, Arrival

TICK_S = 0.05  # how often agents look for expired work
SLOTS = 2  # of each target
DOMAINS = 4


class Gate(Protocol):
    """What the replay needs of an admission."""

    def admit(self, request: Request, now: float) -> Verdict:
        """Decides on a request."""

    def take_next(self, now: float) -> Request | None:
        """Returns the next request for a free slot."""

    def take_refused(self, now: float) -> list[tuple[Request, Refuse]]:
        """Returns requests refused after they were queued."""

    def finish(
        self, request: Request, now: float, outcome: Outcome, shed: bool = False
    ) -> None:
        """Frees a slot."""

    def estimate_wait(self, request: Request, now: float) -> float:
        """Estimates the wait of a request."""


@dataclass(slots=True)
class Attempt:
    """One request on its way through the replay; times in seconds.

    Attributes:
        arrival: the recorded arrival.
        target: where it went.
        request: as admission sees it.
        started: when it got a slot, None if it got none.
        finished: when its work ended.
        refused: when it was refused.
        refusal: the refusal.
    """

    arrival: Arrival
    target: TargetId
    request: Request
    started: float | None = None
    finished: float | None = None
    refused: float | None = None
    refusal: Refuse | None = None

    @property
    def wait(self) -> float:
        """Time from arrival to a slot; infinite without one."""
        if self.started is None:
            return math.inf
        return self.started - self.request.arrived

    @property
    def useful(self) -> bool:
        """Whether it was answered before its deadline."""
        return (
            self.finished is not None and self.finished <= self.arrival.deadline
        )


class Replay:
    """Event loop over the targets of a deployment.

    Attributes:
        attempts: all requests so far, in the order of arrival.
        dead: targets that answer nothing any more.
        known_dead: those of them that get no new requests.
    """

    def __init__(
        self,
        tables: Mapping[ServiceId, Table],
        gates: Mapping[TargetId, Gate],
        urgencies: Mapping[ServiceId, Urgency],
        on_end: Callable[[Attempt, float], None] = lambda attempt, now: None,
    ) -> None:
        self._tables = tables
        self._gates = gates
        self._urgencies = urgencies
        self._on_end = on_end
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = 0
        self._open: dict[RequestId, Attempt] = {}
        self.attempts: list[Attempt] = []
        self.dead: set[TargetId] = set()
        self.known_dead: set[TargetId] = set()

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Calls the action with the time when the time comes."""
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, action))

    def run(self, arrivals: Iterable[Arrival]) -> list[Attempt]:
        """Replays the arrivals until all of them have ended."""
        for arrival in arrivals:
            self.schedule(
                arrival.at, lambda now, arrival=arrival: self.send(arrival, now)
            )
        self.schedule(0.0, self._tick)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.attempts

    def find_candidates(self, arrival: Arrival) -> Sequence[TargetId]:
        """Returns the targets that the flow's table names."""
        return self._tables[arrival.service].find_candidates(arrival.flow)

    def send(
        self, arrival: Arrival, now: float, target: TargetId | None = None
    ) -> Attempt:
        """Sends a request to a target, or the less loaded of two candidates."""
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
        if target in self.dead:
            self._on_end(attempt, now)
            return attempt
        self._open[request.id] = attempt
        match self._gates[target].admit(request, now):
            case Run():
                self._start(attempt, now)
            case Refuse() as refusal:
                self._refuse(attempt, refusal, now)
        return attempt

    def _choose_target(
        self, arrival: Arrival, request: Request, now: float
    ) -> TargetId:
        """Returns the home, or one of two peers that Reserve finds better."""
        candidates = self.find_candidates(arrival)
        live = [t for t in candidates if t not in self.known_dead]
        return min(
            live or candidates,
            key=lambda t: self._gates[t].estimate_wait(request, now),
        )

    def _start(self, attempt: Attempt, now: float) -> None:
        attempt.started = now
        end = now + attempt.arrival.work
        self.schedule(end, lambda now: self._finish(attempt, now))

    def _finish(self, attempt: Attempt, now: float) -> None:
        del self._open[attempt.request.id]
        if attempt.target not in self.dead:
            attempt.finished = now
            gate = self._gates[attempt.target]
            gate.finish(attempt.request, now, Outcome.ANSWERED)
            self._advance(gate, now)
        self._on_end(attempt, now)

    def _refuse(self, attempt: Attempt, refusal: Refuse, now: float) -> None:
        del self._open[attempt.request.id]
        attempt.refused = now
        attempt.refusal = refusal
        self._on_end(attempt, now)

    def _advance(self, gate: Gate, now: float) -> None:
        while (request := gate.take_next(now)) is not None:
            self._start(self._open[request.id], now)
        for request, refusal in gate.take_refused(now):
            self._refuse(self._open[request.id], refusal, now)

    def _tick(self, now: float) -> None:
        for target, gate in self._gates.items():
            if target not in self.dead:
                self._advance(gate, now)
        if self._events:
            self.schedule(now + TICK_S, self._tick)


def build_replay(
    name: str,
    shared: bool,
    build_gate: Callable[[int, random.Random], Gate] = Admission.from_config,
    seed: int = 1,
    on_end: Callable[[Attempt, float], None] = lambda attempt, now: None,
) -> Replay:
    """Builds the targets of a deployment.

    Args:
        name: "montreal" or "great-lakes".
        shared: whether both services use all targets, or each its own.
        build_gate: builds the admission of a target from slots and rng.
        seed: of the retry-after times.
        on_end: called when a request ended, was refused or got lost.
    """
    workloads = WORKLOADS[name]
    targets = [
        Target(
            TargetId(f"{load.service}-{index}"),
            ("127.0.0.1", 1),
            ("127.0.0.1", 2),
            DomainId(f"domain-{index % DOMAINS}"),
            SLOTS,
            2000,
        )
        for load in workloads
        for index in range(load.slots // SLOTS)
    ]
    tables = {
        load.service: Table.from_targets(
            [t for t in targets if shared or t.id.startswith(load.service)]
        )
        for load in workloads
    }
    rng = random.Random(seed)
    gates = {target.id: build_gate(SLOTS, rng) for target in targets}
    urgencies = {
        load.service: urgency
        for load, urgency in zip(
            workloads, (Urgency.URGENT, Urgency.BULK), strict=True
        )
    }
    return Replay(tables, gates, urgencies, on_end)
