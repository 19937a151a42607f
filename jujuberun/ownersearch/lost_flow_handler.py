"""Handles flows for which a search found no owner."""

import math
from collections import Counter
from typing import Any

from jujuberun.addresses import format_address
from jujuberun.decisions import DecisionLog
from jujuberun.flowtable import FlowEntry
from jujuberun.frames import unpack_caller, unpack_service
from jujuberun.ids import PoolId, TargetId
from jujuberun.lost_flows import (
    RECHECK_DELAY_S,
    SEARCH_VALIDITY_S,
    LostFlowAction,
    TargetListState,
    decide_lost_flow,
)
from jujuberun.members import Members
from jujuberun.ownersearch.flow_search import FlowSearch
from jujuberun.ownersearch.lost_search import (
    LostSearchAction,
    decide_lost_search,
)
from jujuberun.packetport import PacketPort
from jujuberun.servicemap import ServiceMap
from jujuberun.steering import Steering


class LostFlowHandler:
    """Resets lost flows, or schedules another search, and logs it."""

    def __init__(
        self,
        port: PacketPort,
        steering: Steering,
        services: ServiceMap,
        members: Members,
        counts: Counter[str],
        log: DecisionLog,
    ) -> None:
        """Builds the handler of one balancer.

        Args:
            port: sends resets to callers.
            steering: knows the targets.
            services: services by address.
            members: provides the index of the list of VMs that is logged.
            counts: event counters of the balancer.
            log: log for decisions of the balancer.
        """
        self._port = port
        self._steering = steering
        self._services = services
        self._members = members
        self._counts = counts
        self._log = log

    def handle(
        self,
        entry: FlowEntry,
        search: FlowSearch,
        silent: tuple[TargetId, ...],
        is_covered: bool,
        now: float,
    ) -> LostSearchAction:
        """Handles a flow that no target holds, as far as they answer.

        Args:
            entry: the flow.
            search: its search; gets the time of the next one.
            silent: targets whose agents do not run.
            is_covered: whether the agents of other pools were asked, too.
            now: seconds, monotonic.

        Returns:
            What was done; the caller carries out ASK_POOLS and REPEAT.
        """
        has_lost_owner = not silent and any(
            offer.sequence is not None and search.includes(offer.sequence)
            for offer in entry.offers
        )
        listed = self.check_list(entry, now)
        action = decide_lost_search(
            search, has_lost_owner, is_covered, listed, now
        )
        match action:
            case LostSearchAction.DROP:
                self._counts["dropped_no_owner"] += 1
            case LostSearchAction.RECHECK:
                self._schedule_recheck(entry, search, silent, now)
            case LostSearchAction.RESET:
                self._reset(entry, search, silent, now)
        return action

    def check_list(self, entry: FlowEntry, now: float) -> LostFlowAction:
        """Decides whether the list of targets allows a reset of a flow."""
        pools = self.list_pools(entry)
        targets = TargetListState(
            self._steering.listed_at,
            self._steering.are_most_in_slow_start(pools, now),
        )
        return decide_lost_flow(entry.search.first_pass_at, targets, now)

    def list_pools(self, entry: FlowEntry) -> tuple[PoolId, ...]:
        """Returns the current and the former pools of a flow's service."""
        known = self._services.list_pools(unpack_service(entry.key))
        return tuple(dict.fromkeys((*entry.pool_ids, *known)))

    def write_log(
        self, entry: FlowEntry, kind: str, now: float, **fields: Any
    ) -> None:
        """Writes a line about a decision on a flow."""
        self._log.write(
            kind,
            now,
            flow=format_address(unpack_caller(entry.key)),
            service=entry.service,
            targets=self._members.position,
            **fields,
        )

    def _schedule_recheck(
        self,
        entry: FlowEntry,
        search: FlowSearch,
        silent: tuple[TargetId, ...],
        now: float,
    ) -> None:
        first = search.first_pass_at
        if first is None or now - first > SEARCH_VALIDITY_S:
            search.first_pass_at = now
        if search.recheck_at == math.inf:
            search.recheck_at = now + RECHECK_DELAY_S
        self._counts["dropped_no_owner"] += 1
        self.write_log(
            entry,
            "packet dropped: no target holds its flow",
            now,
            pools=self.list_pools(entry),
            generation=self._services.generation,
            refused=sorted(entry.bounced_by),
            silent=silent,
            outcome="none",
        )

    def _reset(
        self,
        entry: FlowEntry,
        search: FlowSearch,
        silent: tuple[TargetId, ...],
        now: float,
    ) -> None:
        """Resets a flow; whether its request has run is not known."""
        reason = "no target holds it any more"
        if silent:
            reason = "its target is silent"
        elif entry.is_accepted:
            reason = "its target does not hold it any more"
        self._counts["reset_lost_flow"] += 1
        self.write_log(
            entry,
            f"flow reset: {reason}",
            now,
            target=entry.offers[-1].target if entry.offers else None,
            pools=self.list_pools(entry),
            generation=self._services.generation,
            refused=sorted(entry.bounced_by),
            silent=silent,
            outcome="reset, unknown",
        )
        self._port.send_reset(search.frame)
        search.packets.clear()
