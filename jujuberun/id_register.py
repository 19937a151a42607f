"""Register of recent request ids, so that each request runs at most once."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

import anyio

from jujuberun.ids import Outcome, RequestId
from jujuberun.work import Work, WorkResult, make_not_run, make_unknown

ID_RETENTION_S = 600.0  # minimum time for which an id is remembered
# The digests take 36 MB. The limit allows 600 requests/s, which is more than an
# agent can pass on with one core.
MAX_RUN_IDS = 360_000
MAX_REFUSED_IDS = 60_000  # refusals use no slot, so a flood causes many of them
MAX_KEPT_ANSWERS = 1024
MAX_KEPT_ANSWER_BYTES = 8192
RETRY_AFTER_FULL_S = 5.0
# The oldest set is dropped every ID_RETENTION_S / (_SET_COUNT - 1).
_SET_COUNT = 3


class ExpiringSet:
    """Set that forgets a member after 1 to 1.5 times ID_RETENTION_S."""

    def __init__(self) -> None:
        self._sets: list[set[bytes]] = [set() for _ in range(_SET_COUNT)]
        self._last_rotation: float | None = None

    def __len__(self) -> int:
        """Returns the number of members."""
        return sum(len(members) for members in self._sets)

    def __contains__(self, member: bytes) -> bool:
        """Returns whether the set contains the member."""
        return any(member in members for members in self._sets)

    def add(self, member: bytes) -> None:
        """Adds a member to the newest set."""
        self._sets[0].add(member)

    def rotate(self, now: float) -> None:
        """Drops the oldest set for each rotation period that has passed."""
        period = ID_RETENTION_S / (_SET_COUNT - 1)
        if self._last_rotation is None:
            self._last_rotation = now
        while now - self._last_rotation >= period and len(self):
            self._last_rotation += period
            self.drop_oldest()
        if not len(self):
            self._last_rotation = now

    def drop_oldest(self) -> None:
        """Drops the oldest set."""
        self._sets.pop()
        self._sets.insert(0, set())


class ActiveRequest:
    """A request in progress.

    Attributes:
        work: the request.
        done: set once there is a result.
        result: the result, None while the request is in progress.
    """

    __slots__ = ("done", "result", "work")

    def __init__(self, work: Work) -> None:
        self.work = work
        self.done = anyio.Event()
        self.result: WorkResult | None = None


@dataclass(frozen=True, slots=True)
class FirstArrival:
    """The id is new: the request may run, and finish() records its result."""

    request: ActiveRequest


@dataclass(frozen=True, slots=True)
class RepeatedArrival:
    """The request is in progress; its result also answers this arrival."""

    request: ActiveRequest


@dataclass(frozen=True, slots=True)
class Settled:
    """The request must not run; the result is its answer."""

    result: WorkResult


class RequestIdRegister:
    """Decides which arrival of a request id may run, and answers the others."""

    def __init__(self, limit: int = MAX_RUN_IDS) -> None:
        self._limit = limit
        self._active_requests: dict[RequestId, ActiveRequest] = {}
        self._run_ids = ExpiringSet()
        self._refused_ids = ExpiringSet()
        self._kept_answers: OrderedDict[RequestId, tuple[bytes, WorkResult]] = (
            OrderedDict()
        )

    def claim(
        self, work: Work, now: float
    ) -> FirstArrival | RepeatedArrival | Settled:
        """Records the arrival of a request.

        Args:
            work: the request.
            now: seconds, monotonic.

        Returns:
            FirstArrival once for each id; RepeatedArrival while that request
            is in progress; otherwise the answer.
        """
        self._run_ids.rotate(now)
        self._refused_ids.rotate(now)
        active = self._active_requests.get(work.id)
        if active is not None:
            if _is_same(active.work, work):
                return RepeatedArrival(active)
            return Settled(make_unknown("duplicate-request-id"))
        id_digest = _digest(work.id.encode())
        if id_digest in self._run_ids:
            return Settled(self._find_answer(work))
        if id_digest in self._refused_ids:
            return Settled(make_not_run("duplicate-request-id"))
        if not work.idempotent and self._is_full():
            return Settled(make_not_run("register-full", RETRY_AFTER_FULL_S))
        active = self._active_requests[work.id] = ActiveRequest(work)
        return FirstArrival(active)

    def finish(
        self, active: ActiveRequest, result: WorkResult, now: float
    ) -> None:
        """Records the result of a request in progress.

        Args:
            active: the request of the FirstArrival that claim returned.
            result: the result for all arrivals of the id.
            now: seconds, monotonic.
        """
        work = active.work
        active.result = result
        active.done.set()
        del self._active_requests[work.id]
        self._run_ids.rotate(now)
        self._refused_ids.rotate(now)
        id_digest = _digest(work.id.encode())
        if result.outcome is Outcome.NOT_RUN:
            if len(self._refused_ids) >= MAX_REFUSED_IDS:
                self._refused_ids.drop_oldest()
            self._refused_ids.add(id_digest)
            return
        # Idempotent requests may run twice. If the register is full, they are
        # not refused, but their ids are not recorded.
        if not work.idempotent or not self._is_full():
            self._run_ids.add(id_digest)
        if len(result.body) <= MAX_KEPT_ANSWER_BYTES:
            self._kept_answers[work.id] = (_digest_work(work), result)
            if len(self._kept_answers) > MAX_KEPT_ANSWERS:
                self._kept_answers.popitem(last=False)

    def describe(self) -> dict[str, Any]:
        """Returns the numbers of active, run and refused ids as JSON types."""
        return {
            "open": len(self._active_requests),
            "run": len(self._run_ids),
            "refused": len(self._refused_ids),
        }

    def _is_full(self) -> bool:
        return len(self._run_ids) + len(self._active_requests) >= self._limit

    def _find_answer(self, work: Work) -> WorkResult:
        digest, result = self._kept_answers.get(work.id, (b"", None))
        if result is None or digest != _digest_work(work):
            return make_unknown("duplicate-request-id")
        return result


def _is_same(one: Work, other: Work) -> bool:
    return (one.service, one.method, one.path, one.body) == (
        other.service,
        other.method,
        other.path,
        other.body,
    )


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=16).digest()


def _digest_work(work: Work) -> bytes:
    head = f"{work.service} {work.method} {work.path}\0".encode()
    return _digest(head + work.body)
