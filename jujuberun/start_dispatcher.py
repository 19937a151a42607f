"""Dispatcher that offers start packets to targets until one accepts."""

import math
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import anyio

from jujuberun.addresses import format_address
from jujuberun.confirmation_timeout import ConfirmationTimeout
from jujuberun.containment.units import contain_errors
from jujuberun.decisions import DecisionLog
from jujuberun.durations import Durations
from jujuberun.flowtable import FlowEntry, FlowTable, Offer
from jujuberun.frames import NO_BUSY_LIMIT, Frame, unpack_caller
from jujuberun.ids import Address, PoolId
from jujuberun.load_reports import LoadReports
from jujuberun.members import Members
from jujuberun.overload.order import StartOrder
from jujuberun.overload.terms import START_LIFETIME_S
from jujuberun.packetport import PacketPort
from jujuberun.peers import Peers
from jujuberun.poolcheck.offer_sender import OfferSender
from jujuberun.port import run_checks
from jujuberun.servicemap import ServiceMap
from jujuberun.start_placement import (
    MAX_FREE_SLOT_TRIES,
    NoPlace,
    Place,
    explain_no_target,
    find_place,
    has_other_target,
)
from jujuberun.steering import Steering
from jujuberun.target_state import TargetState, choose_pool
from jujuberun.waiting_starts import WaitingRooms, WaitingStarts
from jujuberun.warmup.cold_targets import ColdTargets
from jujuberun.wire import Accepted, Declined

# Interval at which waiting starts are offered again; targets need a multiple of
# it for an answer.
ROUND_INTERVAL_S = 0.015
# After so many waiting starts of a pool found no room, the others wait too.
MAX_MISSES_PER_ROUND = 3
MAX_OFFERED_TARGETS = 4


