"""Order of starts that wait, and which of them are refused.

Answers a load above the capacity of a pool: the starts that wait are those
whose callers lose least by it, in relation to the work that they need.
"""

import math
from dataclasses import dataclass
from enum import Enum

from jujuberun.overload.terms import LATE_VALUE, START_LIFETIME_S, StartTerms
from jujuberun.overload.work import Work

# Bounds of the time over which a loss by waiting is weighed: a start gets its
# next chance in the next round of a balancer, and has none after its lifetime.
MIN_HORIZON_S = 0.015
MAX_HORIZON_S = START_LIFETIME_S
# Part of a start's work that is kept in reserve, because work varies by half,
# and a start that is taken waits for part of an answer in progress.
QUEUE_RESERVE = 0.4


class Prospect(Enum):
    """What a start that is placed after a wait is still worth.

    Attributes:
        IN_TIME: its answer can meet the objective.
        LATE: its answer comes after the objective, within the time limit.
        NONE: its answer comes too late for its caller.
    """

    IN_TIME = "in time"
    LATE = "late"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class Slack:
    """Seconds that a start may still wait.

    Attributes:
        in_time: until its answer misses the objective.
        useful: until its answer is worth nothing to its caller.
    """

    in_time: float
    useful: float


def compute_slack(terms: StartTerms, work: Work, age: float) -> Slack:
    """Returns the time that a start may wait for a slot.

    A request that cannot be repeated must not fail after its flow has opened,
    so the usual maximum of its work has to fit into the time limit; the caller
    may still repeat a start that was refused. For other requests the mean has
    to fit.

    Args:
        terms: what the start is worth.
        work: work of its service.
        age: seconds since its caller sent it first.
    """
    useful = START_LIFETIME_S - age
    if terms.time_limit:
        need = work.mean if terms.is_repeatable else work.likely_maximum
        useful = min(useful, terms.time_limit - age - need)
    in_time = terms.objective - age - work.mean * (1 + QUEUE_RESERVE)
    return Slack(min(in_time, useful), useful)


def assess(slack: Slack, wait: float) -> Prospect:
    """Returns what a start is worth if it is placed after a wait in seconds."""
    if wait <= slack.in_time:
        return Prospect.IN_TIME
    return Prospect.LATE if wait <= slack.useful else Prospect.NONE


def compute_value_density(terms: StartTerms, work: Work, slack: Slack) -> float:
    """Returns the value of a start placed now, for each second of its work."""
    match assess(slack, 0.0):
        case Prospect.IN_TIME:
            return terms.weight / work.mean
        case Prospect.LATE:
            return LATE_VALUE * terms.weight / work.mean
        case Prospect.NONE:
            return 0.0


def compute_loss(
    terms: StartTerms, work: Work, slack: Slack, horizon: float
) -> float:
    """Returns the value that is lost by a wait, for each second of work.

    A start loses a part of its value at its objective and the rest when its
    answer is worth nothing. Each part counts the less the more time is left
    until then, in relation to the time that the starts ahead take. So slack
    decides where the backlog is short, and value for each second of work
    where more is asked than can be served.

    Args:
        terms: what the start is worth.
        work: work of its service.
        slack: time that it may wait.
        horizon: seconds that the starts waiting beside it take.
    """
    horizon = min(MAX_HORIZON_S, max(MIN_HORIZON_S, horizon))
    loss = 0.0
    if slack.in_time >= 0:
        loss += (1 - LATE_VALUE) * math.exp(-slack.in_time / horizon)
    if slack.useful >= 0:
        loss += LATE_VALUE * math.exp(-slack.useful / horizon)
    return loss * terms.weight / work.mean


def estimate_wait(work_ahead: float, rate: float, demand_ahead: float) -> float:
    """Returns the seconds until a start is placed, infinite if never.

    Args:
        work_ahead: work of the waiting starts that go before it, in seconds.
        rate: work that the pool takes from this balancer, in seconds a second.
        demand_ahead: work of arriving starts that will go before it, in
            seconds a second.
    """
    if rate <= demand_ahead:
        return math.inf
    return work_ahead / (rate - demand_ahead)
