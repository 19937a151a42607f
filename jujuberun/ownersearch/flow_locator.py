"""Collects keys of flows for messages that ask agents for them."""

import math
from collections.abc import Iterable

from jujuberun.ids import Address

# Interval between messages to an agent. After a loss of power the packets of
# all lost flows arrive within a second, so their keys share messages; the
# owner of a single flow is found at most this much later.
LOCATE_INTERVAL_S = 0.05
# A key has 12 bytes and its length 4, so that a message with its envelope and
# MAC is no longer than a full packet of 1,232 bytes.
MAX_KEYS_PER_MESSAGE = 64


class FlowLocator:
    """Decides which agents are asked for which flows, and when.

    Answers the load of many lost flows: each agent gets at most one message in
    LOCATE_INTERVAL_S, whatever the number of flows is.
    """

    def __init__(self) -> None:
        self._keys: dict[Address, dict[bytes, None]] = {}
        self._sent_at = -math.inf

    def __len__(self) -> int:
        """Returns the number of keys that wait, counted for each agent."""
        return sum(map(len, self._keys.values()))

    @property
    def next_at(self) -> float:
        """Time of the next messages, infinite without any."""
        return self._sent_at + LOCATE_INTERVAL_S if self._keys else math.inf

    def add(self, key: bytes, agents: Iterable[Address], now: float) -> float:
        """Adds a flow that agents are asked for.

        Args:
            key: key of the flow.
            agents: addresses of the agents.
            now: seconds, monotonic.

        Returns:
            Time at which the last of the messages is due.
        """
        longest = 1
        for agent in agents:
            keys = self._keys.setdefault(agent, {})
            keys[key] = None
            longest = max(longest, len(keys))
        first_at = max(now, self._sent_at + LOCATE_INTERVAL_S)
        further = (longest - 1) // MAX_KEYS_PER_MESSAGE
        return first_at + further * LOCATE_INTERVAL_S

    def take_due(self, now: float) -> list[tuple[Address, list[bytes]]]:
        """Removes and returns the messages that are due: agents and keys."""
        if now < self.next_at:
            return []
        self._sent_at = now
        waiting, self._keys = self._keys, {}
        messages = []
        for agent, keys in waiting.items():
            ordered = list(keys)
            messages.append((agent, ordered[:MAX_KEYS_PER_MESSAGE]))
            if len(ordered) > MAX_KEYS_PER_MESSAGE:
                further = ordered[MAX_KEYS_PER_MESSAGE:]
                self._keys[agent] = dict.fromkeys(further)
        return messages
