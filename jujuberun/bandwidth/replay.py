"""Arithmetic of uploads through one slow link, with and without a limit.

Answers how many concurrent uploads keep callers from sending packets again
that are not lost. The link is a queue with a rate; callers follow the rules of
the network. Run as a module, it prints the table of docs/design/bandwidth.md.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from jujuberun.bandwidth.link_flow import IDLE_S
from jujuberun.bandwidth.replay_limits import FixedLimit, LearnedLimit
from jujuberun.bandwidth.upload_limit import (
    FIRST_RESEND_S,
    HEADER_BYTES,
    PACKET_BYTES,
    WINDOW_PACKETS,
)

LINK_MBPS = 6.0
RUN_S = 120.0
ONE_WAY_S = 0.001  # between a caller, a balancer and a target
RESEND_DELAYS_S = (FIRST_RESEND_S, 0.4, 0.8, 1.6)
LEARNED = "learned"
START_COPIES_S = (0.2, 0.6)
CALLER_LIMIT_S = 3.2  # 2.7 to 3.5 s for an attempt, start included
ATTEMPTS = 3
SHORT_RATE = 50.0  # short packets of other services a second
SHORT_BYTES = 232


@dataclass(slots=True)
class UploadResult:
    """What callers of one run saw.

    Attributes:
        finish_s: seconds from the first attempt to the last confirmed packet,
            of uploads that completed.
        failed: uploads without success in all attempts.
        refused: starts that were answered with "not run".
        packets: packets of uploads that were sent for the first time.
        resent: packets that were sent again.
        short_s: seconds that short packets of other services were queued.
    """

    finish_s: list[float] = field(default_factory=list)
    failed: int = 0
    refused: int = 0
    packets: int = 0
    resent: int = 0
    short_s: list[float] = field(default_factory=list)


class LinkReplay:
    """One link, a balancer with a limit of uploads, and its callers."""

    def __init__(
        self,
        rate_mbps: float,
        limit: int | str | None,
        one_way_s: float,
        seed: int,
        closes: bool = True,
    ) -> None:
        """Builds the link and the balancer.

        Args:
            rate_mbps: rate of the link in Mbit/s.
            limit: concurrent uploads, None for no limit, LEARNED for the gate.
            one_way_s: delay between two ends besides the link, in seconds.
            seed: seed of arrivals and sizes.
            closes: whether callers close their flows once all is confirmed.
        """
        self.result = UploadResult()
        self.rng = random.Random(seed)
        self.now = 0.0
        self.closes = closes
        self.balancer = (
            LearnedLimit(self, rate_mbps)
            if limit == LEARNED
            else FixedLimit(self, limit)
        )
        self._bytes_per_s = rate_mbps * 1e6 / 8
        self._free_at = 0.0
        self._one_way_s = one_way_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def run(
        self, load: float, sizes: tuple[int, int], seconds: float = RUN_S
    ) -> UploadResult:
        """Lets uploads arrive at random times, and short packets.

        Args:
            load: fraction of the link's rate that the uploads need.
            sizes: smallest and largest upload in bytes.
            seconds: time in which uploads begin.
        """
        mean = sum(sizes) / 2 * (1 + HEADER_BYTES / PACKET_BYTES)
        at = self.rng.expovariate(load * self._bytes_per_s / mean)
        while at < seconds:
            size = self.rng.randint(*sizes)
            self.schedule(at, _Upload(self, size, at, ATTEMPTS).start)
            at += self.rng.expovariate(load * self._bytes_per_s / mean)
        at = 0.0
        while at < seconds:
            self.schedule(at, self._send_short)
            at += self.rng.expovariate(SHORT_RATE)
        return self.finish()

    def finish(self) -> UploadResult:
        """Lets time pass until nothing is left to do."""
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            act()
        return self.result

    def schedule(self, at: float, act: Callable[[], None]) -> None:
        """Calls act at a time."""
        self._count += 1
        heapq.heappush(self._events, (at, self._count, act))

    def cross(self, size: int, act: Callable[[], None]) -> float:
        """Queues a packet, and calls act when it reaches the balancer.

        Returns:
            Seconds in the queue of the link.
        """
        begins = max(self.now, self._free_at)
        self._free_at = begins + size / self._bytes_per_s
        self.schedule(self._free_at + self._one_way_s, act)
        return begins - self.now

    def answer(self, act: Callable[[], None]) -> None:
        """Calls act at the caller, after a target has received a packet."""
        self.schedule(self.now + 2 * self._one_way_s, act)

    def refuse(self, upload: "_Upload") -> None:
        """Answers a start with "not run"."""
        self.result.refused += 1
        self.schedule(self.now + self._one_way_s, upload.fail)

    def _send_short(self) -> None:
        self.result.short_s.append(self.cross(SHORT_BYTES, lambda: None))


class _Upload:
    """One attempt of a caller."""

    def __init__(
        self,
        link: LinkReplay,
        size: int,
        began_at: float,
        attempts: int,
        service: str = "uploads",
    ) -> None:
        self.link, self.size, self.service = link, size, service
        self.key = next(_KEYS).to_bytes(12, "big")
        self.began_at, self.attempts = began_at, attempts
        self.total = -(-size // PACKET_BYTES)
        self.next, self.acked = 0, set()
        self.arrived = set()
        self.is_accepted = self.is_over = False

    def start(self) -> None:
        link = self.link
        self.send_start()
        for delay in START_COPIES_S:
            link.schedule(link.now + delay, self.send_start)
        link.schedule(link.now + CALLER_LIMIT_S, self.fail)

    def send_start(self) -> None:
        if not self.is_accepted and not self.is_over:
            self.link.cross(
                HEADER_BYTES, lambda: self.link.balancer.receive_start(self)
            )

    def accept(self) -> None:
        if self.is_accepted or self.is_over:
            return
        self.is_accepted = True
        self.fill_window()

    def fill_window(self) -> None:
        limit = min(self.total, len(self.acked) + WINDOW_PACKETS)
        while self.next < limit:
            self.next += 1
            self.link.result.packets += 1
            self.send(self.next, 0)

    def send(self, number: int, tries: int) -> None:
        if self.is_over or number in self.acked:
            return
        link = self.link
        link.result.resent += tries > 0
        link.cross(PACKET_BYTES + HEADER_BYTES, lambda: self.arrive(number))
        if tries < len(RESEND_DELAYS_S):
            due = link.now + RESEND_DELAYS_S[tries]
            link.schedule(due, lambda: self.send(number, tries + 1))

    def arrive(self, number: int) -> None:
        self.arrived.add(number)
        self.link.balancer.receive_data(self, number)
        self.link.answer(lambda: self.confirm(number))

    def confirm(self, number: int) -> None:
        if self.is_over:
            return
        self.acked.add(number)
        if len(self.acked) == self.total:
            self.is_over = True
            elapsed = self.link.now - self.began_at
            self.link.result.finish_s.append(elapsed)
            if self.link.closes:
                self.link.cross(
                    HEADER_BYTES,
                    lambda: self.link.balancer.receive_close(self),
                )
            return
        self.fill_window()

    def fail(self) -> None:
        if self.is_over:
            return
        self.is_over = True
        # The idle time of the balancer ends the counting of a lost attempt.
        self.link.schedule(
            self.link.now + IDLE_S, lambda: self.link.balancer.end(self)
        )
        if self.attempts == 1:
            self.link.result.failed += 1
            return
        retry = _Upload(
            self.link,
            self.size,
            self.began_at,
            self.attempts - 1,
            self.service,
        )
        retry.start()


_KEYS = itertools.count(1)


def find_quantile(values: list[float], share: float) -> float:
    """Returns a quantile of values, infinite if there are none."""
    if not values:
        return float("inf")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def make_row(
    load: float,
    limit: int | str | None,
    sizes: tuple[int, int] = (80_000, 80_000),
    rate_mbps: float = LINK_MBPS,
    one_way_s: float = ONE_WAY_S,
    seeds: int = 3,
    closes: bool = True,
) -> str:
    """Returns a row of the table, in Markdown."""
    total = UploadResult()
    for seed in range(seeds):
        part = LinkReplay(rate_mbps, limit, one_way_s, seed, closes).run(
            load, sizes
        )
        total.finish_s += part.finish_s
        total.short_s += part.short_s
        total.failed += part.failed
        total.refused += part.refused
        total.packets += part.packets
        total.resent += part.resent
    uploads = len(total.finish_s) + total.failed
    mean = sum(total.finish_s) / max(1, len(total.finish_s))
    times = [
        mean,
        find_quantile(total.finish_s, 0.99),
        find_quantile(total.short_s, 0.5),
        find_quantile(total.short_s, 0.99),
    ]
    cells = [
        f"{load:.2f}",
        "none" if limit is None else str(limit),
        *(f"{value * 1000:.0f}" for value in times),
        f"{total.resent / total.packets:.3f}",
        f"{total.refused / uploads:.3f}",
        f"{total.failed / uploads:.3f}",
    ]
    return "| " + " | ".join(cells) + " |"


def make_burst_row(limit: int | str | None, uploads: int, requests: int) -> str:
    """Returns a row about callers that all arrive at once, in Markdown.

    Nothing is known of their services, as after a restart of the balancer.
    """
    link = LinkReplay(LINK_MBPS, limit, ONE_WAY_S, 1)
    for number in range(uploads + requests):
        size, service = (
            (80_000, "uploads") if number < uploads else (600, "requests")
        )
        caller = _Upload(link, size, 0.0, ATTEMPTS, service)
        link.schedule(link.rng.uniform(0, FIRST_RESEND_S), caller.start)
    result = link.finish()
    cells = [
        str(limit),
        f"{uploads} + {requests}",
        f"{sum(result.finish_s) / len(result.finish_s) * 1000:.0f}",
        f"{find_quantile(result.finish_s, 0.99) * 1000:.0f}",
        f"{find_quantile(result.finish_s, 0.5) * 1000:.0f}",
        f"{result.resent / result.packets:.3f}",
        str(result.refused),
        str(result.failed),
    ]
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    """Prints the rows of the design note."""
    print("6 Mbit/s, uploads of 80 kB")
    for load in (0.6, 0.8, 0.95):
        for limit in (None, 1, 2, 3, LEARNED):
            print(make_row(load, limit), flush=True)
    print("round trip of 30 ms")
    for limit in (1, 2, 3, LEARNED):
        print(make_row(0.8, limit, one_way_s=0.01), flush=True)
    print("12 Mbit/s")
    for limit in (None, 2, 3, 4, 7, LEARNED):
        print(make_row(0.95, limit, rate_mbps=12.0), flush=True)
    print("uploads of 480 kB")
    for limit in (2, 3, LEARNED):
        print(make_row(0.8, limit, (480_000, 480_000)), flush=True)
    print("uploads of 40 to 80 kB, callers that do not close their flows")
    for limit in (2, LEARNED):
        row = make_row(0.8, limit, (40_000, 80_000), closes=False)
        print(row, flush=True)
    print("uploads and requests that all arrive within 0.2 s")
    for limit in (None, 3, LEARNED):
        print(make_burst_row(limit, 20, 100), flush=True)


if __name__ == "__main__":
    main()
