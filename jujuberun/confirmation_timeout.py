"""How long a balancer waits until an agent confirms or declines a start."""

# Covers a round trip between failure domains and the delay of a busy agent.
MIN_TIMEOUT_S = 0.06
# A start that waits longer than this misses its caller's objective anyway.
MAX_TIMEOUT_S = 0.3
# Weights and factor of the retransmission timer of TCP (RFC 6298).
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 4


class ConfirmationTimeout:
    """Timeout that follows the measured time until a confirmation.

    Answers the load of a link that is full for moments, as with uploads: all
    confirmations are late then, and no agent is to blame.

    Attributes:
        seconds: the timeout for an offer that is sent now.
    """

    def __init__(self) -> None:
        self.seconds = MIN_TIMEOUT_S
        self._mean = 0.0
        self._deviation = 0.0

    def record(self, delay: float) -> None:
        """Records a confirmation or a refusal, also a late one.

        Args:
            delay: seconds from the offer to the message.
        """
        error = delay - self._mean
        self._mean += _MEAN_WEIGHT * error
        self._deviation += _DEVIATION_WEIGHT * (abs(error) - self._deviation)
        timeout = self._mean + _DEVIATIONS * self._deviation
        self.seconds = min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, timeout))
