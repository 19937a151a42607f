"""Balancers of the arithmetic of uploads: a fixed limit, and the real gate."""

from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol as Interface

from jujuberun.bandwidth.upload_gate import UploadGate
from jujuberun.bandwidth.upload_limit import PACKET_BYTES
from jujuberun.decisions import DecisionLog
from jujuberun.first_packet import FirstPacket, FirstPacketRule
from jujuberun.flowtable import FlowEntry, Offer
from jujuberun.frames import Frame
from jujuberun.ids import Protocol, ServiceId, TargetId, Urgency
from jujuberun.manifest import Service
from jujuberun.overload.terms import START_LIFETIME_S

OBJECTIVE_S = 0.38
MAINTENANCE_INTERVAL_S = 1.0


class Upload(Interface):
    """An attempt of a caller, as a balancer sees it."""

    key: bytes
    service: str
    total: int
    arrived: set[int]

    def accept(self) -> None:
        """Handles the answer of a target to the start."""


class Link(Interface):
    """Virtual time, and the way back to callers."""

    now: float

    def schedule(self, at: float, act: Callable[[], None]) -> None:
        """Calls act at a time."""

    def answer(self, act: Callable[[], None]) -> None:
        """Calls act at the caller, after a target has received a packet."""

    def refuse(self, upload: Upload) -> None:
        """Answers a start with "not run"."""


def make_service(name: str) -> Service:
    """Returns a service whose kind the manifest does not state."""
    return Service(
        id=ServiceId(name),
        address=("198.18.0.1", 443),
        urgency=Urgency.NORMAL,
        headroom=1.0,
        protocol=Protocol.PACKET,
        first_packet=FirstPacket(FirstPacketRule.ANY),
        targets=(),
    )


class FixedLimit:
    """A balancer that knows which flows are uploads, and when they end."""

    def __init__(self, link: Link, limit: int | None) -> None:
        self._link, self._limit = link, limit
        self._active: set[Upload] = set()
        self._held: deque[tuple[float, Upload]] = deque()

    def receive_start(self, upload: Upload) -> None:
        """Offers a start to a target, or holds it at the limit."""
        link = self._link
        if upload in self._active or any(u is upload for _, u in self._held):
            return
        self._held.append((link.now, upload))
        link.schedule(link.now + START_LIFETIME_S, self._refuse_expired)
        self._release()

    def receive_data(self, upload: Upload, number: int) -> None:
        """Counts a packet of an upload."""
        if len(upload.arrived) == upload.total:
            self.end(upload)

    def receive_close(self, upload: Upload) -> None:
        """Handles the packet by which a caller closes its flow."""

    def end(self, upload: Upload) -> None:
        """Ends the counting of an upload."""
        self._active.discard(upload)
        self._release()

    def _release(self) -> None:
        while self._held:
            if self._limit is not None and len(self._active) >= self._limit:
                return
            _, upload = self._held.popleft()
            self._active.add(upload)
            self._link.answer(upload.accept)

    def _refuse_expired(self) -> None:
        link = self._link
        while self._held and self._held[0][0] + START_LIFETIME_S <= link.now:
            _, upload = self._held.popleft()
            link.refuse(upload)


class LearnedLimit:
    """The gate of a balancer, which learns from the packets."""

    def __init__(self, link: Link, rate_mbps: float) -> None:
        self.gate = UploadGate(
            rate_mbps,
            lambda address: make_service("uploads"),
            self._offer,
            self._refuse,
            Counter(),
            DecisionLog("relay"),
        )
        self._link = link
        self._uploads: dict[bytes, Upload] = {}
        self._entries: dict[bytes, FlowEntry] = {}
        self._maintained_at = 0.0
        self._check_at = float("inf")

    def receive_start(self, upload: Upload) -> None:
        """Hands a start to the gate."""
        if upload.key in self._entries:
            return
        now = self._link.now
        entry = FlowEntry(
            upload.key, ServiceId(upload.service), (), now, now, b"start"
        )
        entry.objective = OBJECTIVE_S
        self._uploads[upload.key] = upload
        self._entries[upload.key] = entry
        self.gate.offer(entry, now)
        self._plan_check()

    def receive_data(self, upload: Upload, number: int) -> None:
        """Hands a packet to the gate."""
        self._record(upload, number, PACKET_BYTES, False)

    def receive_close(self, upload: Upload) -> None:
        """Hands the packet to the gate by which a caller closes its flow."""
        self._record(upload, upload.total + 1, 0, True)

    def end(self, upload: Upload) -> None:
        """Does nothing: the gate sees the silence of the caller itself."""

    def _record(
        self, upload: Upload, number: int, size: int, closes: bool
    ) -> None:
        now = self._link.now
        frame = Frame(
            upload.key, False, 0, number, 1, size, closes, False, False, 0
        )
        self.gate.record_packet(frame, now)
        if now - self._maintained_at > MAINTENANCE_INTERVAL_S:
            self._maintained_at = now
            self.gate.forget_idle(now)

    def _offer(self, entry: FlowEntry, now: float) -> None:
        entry.offers.append(Offer(TargetId("t"), now, sequence=1))
        self._link.answer(self._uploads[entry.key].accept)

    def _refuse(self, entry: FlowEntry, reason: str, now: float) -> None:
        entry.was_reset = True
        self._link.refuse(self._uploads[entry.key])

    def _check(self) -> None:
        self.gate.check_timers(self._link.now)
        self._check_at = float("inf")
        self._plan_check()

    def _plan_check(self) -> None:
        wakeup_at = self.gate.find_wakeup(self._link.now)
        if self._check_at == float("inf") and wakeup_at != float("inf"):
            self._check_at = wakeup_at
            self._link.schedule(wakeup_at, self._check)
