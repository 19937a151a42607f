"""Registration of owned flows at their home and backup agents."""

import itertools
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.lowlevel

from jujuberun.candidates import FlowViews
from jujuberun.ids import Address, FlowId, ServiceId, TargetId
from jujuberun.peers import Peer, Peers
from jujuberun.wire import (
    FlowRecord,
    Register,
    RegisterReply,
    pack_address,
)

FLUSH_PERIOD_S = 0.1
RESEND_AFTER_S = 1.0
MAX_SENDS = 5
MAX_BATCH_FLOWS = 200
_FLOWS_PER_YIELD = 200  # flows checked before other tasks may run


class Registration:
    """Registration state of one owned flow.

    Attributes:
        flow: flow id.
        address: service address of the flow.
        service_id: service that the flow belongs to.
        created: wall clock in ms at which the flow was created here.
        homes: peer addresses of the agents that the flow was last registered
            at, empty before the first registration.
    """

    __slots__ = ("address", "created", "flow", "homes", "service_id")

    def __init__(
        self,
        flow: FlowId,
        address: Address,
        service_id: ServiceId,
        created: int,
    ) -> None:
        self.flow = flow
        self.address = address
        self.service_id = service_id
        self.created = created
        self.homes: tuple[Address, ...] = ()


@dataclass(slots=True)
class PendingRegister:
    """A Register message that is not acknowledged yet."""

    address: Address
    message: Any
    sent: float
    sends: int


class Registrar:
    """Registers the flows owned here at their home and backup agents."""

    def __init__(
        self,
        target: TargetId,
        peers: Peers,
        views: FlowViews,
    ) -> None:
        self._target = target
        self._peers = peers
        self._views = views
        self._registrations: dict[FlowId, Registration] = {}
        self._due: dict[FlowId, None] = {}
        self._ended: list[Registration] = []
        self._tokens = itertools.count(1)
        self._unacknowledged: dict[int, PendingRegister] = {}
        peers.register(RegisterReply, self._handle_reply)

    def add(self, record: Registration) -> None:
        """Registers a new flow at the next flush."""
        self._registrations[record.flow] = record
        self._due[record.flow] = None

    def remove(self, flow: FlowId) -> None:
        """Tells the homes that a flow has ended, at the next flush."""
        record = self._registrations.pop(flow, None)
        self._due.pop(flow, None)
        if record is not None and record.homes:
            self._ended.append(record)

    def refresh(self) -> None:
        """Registers all flows again at the next flush."""
        self._due.update(dict.fromkeys(self._registrations))

    def refresh_home(self, peer: Peer, now: float) -> None:
        """Registers the flows of a home again, at the next flush.

        Args:
            peer: a home that restarted or was unreachable.
            now: seconds, monotonic.
        """
        for record in self._registrations.values():
            if peer.address in record.homes:
                self._due[record.flow] = None

    async def check_homes(self) -> None:
        """Registers flows whose homes have changed, at the next flush."""
        for count, record in enumerate(list(self._registrations.values())):
            if count % _FLOWS_PER_YIELD == _FLOWS_PER_YIELD - 1:
                await anyio.lowlevel.checkpoint()
            now = anyio.current_time()
            homes = self._views.find_homes(record.address, record.flow, now)
            if homes != record.homes:
                self._due[record.flow] = None

    def flush(self, now: float) -> None:
        """Sends due registrations, and sends unacknowledged ones again.

        Args:
            now: seconds, monotonic.
        """
        batches: dict[tuple[Address, ServiceId], tuple[list, list]] = {}
        due, self._due = self._due, {}
        for flow in due:
            record = self._registrations.get(flow)
            if record is None:
                continue
            homes = self._views.find_homes(record.address, flow, now)
            record.homes = homes
            entry = FlowRecord(flow, record.created)
            for home in homes:
                key = (home, record.service_id)
                batches.setdefault(key, ([], []))[0].append(entry)
        ended, self._ended = self._ended, []
        for record in ended:
            for home in record.homes:
                key = (home, record.service_id)
                batches.setdefault(key, ([], []))[1].append(record.flow)
        for (home, service_id), (flows, gone) in batches.items():
            self._send_batches(home, service_id, flows, gone, now)
        self._resend(now)

    def _send_batches(
        self,
        home: Address,
        service_id: ServiceId,
        flows: list[Any],
        gone: list[FlowId],
        now: float,
    ) -> None:
        size = max(len(flows), len(gone))
        agent = pack_address(self._peers.address)
        for start in range(0, size, MAX_BATCH_FLOWS):
            end = start + MAX_BATCH_FLOWS
            token = next(self._tokens)
            message = Register(
                self._target,
                service_id,
                agent,
                flows[start:end],
                gone[start:end],
                token,
            )
            pending = PendingRegister(home, message, now, 1)
            self._unacknowledged[token] = pending
            self._peers.send(message, home, now)

    def _resend(self, now: float) -> None:
        for token, pending in list(self._unacknowledged.items()):
            if now - pending.sent < RESEND_AFTER_S:
                continue
            if pending.sends >= MAX_SENDS:
                del self._unacknowledged[token]
                continue
            pending.sends += 1
            pending.sent = now
            self._peers.send(pending.message, pending.address, now)

    def _handle_reply(self, reply: Any, sender: Address, now: float) -> None:
        self._unacknowledged.pop(reply.token, None)

    def dump_state(self) -> dict[str, Any]:
        """Returns the numbers of flows and of unacknowledged messages."""
        return {
            "flows": len(self._registrations),
            "due": len(self._due),
            "unacknowledged_messages": len(self._unacknowledged),
        }
