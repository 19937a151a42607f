"""Hands a request that has not started to an idle agent of its service."""

import logging
import secrets
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
from anyio.abc import TaskStatus

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
    lose,
    refuse,
)

RESERVATION_S = 0.2  # a slot held longer than this costs more than it saves
# An inquiry waits at the peers for so long: asking again and again instead
# gave a 99th percentile wait 1.5 times as long at 80% load, 1.9 at 95%.
REPLY_TIMEOUT_S = 0.2
MAX_WAITING = 64  # inquiries of peers that wait for a slot here
PEERS = 2  # peers that are asked at the same time
MAX_TOKENS = 20_000  # reservations that are remembered after their end
EXPIRE_PERIOD_S = 0.02
RUN_MARGIN_S = 0.5  # beyond the deadline, for the reply to arrive
_log = logging.getLogger(__name__)


class Host(Protocol):
    """What offload needs of the runner to serve its peers.

    Attributes:
        running: requests and reservations that have a slot.
        queued: requests that wait for a slot.
        draining: True once no peer may reserve a slot any more.
    """

    running: int
    queued: int
    draining: bool

    def hold(self, placeholder: Work, now: float) -> bool:
        """Holds an idle slot."""

    def release(self, placeholder: Work, now: float) -> None:
        """Frees a held slot."""

    async def execute_held(
        self, work: Work, placeholder: Work, now: float
    ) -> WorkResult:
        """Runs a request in a held slot and frees it."""


@dataclass(frozen=True, slots=True)
class Grant:
    """A slot at a peer.

    Attributes:
        token: names the reservation at the peer.
        address: peer address of the agent that granted it.
    """

    token: int
    address: Address


class _Inquiry:
    """One request for a slot at several peers.

    Attributes:
        asked: peers without a reply, by token.
        grant: the first slot that was granted.
        done: set at the first grant or the last refusal.
    """

    def __init__(self, asked: dict[int, Address]) -> None:
        self.asked = asked
        self.grant: Grant | None = None
        self.done = anyio.Event()


@dataclass(slots=True)
class _Held:
    """A slot that is held here for a peer.

    Attributes:
        placeholder: stands for the peer's request in admission.
        expires: when the slot is freed, seconds, monotonic.
    """

    placeholder: Work
    expires: float


@dataclass(frozen=True, slots=True)
class _Waiting:
    """An inquiry of a peer that waits for a slot here."""

    message: Any
    address: Address
    expires: float


