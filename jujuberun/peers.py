"""Messages to and from other daemons, and which of them are silent."""

import logging
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any

import anyio
from anyio.abc import TaskStatus
from result import Err, Ok

from jujuberun.addresses import format_address
from jujuberun.errors import WireError
from jujuberun.ids import Address
from jujuberun.port import Port
from jujuberun.wire import (
    Codec,
    Probe,
    ProbeReply,
    find_body,
    read_wall_clock,
)

TICK_S = 0.25
PROBE_AFTER_S = 0.5
SUSPECT_AFTER_S = 1.0
GONE_AFTER_S = 5.0
FORGET_AFTER_S = 600.0
PAUSE_S = 1.0
_PROBE_GONE_S = 5.0  # period of probes to peers that count as gone

_BAD_FIELDS = (
    WireError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)

Handler = Callable[[Any, Address, float], None]
logger = logging.getLogger("jujuberun.peers")


class PeerState(Enum):
    """What the silence of a peer means."""

    ALIVE = "alive"
    SILENT = "silent"
    SUSPECTED = "suspected"
    GONE = "gone"


class Peer:
    """One other daemon, by its address.

    Attributes:
        address: its peer address.
        incarnation: number of its run, 0 before it was heard.
        waiting_since: time of the first message that it has not followed
            with one of its own, or None.
        heard: time of its last message.
        used: time of the last message to it that expects an answer.
        draining: it said that it takes no new work.
    """

    __slots__ = (
        "address",
        "draining",
        "heard",
        "incarnation",
        "probed",
        "used",
        "waiting_since",
    )

    def __init__(self, address: Address) -> None:
        self.address = address
        self.incarnation = 0
        self.waiting_since: float | None = None
        self.heard = 0.0
        self.used = 0.0
        self.probed = 0.0
        self.draining = False

    def note_sent(self, now: float) -> None:
        """Notes a message that the peer should answer."""
        if self.waiting_since is None:
            self.waiting_since = now
        self.used = now

    def note_heard(self, now: float) -> None:
        """Notes a message from the peer."""
        self.waiting_since = None
        self.heard = now

    def judge(self, now: float) -> PeerState:
        """Judges the peer by how long it has been silent."""
        if self.waiting_since is None:
            return PeerState.ALIVE
        silence = now - self.waiting_since
        if silence >= GONE_AFTER_S:
            return PeerState.GONE
        if silence >= SUSPECT_AFTER_S:
            return PeerState.SUSPECTED
        if silence >= PROBE_AFTER_S:
            return PeerState.SILENT
        return PeerState.ALIVE

    def is_suspected(self, now: float) -> bool:
        """Returns whether the peer should get no new flows."""
        waiting = self.waiting_since
        return waiting is not None and now - waiting >= SUSPECT_AFTER_S


