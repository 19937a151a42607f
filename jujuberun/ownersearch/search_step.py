"""Decides which targets are asked next for a flow, and when."""

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import Enum

from jujuberun.confirmation_timeout import MAX_TIMEOUT_S
from jujuberun.ids import TargetId
from jujuberun.ownersearch.answer_clock import OWNER_SILENCE_S
from jujuberun.ownersearch.flow_search import FlowSearch

# Copies of a packet that a search sends at a time. Asking 35 targets one after
# the other took over 2 s with busy balancers; more copies fill the link of a
# small VM.
MAX_COPIES_AT_ONCE = 6
# Of these, copies to targets that did not answer while others are unasked, so
# that a silent failure domain does not hold up the search.
MAX_REPEATS_AT_ONCE = 2
# Copies that timers send to one target in a pass. With 3% of the packets lost,
# three copies without an answer are rarer than 1 in 1,000.
MAX_COPIES_PER_TARGET = 3
# A target whose agent was heard since is asked up to this many times: it did
# not run before, or its target holds the flow and is slow.
MAX_COPIES_TO_HEARD_TARGET = 8
# A packet that equals the one before it was sent again by its caller, which
# waits at least 0.2 s, if they are this far apart. Copies that the network
# makes arrive within milliseconds.
MIN_REPEAT_GAP_S = 0.02
# Interval at which a search looks whether agents of silent targets were heard.
SILENCE_CHECK_INTERVAL_S = 0.3
# If all but this many targets of a batch have answered, the others are asked
# again without the timeout, after this multiple of the time that the last
# answer took. The owner confirms before the others bounce, so silence means a
# lost packet.
MAX_EARLY_REPEATS = 2
EARLY_REPEAT_RATIO = 1.5
# Copies of a packet after which the agents of other targets are asked by the
# flow's key. Without it, each flow that ended with its target cost two copies
# to each of 61 targets after a loss of power, 3.5 s of a link of 5 Mbit/s.
COPIES_BEFORE_LOCATE = 6
# Fewer targets than this are asked with the packet, which costs no more.
MIN_TARGETS_TO_LOCATE = 3
# Targets that an acknowledgement goes to without further packets: those at
# which a start of the flow can have been placed (three groups of six).
MAX_TARGETS_FOR_ACKNOWLEDGEMENT = 18
# An agent that sends nothing for this time although packets were sent to it
# does not run. Agents restart within 0.6 s, callers give up after 2.7 s.
SILENCE_LIMIT_S = 2.5
# The same for a registered target of a pool that is not known to be of the
# service. Both ends of a flow give up after about 10 s without an answer.
UNSURE_SILENCE_LIMIT_S = 10.0


class Trigger(Enum):
    """What causes a step of a search.

    Attributes:
        PACKET: a packet of the caller.
        REPEAT: a packet of the caller that equals the one before: the caller
            waited at least 0.2 s for an answer.
        BOUNCE: a target bounced the packet.
        TIMER: no packet; the measured time is over.
    """

    PACKET = "packet"
    REPEAT = "repeat"
    BOUNCE = "bounce"
    TIMER = "timer"


@dataclass(frozen=True, slots=True)
class AskTargets:
    """Sends the packet to these targets and requests a confirmation."""

    targets: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class AskAgents:
    """Asks the agents of these targets for the flow by its key."""

    targets: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class Wait:
    """Sends nothing until an answer, a packet, or a time.

    Attributes:
        until: seconds, monotonic; infinite without a time.
    """

    until: float


@dataclass(frozen=True, slots=True)
class NoneLeft:
    """All targets bounced the packet, but those whose agents do not run."""

    silent: tuple[TargetId, ...]


Step = AskTargets | AskAgents | Wait | NoneLeft


