"""At-most-once register: which request ids have been seen lately."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

import anyio

from jujuberun.ids import Outcome, RequestId
from jujuberun.work import Work, WorkResult, lose, refuse

KEEP_S = 600.0  # an id is known for at least this long
# 36 MB of digests: 600 requests/s, more than one agent's core can pass on.
MAX_RUN_IDS = 360_000
MAX_REFUSED_IDS = 60_000  # refused ids cost no slot, so a flood has many
MAX_KEPT_ANSWERS = 1024
MAX_KEPT_ANSWER_BYTES = 8192
RETRY_AFTER_FULL_S = 5.0
_AGES = 3  # sets; the oldest is dropped every KEEP_S / (_AGES - 1)


class AgedSet:
    """Set whose members are forgotten after one to one and a half KEEP_S."""

    def __init__(self) -> None:
        self._sets: list[set[bytes]] = [set() for _ in range(_AGES)]
        self._rotated: float | None = None

    def __len__(self) -> int:
        """Returns the number of members."""
        return sum(len(members) for members in self._sets)

    def __contains__(self, member: bytes) -> bool:
        """Returns whether the member is known."""
        return any(member in members for members in self._sets)

    def add(self, member: bytes) -> None:
        """Adds a member to the youngest set."""
        self._sets[0].add(member)

    def rotate(self, now: float) -> None:
        """Drops the oldest set when its time is over."""
        period = KEEP_S / (_AGES - 1)
        if self._rotated is None:
            self._rotated = now
        while now - self._rotated >= period and len(self):
            self._rotated += period
            self.drop_oldest()
        if not len(self):
            self._rotated = now

    def drop_oldest(self) -> None:
        """Drops the oldest set."""
        self._sets.pop()
        self._sets.insert(0, set())


class Entry:
    """A request in progress.

    Attributes:
        work: the request.
        done: set once there is a result.
        result: what became of it, None while it is in progress.
    """

    __slots__ = ("done", "result", "work")

    def __init__(self, work: Work) -> None:
        self.work = work
        self.done = anyio.Event()
        self.result: WorkResult | None = None


@dataclass(frozen=True, slots=True)
class First:
    """The id is new; the holder of the entry may run the request."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Second:
    """The request is in progress; its result answers this arrival too."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Settled:
    """The request is not to be run; this is its answer."""

    result: WorkResult


class Register:
    """Decides which arrival of a request id may run."""

    def __init__(self, limit: int = MAX_RUN_IDS) -> None:
        self._limit = limit
        self._open: dict[RequestId, Entry] = {}
        self._run = AgedSet()
        self._refused = AgedSet()
        self._kept: OrderedDict[RequestId, tuple[bytes, WorkResult]] = (
            OrderedDict()
        )

    def claim(self, work: Work, now: float) -> First | Second | Settled:
        """Records the arrival of a request.

        Args:
            work: the request.
            now: seconds, monotonic.

        Returns:
            First once for each id; otherwise what to answer.
        """
        self._run.rotate(now)
        self._refused.rotate(now)
        entry = self._open.get(work.id)
        if entry is not None:
            if _is_same(entry.work, work):
                return Second(entry)
            return Settled(lose("duplicate-request-id"))
        name = _digest(work.id.encode())
        if name in self._run:
            return Settled(self._find_answer(work))
        if name in self._refused:
            return Settled(refuse("duplicate-request-id"))
        if not work.idempotent and self._is_full():
            return Settled(refuse("register-full", RETRY_AFTER_FULL_S))
        entry = self._open[work.id] = Entry(work)
        return First(entry)

    def finish(self, entry: Entry, result: WorkResult, now: float) -> None:
        """Records what became of a request in progress.

        Args:
            entry: what claim returned.
            result: the result for all arrivals of the id.
            now: seconds, monotonic.
        """
        work = entry.work
        entry.result = result
        entry.done.set()
        del self._open[work.id]
        self._run.rotate(now)
        self._refused.rotate(now)
        name = _digest(work.id.encode())
        if result.outcome is Outcome.NOT_RUN:
            if len(self._refused) >= MAX_REFUSED_IDS:
                self._refused.drop_oldest()
            self._refused.add(name)
            return
        # Idempotent work may run twice, so it never makes the register refuse.
        if not work.idempotent or not self._is_full():
            self._run.add(name)
        if len(result.body) <= MAX_KEPT_ANSWER_BYTES:
            self._kept[work.id] = (_digest_work(work), result)
            if len(self._kept) > MAX_KEPT_ANSWERS:
                self._kept.popitem(last=False)

    def describe(self) -> dict[str, Any]:
        """Returns its counts as JSON types."""
        return {
            "open": len(self._open),
            "run": len(self._run),
            "refused": len(self._refused),
        }

    def _is_full(self) -> bool:
        return len(self._run) + len(self._open) >= self._limit

    def _find_answer(self, work: Work) -> WorkResult:
        digest, result = self._kept.get(work.id, (b"", None))
        if result is None or digest != _digest_work(work):
            return lose("duplicate-request-id")
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
