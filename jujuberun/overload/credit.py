"""Limits the offers that targets decline, while a pool has no room.

Answers a flood at many balancers: each knows the load of a target only from
its own offers, so without a limit most offers would be declined.
"""

from dataclasses import dataclass

# Offers that a kind of starts may have open or declined at once: those of a
# round trip of up to 0.1 s at the rate of its arrivals, and a few without.
MIN_WINDOW = 8.0
WINDOW_S = 0.1
# Declined offers for each start that arrives, of two packets each. At 1.6 times
# the capacity, five eighths of the starts are accepted, and these packets and
# those of accepted offers stay below three for each start; 0.75 gave 3.1. A
# share of accepted offers in place of arrivals starved balancers that had been
# declined more often than others.
CREDIT_PER_START = 0.65
# Credit that comes back by itself: a probe each 50 ms notices room within the
# time of two answers.
CREDIT_PER_S = 20.0


@dataclass(slots=True)
class OfferCredit:
    """Credit for offers of one kind of starts.

    Attributes:
        credit: offers that may be made now.
        updated_at: time of the last change, seconds, monotonic.
        window: maximum of the credit.
    """

    credit: float = MIN_WINDOW
    updated_at: float = 0.0
    window: float = MIN_WINDOW

    @property
    def is_short(self) -> bool:
        """Whether half of the credit was lost to declined offers."""
        return self.credit < self.window / 2

    def allows_offer(self, now: float) -> bool:
        """Returns whether an offer may be made now."""
        restored = max(0.0, now - self.updated_at) * CREDIT_PER_S
        self.credit = min(self.window, self.credit + restored)
        self.updated_at = now
        return self.credit >= 1

    def record_offer(self) -> None:
        """Takes credit for an offer."""
        self.credit = max(0.0, self.credit - 1)

    def record_returned(self) -> None:
        """Gives back the credit of an offer that shows no lack of room."""
        self.credit = min(self.window, self.credit + 1)

    def record_arrival(self, rate: float) -> None:
        """Gives credit for a start that arrived.

        Args:
            rate: starts of the pool per second.
        """
        self.window = max(MIN_WINDOW, rate * WINDOW_S)
        self.credit = min(self.window, self.credit + CREDIT_PER_START)
