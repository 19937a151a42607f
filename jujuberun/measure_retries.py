"""Measures retries when a third of the targets fail at full load."""

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from jujuberun.admission import Admission
from jujuberun.admission_replay import AdmissionReplay, Attempt, build_replay
from jujuberun.ids import DomainId, Outcome, TargetId
from jujuberun.measure import Options, Report, Row
from jujuberun.retry import (
    RetryBudget,
    choose_delay,
    choose_next_target,
    may_resend,
)
from jujuberun.trace import PHASES, WORKLOADS, Arrival, load_trace
from jujuberun.unbounded_fifo import UnboundedFifoAdmission

FULL_LOAD = 0.95
FAILURE_AT_S = 8.0
FAILURE_DETECTION_S = 1.0  # from the failure until targets get no new requests
ATTEMPT_TIMEOUT_S = 1.0  # added to the work of the request
NAIVE_RETRIES = 3
CALLER_COUNT = 20  # caller processes; each has its own retry budget
MAX_ATTEMPTS = 4
# Limit of the offered work relative to that of first attempts. The retry
# budget adds a tenth by its share and the rest by its minimum rate and burst.
MAX_OFFERED = 1.2
QUICK_END_S = 16.0


@dataclass(slots=True)
class _CallerRequest:
    """A request of a caller and the state of its attempts."""

    arrival: Arrival
    attempts: int = 0
    failed_targets: tuple[TargetId, ...] = ()
    done: bool = False
    answered: float = math.inf


class NaiveCaller:
    """Retries at once, up to NAIVE_RETRIES times, whatever the outcome."""

    def __init__(self, rng: random.Random) -> None:
        pass

    def record_request(self, now: float) -> None:
        """Does nothing."""

    def choose_delay(
        self,
        call: _CallerRequest,
        outcome: Outcome,
        retry_after: float,
        now: float,
    ) -> float | None:
        """Returns the delay of the next attempt, or None for no further one."""
        return 0.0 if call.attempts <= NAIVE_RETRIES else None


