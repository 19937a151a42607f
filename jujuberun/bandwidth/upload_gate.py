"""Holds starts of uploads until the link of the balancer takes them.

Load: more uploads than the link carries without a queue that makes callers
send packets again.
"""

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

import anyio

from jujuberun.addresses import format_address
from jujuberun.bandwidth.upload_limit import WINDOW_LINK_BYTES
from jujuberun.bandwidth.uploads import Uploads
from jujuberun.decisions import DecisionLog
from jujuberun.flowtable import FlowEntry
from jujuberun.frames import Frame, unpack_caller, unpack_service
from jujuberun.ids import Address, ServiceId, ServiceKind
from jujuberun.manifest import Service
from jujuberun.overload.order import StartOrder
from jujuberun.overload.terms import START_LIFETIME_S
from jujuberun.port import run_checks
from jujuberun.waiting_starts import WaitingStarts

# While starts wait, offered starts that were refused meanwhile are found within
# this time. Ends of uploads are events and don't wait for it.
CHECK_INTERVAL_S = 0.1


class UploadGate:
    """Passes starts on, and holds those of uploads at the limit of the link."""

    def __init__(
        self,
        link_rate: float,
        find_service: Callable[[Address], Service | None],
        offer: Callable[[FlowEntry, float], None],
        refuse: Callable[[FlowEntry, str, float], None],
        counts: Counter[str],
        log: DecisionLog,
    ) -> None:
        """Builds the gate of one balancer.

        Args:
            link_rate: rate of the link in Mbit/s.
            find_service: returns the service at an address.
            offer: offers a start to a target.
            refuse: tells the caller of a start that it has not run.
            counts: event counters of the balancer.
            log: log for decisions of the balancer.
        """
        self._link_rate = link_rate
        self._find_service = find_service
        self._offer = offer
        self._refuse = refuse
        self._counts = counts
        self._log = log
        self._uploads = Uploads(link_rate)
        # The link serves all pools alike, so no order of a pool applies.
        self._waiting = WaitingStarts(None, StartOrder())
        self._timers_changed = anyio.Event()
        windows_per_s = link_rate * 1e6 / 8 / WINDOW_LINK_BYTES
        # More uploads, of at least one window, cannot begin in their time.
        self._max_waiting = math.ceil(windows_per_s * START_LIFETIME_S)

    @property
    def has_waiting_starts(self) -> bool:
        """Whether a start waits for the link."""
        return len(self._waiting) > 0

    def offer(self, entry: FlowEntry, now: float) -> None:
        """Offers a new start to targets, or holds it."""
        if self._uploads.expire(now) and self._waiting:
            self._release(now)
        service = ServiceId(entry.service)
        is_upload = self._read_kind(entry)
        if self._uploads.may_begin(service, is_upload):
            self._begin(entry, is_upload, now)
            return
        self._counts["uploads_held"] += 1
        self._log.write(
            "upload held: the link is in use",
            now,
            flow=format_address(unpack_caller(entry.key)),
            service=service,
            uploads=len(self._uploads),
            limit=self._uploads.compute_limit(),
            is_size_known=self._uploads.sizes.is_known(service),
            waiting=len(self._waiting),
            left_ms=round(entry.compute_remaining(now) * 1000),
        )
        if not self._waiting:
            self._timers_changed.set()
        self._waiting.add(entry)
        if self._is_upload(entry) and len(self._waiting) > self._max_waiting:
            self._refuse_last_upload(now)

    def hold_copy(self, entry: FlowEntry, data: bytes) -> bool:
        """Keeps a copy of a start that is held; returns whether it is."""
        if not self._waiting.contains(entry):
            return False
        self._counts["start_copies"] += 1
        entry.start_packet = data
        return True

    def record_packet(self, frame: Frame, now: float) -> None:
        """Counts a caller's packet after the start of its flow."""
        if not self._uploads.has_flow(frame.key):
            if not frame.size or frame.closes or frame.resets:
                return
            service = self._find_service(unpack_service(frame.key))
            if service is None:
                return
            self._counts["uploads_moved"] += self._uploads.begin_moved(
                frame, service.id, _read_kind(service), now
            )
        if self._uploads.record_packet(frame, now) and self._waiting:
            self._release(now)

    def record_loss(self, entry: FlowEntry, now: float) -> None:
        """Ends the upload of a flow that its target does not hold any more."""
        if not self._uploads.has_flow(entry.key) or not entry.is_accepted:
            return
        if all(offer.target in entry.bounced_by for offer in entry.offers):
            self._uploads.close(entry.key, is_complete=False)
            self._release(now)

    def refuse_waiting_starts(self, now: float) -> None:
        """Refuses all waiting starts, because the balancer ends."""
        for entry in self._list_waiting(now):
            self._give_up(entry, "the balancer stops", now)

    def forget_idle(self, now: float) -> None:
        """Learns from flows that have ended, and forgets them."""
        self._uploads.forget_idle(now)

    async def run_timers(self) -> None:
        """Releases and refuses held starts when it is due, until cancelled."""
        while True:
            self._timers_changed = anyio.Event()
            wakeup_at = self.find_wakeup(anyio.current_time())
            with anyio.CancelScope(deadline=wakeup_at):
                await self._timers_changed.wait()
            now = anyio.current_time()
            failed = await run_checks(self.check_timers, now)
            self._counts["failed"] += failed

    def find_wakeup(self, now: float) -> float:
        """Returns the time of the next decision that no packet announces."""
        if not self._waiting:
            return math.inf
        return min(now + CHECK_INTERVAL_S, self._uploads.find_next_end())

    def check_timers(self, now: float) -> None:
        """Releases and refuses held starts that are due."""
        if self._waiting:
            self._uploads.expire(now)
            self._release(now)

    def describe(self) -> dict[str, Any]:
        """Returns the state as JSON types."""
        return {
            "link_rate": self._link_rate,
            "limit": self._uploads.compute_limit(),
            "in_progress": len(self._uploads),
            "held": len(self._waiting),
            "refused": self._counts["uploads_refused"],
            "flows": self._uploads.flow_count,
            "services": self._uploads.sizes.describe(),
        }

    def _begin(
        self, entry: FlowEntry, is_upload: bool | None, now: float
    ) -> None:
        self._uploads.begin(entry, is_upload, now)
        self._offer(entry, now)
        if entry.was_reset:
            self._uploads.expire(now)

    def _release(self, now: float) -> None:
        """Passes on the starts that may begin, in the order of the waiting."""
        estimate = self._uploads.estimate_wait()
        for entry in self._list_waiting(now):
            time_left = START_LIFETIME_S - (now - entry.first_seen_at)
            is_upload = self._read_kind(entry)
            if entry.start_packet is None:
                # A copy of it was accepted through another balancer.
                self._waiting.remove(entry)
            elif time_left < 0:
                self._give_up(entry, "its time is over", now)
            elif self._uploads.may_begin(entry.service, is_upload):
                self._waiting.remove(entry)
                self._log.write(
                    "upload begins: the link is free",
                    now,
                    flow=format_address(unpack_caller(entry.key)),
                    service=entry.service,
                    uploads=len(self._uploads),
                    after_ms=round((now - entry.first_seen_at) * 1000),
                )
                self._begin(entry, is_upload, now)
                estimate = self._uploads.estimate_wait()
            elif self._is_upload(entry) and estimate.seconds > time_left:
                reason = "the link is in use until its caller gives up"
                self._give_up(entry, reason, now)
            else:
                estimate.add(self._uploads.sizes.find_mean(entry.service))

    def _refuse_last_upload(self, now: float) -> None:
        """Refuses an upload that cannot begin in its time.

        Starts of services that are not known yet stay: if these are no
        uploads, they go on as soon as that is known.
        """
        for entry in reversed(self._list_waiting(now)):
            if self._is_upload(entry):
                reason = "more uploads wait than the link takes in their time"
                self._give_up(entry, reason, now)
                return

    def _is_upload(self, entry: FlowEntry) -> bool:
        is_learned = self._uploads.sizes.is_uploading(entry.service)
        return is_learned or bool(self._read_kind(entry))

    def _give_up(self, entry: FlowEntry, reason: str, now: float) -> None:
        self._waiting.remove(entry)
        self._refuse(entry, reason, now)
        self._counts["uploads_refused"] += entry.was_reset

    def _list_waiting(self, now: float) -> list[FlowEntry]:
        """Returns the waiting starts in their order.

        A start is late when the transfer of one window, the least that an
        upload needs, would not end within its objective.
        """
        window_s = WINDOW_LINK_BYTES * 8 / (self._link_rate * 1e6)
        return self._waiting.list_in_order(window_s, now)

    def _read_kind(self, entry: FlowEntry) -> bool | None:
        service = self._find_service(unpack_service(entry.key))
        return None if service is None else _read_kind(service)


def _read_kind(service: Service) -> bool | None:
    """Returns whether the manifest states that a service's flows are uploads.

    Returns None if it states no kind.
    """
    if service.kind is None:
        return None
    return service.kind is ServiceKind.UPLOAD
