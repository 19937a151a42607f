"""Decides for which of the targets at an address an agent speaks."""

from collections.abc import Collection, Sequence

from jujuberun.flowtable import FlowEntry
from jujuberun.frames import Bouncer, Frame, make_tag, split_mark
from jujuberun.ids import PoolId, TargetId
from jujuberun.target_state import TargetState


def list_senders(
    candidates: Sequence[TargetState], pool: PoolId | None
) -> list[TargetState]:
    """Returns the targets at an address that its agent speaks for.

    Targets of one pool at one address are the same one to a balancer: it
    reaches either by the same packet.

    Args:
        candidates: all targets at the address.
        pool: pool that the agent states, None if it states none. Then it speaks
            for all if they are of one pool, else for none.
    """
    if pool is not None:
        return [c for c in candidates if c.pool == pool]
    is_clear = len({candidate.pool for candidate in candidates}) == 1
    return list(candidates) if is_clear else []


def choose_sender(
    candidates: Sequence[TargetState],
    pool: PoolId | None,
    entry: FlowEntry | None,
    flow_pools: Collection[PoolId],
) -> TargetState | None:
    """Returns the target that an agent's answer about a flow is from.

    Prefers a target that the start was offered to, then one that serves the
    flow, then one that is registered now, then the one that started last.

    Args:
        candidates: all targets at the agent's address.
        pool: pool that the agent states, None if it states none.
        entry: the flow, None if it is unknown.
        flow_pools: pools that are known to serve the flow.

    Returns:
        The target, or None if it is not known.
    """
    senders = list_senders(candidates, pool)
    if not senders and pool is None and entry is not None:
        senders = list(candidates)

    def rank(candidate: TargetState) -> tuple[bool, bool, bool, int]:
        return (
            entry is not None and entry.find_offer(candidate.id) is not None,
            candidate.pool in flow_pools,
            candidate.removed_at is None,
            -1 if candidate.started is None else candidate.started,
        )

    return max(senders, key=rank, default=None)


def is_misdirected(candidates: Sequence[TargetState], frame: Frame) -> bool:
    """Returns whether an agent returned a packet for another pool than its own.

    Args:
        candidates: all targets at the address that returned the packet.
        frame: header of the packet. Its mark is the one of the balancer if the
            agent returned it, and the balancer's address if the target did.
    """
    match frame.bouncer:
        case Bouncer.TARGET:
            return False
        case Bouncer.AGENT:
            return True
        case Bouncer.UNSTATED:
            return bool(_list_meant(candidates, frame))


def list_bouncing(
    candidates: Sequence[TargetState], frame: Frame
) -> list[TargetState]:
    """Returns the targets that a bounced packet tells something about.

    What the target at an address does not hold, no target does that is
    registered there. An agent that returns a packet for another pool says
    nothing about its own target.

    Args:
        candidates: all targets at the address that returned the packet.
        frame: header of the packet.
    """
    if is_misdirected(candidates, frame):
        return _list_meant(candidates, frame)
    return list(candidates)


def _list_meant(
    candidates: Sequence[TargetState], frame: Frame
) -> list[TargetState]:
    """Returns the targets that the mark of a packet names."""
    tag, _, _ = split_mark(frame.mark)
    return [c for c in candidates if make_tag(c.pool) == tag]


def list_ids(candidates: Collection[TargetState]) -> set[TargetId]:
    """Returns the ids of targets."""
    return {candidate.id for candidate in candidates}