class BudgetedCaller:
    """Retries as the caller library does: by the rules of retry.py."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._budget = RetryBudget.from_config()

    def record_request(self, now: float) -> None:
        """Adds a first attempt to the retry budget."""
        self._budget.record_request(now)

    def choose_delay(
        self,
        call: _CallerRequest,
        outcome: Outcome,
        retry_after: float,
        now: float,
    ) -> float | None:
        """Returns the delay of the next attempt, or None for no further one."""
        if call.attempts >= MAX_ATTEMPTS:
            return None
        if not may_resend(outcome, call.arrival.idempotent):
            return None
        delay = choose_delay(call.attempts, self._rng, retry_after)
        if now + delay >= call.arrival.deadline:
            return None
        return delay if self._budget.allow_retry(now) else None


class RetryReplay:
    """Replay of an admission with callers that retry.

    Attributes:
        sent_work: time and work of each attempt, both in seconds.
        calls: requests of the callers.
        repeated_runs: number of repeated runs of non-idempotent requests.
    """

    def __init__(
        self, name: str, build_admission: type, build_caller: type, seed: int
    ) -> None:
        rng = random.Random(seed)
        self._callers = [build_caller(rng) for _ in range(CALLER_COUNT)]
        self._replay: AdmissionReplay = build_replay(
            name, False, build_admission, seed, self._end_attempt
        )
        self._calls: dict[int, _CallerRequest] = {}
        self._current: _CallerRequest | None = None
        self.sent_work: list[tuple[float, float]] = []
        self.calls: list[_CallerRequest] = []
        self.repeated_runs = 0
        self._executed_calls: set[int] = set()

    def run(
        self, arrivals: Sequence[Arrival], dead_targets: set[TargetId]
    ) -> None:
        """Replays the arrivals; the given targets fail at FAILURE_AT_S."""
        replay = self._replay
        for arrival in arrivals:
            call = _CallerRequest(arrival)
            self.calls.append(call)
            replay.schedule(
                arrival.at, lambda now, call=call: self._start_call(call, now)
            )
        replay.schedule(
            FAILURE_AT_S, lambda now: replay.dead_targets.update(dead_targets)
        )
        detected_at = FAILURE_AT_S + FAILURE_DETECTION_S
        replay.schedule(
            detected_at, lambda now: replay.avoided_targets.update(dead_targets)
        )
        replay.run(())

    def _find_caller(
        self, call: _CallerRequest
    ) -> BudgetedCaller | NaiveCaller:
        return self._callers[call.arrival.flow[0] % CALLER_COUNT]

    def _start_call(self, call: _CallerRequest, now: float) -> None:
        self._find_caller(call).record_request(now)
        self._send(call, now)

    def _send(self, call: _CallerRequest, now: float) -> None:
        call.attempts += 1
        self.sent_work.append((now, call.arrival.work))
        number = call.attempts
        self._current = call
        attempt = self._replay.send(
            call.arrival, now, self._choose_target(call)
        )
        self._calls[id(attempt)] = call
        if attempt.refused is None:
            self._replay.schedule(
                now + ATTEMPT_TIMEOUT_S + call.arrival.work,
                lambda now: self._time_out(call, attempt, number, now),
            )

    def _choose_target(self, call: _CallerRequest) -> TargetId | None:
        if not call.failed_targets or isinstance(
            self._find_caller(call), NaiveCaller
        ):
            return None
        replay = self._replay
        live = [
            target
            for target in replay.find_candidates(call.arrival)
            if target not in replay.avoided_targets
        ]
        return choose_next_target(
            live, call.failed_targets, _find_domains(live)
        )

    def _end_attempt(self, attempt: Attempt, now: float) -> None:
        call = self._calls.pop(id(attempt), self._current)
        if attempt.refusal is not None:
            retry_after = attempt.refusal.retry_after
            self._fail(call, attempt, Outcome.NOT_RUN, retry_after, now)
        elif attempt.finished is not None:
            repeated = id(call) in self._executed_calls
            self._executed_calls.add(id(call))
            if repeated and not call.arrival.idempotent:
                self.repeated_runs += 1
            call.done = True
            call.answered = min(call.answered, now)

    def _time_out(
        self, call: _CallerRequest, attempt: Attempt, number: int, now: float
    ) -> None:
        if call.done or call.attempts != number:
            return
        if attempt.finished is None and attempt.refused is None:
            self._fail(call, attempt, Outcome.UNKNOWN, 0.0, now)

    def _fail(
        self,
        call: _CallerRequest,
        attempt: Attempt,
        outcome: Outcome,
        retry_after: float,
        now: float,
    ) -> None:
        if call.done:
            return
        call.failed_targets += (attempt.target,)
        caller = self._find_caller(call)
        delay = caller.choose_delay(call, outcome, retry_after, now)
        if delay is not None:
            self._replay.schedule(
                now + delay, lambda now: self._send(call, now)
            )


def measure(options: Options) -> Report:
    """Replays a failure of a third of the targets.

    Our callers and targets are compared with naive ones.
    """
    rows: list[Row] = []
    for name in WORKLOADS:
        arrivals = scale_to_full_load(name, load_trace(name))
        if options.quick:
            arrivals = [a for a in arrivals if a.at < QUICK_END_S]
        dead_targets = choose_dead_targets(name)
        options.progress(f"retries: {name}")
        figures = []
        for build_admission in (Admission.from_config, UnboundedFifoAdmission):
            for caller in (BudgetedCaller, NaiveCaller):
                replay = RetryReplay(
                    name, build_admission, caller, options.seed
                )
                replay.run(arrivals, dead_targets)
                figures.append(compute_figures(replay, arrivals))
        ours, naive, fifo, fifo_naive = figures
        rows += _build_rows(f"{name}", ours, naive)
        rows += _build_rows(f"{name}, FIFO targets", fifo, fifo_naive)
    return Report("retries", options.seed, tuple(rows))


def scale_to_full_load(name: str, trace: Iterable[Arrival]) -> list[Arrival]:
    """Compresses the quiet phase in time, so that its load is FULL_LOAD."""
    factor = PHASES[0].loads[0] / FULL_LOAD
    return [
        replace(
            arrival,
            at=arrival.at * factor,
            deadline=arrival.at * factor + arrival.deadline - arrival.at,
        )
        for arrival in trace
        if arrival.at < PHASES[0].end
    ]


def choose_dead_targets(name: str) -> set[TargetId]:
    """Returns a third of the targets of each service, rounded."""
    dead_targets = set()
    for workload in WORKLOADS[name]:
        count = workload.slots // 2
        dead_targets |= {
            TargetId(f"{workload.service}-{index}")
            for index in range(round(count / 3))
        }
    return dead_targets


def compute_figures(
    replay: RetryReplay, arrivals: Sequence[Arrival]
) -> tuple[float, float, int]:
    """Returns offered load, useful share and non-idempotent repeats.

    The offered load is the work sent after the failure divided by that of
    first attempts. The useful share is the percentage of the work that was
    answered in time.
    """
    first_work = sum(a.work for a in arrivals if a.at >= FAILURE_AT_S)
    sent_work = sum(work for at, work in replay.sent_work if at >= FAILURE_AT_S)
    useful = sum(
        call.arrival.work
        for call in replay.calls
        if call.arrival.at >= FAILURE_AT_S
        and call.answered <= call.arrival.deadline
    )
    return (
        sent_work / first_work,
        100.0 * useful / first_work,
        replay.repeated_runs,
    )


def _find_domains(targets: Iterable[TargetId]) -> dict[TargetId, DomainId]:
    return {
        target: DomainId(str(int(target.rpartition("-")[2]) % 4))
        for target in targets
    }


def _build_rows(
    label: str,
    ours: tuple[float, float, int],
    naive: tuple[float, float, int],
) -> list[Row]:
    return [
        Row(
            f"{label}: offered work over first attempts",
            ours[0],
            naive[0],
            "times",
            f"<= {MAX_OFFERED:g}",
            ours[0] <= MAX_OFFERED,
        ),
        Row(f"{label}: work answered in time", ours[1], naive[1], "%"),
        Row(
            f"{label}: non-idempotent requests that ran twice",
            ours[2],
            naive[2],
            "requests",
            "= 0",
            ours[2] == 0,
        ),
    ]
