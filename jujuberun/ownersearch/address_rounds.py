"""Decides when agents are asked at which service addresses they hold flows."""

import math
from collections.abc import Collection

from jujuberun.ids import Address

# Minimum time between the starts of two rounds. A lost flow is searched again
# after this time.
MIN_ROUND_INTERVAL_S = 0.3
# Messages that leave at a time, and the time until the next ones. A message
# takes about 100 bytes with its headers, so a round uses 2 Mbit/s at most.
MAX_MESSAGES_AT_ONCE = 50
MESSAGE_INTERVAL_S = 0.02
# Rounds follow each other so that their messages take at most half of the time.
_ROUND_INTERVAL_RATIO = 2.0


class AddressRounds:
    """Rounds of one question to all agents, and their answers.

    Answers the load of many lost flows: the answers of one round serve all
    flows that were searched before it began, so the messages do not grow with
    the number of flows. An agent without an answer is asked twice in a round.

    Attributes:
        token: number of the last round.
        began_at: start of the last round, seconds, monotonic.
        covered_at: start of the last round that has ended, seconds, monotonic;
            minus infinity before the first one.
        unsure: agents that gave no complete answer in the last round, although
            they should.
    """

    def __init__(self) -> None:
        self.token = 0
        self.began_at = -math.inf
        self.covered_at = -math.inf
        self.unsure: frozenset[Address] = frozenset()
        self._is_wanted = False
        self._is_running = False
        self._is_repeated = False
        self._unsent: list[Address] = []
        self._awaited: set[Address] = set()
        self._incomplete: set[Address] = set()
        self._next_send_at = -math.inf
        self._deadline = -math.inf
        self._next_round_at = -math.inf

    def is_covered(self, since: float) -> bool:
        """Returns whether a round has ended that began at this time or later.

        Its answers contain each flow that was open at this time.
        """
        return self.covered_at >= since

    def request(self, since: float) -> None:
        """Requests a round that begins at this time or later.

        Args:
            since: seconds, monotonic.
        """
        self._is_wanted |= not self._is_running or self.began_at < since

    def find_next_at(self) -> float:
        """Returns when the next step is due, infinite for never."""
        if self._is_running:
            return self._next_send_at if self._unsent else self._deadline
        return self._next_round_at if self._is_wanted else math.inf

    def is_due(self, now: float) -> bool:
        """Returns whether a round has to begin."""
        is_wanted = self._is_wanted and not self._is_running
        return is_wanted and now >= self._next_round_at

    def begin(
        self,
        agents: Collection[Address],
        awaited: Collection[Address],
        now: float,
    ) -> None:
        """Begins a round.

        Args:
            agents: the agents that are asked.
            awaited: those of them whose answers are waited for.
            now: seconds, monotonic.
        """
        self._is_wanted, self._is_running, self._is_repeated = (
            False,
            True,
            False,
        )
        self.token += 1
        self.began_at = now
        self._unsent = list(agents)
        self._awaited, self._incomplete = set(awaited), set()
        duration = len(agents) / MAX_MESSAGES_AT_ONCE * MESSAGE_INTERVAL_S
        self._next_send_at = now
        self._next_round_at = now + max(
            MIN_ROUND_INTERVAL_S, _ROUND_INTERVAL_RATIO * duration
        )

    def take_due(self, timeout: float, now: float) -> list[Address]:
        """Removes and returns the agents that are asked now.

        Args:
            timeout: seconds within which an agent answers.
            now: seconds, monotonic.
        """
        is_late = (
            self._is_running and not self._unsent and now >= self._deadline
        )
        if is_late and not self._is_repeated:
            self._is_repeated = True
            self._unsent = sorted(self._awaited)
        if not self._unsent or now < self._next_send_at:
            return []
        due = self._unsent[:MAX_MESSAGES_AT_ONCE]
        self._unsent = self._unsent[MAX_MESSAGES_AT_ONCE:]
        self._next_send_at = now + MESSAGE_INTERVAL_S
        self._deadline = now + timeout
        return due

    def record_answer(
        self, agent: Address, token: int, is_complete: bool
    ) -> bool:
        """Records an answer; returns whether it is to the last round."""
        if token != self.token:
            return False
        if not is_complete:
            self._incomplete.add(agent)
        self._awaited.discard(agent)
        return True

    def end_if_done(self, now: float) -> bool:
        """Ends the round if no answer is awaited; returns whether it ended."""
        if not self._is_running or self._unsent:
            return False
        is_over = self._is_repeated and now >= self._deadline
        if self._awaited and not is_over:
            return False
        self._is_running = False
        self.covered_at = self.began_at
        self.unsure = frozenset(self._awaited | self._incomplete)
        return True
