"""Offers of start packets to targets, until one of them accepts."""

import heapq
import itertools
import math
from collections import Counter, deque
from typing import Any

import anyio

from jujuberun.addresses import format_address
from jujuberun.decisions import DecisionLog
from jujuberun.durations import Durations
from jujuberun.flowtable import FlowEntry, FlowTable, Offer
from jujuberun.frames import ROOM_ANY, Frame, find_caller
from jujuberun.generations import Generations
from jujuberun.ids import Address, TargetId
from jujuberun.members import Members
from jujuberun.packetport import PacketPort
from jujuberun.peers import Peers
from jujuberun.steering import (
    OFFER_TIMEOUT_S,
    RESTART_S,
    Candidate,
    Steering,
)
from jujuberun.wire import Accepted, Declined

# A start that finds no place is offered again in this period. The time that a
# slot takes to become free is about as long.
HOLD_PERIOD_S = 0.03
HOLD_LIMIT_S = 0.8  # from its first packet here; then it queues in any case
MAX_FREE_TRIES = 3  # targets that are asked for a free slot
MAX_QUEUE_TRIES = 2  # targets that are then asked for a short queue
MAX_OFFERS = 4  # targets that a start is offered to in all
# A caller gives a start up after 1.4 s; an older one is not offered again.
START_LIFE_S = 1.3


