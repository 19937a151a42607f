"""Tells lost packets of searches from late ones, for a whole balancer."""

import math

from jujuberun.confirmation_timeout import MAX_TIMEOUT_S, ConfirmationTimeout

# Copies that searches may send while no answer shows that the link is free, in
# copies a second and at once: a tenth of a link of 5 Mbit/s, with packets of
# 1,232 bytes, and six steps of six copies.
UNCLOCKED_COPIES_PER_S = 50.0
MAX_UNCLOCKED_COPIES = 36.0
# A caller sends a packet again after this time.
FIRST_REPEAT_S = 0.2


# After this silence of a confirmed owner's agent its flow is searched, so that
# both searches can end when the agent counts as dead.
OWNER_SILENCE_S = 1.0


class AnswerClock:
    """Follows which inquiries have been answered, over all searches.

    Answers the load of a takeover: the packets of many flows reach a balancer
    at once, its link delays all answers by seconds, and further copies would
    delay them more. A link keeps the order, so an inquiry whose answer is
    missing is lost once a later one was answered. Before, searches share a
    small rate of copies.

    Attributes:
        answered_until: time of the last inquiry that was answered, seconds,
            monotonic.
    """

    def __init__(self, start_timeout: ConfirmationTimeout) -> None:
        """Builds the clock of one balancer.

        Args:
            start_timeout: timeout that follows the confirmations of starts.
        """
        self._start_timeout = start_timeout
        self._timeout = ConfirmationTimeout()
        self.answered_until = -math.inf
        self._budget = MAX_UNCLOCKED_COPIES
        self._updated_at = -math.inf

    @property
    def timeout(self) -> float:
        """Seconds after which a target counts as silent.

        A full link delays the answers to starts and to searches alike.
        """
        return max(self._timeout.seconds, self._start_timeout.seconds)

    def shows_silence(self, unanswered_since: float, now: float) -> bool:
        """Returns whether the agent of a confirmed owner probably has ended.

        While a full link makes all answers late, it is silent only if an
        inquiry that was sent later, of any flow, has been answered.

        Args:
            unanswered_since: time of the first packet that needs its answer,
                seconds, monotonic.
            now: seconds, monotonic.
        """
        if now - unanswered_since < OWNER_SILENCE_S:
            return False
        is_late = self.timeout >= MAX_TIMEOUT_S
        return not is_late or self.answered_until > unanswered_since

    def record_answer(self, asked_at: float, now: float) -> None:
        """Records an answer to the first copy that a target was sent.

        A late answer counts too, because otherwise a full link would never be
        noticed.
        """
        self._timeout.record(now - asked_at)
        self.answered_until = max(self.answered_until, asked_at)

    def find_budget(self, now: float) -> float:
        """Returns the copies that may be sent without an answer."""
        if now > self._updated_at:
            earned = (now - self._updated_at) * UNCLOCKED_COPIES_PER_S
            self._budget = min(MAX_UNCLOCKED_COPIES, self._budget + earned)
            self._updated_at = now
        return self._budget

    def spend(self, copies: int, now: float) -> None:
        """Records copies that were sent without an answer."""
        self._budget = self.find_budget(now) - copies

    def find_kept_since(self, now: float) -> float:
        """Returns before which time kept packets are worth no copy.

        While the link delays packets by more than the time after which callers
        send them again, the next copy is already on its way.
        """
        return (
            now - FIRST_REPEAT_S if self.timeout > FIRST_REPEAT_S else -math.inf
        )
