"""Rate limit of cold targets at a balancer: messages, log and counts."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from jujuberun.decisions import DecisionLog
from jujuberun.ids import TargetId
from jujuberun.manifest import Manifest, PoolShare
from jujuberun.peers import Peers
from jujuberun.target_state import TargetState
from jujuberun.warmup.bounds import WarmupSettings
from jujuberun.warmup.offer_limits import OfferLimits
from jujuberun.wire import Warmup


class ColdTargets:
    """Tells agents the limit of their cold targets, and keeps to it."""

    def __init__(
        self,
        settings: WarmupSettings,
        peers: Peers,
        counts: Counter[str],
        log: DecisionLog,
    ) -> None:
        """Builds the part of one balancer.

        Args:
            settings: how the limit follows from the rate of a pool.
            peers: sends messages to agents.
            counts: event counters of the balancer.
            log: log for decisions of the balancer.
        """
        self._limits = OfferLimits(settings)
        self._peers = peers
        self._counts = counts
        self._log = log

    def update(self, manifest: Manifest) -> None:
        """Applies the rates of the manifest that has come into force."""
        self._limits.update_rates(
            share
            for service in manifest.services.values()
            for share in service.pools
        )

    def prepare_offer(self, candidate: TargetState, now: float) -> None:
        """Counts an offer, and tells the agent the limit if that is due.

        Args:
            candidate: target to which a start is about to be sent.
            now: seconds, monotonic.
        """
        announcement = self._limits.record_offer(candidate, now)
        if announcement is None:
            return
        target, limit = announcement.target, announcement.limit
        left_s = announcement.left_s
        message = Warmup(target, limit, round(left_s * 1000))
        # All VMs use the same peer port.
        peer = (candidate.agent[0], self._peers.address[1])
        self._peers.send(message, peer)
        self._counts["warmups_sent"] += 1
        if announcement.is_first:
            self._log.write(
                "limit of a cold target announced",
                now,
                target=target,
                pool=candidate.pool,
                limit=limit,
                left_s=round(left_s, 3),
            )

    def record_decline(
        self, candidate: TargetState, wait_ms: int | None, now: float
    ) -> None:
        """Withholds starts from a target whose agent declined one.

        Args:
            candidate: the target.
            wait_ms: milliseconds until the cold target has capacity, None if
                the start was declined for another reason.
            now: seconds, monotonic.
        """
        if wait_ms is None:
            return
        self._counts["declined_cold"] += 1
        self._limits.record_decline(candidate.id, wait_ms / 1000, now)
        self._log.write(
            "start declined: the cold target takes no more",
            now,
            target=candidate.id,
            busy=candidate.busy,
            cold_for_s=round(candidate.warmup_until - now, 3),
            capacity_in_ms=wait_ms,
        )

    def record_timeout(self, target: TargetId, now: float) -> None:
        """Withholds starts until the agent can be told the limit again."""
        self._limits.record_timeout(target, now)

    def list_full(
        self, shares: Iterable[PoolShare], now: float
    ) -> frozenset[TargetId]:
        """Returns the cold targets of pools that have no capacity now."""
        return self._limits.list_full(shares, now)

    def is_full(self, candidate: TargetState, now: float) -> bool:
        """Returns whether a cold target has no capacity now."""
        return self._limits.is_full(candidate, now)

    def expire(self, now: float) -> None:
        """Forgets targets whose warm-up has ended."""
        self._limits.expire(now)

    def describe(self, now: float) -> dict[str, Any]:
        """Returns limits and cold targets as JSON types."""
        return self._limits.describe(now)
