"""Placement and offload policies that replays compare, and naive ones."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from jujuberun.ids import FlowId, TargetId
from jujuberun.placement import choose_owner
from jujuberun.service_view import ServiceView

_MAX_LOAD_RATIO = 1.25  # bounded load: highest load relative to the mean

# Chooses the owner of a flow from the home agent's view, the flow, its
# candidates and the time in seconds.
OwnerChooser = Callable[
    [ServiceView, FlowId, Sequence[TargetId], float], TargetId | None
]


class OffloadMode(Enum):
    """How requests are offered to peers while a target's slots are busy."""

    NONE = "none"
    ASK = "ask again"  # repeatedly; peers grant an idle slot or refuse
    WAIT = "wait at peers"  # peers queue the reservation until a slot is free


def choose_by_load(
    view: ServiceView, flow: FlowId, candidates: Sequence[TargetId], now: float
) -> TargetId | None:
    """Chooses the owner as the home agent does."""
    return choose_owner(candidates, view.loads, view.active, now)


def choose_by_hash(
    view: ServiceView, flow: FlowId, candidates: Sequence[TargetId], now: float
) -> TargetId:
    """Chooses the target with index flow id modulo the number of targets."""
    return view.target_ids[int.from_bytes(flow, "big") % len(view.target_ids)]


def choose_home(
    view: ServiceView, flow: FlowId, candidates: Sequence[TargetId], now: float
) -> TargetId:
    """Chooses the first candidate of the consistent hash: the home."""
    return candidates[0]


def choose_by_bounded_load(
    view: ServiceView, flow: FlowId, candidates: Sequence[TargetId], now: float
) -> TargetId:
    """Chooses the first candidate whose known load is not far above the mean.

    This is consistent hashing with bounded loads. It uses the loads that the
    home agent knows.
    """
    scores = [view.loads.score_flows(name, now) for name in view.target_ids]
    bound = _MAX_LOAD_RATIO * sum(scores) / len(scores)
    for name in candidates:
        if view.loads.score_flows(name, now) <= bound:
            return name
    return candidates[-1]


@dataclass(frozen=True, slots=True)
class Policy:
    """The decisions that a replay uses.

    Attributes:
        choose: function that chooses the owner of a new flow.
        offload_mode: how requests without a free slot are offered to peers.
        headroom: headroom of the service.
    """

    choose: OwnerChooser = choose_by_load
    offload_mode: OffloadMode = OffloadMode.WAIT
    headroom: float = 1.0