class StartDispatcher:
    """Offers each start packet to targets until one of them accepts.

    Attributes:
        start_times: seconds from a start packet to its confirmation.
    """

    def __init__(
        self,
        port: PacketPort,
        flows: FlowTable,
        steering: Steering,
        order: StartOrder,
        peers: Peers,
        services: ServiceMap,
        members: Members,
        counts: Counter[str],
        log: DecisionLog,
        timeout: ConfirmationTimeout,
        release_packets: Callable[[FlowEntry, float], None],
        cold: ColdTargets,
    ) -> None:
        """Builds the dispatcher of one balancer.

        Args:
            port: sends packets to agents and callers.
            flows: flows that are cached at the balancer.
            steering: chooses targets.
            order: ranks and limits starts by what their callers lose.
            peers: delivers messages of agents.
            services: services of the manifest in force.
            members: provides the index of the list of VMs that is logged.
            counts: event counters of the balancer.
            log: log for decisions of the balancer.
            timeout: time after which an offer counts as lost.
            release_packets: sends the packets of a flow that wait for its
                owner; called when an agent confirms the flow.
            cold: limits the starts at cold targets.
        """
        self._cold = cold
        self._release_packets = release_packets
        self.start_times = Durations()
        self._port = port
        self._flows = flows
        self._steering = steering
        self._services = services
        self._members = members
        self._counts = counts
        self._log = log
        self._timeout = timeout
        self._order = order
        self._reports = LoadReports(
            steering, services, order.work, port, counts, log
        )
        self._sender = OfferSender(port, counts)
        self._unconfirmed: deque[tuple[float, FlowEntry, Offer]] = deque()
        self._waiting = WaitingRooms(order)
        self._next_round_at = math.inf
        self._timers_changed = anyio.Event()
        peers.register(Accepted, self._handle_accepted)
        peers.register(Declined, self._handle_declined)

    def handle_copy(
        self, entry: FlowEntry, frame: Frame, data: bytes, now: float
    ) -> None:
        """Handles a copy of a start that the caller has sent again."""
        self._counts["start_copies"] += 1
        if entry.was_reset:
            self._port.send_reset(frame)
            return
        entry.start_packet = data
        for offer in entry.offers:
            candidate = self._steering.find(offer.target)
            is_confirmed = offer.sequence is not None and candidate is not None
            if is_confirmed and candidate.takes_starts:
                # The target accepted, but its answer did not reach the caller.
                offer.busy_limit = NO_BUSY_LIMIT
                self._sender.send(entry, offer, candidate, now)
                return
        if not self._waiting.contains(entry):
            self.offer(entry, now)

    @property
    def has_waiting_starts(self) -> bool:
        """Whether a start waits for room at a target."""
        return self._waiting.has_starts

    def refuse_waiting_starts(self, now: float) -> None:
        """Refuses all waiting starts, because the balancer ends."""
        for _, waiting in self._waiting.list_pools():
            for entry in waiting.list_all():
                waiting.remove(entry)
                with contain_errors("refusal of a start", self._counts):
                    self.refuse_start(entry, "the balancer stops", now)

    def offer(self, entry: FlowEntry, now: float) -> None:
        """Offers a start to the next target, or holds or refuses it."""
        if entry.start_packet is None:
            return  # It was answered, or its time is over.
        if not self._services.refresh(entry):
            self.refuse_start(entry, "its route was removed", now)
            entry.start_packet = None
            return
        if not entry.hold_count:
            pool = choose_pool(entry.pools, entry.key)
            service_time = self._steering.find_service_time(pool, now)
            if self._waiting.has_precedence(pool, entry, service_time, now):
                self._hold_start(entry, now)
                return
        if len(entry.offers) >= MAX_OFFERED_TARGETS:
            self._retry_unconfirmed_offer(entry, now)
            return
        place = find_place(entry, self._steering, self._cold, self._order, now)
        match place:
            case NoPlace.NO_TARGET:
                self._retry_unconfirmed_offer(entry, now)
            case NoPlace.NO_ROOM:
                self._hold_start(entry, now)
            case Place(target, busy_limit):
                offer = Offer(target.id, now)
                entry.offers.append(offer)
                self._send(entry, offer, target, busy_limit, now)

    def _retry_unconfirmed_offer(self, entry: FlowEntry, now: float) -> None:
        """Offers a start again to a target that did not confirm it.

        No other target is left. The agent may have been starting when the offer
        arrived. A target that receives a start twice opens only one flow.
        """
        waits = False
        for offer in entry.list_unconfirmed_offers():
            candidate = self._steering.find(offer.target)
            if candidate is None or not candidate.takes_starts:
                continue
            if candidate.pool not in entry.pool_ids:
                continue
            if self._cold.is_full(candidate, now):
                waits = True
                continue
            offer.timed_out, offer.is_repeated, offer.sent_at = False, True, now
            self._send(entry, offer, candidate, NO_BUSY_LIMIT, now)
            return
        if waits:
            self._hold_start(entry, now)
            return
        reason = explain_no_target(entry, self._steering)
        self.refuse_start(entry, reason, now)

    def _send(
        self,
        entry: FlowEntry,
        offer: Offer,
        candidate: TargetState,
        busy_limit: int,
        now: float,
    ) -> None:
        """Sends a start and schedules the check of its confirmation."""
        self._steering.record_offer(candidate)
        self._cold.prepare_offer(candidate, now)
        self._waiting.record_offer(candidate.pool, entry, now)
        offer.busy_limit = busy_limit
        self._sender.send(entry, offer, candidate, now)
        if not self._unconfirmed:
            self._timers_changed.set()
        self._unconfirmed.append((now + self._timeout.seconds, entry, offer))

    def _hold_start(self, entry: FlowEntry, now: float) -> None:
        """Lets a start wait until a target has room."""
        pool = choose_pool(entry.pools, entry.key)
        if not entry.hold_count:
            self._counts["starts_held"] += 1
            self._log.write(
                "start held: no place at a target",
                now,
                flow=format_address(unpack_caller(entry.key)),
                service=entry.service,
                declined=len(entry.declined),
                left_ms=round(entry.compute_remaining(now) * 1000),
                **self._order.explain(pool, entry, now),
            )
        entry.declined.clear()
        # Reports of the targets that declined are known by now, so one more
        # offer for a free slot is enough.
        entry.decline_count = MAX_FREE_SLOT_TRIES - 1
        entry.hold_count += 1
        self._waiting.add(pool, entry)
        if self._next_round_at == math.inf:
            self._next_round_at = now + ROUND_INTERVAL_S
            self._timers_changed.set()

    def _run_round(self, now: float) -> None:
        """Offers the waiting starts of each pool again, in their order."""
        for pool, waiting in self._waiting.list_pools():
            with contain_errors("round of waiting starts", self._counts):
                self._run_round_of_pool(pool, waiting, now)
        has_more = self.has_waiting_starts
        self._next_round_at = now + ROUND_INTERVAL_S if has_more else math.inf

    def _run_round_of_pool(
        self, pool: PoolId | None, waiting: WaitingStarts, now: float
    ) -> None:
        service_time = self._steering.find_service_time(pool, now)
        ordered = waiting.list_in_order(service_time, now)
        misses: Counter[int] = Counter()
        for position, entry in enumerate(ordered):
            level = waiting.find_level(entry, now)
            time_left = waiting.compute_time_left(entry, now)
            if entry.is_accepted or entry.start_packet is None:
                waiting.remove(entry)
            elif time_left < 0:
                waiting.remove(entry)
                self.refuse_start(entry, "its time is over", now)
            elif misses[level] < MAX_MISSES_PER_ROUND:
                waiting.remove(entry)
                holds = entry.hold_count
                self.offer(entry, now)
                misses[level] += entry.hold_count > holds
            elif waiting.has_no_prospect(entry, position, now):
                waiting.remove(entry)
                reason = "no target has room before its caller gives up"
                self.refuse_start(entry, reason, now)

    def refuse_start(self, entry: FlowEntry, reason: str, now: float) -> None:
        """Refuses a start unless a target has accepted or may still accept it.

        A refusal tells the caller that its request has not run and will not
        run, so none is sent while an offer is open.
        """
        if not entry.can_be_refused:
            return
        frame = self._port.parse(entry.start_packet)
        if frame is None:
            return
        entry.was_reset = True
        self._counts["reset_no_target"] += 1
        self._order.record_refusal(entry)
        pool = choose_pool(entry.pools, entry.key)
        self._log.write(
            f"start refused: {reason}",
            now,
            flow=format_address(unpack_caller(entry.key)),
            service=entry.service,
            refused=sorted(entry.bounced_by),
            targets=self._members.position,
            drained=sorted(self._steering.drains.domains),
            drains=self._steering.drains.position,
            after_ms=round((now - entry.first_seen_at) * 1000),
            outcome="reset, not run",
            **self._order.explain(pool, entry, now),
        )
        self._port.send_reset(frame)

    def _handle_accepted(
        self, accepted: Any, sender: Address, now: float
    ) -> None:
        entry = self._flows.find(accepted.key, now)
        candidate = self._reports.record(accepted, entry, sender, now)
        if entry is None or candidate is None:
            return
        offer = entry.find_offer(candidate.id)
        if offer is None:
            if entry.search and not entry.search.includes(accepted.sequence):
                return  # an earlier flow of the caller's port
            offer = Offer(candidate.id, now)
            entry.offers.append(offer)
            self._log_confirmation(accepted, entry, candidate, now)
        elif offer.sequence is None:
            self._timeout.record(now - offer.sent_at)
            self._sender.versions.record_answer(candidate, offer.is_named)
        if offer.sequence is None and not entry.began_elsewhere:
            self.start_times.add(now - entry.first_seen_at)
            self._waiting.record_placement(candidate.pool, entry, now)
            self._log.write(
                "start accepted",
                now,
                flow=format_address(unpack_caller(entry.key)),
                service=entry.service,
                target=candidate.id,
                busy=accepted.busy,
                offers=len(entry.offers),
                declined=len(entry.declined),
                after_ms=round((now - entry.first_seen_at) * 1000),
                delay_ms=round(entry.start_delay * 1000),
                generation=self._services.generation,
                pools_of=entry.generation,
                targets=self._members.position,
            )
        offer.sequence = accepted.sequence
        offer.states_pool = accepted.pool is not None
        entry.bounced_by.discard(candidate.id)
        self._release_packets(entry, now)

    def _log_confirmation(
        self,
        accepted: Any,
        entry: FlowEntry,
        candidate: TargetState,
        now: float,
    ) -> None:
        """Logs whose confirmation of a flow from elsewhere it is."""
        others = self._steering.find_by_agent(candidate.agent)
        self._log.write(
            "flow confirmed: it began at another balancer",
            now,
            flow=format_address(unpack_caller(entry.key)),
            service=entry.service,
            target=candidate.id,
            pool=candidate.pool,
            stated=accepted.pool,
            at_address=len(others),
            targets=self._members.position,
        )

    def _handle_declined(
        self, declined: Any, sender: Address, now: float
    ) -> None:
        entry = self._flows.find(declined.key, now)
        candidate = self._reports.record(declined, entry, sender, now)
        if entry is None or candidate is None:
            return
        offer = entry.find_offer(candidate.id)
        if declined.needs_pool:
            self._sender.send_name(entry, offer, candidate, now)
            return
        self._counts["declined"] += 1
        if offer is not None and offer.sequence is None:
            self._timeout.record(now - offer.sent_at)
            self._sender.versions.record_answer(candidate, offer.is_named)
        wait_ms = declined.retry_after
        entry.record_decline(candidate.id, wait_ms is not None)
        self._cold.record_decline(candidate, wait_ms, now)
        if declined.draining or wait_ms is not None:
            self._waiting.record_unanswered(candidate.pool, entry, now)
        if declined.draining:
            self._reports.avoid_stopping_agent(candidate, now)
        is_open = any(not offer.timed_out for offer in entry.offers)
        if is_open or entry.start_packet is None or entry.is_accepted:
            return
        if self._waiting.contains(entry):
            return
        if declined.draining and not has_other_target(
            entry, self._steering, now
        ):
            # The agent restarts at once, and its target keeps running.
            self._hold_start(entry, now)
            return
        self.offer(entry, now)

    async def run_timers(self) -> None:
        """Checks offers and held starts when they are due, until cancelled."""
        while True:
            self._timers_changed = anyio.Event()
            # Confirmed offers at the head need no wake-up.
            offers = self._unconfirmed
            while offers and offers[0][2].sequence is not None:
                offers.popleft()
            wakeup_at = min(
                self._unconfirmed[0][0] if self._unconfirmed else math.inf,
                self._next_round_at,
            )
            with anyio.CancelScope(deadline=wakeup_at):
                await self._timers_changed.wait()
            now = anyio.current_time()
            failed = await run_checks(self.check_timers, now)
            self._counts["failed"] += failed

    def check_timers(self, now: float) -> None:
        """Offers unconfirmed and held starts again that are due."""
        while self._unconfirmed and self._unconfirmed[0][0] <= now:
            _, entry, offer = self._unconfirmed.popleft()
            self._expire_offer(entry, offer, now)
        if self._next_round_at <= now:
            self._run_round(now)

    def _expire_offer(self, entry: FlowEntry, offer: Offer, now: float) -> None:
        """Offers a start to another target if an offer was not confirmed."""
        is_open = offer.sequence is None and not offer.timed_out
        if not is_open or offer not in entry.offers:
            return
        offer.timed_out = True
        self._cold.record_timeout(offer.target, now)
        candidate = self._steering.find(offer.target)
        if candidate is not None:
            self._reports.record_timeout(candidate, now)
            self._sender.versions.record_timeout(candidate, offer.is_named, now)
            self._waiting.record_unanswered(candidate.pool, entry, now)
        if entry.is_accepted or entry.start_packet is None:
            return
        if now - entry.first_seen_at > START_LIFETIME_S:
            entry.start_packet = None
            return
        self._counts["starts_offered_again"] += 1
        self._log.write(
            "start offered again: not confirmed in time",
            now,
            flow=format_address(unpack_caller(entry.key)),
            service=entry.service,
            target=offer.target,
            after_ms=round((now - offer.sent_at) * 1000),
        )
        self.offer(entry, now)