@dataclass(frozen=True, slots=True)
class SearchInputs:
    """What a step depends on besides the search.

    Attributes:
        bounced: targets that bounced a packet of the flow.
        timeout: seconds after which a target counts as silent.
        answered_until: time of the last inquiry of any search that was
            answered, seconds, monotonic.
        budget: copies that may be sent before a later inquiry was answered.
        find_silence: returns since when packets to a target's agent are
            unanswered, seconds, monotonic; infinite if none is.
        is_listed: returns whether a target is registered.
    """

    bounced: Collection[TargetId]
    timeout: float
    answered_until: float
    budget: float
    find_silence: Callable[[TargetId], float]
    is_listed: Callable[[TargetId], bool]


def decide_step(
    search: FlowSearch, inputs: SearchInputs, trigger: Trigger, now: float
) -> Step:
    """Decides the next step of a search.

    Answers the load of a full link: further targets are asked when those before
    have answered, or after the time that answers take there.

    Args:
        search: the search.
        inputs: what is known of the targets.
        trigger: cause of the step.
        now: seconds, monotonic.
    """
    left = search.list_open(inputs.bounced)
    unasked = search.list_unasked(inputs.bounced)
    recent = _list_recent(search, inputs, left, now)
    if not recent and not unasked and _are_dead(search, inputs, left, now):
        return NoneLeft(tuple(left))
    is_free = inputs.budget >= MAX_COPIES_AT_ONCE
    if left and is_unclocked(search, inputs) and not is_free:
        # The answers are late rather than lost, for all that is known.
        return Wait(now + inputs.timeout)
    is_repeat = (
        trigger is Trigger.REPEAT and now - search.asked_at >= MIN_REPEAT_GAP_S
    )
    if recent and not is_repeat:
        early = _list_early(search, left)
        if early and now >= _find_early_time(search):
            return AskTargets(tuple(early))
        return Wait(find_due(search, inputs, now))
    if _may_locate(search, unasked):
        return AskAgents(tuple(unasked))
    location_end = _find_location_end(search, inputs)
    if location_end > now:
        # An agent that does not know all flows leaves it to the packet.
        unasked = [t for t in unasked if t not in search.located]
        if not unasked:
            return Wait(location_end)
    is_packet = trigger in (Trigger.PACKET, Trigger.REPEAT)
    if unasked and (
        is_packet or search.expects_answer or _is_short_search(search)
    ):
        return _ask_further(search, left, recent, unasked)
    silent = [
        target
        for target in left
        if target not in recent
        and (is_packet or _may_repeat(search, inputs, target))
    ]
    if silent and not unasked:
        silent.sort(key=lambda target: search.inquiries[target].last_at)
        return AskTargets(tuple(silent[:MAX_COPIES_AT_ONCE]))
    return Wait(find_due(search, inputs, now))


def is_unclocked(search: FlowSearch, inputs: SearchInputs) -> bool:
    """Returns whether no inquiry was answered since this search asked last."""
    return search.asked_at > inputs.answered_until


def _find_location_end(search: FlowSearch, inputs: SearchInputs) -> float:
    """Returns until when agents may answer an inquiry by the flow's key.

    Minus infinity if none has to. The last ones, no more than are asked with
    the packet at a time, have less time: the owner's agent answers as soon as
    the others, so silence means a lost message.
    """
    if not search.located:
        return -math.inf
    if len(search.located) <= MAX_COPIES_AT_ONCE and search.answer_delay:
        return search.located_at + EARLY_REPEAT_RATIO * search.answer_delay
    return search.located_at + _find_patience(search, inputs)


def _may_locate(search: FlowSearch, unasked: list[TargetId]) -> bool:
    """Returns whether a search asks agents by the key, once in each pass."""
    return (
        search.may_locate
        and search.located_at == -math.inf
        and search.expects_answer
        and len(search.inquiries) >= COPIES_BEFORE_LOCATE
        and len(unasked) >= MIN_TARGETS_TO_LOCATE
    )


def _find_patience(search: FlowSearch, inputs: SearchInputs) -> float:
    """Returns the seconds after which a target of this search is silent.

    A late bounce shows that the answers of the others may be as late.
    """
    return max(inputs.timeout, EARLY_REPEAT_RATIO * search.answer_delay)


def _is_short_search(search: FlowSearch) -> bool:
    return len(search.inquiries) < MAX_TARGETS_FOR_ACKNOWLEDGEMENT


