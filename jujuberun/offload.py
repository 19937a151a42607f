"""Hands requests that have not started to idle agents of their service."""

import logging
import secrets
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
from anyio.abc import TaskStatus

from jujuberun.containment.units import contain_errors
from jujuberun.errors import LinkError
from jujuberun.ids import Address, RequestId, ServiceId
from jujuberun.link import Link
from jujuberun.manifest import Service
from jujuberun.wire import Cancel, Reserve, ReserveReply
from jujuberun.work import (
    Work,
    WorkResult,
    decode_reply,
    decode_work,
    encode_reply,
    encode_work,
    make_not_run,
    make_unknown,
)

RESERVATION_TIMEOUT_S = 0.2  # a slot idle for longer costs more than it saves
# An inquiry waits at the peers for up to this time. Repeated inquiries that do
# not wait gave a p99 wait 1.5 times as long at 80% load, and 1.9 times at 95%.
REPLY_TIMEOUT_S = 0.2
MAX_WAITING_INQUIRIES = 64  # from peers
PEERS_ASKED = 2  # at the same time, by one inquiry
MAX_ENDED_TOKENS = 20_000  # tokens kept after their reservations have ended
EXPIRY_CHECK_INTERVAL_S = 0.02
RUN_REPLY_MARGIN_S = 0.5  # time after the deadline for the reply to arrive
_log = logging.getLogger(__name__)


