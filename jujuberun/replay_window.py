"""Replay protection: a sliding window over sequence numbers."""

REPLAY_WINDOW_SIZE = 1024  # sequence numbers


class ReplayWindow:
    """Sliding window over the sequence numbers of one sender.

    Attributes:
        last_used_ms: wall clock of the last check in milliseconds.
    """

    __slots__ = ("_highest", "_seen_bits", "last_used_ms")

    def __init__(self) -> None:
        self._highest = 0
        self._seen_bits = 0
        self.last_used_ms = 0

    def accept(self, sequence: int, now_ms: int) -> bool:
        """Records a sequence number.

        Returns False if the number was seen before or is below the window.
        """
        self.last_used_ms = now_ms
        ahead = sequence - self._highest
        if ahead > 0:
            if ahead >= REPLAY_WINDOW_SIZE:
                self._seen_bits = 1
            else:
                mask = (1 << REPLAY_WINDOW_SIZE) - 1
                self._seen_bits = ((self._seen_bits << ahead) | 1) & mask
            self._highest = sequence
            return True
        if -ahead >= REPLAY_WINDOW_SIZE:
            return False
        bit = 1 << -ahead
        if self._seen_bits & bit:
            return False
        self._seen_bits |= bit
        return True
