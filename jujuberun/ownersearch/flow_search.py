"""Progress of the search for the target that holds one flow."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from jujuberun.frames import MAX_PAYLOAD_BYTES, Frame, compute_sequence_distance
from jujuberun.ids import TargetId
from jujuberun.ownersearch.agent_flow import MAX_FLOW_BYTES

# A caller has at most this many packets in flight.
MAX_KEPT_PACKETS = 16
MAX_WINDOW_BYTES = MAX_KEPT_PACKETS * MAX_PAYLOAD_BYTES


# Sequence number, size and end flag of a packet, equal for copies of it.
PacketName = tuple[int, int, bool]


@dataclass(slots=True)
class Inquiry:
    """Packets that were sent to one target in search of the owner.

    Attributes:
        first_at: time of the first copy, seconds, monotonic.
        last_at: time of the last copy, seconds, monotonic.
        packet: sequence number, size and end flag of the last packet.
        copies: number of packets that were sent.
    """

    first_at: float
    last_at: float
    packet: PacketName
    copies: int = 1


@dataclass(frozen=True, slots=True)
class KeptPacket:
    """A packet that waits for the owner.

    Attributes:
        data: the packet.
        kept_at: time at which its last copy arrived, seconds, monotonic.
    """

    data: bytes
    kept_at: float


@dataclass(slots=True)
class FlowSearch:
    """State of one search; times are seconds, monotonic.

    Attributes:
        frame: header of the packet that is sent to targets.
        packet: that packet: the last one that requests an answer, or the last
            one if none did.
        begun_at: time at which the flow was known to be open; the search began
            then.
        candidates: targets that may hold the flow, the most likely first.
        offered: number of candidates, from the first one, that the start was
            offered to.
        unsure: candidates of pools that are not known to be of the service,
            whose agents did not say at which addresses they hold flows.
        awaits_pools: whether the search waits for the agents of other pools.
        may_locate: whether agents are asked for the flow by its key; only where
            registrations state the starts of targets.
        list_version: version of the list of targets of the candidates.
        inquiries: what was sent to each target in the current pass.
        asked_at: time of the last inquiry.
        located: targets whose agents were asked for the flow by its key in the
            current pass and have not answered.
        located_at: time at which the last of these messages leaves, minus
            infinity before the first one in the current pass.
        answer_delay: seconds that the last answer took, 0 before the first.
        packets: packets that wait for the owner, without copies that the
            caller sent again, the last ones of each; empty once they were sent.
        passes: number of times that the targets were asked from the first.
        first_pass_at: time at which all targets but silent ones had bounced a
            packet for the first time, None before.
        recheck_at: time at which the targets are asked again, infinite if they
            are not.
        is_over: whether no target is left that may hold the flow.
        window_start: sequence number of the caller that the next window of
            packets is counted from, -1 before the first.
        progress_at: time at which a packet last showed that the owner answers
            the caller; minus infinity before.
        due_at: time of the next step without a packet.
        timer_at: time of the timer that is set, infinite without one.
    """

    frame: Frame
    packet: bytes
    begun_at: float
    candidates: Sequence[TargetId] = ()
    offered: int = 0
    unsure: frozenset[TargetId] = frozenset()
    awaits_pools: bool = False
    may_locate: bool = False
    list_version: int = -1
    inquiries: dict[TargetId, Inquiry] = field(default_factory=dict)
    asked_at: float = -math.inf
    located: set[TargetId] = field(default_factory=set)
    located_at: float = -math.inf
    answer_delay: float = 0.0
    packets: dict[PacketName, KeptPacket] = field(default_factory=dict)
    passes: int = 1
    first_pass_at: float | None = None
    recheck_at: float = math.inf
    is_over: bool = False
    window_start: int = -1
    progress_at: float = -math.inf
    due_at: float = math.inf
    timer_at: float = math.inf

    @property
    def expects_answer(self) -> bool:
        """Whether a target that holds the flow answers the packet.

        Acknowledgements may follow the regular end of a flow, so that no timer
        sends them to further targets.
        """
        return expects_answer(self.frame)

    def record_packet(self, frame: Frame, data: bytes, now: float) -> None:
        """Records a packet of the caller as the one that is sent next."""
        if self.window_start < 0:
            self.window_start = self.frame.sequence
        received = compute_advance(self.frame.acknowledged, frame.acknowledged)
        sent = compute_advance(self.window_start, frame.sequence)
        if received or sent > MAX_WINDOW_BYTES:
            # The caller got data, or its target acknowledged packets.
            self.progress_at = now
            self.window_start = frame.sequence
        if expects_answer(frame) or not self.expects_answer:
            self.frame, self.packet = frame, data

    def keep_packet(self, frame: Frame, data: bytes, now: float) -> None:
        """Keeps a packet for the owner, in place of an earlier copy."""
        name = name_packet(frame)
        if name in self.packets or len(self.packets) < MAX_KEPT_PACKETS:
            self.packets[name] = KeptPacket(data, now)

    def take_packets(self, owner: TargetId, since: float) -> list[bytes]:
        """Removes the kept packets; returns those that the owner lacks.

        Args:
            owner: the target that gets them.
            since: time before which packets are dropped, seconds, monotonic.
        """
        packets, self.packets = self.packets, {}
        inquiry = self.inquiries.get(owner)
        sent = inquiry and inquiry.packet
        return [
            kept.data
            for name, kept in packets.items()
            if name != sent and kept.kept_at >= since
        ]

    def record_inquiry(self, target: TargetId, now: float) -> None:
        """Records that the packet was sent to a target."""
        self.asked_at = now
        inquiry = self.inquiries.get(target)
        name = name_packet(self.frame)
        if inquiry is None:
            self.inquiries[target] = Inquiry(now, now, name)
            return
        inquiry.last_at, inquiry.packet = now, name
        inquiry.copies += 1

    def record_bounce(self, target: TargetId, now: float) -> float | None:
        """Records that a target bounced a packet.

        Returns:
            Time at which the target was first asked, None if it was not.
        """
        inquiry = self.inquiries.get(target)
        if inquiry is None:
            return None
        self.answer_delay = now - inquiry.last_at
        return inquiry.first_at

    def includes(self, sequence: int) -> bool:
        """Returns whether a target with this first number may hold the flow.

        The agent that states it was asked by the flow's key, and the caller may
        have used its port for another flow before.
        """
        received = compute_sequence_distance(sequence, self.frame.acknowledged)
        return min(received, (1 << 32) - received) < MAX_FLOW_BYTES

    def start_pass(self) -> None:
        """Begins to ask the targets from the first."""
        self.inquiries.clear()
        self.located.clear()
        self.located_at = -math.inf
        self.passes += 1
        self.is_over = False
        self.recheck_at = math.inf

    def list_open(self, bounced: Collection[TargetId]) -> list[TargetId]:
        """Returns the asked candidates that have not bounced a packet."""
        return [
            target
            for target in self.candidates
            if target in self.inquiries and target not in bounced
        ]

    def list_unasked(self, bounced: Collection[TargetId]) -> list[TargetId]:
        """Returns the candidates that no packet was sent to in this pass."""
        return [
            target
            for target in self.candidates
            if target not in self.inquiries and target not in bounced
        ]

    def has_waited(self, bounced: Collection[TargetId], since: float) -> bool:
        """Returns whether all targets without an answer have had their time.

        Args:
            bounced: targets that bounced a packet of the flow.
            since: time until which they must have been asked first, seconds,
                monotonic. They must have been asked twice, too.
        """
        return all(
            self.inquiries[target].copies > 1
            and self.inquiries[target].first_at <= since
            for target in self.list_open(bounced)
        )

    def find_only_left(self, bounced: Collection[TargetId]) -> TargetId | None:
        """Returns the target that is left after all others bounced a packet.

        All listed and recently removed targets must have been asked: one that
        is left among the first six only is not the owner, because the bounces
        of others may be lost.
        """
        left = [t for t in self.candidates if t not in bounced]
        is_asked = len(left) == 1 and left[0] in self.inquiries
        return left[0] if is_asked else None


def name_packet(frame: Frame) -> PacketName:
    """Returns what is equal for copies of a packet."""
    return frame.sequence, frame.size, frame.closes


def expects_answer(frame: Frame) -> bool:
    """Returns whether a target that holds the flow answers a packet."""
    return not frame.resets and (frame.size > 0 or frame.closes)


def compute_advance(before: int, after: int) -> int:
    """Returns how far a sequence number is ahead of another one, or 0.

    Half of the sequence numbers are ahead of a number, the others behind it.
    """
    distance = compute_sequence_distance(before, after)
    return distance if distance < 1 << 31 else 0
