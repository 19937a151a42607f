"""Passes each request to the target at most once."""

import time
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskStatus

from jujuberun.admission import Admission
from jujuberun.backend import SHED_STATUSES, Backend, Exchange
from jujuberun.containment.units import contain_errors
from jujuberun.id_register import (
    FirstArrival,
    RepeatedArrival,
    RequestIdRegister,
    Settled,
)
from jujuberun.ids import Outcome, ServiceId
from jujuberun.manifest import Target
from jujuberun.offload import Offload, Reservation
from jujuberun.pending_request import PendingRequest, RequestState, RunLocation
from jujuberun.placement import PEERS_FIRST_S
from jujuberun.request import Admit, Queued, Refusal
from jujuberun.work import Work, WorkResult, make_not_run, make_unknown

ADMISSION_POLL_INTERVAL_S = 0.05  # some decisions depend on time alone
MAX_HAND_ONS = 2  # attempts to hand one queued request to a peer
INQUIRIES_PER_SLOT = 2  # a long queue sends at most 80 messages/s per slot
INQUIRY_PAUSE_S = 0.1  # wait before the next inquiry if no peer had a slot


class Runner:
    """Kernel part of an agent that runs requests at its target.

    Attributes:
        slots: number of requests that the target may run at the same time.
        running: number of requests and reservations that hold a slot.
        draining: True once peers may no longer reserve slots.
        choose_place: returns where a request of a service should run.
    """

    name = "runner"

    def __init__(
        self,
        slots: int,
        admission: Admission,
        backend: Backend,
        offload: Offload | None = None,
        register: RequestIdRegister | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.slots = slots
        self.running = 0
        self.draining = False
        self._admission = admission
        self._backend = backend
        self._offload = offload
        self._register = register or RequestIdRegister()
        self._clock = clock
        self._waiting: dict[str, PendingRequest] = {}
        self._open_inquiries = 0
        self._counts = dict.fromkeys(Outcome, 0)
        self.choose_place: Callable[[ServiceId, float], RunLocation] = (
            lambda service, now: RunLocation.HERE
        )

    @classmethod
    def from_config(
        cls,
        target: Target,
        admission: Admission,
        observe: Callable[[Exchange, float], None],
    ) -> "Runner":
        """Builds the runner of one target.

        Args:
            target: the target beside this agent.
            admission: decides which request gets a slot.
            observe: called after each exchange with the target, with the time.
        """
        return cls(target.slots, admission, Backend(target.address, observe))

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def use_offload(self, offload: Offload) -> None:
        """Sets the offload that hands queued requests to peers."""
        self._offload = offload

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Starts and refuses queued requests over time, until cancelled."""
        task_status.started()
        try:
            while True:
                await anyio.sleep(ADMISSION_POLL_INTERVAL_S)
                if self._waiting:
                    with contain_errors("check of the queue"):
                        self._process_queue()
        finally:
            with anyio.CancelScope(shield=True):
                await self._backend.close()

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the state of slots, queue and counters as JSON types."""
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

        Cancelling the call cancels the request: it is removed from the queue,
        or the connection to the target is closed.

        Args:
            work: the request.
            now: seconds, monotonic.

        Returns:
            The result; NOT_RUN only if no target has received the request.
        """
        pending = PendingRequest(work)
        return await self._run_once(
            pending, now, lambda: self._admit_and_run(pending, now)
        )

    def reserve_slot(self, placeholder: Work, now: float) -> bool:
        """Reserves an idle slot for a request of a peer.

        Args:
            placeholder: represents the peer's request in admission control.
            now: seconds, monotonic.

        Returns:
            True if it is reserved. release_slot or execute_reserved frees it.
        """
        if self.draining or self._waiting or self.running >= self.slots:
            return False
        match self._admission.admit(placeholder, now):
            case Admit():
                self.running += 1
                return True
            case Queued():
                self._admission.cancel(placeholder, now)
        return False

    def release_slot(self, placeholder: Work, now: float) -> None:
        """Frees a slot reserved by reserve_slot."""
        self._free_slot(placeholder, now, make_not_run("released"))

    async def execute_reserved(
        self, work: Work, placeholder: Work, now: float
    ) -> WorkResult:
        """Runs a peer's request in the slot reserved for its placeholder."""
        pending = PendingRequest(work)
        result = None
        try:
            result = await self._run_once(
                pending, now, lambda: self._call_target(pending)
            )
            return result
        finally:
            self._free_slot(placeholder, self._clock(), result)

    async def _run_once(
        self, pending: PendingRequest, now: float, execute: Callable[[], Any]
    ) -> WorkResult:
        match self._register.claim(pending.work, now):
            case Settled(result):
                return result
            case RepeatedArrival(active):
                return await self._await_result(active, pending.work)
            case FirstArrival(active):
                pass
        result = None
        try:
            result = await execute()
            return result
        finally:
            if result is None:
                result = (
                    make_unknown("cancelled")
                    if pending.may_have_started
                    else make_not_run("cancelled")
                )
            self._counts[result.outcome] += 1
            self._register.finish(active, result, self._clock())

    async def _await_result(self, active: Any, work: Work) -> WorkResult:
        with anyio.move_on_after(work.deadline - self._clock()):
            await active.done.wait()
        return active.result or make_unknown("deadline")

    async def _admit_and_run(
        self, pending: PendingRequest, now: float
    ) -> WorkResult:
        work = pending.work
        place = RunLocation.HERE
        if self._offload is not None:
            place = self.choose_place(work.service, now)
        if place is not RunLocation.HERE:
            wait = work.deadline - now
            if place is RunLocation.PEERS_FIRST:
                wait = min(wait, PEERS_FIRST_S)
            result = await self._try_peers(pending, wait)
            if result is not None:
                return result
            if place is RunLocation.PEERS_ONLY:
                return (
                    make_unknown("draining")
                    if pending.reply_lost
                    else make_not_run("draining")
                )
            now = self._clock()
        match self._admission.admit(work, now):
            case Refusal() as refusal:
                return _convert_refusal(refusal)
            case Admit():
                self._start(pending)
            case Queued():
                self._waiting[work.id] = pending
        result = None
        try:
            if pending.state is RequestState.WAITING:
                result = await self._await_slot(pending)
            if result is None:
                result = await self._call_target(pending)
            if pending.reply_lost and result.outcome is Outcome.NOT_RUN:
                # It did not run here, but a peer may have run it before.
                result = make_unknown(result.reason)
            return result
        finally:
            self._end(pending, result)

    async def _try_peers(
        self, pending: PendingRequest, wait: float
    ) -> WorkResult | None:
        """Hands a request to a peer before it is admitted here.

        Returns:
            The result, or None if the request may run here: no peer had a slot
            in time, the peer did not run it, or it is idempotent and its
            outcome is unknown.
        """
        reservation = None
        with anyio.move_on_after(wait):
            while reservation is None:
                reservation = await self._reserve(pending.work)
                if reservation is None:
                    await anyio.sleep(INQUIRY_PAUSE_S)
        if reservation is None:
            return None
        pending.may_have_started = True
        result = await self._offload.hand_on(reservation, pending.work)
        match result.outcome:
            case Outcome.NOT_RUN:
                pending.may_have_started = False
                return None
            case Outcome.UNKNOWN if pending.work.idempotent:
                pending.reply_lost = True
                return None
            case _:
                return result

    async def _await_slot(self, pending: PendingRequest) -> WorkResult | None:
        """Waits for a slot; returns None if it got one, else the result."""
        with anyio.move_on_after(pending.work.deadline - self._clock()):
            if self._offload is None:
                await pending.wait_ended.wait()
            else:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._offer_to_peers, pending)
                    await pending.wait_ended.wait()
                    group.cancel_scope.cancel()
        if pending.result is not None:
            return pending.result
        match pending.state:
            case RequestState.STARTED:
                return None
            case RequestState.HANDED_ON:
                return make_unknown("deadline")
            case _:
                pending.state = RequestState.ENDED
                return make_not_run("deadline")

    async def _offer_to_peers(self, pending: PendingRequest) -> None:
        """Hands the request to a peer unless it gets a slot here first."""
        hand_ons = 0
        while pending.state is RequestState.WAITING and hand_ons < MAX_HAND_ONS:
            reservation = await self._reserve(pending.work)
            if reservation is None:
                await anyio.sleep(INQUIRY_PAUSE_S)
                continue
            self._process_queue()
            if pending.state is not RequestState.WAITING:
                self._offload.release(reservation)
                return
            hand_ons += 1
            self._admission.cancel(pending.work, self._clock())
            pending.state = RequestState.HANDED_ON
            pending.may_have_started = True
            result = await self._offload.hand_on(reservation, pending.work)
            if not self._requeue(pending, result):
                pending.result = result
                pending.wait_ended.set()

    async def _reserve(self, work: Work) -> Reservation | None:
        if self._open_inquiries >= INQUIRIES_PER_SLOT * self.slots:
            return None
        self._open_inquiries += 1
        try:
            return await self._offload.reserve(work)
        finally:
            self._open_inquiries -= 1

    def _requeue(self, pending: PendingRequest, result: WorkResult) -> bool:
        """Readmits a request after a peer's reply; returns whether it did."""
        work = pending.work
        match result.outcome:
            case Outcome.ANSWERED:
                return False
            case Outcome.NOT_RUN:
                pending.may_have_started = pending.reply_lost
            case Outcome.UNKNOWN:
                pending.reply_lost = True
                if not work.idempotent:
                    return False
        decision = self._admission.admit(work, self._clock())
        if isinstance(decision, Refusal):
            return False
        pending.state = RequestState.WAITING
        if isinstance(decision, Admit):
            self._start(pending)
        return True

    async def _call_target(self, pending: PendingRequest) -> WorkResult:
        remaining = pending.work.deadline - self._clock()
        if remaining <= 0:
            return make_not_run("deadline")
        pending.may_have_started = True
        return await self._backend.call(pending.work, remaining)

    def _end(self, pending: PendingRequest, result: WorkResult | None) -> None:
        work, state, now = pending.work, pending.state, self._clock()
        self._waiting.pop(work.id, None)
        pending.state = RequestState.ENDED
        if state is RequestState.STARTED:
            self._free_slot(work, now, result)
            return
        # Cancel an expired request too: admission may not have removed it yet.
        if self._admission.cancel(work, now):
            self._process_queue()

    def _free_slot(
        self, holder: Work, now: float, result: WorkResult | None
    ) -> None:
        result = result or make_unknown("cancelled")
        shed = result.status in SHED_STATUSES
        self.running -= 1
        self._admission.finish(holder, now, result.outcome, shed)
        self._process_queue()
        if self._offload is not None:
            self._offload.grant_waiting(now)

    def _start(self, pending: PendingRequest) -> None:
        pending.state = RequestState.STARTED
        self.running += 1
        pending.wait_ended.set()

    def _process_queue(self) -> None:
        """Starts and refuses queued requests as admission control decides."""
        now = self._clock()
        while (request := self._admission.take_next(now)) is not None:
            pending = self._waiting.get(request.id)
            if pending is None or pending.state is not RequestState.WAITING:
                self._admission.finish(request, now, Outcome.NOT_RUN)
                continue
            self._start(pending)
        for request, refusal in self._admission.take_refused(now):
            pending = self._waiting.get(request.id)
            if pending is None or pending.state is not RequestState.WAITING:
                continue
            pending.state = RequestState.ENDED
            pending.result = _convert_refusal(refusal)
            pending.wait_ended.set()


def _convert_refusal(refusal: Refusal) -> WorkResult:
    return make_not_run(refusal.reason.value, refusal.retry_after)
