"""Passes requests to the target, each at most once."""

import time
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskStatus

from jujuberun.admission import Admission
from jujuberun.backend import SHED_STATUSES, Backend, Evidence
from jujuberun.ids import Outcome, ServiceId
from jujuberun.manifest import Target
from jujuberun.offload import Grant, Offload
from jujuberun.placement import PEERS_FIRST_S
from jujuberun.register import First, Register, Second, Settled
from jujuberun.request import Queue, Refuse, Run
from jujuberun.turn import Place, Turn, TurnState
from jujuberun.work import Work, WorkResult, lose, refuse

PUMP_S = 0.05  # admission may let a request go on by time alone
MAX_OFFERS = 2  # times that one request is handed to a peer
ASKING_PER_SLOT = 2  # bounds the messages of a long queue: 80/s for a slot
OFFER_PAUSE_S = 0.1  # after no peer had a free slot


class Runner:
    """The part "runner" of an agent.

    Attributes:
        slots: requests that the target runs at the same time.
        running: requests and reservations that have a slot.
        draining: True once no peer may reserve a slot any more.
        choose_place: returns where a request of a service should run.
    """

    name = "runner"

    def __init__(
        self,
        slots: int,
        admission: Admission,
        backend: Backend,
        offload: Offload | None = None,
        register: Register | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.slots = slots
        self.running = 0
        self.draining = False
        self._admission = admission
        self._backend = backend
        self._offload = offload
        self._register = register or Register()
        self._clock = clock
        self._waiting: dict[str, Turn] = {}
        self._asking = 0
        self._counts = dict.fromkeys(Outcome, 0)
        self.choose_place: Callable[[ServiceId, float], Place] = (
            lambda service, now: Place.HERE
        )

    @classmethod
    def from_config(
        cls,
        target: Target,
        admission: Admission,
        note: Callable[[Evidence, float], None],
    ) -> "Runner":
        """Builds the runner of one target.

        Args:
            target: the target beside this agent.
            admission: decides which request gets a slot.
            note: is told of each exchange with the target, with the time.
        """
        return cls(target.slots, admission, Backend(target.address, note))

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    def use_offload(self, offload: Offload) -> None:
        """Hands queued requests to peers from now on."""
        self._offload = offload

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Lets queued requests go on as time passes, until cancelled."""
        task_status.started()
        try:
            while True:
                await anyio.sleep(PUMP_S)
                if self._waiting:
                    self._pump()
        finally:
            with anyio.CancelScope(shield=True):
                await self._backend.close()

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns slots, queue and counts as JSON types."""
        return {
            "slots": self.slots,
            "running": self.running,
            "waiting": self.queued,
            "draining": self.draining,
            "outcomes": {k.value: v for k, v in self._counts.items()},
            "register": self._register.describe(),
        }

    async def execute(self, work: Work, now: float) -> WorkResult:
        """Runs a request at most once.

        Cancelling the call withdraws the request: it leaves the queue, or the
        connection to the target is closed.

        Args:
            work: the request.
            now: seconds, monotonic.

        Returns:
            What became of it; NOT_RUN only when no target has received it.
        """
        turn = Turn(work)
        return await self._claim(turn, now, lambda: self._take_turn(turn, now))

    def hold(self, placeholder: Work, now: float) -> bool:
        """Holds an idle slot for a request of a peer.

        Args:
            placeholder: stands for the request in admission.
            now: seconds, monotonic.

        Returns:
            Whether a slot is held; release or execute_held frees it.
        """
        if self.draining or self._waiting or self.running >= self.slots:
            return False
        match self._admission.admit(placeholder, now):
            case Run():
                self.running += 1
                return True
            case Queue():
                self._admission.cancel(placeholder, now)
        return False

    def release(self, placeholder: Work, now: float) -> None:
        """Frees a slot that hold gave."""
        self._free(placeholder, now, refuse("released"))

    async def execute_held(
        self, work: Work, placeholder: Work, now: float
    ) -> WorkResult:
        """Runs a peer's request in the slot of its placeholder."""
        turn = Turn(work)
        result = None
        try:
            result = await self._claim(turn, now, lambda: self._call(turn))
            return result
        finally:
            self._free(placeholder, self._clock(), result)

    async def _claim(
        self, turn: Turn, now: float, act: Callable[[], Any]
    ) -> WorkResult:
        match self._register.claim(turn.work, now):
            case Settled(result):
                return result
            case Second(entry):
                return await self._join(entry, turn.work)
            case First(entry):
                pass
        result = None
        try:
            result = await act()
            return result
        finally:
            if result is None:
                result = (
                    lose("cancelled") if turn.begun else refuse("cancelled")
                )
            self._counts[result.outcome] += 1
            self._register.finish(entry, result, self._clock())

    async def _join(self, entry: Any, work: Work) -> WorkResult:
        with anyio.move_on_after(work.deadline - self._clock()):
            await entry.done.wait()
        return entry.result or lose("deadline")

    async def _take_turn(self, turn: Turn, now: float) -> WorkResult:
        work = turn.work
        place = Place.HERE
        if self._offload is not None:
            place = self.choose_place(work.service, now)
        if place is not Place.HERE:
            wait = work.deadline - now
            if place is Place.PEERS_FIRST:
                wait = min(wait, PEERS_FIRST_S)
            result = await self._try_peers(turn, wait)
            if result is not None:
                return result
            if place is Place.PEERS_ONLY:
                return lose("draining") if turn.lost else refuse("draining")
            now = self._clock()
        match self._admission.admit(work, now):
            case Refuse() as refusal:
                return _convert(refusal)
            case Run():
                self._start(turn)
            case Queue():
                self._waiting[work.id] = turn
        result = None
        try:
            if turn.state is TurnState.WAITING:
                result = await self._wait(turn)
            if result is None:
                result = await self._call(turn)
            if turn.lost and result.outcome is Outcome.NOT_RUN:
                # Not run here, but a peer may have run it before.
                result = lose(result.reason)
            return result
        finally:
            self._leave(turn, result)

    async def _try_peers(self, turn: Turn, wait: float) -> WorkResult | None:
        """Hands a request on before it is admitted here.

        Returns:
            What became of it, or None when no peer had a slot in time, or the
            request may run again.
        """
        reservation = None
        with anyio.move_on_after(wait):
            while reservation is None:
                reservation = await self._reserve(turn.work)
                if reservation is None:
                    await anyio.sleep(OFFER_PAUSE_S)
        if reservation is None:
            return None
        turn.begun = True
        result = await self._offload.hand_on(reservation, turn.work)
        match result.outcome:
            case Outcome.NOT_RUN:
                turn.begun = False
                return None
            case Outcome.UNKNOWN if turn.work.idempotent:
                turn.lost = True
                return None
            case _:
                return result

    async def _wait(self, turn: Turn) -> WorkResult | None:
        """Waits for a slot; a result says that none is needed any more."""
        with anyio.move_on_after(turn.work.deadline - self._clock()):
            if self._offload is None:
                await turn.go.wait()
            else:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._offer, turn)
                    await turn.go.wait()
                    group.cancel_scope.cancel()
        if turn.result is not None:
            return turn.result
        match turn.state:
            case TurnState.STARTED:
                return None
            case TurnState.HANDED:
                return lose("deadline")
            case _:
                turn.state = TurnState.GONE
                return refuse("deadline")

    async def _offer(self, turn: Turn) -> None:
        """Hands the request to a peer unless a slot here is free first."""
        offers = 0
        while turn.state is TurnState.WAITING and offers < MAX_OFFERS:
            reservation = await self._reserve(turn.work)
            if reservation is None:
                await anyio.sleep(OFFER_PAUSE_S)
                continue
            self._pump()
            if turn.state is not TurnState.WAITING:
                self._offload.release(reservation)
                return
            offers += 1
            self._admission.cancel(turn.work, self._clock())
            turn.state = TurnState.HANDED
            turn.begun = True
            result = await self._offload.hand_on(reservation, turn.work)
            if not self._resume(turn, result):
                turn.result = result
                turn.go.set()

    async def _reserve(self, work: Work) -> Grant | None:
        if self._asking >= ASKING_PER_SLOT * self.slots:
            return None
        self._asking += 1
        try:
            return await self._offload.reserve(work)
        finally:
            self._asking -= 1

    def _resume(self, turn: Turn, result: WorkResult) -> bool:
        """Returns whether the request waits here again after a peer's reply."""
        work = turn.work
        match result.outcome:
            case Outcome.ANSWERED:
                return False
            case Outcome.NOT_RUN:
                turn.begun = turn.lost
            case Outcome.UNKNOWN:
                turn.lost = True
                if not work.idempotent:
                    return False
        decision = self._admission.admit(work, self._clock())
        if isinstance(decision, Refuse):
            return False
        turn.state = TurnState.WAITING
        if isinstance(decision, Run):
            self._start(turn)
        return True

    async def _call(self, turn: Turn) -> WorkResult:
        remaining = turn.work.deadline - self._clock()
        if remaining <= 0:
            return refuse("deadline")
        turn.begun = True
        return await self._backend.call(turn.work, remaining)

    def _leave(self, turn: Turn, result: WorkResult | None) -> None:
        work, state, now = turn.work, turn.state, self._clock()
        self._waiting.pop(work.id, None)
        turn.state = TurnState.GONE
        if state is TurnState.STARTED:
            self._free(work, now, result)
            return
        # Also when the deadline has passed: admission may not know yet.
        if self._admission.cancel(work, now):
            self._pump()

    def _free(
        self, holder: Work, now: float, result: WorkResult | None
    ) -> None:
        result = result or lose("cancelled")
        shed = result.status in SHED_STATUSES
        self.running -= 1
        self._admission.finish(holder, now, result.outcome, shed)
        self._pump()
        if self._offload is not None:
            self._offload.grant_waiting(now)

    def _start(self, turn: Turn) -> None:
        turn.state = TurnState.STARTED
        self.running += 1
        turn.go.set()

    def _pump(self) -> None:
        """Starts and refuses queued requests as admission decides."""
        now = self._clock()
        while (request := self._admission.take_next(now)) is not None:
            turn = self._waiting.get(request.id)
            if turn is None or turn.state is not TurnState.WAITING:
                self._admission.finish(request, now, Outcome.NOT_RUN)
                continue
            self._start(turn)
        for request, refusal in self._admission.take_refused(now):
            turn = self._waiting.get(request.id)
            if turn is None or turn.state is not TurnState.WAITING:
                continue
            turn.state = TurnState.GONE
            turn.result = _convert(refusal)
            turn.go.set()


def _convert(refusal: Refuse) -> WorkResult:
    return refuse(refusal.reason.value, refusal.retry_after)
