"""Messages to and from other daemons, and detection of silent daemons."""

import logging
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any

import anyio
from anyio.abc import TaskStatus
from result import Err, Ok

from jujuberun.addresses import format_address
from jujuberun.containment.units import contain_errors
from jujuberun.errors import WireError
from jujuberun.ids import Address
from jujuberun.port import Port, handle_each
from jujuberun.wire import (
    Codec,
    Probe,
    ProbeReply,
    find_body,
    read_wall_clock,
)

SILENCE_CHECK_PERIOD_S = 0.25
PROBE_AFTER_S = 0.5
SUSPECT_AFTER_S = 1.0
GONE_AFTER_S = 5.0
FORGET_AFTER_S = 600.0
# A silence check that is late by more than this shows that the process was
# paused.
MIN_PAUSE_S = 1.0
_GONE_PROBE_PERIOD_S = 5.0

_FIELD_ERRORS = (
    WireError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)

Handler = Callable[[Any, Address, float], None]
logger = logging.getLogger("jujuberun.peers")


class PeerState(Enum):
    """State of a peer, derived from how long it has not answered."""

    ALIVE = "alive"
    SILENT = "silent"
    SUSPECTED = "suspected"
    GONE = "gone"


class Peer:
    """Another daemon, identified by its address.

    Times are monotonic, in seconds.

    Attributes:
        address: peer address of the daemon.
        incarnation: random number that identifies the current run of the
            daemon's process, 0 until its first message arrives.
        unanswered_since: time of the first message that expects an answer and
            was sent after the peer's last message, or None.
        last_received_at: time of the last message from the peer.
        last_request_at: time of the last message to the peer that expects an
            answer.
        last_probe_at: time of the last probe of the peer.
        draining: whether the peer reported that it accepts no new work.
    """

    __slots__ = (
        "address",
        "draining",
        "last_received_at",
        "incarnation",
        "last_probe_at",
        "last_request_at",
        "unanswered_since",
    )

    def __init__(self, address: Address) -> None:
        self.address = address
        self.incarnation = 0
        self.unanswered_since: float | None = None
        self.last_received_at = 0.0
        self.last_request_at = 0.0
        self.last_probe_at = 0.0
        self.draining = False

    def note_sent(self, now: float) -> None:
        """Records a message to the peer that expects an answer."""
        if self.unanswered_since is None:
            self.unanswered_since = now
        self.last_request_at = now

    def note_received(self, now: float) -> None:
        """Records a message from the peer."""
        self.unanswered_since = None
        self.last_received_at = now

    def get_state(self, now: float) -> PeerState:
        """Returns the state of the peer by the length of its silence."""
        if self.unanswered_since is None:
            return PeerState.ALIVE
        silence = now - self.unanswered_since
        if silence >= GONE_AFTER_S:
            return PeerState.GONE
        if silence >= SUSPECT_AFTER_S:
            return PeerState.SUSPECTED
        if silence >= PROBE_AFTER_S:
            return PeerState.SILENT
        return PeerState.ALIVE

    def is_suspected(self, now: float) -> bool:
        """Returns whether the peer should get no new flows."""
        since = self.unanswered_since
        return since is not None and now - since >= SUSPECT_AFTER_S