class Peers:
    """Part "peers": seals, sends, receives and dispatches messages.

    Attributes:
        address: own peer address.
        codec: seals and opens messages.
        port: takes datagrams that are sealed already.
        refused: counts of messages that were not handled, by reason.
        draining: told to peers that probe.
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
        """Calls handler(message, sender, now) for messages of this kind."""
        self._handlers[kind] = handler

    def subscribe_restarts(
        self, listener: Callable[[Peer, float], None]
    ) -> None:
        """Calls the listener when a peer shows a new incarnation."""
        self._on_restart.append(listener)

    def subscribe_returns(
        self, listener: Callable[[Peer, float], None]
    ) -> None:
        """Calls the listener when a suspected peer is heard again."""
        self._on_return.append(listener)

    def subscribe_pauses(self, listener: Callable[[float], None]) -> None:
        """Calls the listener when this process was paused."""
        self._on_pause.append(listener)

    def find(self, address: Address) -> Peer:
        """Returns the peer at an address."""
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = Peer(address)
        return peer

    def list_peers(self) -> tuple[Peer, ...]:
        """Returns all peers that were used or heard lately."""
        return tuple(self._peers.values())

    def send(
        self, message: Any, address: Address, now: float | None = None
    ) -> None:
        """Seals and sends a message.

        Args:
            message: one of the body structs of Envelope.
            address: peer address of the receiver.
            now: set when the receiver should answer, for silence detection.
        """
        if address == self.address:
            self._dispatch(message, address, now or anyio.current_time())
            return
        if now is not None:
            self.find(address).note_sent(now)
        try:
            data = self.codec.seal(message, address, read_wall_clock())
        except WireError as error:
            logger.warning("peers: Message not sent: %s.", error)
            self.refused["unsent"] += 1
            return
        self.port.send(data, address)

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Receives messages and probes silent peers."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._tick)
            task_status.started()
            await self.port.serve(self._accept_batch)

    def accept(
        self, datagram: bytes, sender: Address, now: float, now_ms: int
    ) -> None:
        """Opens one datagram and calls its handler.

        Args:
            datagram: MAC and envelope.
            sender: address that it came from.
            now: seconds, monotonic.
            now_ms: wall clock in milliseconds.
        """
        match self.codec.open(datagram, now_ms):
            case Err(reason):
                self.refused[reason] += 1
            case Ok(envelope):
                self._note_heard(sender, envelope.sender, now)
                self._dispatch(find_body(envelope), sender, now)

    def _accept_batch(
        self, batch: list[tuple[bytes, Address]], now: float
    ) -> None:
        now_ms = read_wall_clock()
        for datagram, sender in batch:
            self.accept(datagram, sender, now, now_ms)

    def check_silence(self, now: float) -> None:
        """Probes peers that owe an answer, and forgets unused ones."""
        for peer in list(self._peers.values()):
            if now - max(peer.used, peer.heard) > FORGET_AFTER_S:
                del self._peers[peer.address]
                continue
            state = peer.judge(now)
            if state is PeerState.ALIVE:
                continue
            if state is PeerState.GONE and now - peer.probed < _PROBE_GONE_S:
                continue
            peer.probed = now
            self.send(Probe(1), peer.address)

    def note_pause(self, now: float) -> None:
        """Voids what is believed of peers after a pause of this process."""
        for peer in self._peers.values():
            peer.waiting_since = None
            peer.draining = False
        for listener in self._on_pause:
            listener(now)

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns peers that are not alive, and refused messages."""
        absent = {}
        for peer in self._peers.values():
            state = peer.judge(now)
            if state is PeerState.ALIVE and not peer.draining:
                continue
            absent[format_address(peer.address)] = {
                "state": "draining" if peer.draining else state.value,
                "unanswered_for_s": round(now - (peer.waiting_since or now), 3),
                "heard_before_s": round(now - peer.heard, 3),
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
        except _BAD_FIELDS as error:
            # A field that the sender left out arrives as None, and one of the
            # wrong length or range fails where it is used.
            self.refused["incomplete"] += 1
            logger.warning("peers: Incomplete message: %r.", error)

    async def _tick(self) -> None:
        last = anyio.current_time()
        while True:
            await anyio.sleep(TICK_S)
            now = anyio.current_time()
            if now - last > TICK_S + PAUSE_S:
                logger.warning("peers: Paused for %.1f s.", now - last)
                self.note_pause(now)
            last = now
            self.check_silence(now)

    def _note_heard(
        self, address: Address, incarnation: int, now: float
    ) -> None:
        peer = self.find(address)
        returned = peer.is_suspected(now)
        peer.note_heard(now)
        if returned:
            for listener in self._on_return:
                listener(peer, now)
        if peer.incarnation == incarnation:
            return
        restarted = peer.incarnation != 0
        peer.incarnation = incarnation
        peer.draining = False
        if not restarted:
            return
        for listener in self._on_restart:
            listener(peer, now)

    def _handle_probe(self, probe: Any, sender: Address, now: float) -> None:
        self.send(ProbeReply(probe.token, self.draining), sender)

    def _handle_probe_reply(
        self, reply: Any, sender: Address, now: float
    ) -> None:
        self.find(sender).draining = bool(reply.draining)