class Offers:
    """Finds a target for each start packet.

    Attributes:
        start_times: seconds from a start packet to its confirmation.
    """

    def __init__(
        self,
        port: PacketPort,
        flows: FlowTable,
        steering: Steering,
        peers: Peers,
        generations: Generations,
        members: Members,
        counts: Counter[str],
        log: DecisionLog,
    ) -> None:
        """Builds the offers of one balancer.

        Args:
            port: sends packets to agents and callers.
            flows: flows that the balancer knows.
            steering: chooses targets.
            peers: messages of agents.
            generations: version that decisions are logged with.
            members: index that decisions are logged with.
            counts: events of the balancer.
            log: decisions of the balancer.
        """
        self.start_times = Durations()
        self._port = port
        self._flows = flows
        self._steering = steering
        self._generations = generations
        self._members = members
        self._counts = counts
        self._log = log
        self._pending: deque[tuple[float, FlowEntry, Offer]] = deque()
        self._held: list[tuple[float, int, FlowEntry]] = []
        self._ticket = itertools.count()
        self._offered = anyio.Event()
        peers.register(Accepted, self._handle_accepted)
        peers.register(Declined, self._handle_declined)

    def repeat(
        self, entry: FlowEntry, frame: Frame, data: bytes, now: float
    ) -> None:
        """Sends a copy of a start that may have been lost on the way."""
        self._counts["start_copies"] += 1
        if entry.ended:
            self._port.send_reset(frame)
            return
        entry.start = data
        for offer in entry.offers:
            candidate = self._steering.find(offer.target)
            if offer.sequence is None or candidate is None:
                continue
            if not candidate.leaving and candidate.left is None:
                # It answered, but the answer has not reached the caller.
                self._port.send_start(entry, candidate, ROOM_ANY)
                return
        self.offer(entry, now)

    def offer(self, entry: FlowEntry, now: float) -> None:
        """Offers a start to a target, or refuses it if there is none."""
        tried = {offer.target for offer in entry.offers}
        candidate, room = self._choose_target(entry, entry.refused | tried, now)
        if candidate is None or len(tried) >= MAX_OFFERS:
            self._offer_again(entry, now)
            return
        if room is None:
            self._hold(entry, now)
            return
        offer = Offer(candidate.id, now)
        entry.offers.append(offer)
        self._send(entry, offer, candidate, room, now)

    def _offer_again(self, entry: FlowEntry, now: float) -> None:
        """Offers a start to a target that did not confirm it before.

        No other target is left. The offer may have met an agent that was
        starting, and a target takes the same start twice without harm.
        """
        for offer in entry.offers:
            candidate = self._steering.find(offer.target)
            if not offer.missed or offer.target in entry.refused:
                continue
            if offer.sequence is not None:
                continue
            if candidate is None or candidate.leaving or candidate.left:
                continue
            offer.missed, offer.sent = False, now
            self._send(entry, offer, candidate, ROOM_ANY, now)
            return
        self._give_up_start(entry, "every target returned it", now)

    def _send(
        self,
        entry: FlowEntry,
        offer: Offer,
        candidate: Candidate,
        room: int,
        now: float,
    ) -> None:
        """Sends a start to a target and notes when it has to be confirmed."""
        self._steering.note_offer(candidate)
        self._port.send_start(entry, candidate, room)
        if not self._pending:
            self._offered.set()
        self._pending.append((now + OFFER_TIMEOUT_S, entry, offer))

    def _hold(self, entry: FlowEntry, now: float) -> None:
        """Offers a start again after HOLD_PERIOD_S."""
        if not entry.holds:
            self._counts["starts_held"] += 1
            self._log.write(
                "start held: no place at a target",
                now,
                flow=format_address(find_caller(entry.key)),
                service=entry.service,
                declined=len(entry.declined),
                left_ms=round(entry.compute_left(now) * 1000),
            )
        entry.declined.clear()
        entry.declines = 0
        if entry.is_held:
            # A copy of the start came while it waits already.
            return
        entry.is_held = True
        entry.holds += 1
        due = now + HOLD_PERIOD_S
        heapq.heappush(self._held, (due, next(self._ticket), entry))
        self._offered.set()

    def _choose_target(
        self, entry: FlowEntry, closed: set[TargetId], now: float
    ) -> tuple[Candidate | None, int | None]:
        """Returns the target to offer a start to, and the room it must have.

        A target with a free slot comes first. A start that can still be
        answered in time may then queue. Any other one is held, without a
        room, until a slot is free or its time is over.
        """
        choose = self._steering.choose
        if entry.declines < MAX_FREE_TRIES:
            free = choose(entry.pools, entry.key, closed | entry.declined, now)
            if free is not None:
                return free, min(free.slots, ROOM_ANY - 1)
        queue = choose(entry.pools, entry.key, closed, now)
        if queue is None:
            queue = choose(entry.pools, entry.key, closed, now, trust_all=True)
        if queue is None or now - entry.begun > HOLD_LIMIT_S:
            return queue, ROOM_ANY
        room = self._steering.compute_room(queue, entry.compute_left(now))
        tries = MAX_FREE_TRIES + MAX_QUEUE_TRIES
        if room > queue.slots and entry.declines < tries:
            return queue, min(room, ROOM_ANY - 1)
        return queue, None

    def _give_up_start(self, entry: FlowEntry, reason: str, now: float) -> None:
        """Refuses a start that no target has or may still accept.

        While a target may still accept an offer, the caller is told nothing:
        a refusal has to be true.
        """
        if any(o.target not in entry.refused for o in entry.offers):
            return
        if entry.start is None or entry.ended:
            return
        frame = self._port.read(entry.start)
        if frame is None or (frame.copy and not entry.offers):
            return
        entry.ended = True
        self._counts["reset_no_target"] += 1
        self._log.write(
            f"start refused: {reason}",
            now,
            flow=format_address(find_caller(entry.key)),
            service=entry.service,
            refused=sorted(entry.refused),
            targets=self._members.position,
            after_ms=round((now - entry.begun) * 1000),
            outcome="reset, not run",
        )
        self._port.send_reset(frame)

    def _handle_accepted(
        self, accepted: Any, sender: Address, now: float
    ) -> None:
        entry = self._flows.find(accepted.key, now)
        candidate = self._note_report(accepted, entry, sender, now)
        if entry is None or candidate is None:
            return
        offer = entry.find_offer(candidate.id)
        if offer is None:
            offer = Offer(candidate.id, now)
            entry.offers.append(offer)
        if offer.sequence is None:
            self.start_times.add(now - entry.begun)
            self._log.write(
                "start accepted",
                now,
                flow=format_address(find_caller(entry.key)),
                service=entry.service,
                target=candidate.id,
                busy=accepted.busy,
                offers=len(entry.offers),
                declined=len(entry.declined),
                after_ms=round((now - entry.begun) * 1000),
                delay_ms=round(entry.delay * 1000),
                generation=self._generations.position,
                targets=self._members.position,
            )
        offer.sequence = accepted.sequence
        entry.refused.discard(candidate.id)

    def _handle_declined(
        self, declined: Any, sender: Address, now: float
    ) -> None:
        entry = self._flows.find(declined.key, now)
        candidate = self._note_report(declined, entry, sender, now)
        if entry is None or candidate is None:
            return
        self._counts["declined"] += 1
        entry.offers = [
            o
            for o in entry.offers
            if o.target != candidate.id or o.sequence is not None
        ]
        entry.declined.add(candidate.id)
        entry.declines += 1
        if declined.draining:
            self._note_stop(candidate, now)
        if entry.start is None or entry.is_accepted:
            return
        if any(not offer.missed for offer in entry.offers):
            return
        if declined.draining and not self._has_other_target(entry, now):
            # Its agent starts again at once; the target goes on.
            self._hold(entry, now)
            return
        self.offer(entry, now)

    def _note_stop(self, candidate: Candidate, now: float) -> None:
        """Avoids a target whose agent is about to stop."""
        if candidate.suspected_until <= now:
            self._log.write(
                "target avoided: its agent stops",
                now,
                target=candidate.id,
                busy=candidate.busy,
                for_s=RESTART_S,
            )
        self._steering.note_stop(candidate, now)

    def _has_other_target(self, entry: FlowEntry, now: float) -> bool:
        """Returns whether a target is left that has not declined a start."""
        tried = {offer.target for offer in entry.offers}
        closed = entry.refused | entry.declined | tried
        choose = self._steering.choose
        return choose(entry.pools, entry.key, closed, now) is not None

    def _note_report(
        self,
        message: Any,
        entry: FlowEntry | None,
        sender: Address,
        now: float,
    ) -> Candidate | None:
        """Takes load from a message of an agent; returns its target."""
        agent = (sender[0], self._port.number)
        candidates = self._steering.find_by_agent(agent)
        if not candidates:
            self._counts["reports_unknown"] += 1
            return None
        candidate = candidates[0]
        if entry is not None and len(candidates) > 1:
            offered = [c for c in candidates if entry.find_offer(c.id)]
            candidate = (offered or candidates)[0]
        service_time = message.service_time / 1e6
        self._steering.note_report(candidate, message.busy, service_time, now)
        return candidate

    async def follow(self) -> None:
        """Checks each offer when its time is over, until cancelled."""
        while True:
            self._offered = anyio.Event()
            self._drop_answered()
            due = min(
                self._pending[0][0] if self._pending else math.inf,
                self._held[0][0] if self._held else math.inf,
            )
            with anyio.CancelScope(deadline=due):
                await self._offered.wait()
            self.check(anyio.current_time())

    def _drop_answered(self) -> None:
        """Drops leading offers that are answered; none needs a wake-up."""
        while self._pending and self._pending[0][2].sequence is not None:
            self._pending.popleft()

    def check(self, now: float) -> None:
        """Offers starts anew that no agent confirmed in time."""
        while self._pending and self._pending[0][0] <= now:
            _, entry, offer = self._pending.popleft()
            self._check_offer(entry, offer, now)
        while self._held and self._held[0][0] <= now:
            _, _, entry = heapq.heappop(self._held)
            entry.is_held = False
            if entry.is_accepted or entry.start is None:
                continue
            if now - entry.begun > START_LIFE_S:
                self._give_up_start(entry, "its time is over", now)
                continue
            self.offer(entry, now)

    def _check_offer(self, entry: FlowEntry, offer: Offer, now: float) -> None:
        """Offers a start to another target unless this offer was answered."""
        if offer.sequence is not None or offer not in entry.offers:
            return
        offer.missed = True
        candidate = self._steering.find(offer.target)
        if candidate is not None and self._steering.note_miss(candidate, now):
            self._counts["suspicions"] += 1
            self._log.write(
                "target suspected: starts were not confirmed",
                now,
                target=candidate.id,
                heard_before_s=candidate.find_age(now),
                until_s=round(candidate.suspected_until - now, 3),
            )
        if entry.is_accepted or entry.start is None:
            return
        if now - entry.begun > START_LIFE_S:
            entry.start = None
            return
        self._counts["starts_offered_again"] += 1
        self._log.write(
            "start offered again: not confirmed in time",
            now,
            flow=format_address(find_caller(entry.key)),
            service=entry.service,
            target=offer.target,
            after_ms=round((now - offer.sent) * 1000),
        )
        self.offer(entry, now)