class Peers:
    """Part "peers": seals, sends, receives and dispatches messages.

    Attributes:
        address: peer address of this process.
        codec: seals and opens messages.
        port: sends and receives sealed datagrams.
        refused: counts of messages that were not sent or not handled, by
            reason.
        draining: whether this process accepts no new work; probe replies
            report it.
    """

    name = "peers"

    def __init__(self, port: Port, codec: Codec) -> None:
        self.address = port.address
        self.codec = codec
        self.refused: Counter[str] = Counter()
        self.draining = False
        self.port = port
        self._handlers: dict[type, Handler] = {}
        self._peers: dict[Address, Peer] = {}
        self._on_restart: list[Callable[[Peer, float], None]] = []
        self._on_return: list[Callable[[Peer, float], None]] = []
        self._on_pause: list[Callable[[float], None]] = []
        self.register(Probe, self._handle_probe)
        self.register(ProbeReply, self._handle_probe_reply)

    def register(self, kind: type, handler: Handler) -> None:
        """Registers handler(message, sender, now) for one class of messages."""
        self._handlers[kind] = handler

    def subscribe_restarts(
        self, listener: Callable[[Peer, float], None]
    ) -> None:
        """Calls the listener when a message shows that a peer restarted."""
        self._on_restart.append(listener)

    def subscribe_returns(
        self, listener: Callable[[Peer, float], None]
    ) -> None:
        """Calls the listener when a suspected peer sends a message again."""
        self._on_return.append(listener)

    def subscribe_pauses(self, listener: Callable[[float], None]) -> None:
        """Calls the listener after this process was paused."""
        self._on_pause.append(listener)

    def find(self, address: Address) -> Peer:
        """Returns the peer at an address; creates it if it is unknown."""
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = Peer(address)
        return peer

    def list_peers(self) -> tuple[Peer, ...]:
        """Returns all peers that exchanged messages with this one recently."""
        return tuple(self._peers.values())

    def send(
        self, message: Any, address: Address, now: float | None = None
    ) -> None:
        """Seals and sends a message.

        Args:
            message: one of the body structs of Envelope.
            address: peer address of the receiver.
            now: monotonic time in seconds if the receiver should answer. The
                detection of silent peers then waits for the answer.
        """
        if address == self.address:
            self._dispatch(message, address, now or anyio.current_time())
            return
        if now is not None:
            self.find(address).note_sent(now)
        try:
            data = self.codec.seal(message, address, read_wall_clock())
        except WireError as error:
            logger.warning("peers: cannot send message: %s", error)
            self.refused["unsent"] += 1
            return
        self.port.send(data, address)

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Receives messages and probes silent peers until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_silence)
            task_status.started()
            await self.port.serve(self._accept_batch)

    def accept(
        self, datagram: bytes, sender: Address, now: float, now_ms: int
    ) -> None:
        """Opens one datagram and calls its handler.

        Args:
            datagram: MAC and envelope.
            sender: source address of the datagram.
            now: monotonic time in seconds.
            now_ms: wall clock in milliseconds.
        """
        match self.codec.open(datagram, now_ms):
            case Err(reason):
                self.refused[reason] += 1
            case Ok(envelope):
                self._handle_sender(sender, envelope.sender, now)
                self._dispatch(find_body(envelope), sender, now)

    def _accept_batch(
        self, batch: list[tuple[bytes, Address]], now: float
    ) -> None:
        now_ms = read_wall_clock()
        self.refused["failed"] += handle_each(
            batch,
            now,
            lambda datagram, sender, now: self.accept(
                datagram, sender, now, now_ms
            ),
        )

    def check_silence(self, now: float) -> None:
        """Probes peers that have not answered and removes unused peers."""
        for peer in list(self._peers.values()):
            if (
                now - max(peer.last_request_at, peer.last_received_at)
                > FORGET_AFTER_S
            ):
                del self._peers[peer.address]
                continue
            state = peer.get_state(now)
            if state is PeerState.ALIVE:
                continue
            if (
                state is PeerState.GONE
                and now - peer.last_probe_at < _GONE_PROBE_PERIOD_S
            ):
                continue
            peer.last_probe_at = now
            self.send(Probe(1), peer.address)

    def note_pause(self, now: float) -> None:
        """Resets silence and draining of all peers after a process pause."""
        for peer in self._peers.values():
            peer.unanswered_since = None
            peer.draining = False
        for listener in self._on_pause:
            with contain_errors("handling of a pause", self.refused):
                listener(now)

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns silent and draining peers, and counts of refused messages."""
        absent = {}
        for peer in self._peers.values():
            state = peer.get_state(now)
            if state is PeerState.ALIVE and not peer.draining:
                continue
            absent[format_address(peer.address)] = {
                "state": "draining" if peer.draining else state.value,
                "unanswered_for_s": round(
                    now - (peer.unanswered_since or now), 3
                ),
                "heard_before_s": round(now - peer.last_received_at, 3),
            }
        return {
            "address": format_address(self.address),
            "known": len(self._peers),
            "absent": absent,
            "refused_messages": dict(self.refused),
        }

    def _dispatch(self, body: Any, sender: Address, now: float) -> None:
        handler = self._handlers.get(type(body))
        if handler is None:
            self.refused["unhandled"] += 1
            return
        try:
            handler(body, sender, now)
        except _FIELD_ERRORS as error:
            # A field that the sender left out is None. A field of the wrong
            # length or range fails only when the handler uses it.
            self.refused["incomplete"] += 1
            logger.warning(
                "peers: message from %s has a missing or invalid field: %r",
                format_address(sender),
                error,
            )

    async def _watch_silence(self) -> None:
        last = anyio.current_time()
        while True:
            await anyio.sleep(SILENCE_CHECK_PERIOD_S)
            now = anyio.current_time()
            if now - last > SILENCE_CHECK_PERIOD_S + MIN_PAUSE_S:
                logger.warning(
                    "peers: process was paused for %.1f s", now - last
                )
                self.note_pause(now)
            last = now
            with contain_errors("check of silent peers", self.refused):
                self.check_silence(now)

    def _handle_sender(
        self, address: Address, incarnation: int, now: float
    ) -> None:
        peer = self.find(address)
        returned = peer.is_suspected(now)
        peer.note_received(now)
        if returned:
            for listener in self._on_return:
                with contain_errors("return of a peer", self.refused):
                    listener(peer, now)
        if peer.incarnation == incarnation:
            return
        restarted = peer.incarnation != 0
        peer.incarnation = incarnation
        peer.draining = False
        if not restarted:
            return
        for listener in self._on_restart:
            with contain_errors("restart of a peer", self.refused):
                listener(peer, now)

    def _handle_probe(self, probe: Any, sender: Address, now: float) -> None:
        self.send(ProbeReply(probe.token, self.draining), sender)

    def _handle_probe_reply(
        self, reply: Any, sender: Address, now: float
    ) -> None:
        self.find(sender).draining = bool(reply.draining)
