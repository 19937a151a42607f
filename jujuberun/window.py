"""Replay window over the sequence numbers of one sender."""

REPLAY_WINDOW = 1024  # sequence numbers per sender


class ReplayWindow:
    """Sliding window over the sequence numbers of one sender."""

    __slots__ = ("_highest", "_seen", "used")

    def __init__(self) -> None:
        self._highest = 0
        self._seen = 0
        self.used = 0

    def accept(self, sequence: int, now_ms: int) -> bool:
        """Records a sequence number; False when it was seen or is too old."""
        self.used = now_ms
        ahead = sequence - self._highest
        if ahead > 0:
            if ahead >= REPLAY_WINDOW:
                self._seen = 1
            else:
                mask = (1 << REPLAY_WINDOW) - 1
                self._seen = ((self._seen << ahead) | 1) & mask
            self._highest = sequence
            return True
        if -ahead >= REPLAY_WINDOW:
            return False
        bit = 1 << -ahead
        if self._seen & bit:
            return False
        self._seen |= bit
        return True
