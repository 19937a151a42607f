"""Registration of owned flows with their home and backup agents."""

import itertools
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.lowlevel

from jujuberun.candidates import Views
from jujuberun.ids import Address, FlowId, ServiceId, TargetId
from jujuberun.peers import Peer, Peers
from jujuberun.wire import (
    FlowRecord,
    Register,
    RegisterReply,
    pack_address,
)

FLUSH_S = 0.1
RESEND_S = 1.0
RESEND_TRIES = 5
BATCH_FLOWS = 200
_YIELD_FLOWS = 200  # flows between two turns of the event loop


class Record:
    """Registration state of one owned flow."""

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
class Unacknowledged:
    """A Register that was not acknowledged yet."""

    address: Address
    message: Any
    sent: float
    tries: int


class Registrar:
    """Keeps home and backup agents informed of the flows owned here."""

    def __init__(
        self,
        target: TargetId,
        peers: Peers,
        views: Views,
    ) -> None:
        self._target = target
        self._peers = peers
        self._views = views
        self._records: dict[FlowId, Record] = {}
        self._due: dict[FlowId, None] = {}
        self._ended: list[Record] = []
        self._tokens = itertools.count(1)
        self._unacknowledged: dict[int, Unacknowledged] = {}
        peers.register(RegisterReply, self._handle_reply)

    def add(self, record: Record) -> None:
        """Registers a new flow at the next flush."""
        self._records[record.flow] = record
        self._due[record.flow] = None

    def remove(self, flow: FlowId) -> None:
        """Tells the homes that a flow has ended, at the next flush."""
        record = self._records.pop(flow, None)
        self._due.pop(flow, None)
        if record is not None and record.homes:
            self._ended.append(record)

    def refresh(self) -> None:
        """Registers all flows again at the next flush."""
        self._due.update(dict.fromkeys(self._records))

    def note_restart(self, peer: Peer, now: float) -> None:
        """Registers again the flows whose home restarted or was cut off."""
        for record in self._records.values():
            if peer.address in record.homes:
                self._due[record.flow] = None

    async def check_homes(self) -> None:
        """Registers flows whose homes changed with the manifest."""
        for count, record in enumerate(list(self._records.values())):
            if count % _YIELD_FLOWS == _YIELD_FLOWS - 1:
                await anyio.lowlevel.checkpoint()
            now = anyio.current_time()
            homes = self._views.find_homes(record.address, record.flow, now)
            if homes != record.homes:
                self._due[record.flow] = None

    def flush(self, now: float) -> None:
        """Sends what is due, and sends again what was not acknowledged.

        Args:
            now: seconds, monotonic.
        """
        batches: dict[tuple[Address, ServiceId], tuple[list, list]] = {}
        due, self._due = self._due, {}
        for flow in due:
            record = self._records.get(flow)
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
        for start in range(0, size, BATCH_FLOWS):
            end = start + BATCH_FLOWS
            token = next(self._tokens)
            message = Register(
                self._target,
                service_id,
                agent,
                flows[start:end],
                gone[start:end],
                token,
            )
            waiting = Unacknowledged(home, message, now, 1)
            self._unacknowledged[token] = waiting
            self._peers.send(message, home, now)

    def _resend(self, now: float) -> None:
        for token, waiting in list(self._unacknowledged.items()):
            if now - waiting.sent < RESEND_S:
                continue
            if waiting.tries >= RESEND_TRIES:
                del self._unacknowledged[token]
                continue
            waiting.tries += 1
            waiting.sent = now
            self._peers.send(waiting.message, waiting.address, now)

    def _handle_reply(self, reply: Any, sender: Address, now: float) -> None:
        self._unacknowledged.pop(reply.token, None)

    def dump_state(self) -> dict[str, Any]:
        """Returns numbers of flows by state of their registration."""
        return {
            "flows": len(self._records),
            "due": len(self._due),
            "unacknowledged_messages": len(self._unacknowledged),
        }