class Offload:
    """The part "offload" of an agent: both ends of handing on.

    A token is used for one Run at most. A reservation ends here by itself, so
    that a lost message or a dead peer costs a slot for RESERVATION_S at most.
    """

    name = "offload"

    def __init__(
        self,
        host: Host,
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
            find_peers: peer addresses of agents of a service that may be idle,
                best first; without this agent.
            find_service: the service in force with an id that the target
                beside this agent carries, or None.
            clock: seconds, monotonic.
        """
        self._host = host
        self._link = link
        self._send = send
        self._find_peers = find_peers
        self._find_service = find_service
        self._clock = clock
        self._inquiries: dict[int, _Inquiry] = {}
        self._held: OrderedDict[int, _Held] = OrderedDict()
        self._waiting: OrderedDict[int, _Waiting] = OrderedDict()
        self._running: dict[int, anyio.CancelScope] = {}
        # Tokens whose reservation ended: whether a Run may have arrived.
        self._ended: OrderedDict[int, bool] = OrderedDict()
        self._counts = {"handed_on": 0, "accepted": 0, "expired": 0}

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Ends reservations in time, until cancelled."""
        task_status.started()
        while True:
            await anyio.sleep(EXPIRE_PERIOD_S)
            self.expire(self._clock())

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns reservations and counts as JSON types."""
        return {
            "held": len(self._held),
            "running": len(self._running),
            "inquiries": len(self._inquiries),
            "waiting": len(self._waiting),
            **self._counts,
        }

    async def reserve(self, work: Work) -> Grant | None:
        """Asks peers for an idle slot.

        Args:
            work: a request that waits here.

        Returns:
            A slot that is held for RESERVATION_S, or None.
        """
        peers = self._find_peers(work.service, self._clock())[:PEERS]
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
            if inquiry.grant is not None:
                self.release(inquiry.grant)
            raise
        finally:
            for token, address in asked.items():
                del self._inquiries[token]
                if token in inquiry.asked:
                    self._send(Cancel(token), address)
        return inquiry.grant

    def release(self, reservation: Grant) -> None:
        """Gives a slot back to its peer."""
        self._send(Cancel(reservation.token), reservation.address)

    async def hand_on(self, reservation: Grant, work: Work) -> WorkResult:
        """Hands a request on; nothing is sent twice.

        Args:
            reservation: what reserve returned.
            work: the request.

        Returns:
            The peer's word, or UNKNOWN when there is none.
        """
        timeout = work.deadline - self._clock()
        if timeout <= 0:
            self.release(reservation)
            return refuse("deadline")
        self._counts["handed_on"] += 1
        message = encode_work(reservation.token, work, timeout)
        replied = False
        try:
            reply = await self._link.call(
                reservation.address, message, timeout + RUN_MARGIN_S
            )
            replied = True
        except LinkError as error:
            _log.warning("offload: request %s: %s", work.id, error)
            if not getattr(error, "sent", True):
                return refuse("peer-unreachable")
            return lose("peer-lost")
        finally:
            if not replied:
                self.release(reservation)
        return decode_reply(reply)

    def handle_reply(self, message: Any, address: Address) -> None:
        """Takes a ReserveReply."""
        inquiry = self._inquiries.get(message.token)
        if inquiry is None or message.token not in inquiry.asked:
            # It came too late or twice. reserve() has cancelled the slot, or
            # the slot is in use.
            return
        if inquiry.asked[message.token] != address:
            return
        if not message.granted:
            del inquiry.asked[message.token]
            if not inquiry.asked:
                inquiry.done.set()
            return
        if inquiry.grant is None:
            del inquiry.asked[message.token]
            inquiry.grant = Grant(message.token, address)
            inquiry.done.set()

    def handle_reserve(
        self, message: Any, address: Address, now: float
    ) -> None:
        """Answers a Reserve of a peer."""
        token = message.token
        granted = token in self._held
        if not granted and token not in self._ended:
            granted = self._hold(message, now)
            if not granted and self._let_wait(message, address, now):
                return
        self._reply(token, granted, address)

    def grant_waiting(self, now: float) -> None:
        """Gives idle slots to inquiries that wait, the oldest first."""
        for token, waiting in list(self._waiting.items()):
            if now < waiting.expires:
                if not self._hold(waiting.message, now):
                    return
                self._reply(token, True, waiting.address)
            else:
                self._end(token, False)
            del self._waiting[token]

    def _let_wait(self, message: Any, address: Address, now: float) -> bool:
        """Returns whether the inquiry waits here for a slot."""
        if message.token in self._waiting:
            return True
        service = self._find_service(ServiceId(message.service_id))
        full = len(self._waiting) >= MAX_WAITING
        if service is None or full or self._host.draining:
            return False
        expires = now + REPLY_TIMEOUT_S
        self._waiting[message.token] = _Waiting(message, address, expires)
        return True

    def _reply(self, token: int, granted: bool, address: Address) -> None:
        busy, queued = self._host.running, self._host.queued
        self._send(ReserveReply(token, granted, busy, queued), address)

    def handle_cancel(self, message: Any, now: float) -> None:
        """Frees a slot or stops a request that a peer has given up."""
        scope = self._running.get(message.token)
        if scope is not None:
            scope.cancel()
            return
        if self._waiting.pop(message.token, None) is not None:
            self._end(message.token, False)
            return
        held = self._held.pop(message.token, None)
        if held is not None:
            self._host.release(held.placeholder, now)
        if message.token not in self._ended:
            # A token that is not held may be from before a restart.
            self._end(message.token, held is None)

    async def handle_run(self, message: Any, now: float) -> Any:
        """Runs a request that a peer hands on.

        Args:
            message: a Run.
            now: seconds, monotonic.

        Returns:
            RunReply. It says NOT_RUN only for a token whose reservation was
            made and ended here without a Run; any other token may have been
            used before, by a copy of the message or before a restart.
        """
        token = message.token
        held = self._held.pop(token, None)
        if held is None:
            if self._ended.get(token, True):
                return encode_reply(lose("reservation-unknown"))
            return encode_reply(refuse("reservation-expired"))
        service = self._find_service(ServiceId(message.service_id))
        if now >= held.expires or service is None:
            self._host.release(held.placeholder, now)
            self._end(token, False)
            return encode_reply(refuse("reservation-expired"))
        self._end(token, True)
        self._counts["accepted"] += 1
        work = decode_work(message, service, now)
        result = lose("cancelled")
        with anyio.CancelScope() as scope:
            self._running[token] = scope
            try:
                result = await self._host.execute_held(
                    work, held.placeholder, now
                )
            finally:
                del self._running[token]
        return encode_reply(result)

    def expire(self, now: float) -> None:
        """Frees the slots whose reservation is over."""
        self.grant_waiting(now)
        while self._held:
            token, held = next(iter(self._held.items()))
            if now < held.expires:
                return
            del self._held[token]
            self._end(token, False)
            self._counts["expired"] += 1
            self._host.release(held.placeholder, now)

    def _hold(self, message: Any, now: float) -> bool:
        service = self._find_service(ServiceId(message.service_id))
        if service is None:
            return False
        placeholder = Work(
            id=RequestId(f"reservation {message.token:x}"),
            service=service.id,
            urgency=service.urgency,
            deadline=now + RESERVATION_S,
            idempotent=True,
            arrived=now,
        )
        if not self._host.hold(placeholder, now):
            return False
        self._held[message.token] = _Held(placeholder, now + RESERVATION_S)
        return True

    def _end(self, token: int, may_have_run: bool) -> None:
        self._ended[token] = may_have_run
        if len(self._ended) > MAX_TOKENS:
            self._ended.popitem(last=False)
