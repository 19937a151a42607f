"""Load of targets, as their agents report it with each answer to an offer."""

import math
from collections import Counter
from typing import Any

from jujuberun.agentidentity.senders import choose_sender
from jujuberun.decisions import DecisionLog
from jujuberun.flowtable import FlowEntry
from jujuberun.frames import unpack_service
from jujuberun.ids import Address, PoolId
from jujuberun.overload.work import WorkTable
from jujuberun.packetport import PacketPort
from jujuberun.servicemap import ServiceMap
from jujuberun.steering import AGENT_RESTART_S, Steering
from jujuberun.target_state import TargetState
from jujuberun.wire import Accepted


class LoadReports:
    """Stores the load in messages of agents."""

    def __init__(
        self,
        steering: Steering,
        services: ServiceMap,
        work: WorkTable,
        port: PacketPort,
        counts: Counter[str],
        log: DecisionLog,
    ) -> None:
        """Builds the part of one balancer.

        Args:
            steering: knows the targets; receives their load.
            services: services by address, with their former pools.
            work: receives the work of services.
            port: port of the balancer; agents use the same number.
            counts: event counters of the balancer.
            log: log for decisions of the balancer.
        """
        self._steering = steering
        self._services = services
        self._work = work
        self._agent_port = port.port_number
        self._counts = counts
        self._log = log

    def record(
        self,
        message: Any,
        entry: FlowEntry | None,
        sender: Address,
        now: float,
    ) -> TargetState | None:
        """Stores the load that an agent reports.

        Args:
            message: Accepted or Declined.
            entry: the flow that the message is about, None if it is unknown.
            sender: peer address of the agent.
            now: seconds, monotonic.

        Returns:
            The target that the message is about, None if it is unknown. A start
            that was declined may have been offered to another target at the
            agent's address than the one that the agent speaks for.
        """
        agent = (sender[0], self._agent_port)
        candidates = self._steering.find_by_agent(agent)
        if not candidates:
            self._counts["reports_unknown"] += 1
            return None
        pool = message.pool
        target = candidates[0]
        if len(candidates) > 1 or target.pool != pool:
            target = self._choose_sender(candidates, pool, entry)
        is_accepted = entry is not None and isinstance(message, Accepted)
        if target is None and pool is not None and is_accepted:
            target = self._steering.add_unlisted(agent, pool, now)
        if target is None:
            self._counts["reports_unknown"] += 1
        else:
            self._record_load(message, candidates, target, now)
        if entry is None or isinstance(message, Accepted):
            if is_accepted and target is not None:
                self._work.record(target.pool, entry.service, message.work)
            return target
        offered = (c for c in candidates if entry.find_offer(c.id) is not None)
        return next(offered, target)

    def _choose_sender(
        self,
        candidates: list[TargetState],
        pool: PoolId | None,
        entry: FlowEntry | None,
    ) -> TargetState | None:
        flow_pools: tuple[PoolId, ...] = ()
        if entry is not None:
            former = self._services.list_pools(unpack_service(entry.key))
            flow_pools = (*entry.pool_ids, *former)
        return choose_sender(candidates, pool, entry, flow_pools)

    def _record_load(
        self,
        message: Any,
        candidates: list[TargetState],
        target: TargetState,
        now: float,
    ) -> None:
        """Stores the load of a target, whose address others may share."""
        service_time = message.service_time / 1e6
        for candidate in candidates:
            if candidate.pool == target.pool:
                candidate.unanswered_since = math.inf
                self._steering.record_report(
                    candidate, message.busy, service_time, now
                )
            elif message.pool is None:
                # One of them was heard; the message does not state which.
                candidate.unanswered_since = math.inf

    def record_timeout(self, candidate: TargetState, now: float) -> None:
        """Counts an offer that no agent confirmed; logs a suspicion."""
        if not self._steering.record_timeout(candidate, now):
            return
        self._counts["suspicions"] += 1
        self._log.write(
            "target suspected: starts were not confirmed",
            now,
            target=candidate.id,
            heard_before_s=candidate.compute_report_age(now),
            until_s=round(candidate.suspected_until - now, 3),
        )

    def avoid_stopping_agent(self, candidate: TargetState, now: float) -> None:
        """Logs and avoids a target whose agent is about to stop."""
        if candidate.suspected_until <= now:
            self._log.write(
                "target avoided: its agent stops",
                now,
                target=candidate.id,
                busy=candidate.busy,
                for_s=AGENT_RESTART_S,
            )
        self._steering.avoid_during_restart(candidate, now)