class SlotHost(Protocol):
    """The methods of the runner that offload uses to serve peers.

    Attributes:
        running: number of requests and reservations that hold a slot.
        queued: number of requests that wait for a slot.
        draining: True once peers may no longer reserve slots.
    """

    running: int
    queued: int
    draining: bool

    def reserve_slot(self, placeholder: Work, now: float) -> bool:
        """Reserves an idle slot if there is one; returns whether it did."""

    def release_slot(self, placeholder: Work, now: float) -> None:
        """Frees a reserved slot."""

    async def execute_reserved(
        self, work: Work, placeholder: Work, now: float
    ) -> WorkResult:
        """Runs a request in a reserved slot and frees the slot."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """A slot that a peer has reserved for a request of this agent.

    Attributes:
        token: identifies the reservation at the peer.
        address: peer address of the agent that granted it.
    """

    token: int
    address: Address


class _Inquiry:
    """A request for a slot that was sent to several peers.

    Attributes:
        asked: addresses of the peers that have not replied, by token.
        reservation: the first slot that a peer granted.
        done: set when a peer grants a slot or all have refused.
    """

    def __init__(self, asked: dict[int, Address]) -> None:
        self.asked = asked
        self.reservation: Reservation | None = None
        self.done = anyio.Event()


@dataclass(slots=True)
class _ReservedSlot:
    """A slot of this agent that is reserved for a peer.

    Attributes:
        placeholder: represents the peer's request in admission control.
        expires: time at which the slot is freed, seconds, monotonic.
    """

    placeholder: Work
    expires: float


@dataclass(frozen=True, slots=True)
class _WaitingInquiry:
    """An inquiry from a peer that waits for a slot here."""

    message: Any
    address: Address
    expires: float


class Offload:
    """Kernel part of an agent that exchanges requests with its peers.

    A token is used for at most one Run. Reservations expire, so that a lost
    message or a dead peer blocks a slot for at most RESERVATION_TIMEOUT_S.
    """

    name = "offload"

    def __init__(
        self,
        host: SlotHost,
        link: Link,
        send: Callable[[Any, Address], None],
        find_peers: Callable[[ServiceId, float], Sequence[Address]],
        find_service: Callable[[ServiceId], Service | None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates the part.

        Args:
            host: the runner of this agent.
            link: TCP exchanges with peers.
            send: sends a message to a peer over UDP.
            find_peers: returns the peer addresses of other agents of a service
                that may be idle, best first.
            find_service: returns the service with an id, or None if it is not
                in force or the target beside this agent does not serve it.
            clock: seconds, monotonic.
        """
        self._host = host
        self._link = link
        self._send = send
        self._find_peers = find_peers
        self._find_service = find_service
        self._clock = clock
        self._inquiries: dict[int, _Inquiry] = {}
        self._reserved: OrderedDict[int, _ReservedSlot] = OrderedDict()
        self._inquiry_queue: OrderedDict[int, _WaitingInquiry] = OrderedDict()
        self._running_scopes: dict[int, anyio.CancelScope] = {}
        # By token of an ended reservation: whether a Run may have arrived.
        self._ended_tokens: OrderedDict[int, bool] = OrderedDict()
        self._counts = {"handed_on": 0, "accepted": 0, "expired": 0}

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Ends reservations that have expired, until cancelled."""
        task_status.started()
        while True:
            await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
            with contain_errors("expiry of reservations"):
                self.expire(self._clock())

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the state of reservations and counters as JSON types."""
        return {
            "held": len(self._reserved),
            "running": len(self._running_scopes),
            "inquiries": len(self._inquiries),
            "waiting": len(self._inquiry_queue),
            **self._counts,
        }

    async def reserve(self, work: Work) -> Reservation | None:
        """Asks peers for an idle slot.

        Args:
            work: a request that waits here.

        Returns:
            A slot that is reserved for RESERVATION_TIMEOUT_S, or None.
        """
        peers = self._find_peers(work.service, self._clock())[:PEERS_ASKED]
        if not peers:
            return None
        asked = {secrets.randbits(62): address for address in peers}
        inquiry = _Inquiry(dict(asked))
        wait = round(REPLY_TIMEOUT_S * 1000)
        try:
            for token, address in asked.items():
                self._inquiries[token] = inquiry
                self._send(Reserve(token, work.service, wait), address)
            with anyio.move_on_after(REPLY_TIMEOUT_S):
                await inquiry.done.wait()
        except BaseException:
            if inquiry.reservation is not None:
                self.release(inquiry.reservation)
            raise
        finally:
            for token, address in asked.items():
                del self._inquiries[token]
                if token in inquiry.asked:
                    self._send(Cancel(token), address)
        return inquiry.reservation

    def release(self, reservation: Reservation) -> None:
        """Returns a reserved slot to its peer."""
        self._send(Cancel(reservation.token), reservation.address)

    async def hand_on(self, reservation: Reservation, work: Work) -> WorkResult:
        """Sends a request to a peer once, without retries.

        Args:
            reservation: a reservation that reserve() returned.
            work: the request.

        Returns:
            The peer's result; NOT_RUN if nothing was sent, or UNKNOWN if no
            reply arrived.
        """
        timeout = work.deadline - self._clock()
        if timeout <= 0:
            self.release(reservation)
            return make_not_run("deadline")
        self._counts["handed_on"] += 1
        message = encode_work(reservation.token, work, timeout)
        replied = False
        try:
            reply = await self._link.call(
                reservation.address, message, timeout + RUN_REPLY_MARGIN_S
            )
            replied = True
        except LinkError as error:
            _log.warning(
                "offload: no reply from peer for request %s: %s", work.id, error
            )
            if not getattr(error, "sent", True):
                return make_not_run("peer-unreachable")
            return make_unknown("peer-lost")
        finally:
            if not replied:
                self.release(reservation)
        return decode_reply(reply)

    def handle_reply(self, message: Any, address: Address) -> None:
        """Handles the ReserveReply of a peer."""
        inquiry = self._inquiries.get(message.token)
        if inquiry is None or message.token not in inquiry.asked:
            # The reply is late or a duplicate: reserve() has cancelled the
            # slot, or the slot is in use.
            return
        if inquiry.asked[message.token] != address:
            return
        if not message.granted:
            del inquiry.asked[message.token]
            if not inquiry.asked:
                inquiry.done.set()
            return
        if inquiry.reservation is None:
            del inquiry.asked[message.token]
            inquiry.reservation = Reservation(message.token, address)
            inquiry.done.set()

    def handle_reserve(
        self, message: Any, address: Address, now: float
    ) -> None:
        """Answers a Reserve of a peer, or queues it until a slot is free."""
        token = message.token
        granted = token in self._reserved
        if not granted and token not in self._ended_tokens:
            granted = self._reserve_slot(message, now)
            if not granted and self._queue_inquiry(message, address, now):
                return
        self._reply(token, granted, address)

    def grant_waiting(self, now: float) -> None:
        """Grants idle slots to waiting inquiries, the oldest first."""
        for token, inquiry in list(self._inquiry_queue.items()):
            if now < inquiry.expires:
                if not self._reserve_slot(inquiry.message, now):
                    return
                self._reply(token, True, inquiry.address)
            else:
                self._record_end(token, False)
            del self._inquiry_queue[token]

    def _queue_inquiry(
        self, message: Any, address: Address, now: float
    ) -> bool:
        """Queues an inquiry for a slot and returns whether it waits here."""
        if message.token in self._inquiry_queue:
            return True
        service = self._find_service(ServiceId(message.service_id))
        full = len(self._inquiry_queue) >= MAX_WAITING_INQUIRIES
        if service is None or full or self._host.draining:
            return False
        expires = now + REPLY_TIMEOUT_S
        self._inquiry_queue[message.token] = _WaitingInquiry(
            message, address, expires
        )
        return True

    def _reply(self, token: int, granted: bool, address: Address) -> None:
        busy, queued = self._host.running, self._host.queued
        self._send(ReserveReply(token, granted, busy, queued), address)

    def handle_cancel(self, message: Any, now: float) -> None:
        """Frees a slot or stops a request that a peer has cancelled."""
        scope = self._running_scopes.get(message.token)
        if scope is not None:
            scope.cancel()
            return
        if self._inquiry_queue.pop(message.token, None) is not None:
            self._record_end(message.token, False)
            return
        slot = self._reserved.pop(message.token, None)
        if slot is not None:
            self._host.release_slot(slot.placeholder, now)
        if message.token not in self._ended_tokens:
            # Without a slot here, the token may date from before a restart.
            self._record_end(message.token, slot is None)

    async def handle_run(self, message: Any, now: float) -> Any:
        """Runs a request that a peer hands to this agent.

        Args:
            message: a Run.
            now: seconds, monotonic.

        Returns:
            RunReply. It is NOT_RUN only if the token's reservation was made by
            this process and ended without a Run. Any other token may have been
            used already, by a copy of the message or before a restart.
        """
        token = message.token
        slot = self._reserved.pop(token, None)
        if slot is None:
            if self._ended_tokens.get(token, True):
                return encode_reply(make_unknown("reservation-unknown"))
            return encode_reply(make_not_run("reservation-expired"))
        service = self._find_service(ServiceId(message.service_id))
        if now >= slot.expires or service is None:
            self._host.release_slot(slot.placeholder, now)
            self._record_end(token, False)
            return encode_reply(make_not_run("reservation-expired"))
        self._record_end(token, True)
        self._counts["accepted"] += 1
        work = decode_work(message, service, now)
        result = make_unknown("cancelled")
        with anyio.CancelScope() as scope:
            self._running_scopes[token] = scope
            try:
                result = await self._host.execute_reserved(
                    work, slot.placeholder, now
                )
            finally:
                del self._running_scopes[token]
        return encode_reply(result)

    def expire(self, now: float) -> None:
        """Grants waiting inquiries and ends expired reservations."""
        self.grant_waiting(now)
        while self._reserved:
            token, slot = next(iter(self._reserved.items()))
            if now < slot.expires:
                return
            del self._reserved[token]
            self._record_end(token, False)
            self._counts["expired"] += 1
            self._host.release_slot(slot.placeholder, now)

    def _reserve_slot(self, message: Any, now: float) -> bool:
        service = self._find_service(ServiceId(message.service_id))
        if service is None:
            return False
        placeholder = Work(
            id=RequestId(f"reservation {message.token:x}"),
            service=service.id,
            urgency=service.urgency,
            deadline=now + RESERVATION_TIMEOUT_S,
            idempotent=True,
            arrived=now,
        )
        if not self._host.reserve_slot(placeholder, now):
            return False
        self._reserved[message.token] = _ReservedSlot(
            placeholder, now + RESERVATION_TIMEOUT_S
        )
        return True

    def _record_end(self, token: int, may_have_run: bool) -> None:
        self._ended_tokens[token] = may_have_run
        if len(self._ended_tokens) > MAX_ENDED_TOKENS:
            self._ended_tokens.popitem(last=False)