def _ask_further(
    search: FlowSearch,
    left: list[TargetId],
    recent: list[TargetId],
    unasked: list[TargetId],
) -> AskTargets:
    """Asks the next targets, and silent ones again."""
    if search.offered and search.passes == 1 and not search.inquiries:
        # The start was offered to these, so they come alone at first.
        return AskTargets(tuple(unasked[: search.offered]))
    silent = [
        target
        for target in left
        if target not in recent
        and search.inquiries[target].copies < MAX_COPIES_PER_TARGET
    ]
    silent.sort(key=lambda target: search.inquiries[target].copies)
    repeated = silent[:MAX_REPEATS_AT_ONCE]
    further = unasked[: MAX_COPIES_AT_ONCE - len(repeated)]
    return AskTargets((*repeated, *further))


def find_due(search: FlowSearch, inputs: SearchInputs, now: float) -> float:
    """Returns when the next step is due without an answer or a packet.

    Args:
        search: the search.
        inputs: what is known of the targets.
        now: seconds, monotonic.
    """
    if not search.expects_answer:
        return math.inf
    left = search.list_open(inputs.bounced)
    has_next = bool(
        search.list_unasked(inputs.bounced)
        or _list_recent(search, inputs, left, now)
        or any(_may_repeat(search, inputs, target) for target in left)
    )
    if has_next:
        due = search.asked_at + _find_patience(search, inputs)
        is_early = bool(_list_early(search, left))
        return min(due, _find_early_time(search)) if is_early else due
    if not left:
        return math.inf
    death = max(find_death(search, inputs, target) for target in left)
    return min(death, now + SILENCE_CHECK_INTERVAL_S)


def _list_recent(
    search: FlowSearch,
    inputs: SearchInputs,
    left: list[TargetId],
    now: float,
) -> list[TargetId]:
    """Returns the targets that may still answer the last packet."""
    since = now - _find_patience(search, inputs)
    return [t for t in left if search.inquiries[t].last_at > since]


def _list_early(search: FlowSearch, left: list[TargetId]) -> list[TargetId]:
    """Returns the last targets of a batch that have not answered."""
    if not search.expects_answer or not search.answer_delay:
        return []
    if len(left) > MAX_EARLY_REPEATS:
        return []
    return [
        target
        for target in left
        if search.inquiries[target].copies == 1
        and search.inquiries[target].last_at == search.asked_at
    ]


def _find_early_time(search: FlowSearch) -> float:
    return search.asked_at + EARLY_REPEAT_RATIO * search.answer_delay


def _may_repeat(
    search: FlowSearch, inputs: SearchInputs, target: TargetId
) -> bool:
    """Returns whether timers may ask a target again."""
    inquiry = search.inquiries[target]
    is_heard = inputs.find_silence(target) > inquiry.last_at
    limit = MAX_COPIES_TO_HEARD_TARGET if is_heard else MAX_COPIES_PER_TARGET
    return search.expects_answer and inquiry.copies < limit


def _are_dead(
    search: FlowSearch,
    inputs: SearchInputs,
    targets: list[TargetId],
    now: float,
) -> bool:
    return all(now >= find_death(search, inputs, t) for t in targets)


def find_death(
    search: FlowSearch, inputs: SearchInputs, target: TargetId
) -> float:
    """Returns from when on a target's agent counts as not running.

    A registered target of the service may hold the flow, however long its agent
    is silent: the agent may be paused or cut off. While the caller makes
    progress, a target answers it, so none is dead. On a full link, answers are
    late rather than missing: none is dead before an inquiry that was sent well
    after the silence began has been answered.
    """
    limit = SILENCE_LIMIT_S
    if inputs.is_listed(target):
        if target not in search.unsure:
            return math.inf
        limit = UNSURE_SILENCE_LIMIT_S
    since = max(inputs.find_silence(target), search.progress_at)
    is_late = inputs.timeout >= MAX_TIMEOUT_S
    if is_late and inputs.answered_until < since + OWNER_SILENCE_S:
        return math.inf
    return since + limit
