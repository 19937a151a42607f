"""Decisions that replays compare, with naive versions of them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from jujuberun.ids import FlowId, TargetId
from jujuberun.placement import choose_owner
from jujuberun.view import View

_BOUND = 1.25  # of bounded load: allowed multiple of the mean

# Chooses the owner of a flow, from the home's view, candidates and the time.
Chooser = Callable[[View, FlowId, Sequence[TargetId], float], TargetId | None]


class HandOn(Enum):
    """What becomes of requests on a target whose slots are busy."""

    NONE = "none"
    ASK = "ask again"  # peers grant an idle slot or refuse
    WAIT = "wait at peers"  # peers queue the question


def choose_by_load(
    view: View, flow: FlowId, candidates: Sequence[TargetId], now: float
) -> TargetId | None:
    """Chooses the owner as the home agent does."""
    return choose_owner(candidates, view.loads, view.active, now)


def choose_by_hash(
    view: View, flow: FlowId, candidates: Sequence[TargetId], now: float
) -> TargetId:
    """Chooses by the flow's number modulo the number of targets."""
    return view.names[int.from_bytes(flow, "big") % len(view.names)]


def choose_home(
    view: View, flow: FlowId, candidates: Sequence[TargetId], now: float
) -> TargetId:
    """Chooses the first candidate of the consistent hash."""
    return candidates[0]


def choose_bounded(
    view: View, flow: FlowId, candidates: Sequence[TargetId], now: float
) -> TargetId:
    """Chooses the first candidate whose known load is not far above the mean.

    Consistent hashing with bounded loads, on the loads that the home knows.
    """
    scores = [view.loads.score_flows(name, now) for name in view.names]
    bound = _BOUND * sum(scores) / len(scores)
    for name in candidates:
        if view.loads.score_flows(name, now) <= bound:
            return name
    return candidates[-1]


@dataclass(frozen=True, slots=True)
class Policy:
    """Decisions that a replay makes.

    Attributes:
        choose: gives a new flow its owner.
        hand_on: what becomes of requests that find no slot.
        headroom: of the service.
    """

    choose: Chooser = choose_by_load
    hand_on: HandOn = HandOn.WAIT
    headroom: float = 1.0
