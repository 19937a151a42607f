"""Tells balancers which flows an agent's target holds."""

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from typing import Any

from jujuberun.frames import get_service
from jujuberun.ids import Address, PoolId
from jujuberun.ownersearch.agent_flow import SidecarFlow
from jujuberun.ownersearch.agent_knowledge import FLOW_LIFETIME_S
from jujuberun.peers import Peers
from jujuberun.wire import (
    HeldAddresses,
    ListAddresses,
    Locate,
    NotHeld,
    read_wall_clock,
)

# Flows that were removed within FLOW_LIFETIME_S, at 300 flows a second, more
# than a target takes. They need about 3 MB.
MAX_REMOVED_FLOWS = 20_000
# An address has 6 bytes and its length 4, so that a message with its envelope
# and MAC is no longer than a full packet of 1,232 bytes. A service has about 10
# addresses.
MAX_ADDRESSES_PER_MESSAGE = 100

# Sends Accepted: key, first sequence number, peer address of the balancer.
SendAccepted = Callable[[bytes, int, Address], None]


class HeldFlows:
    """Answers a balancer that asks for flows by their keys.

    A flow that the agent has removed may still be at its target, which keeps
    flows without packets for longer, and so may a flow that began before the
    agent. The agent gives no answer about them, so that the balancer asks the
    target with a packet.
    """

    def __init__(
        self,
        peers: Peers,
        flows: Mapping[bytes, SidecarFlow],
        send_accepted: SendAccepted,
        counts: Counter[str],
        pool: PoolId,
    ) -> None:
        """Builds the part of one agent.

        Args:
            peers: exchanges messages with balancers.
            flows: flows that the agent tracks.
            send_accepted: tells a balancer that the target holds a flow.
            counts: event counters of the agent.
            pool: pool of the target, which the answers state.
        """
        self._pool = pool
        self.started = read_wall_clock()
        self._peers = peers
        self._flows = flows
        self._send_accepted = send_accepted
        self._counts = counts
        self._removed: OrderedDict[bytes, float] = OrderedDict()
        # First time that is known after the start, seconds, monotonic.
        self._first_at = math.inf
        # End of the life of the flows that did not fit into the memory.
        self._unsure_until = -math.inf
        # Number of tracked and removed flows at each service address.
        self._addresses: Counter[bytes] = Counter()
        peers.register(Locate, self._handle_locate)
        peers.register(ListAddresses, self._handle_list)

    def record_flow(self, key: bytes) -> None:
        """Records a flow that the agent tracks from now on."""
        self._addresses[get_service(key)] += 1

    def record_removal(self, flow: SidecarFlow) -> None:
        """Records a flow that the agent tracks no more."""
        self._remember(flow.key, flow.used_at)
        self._drop_address(flow.key)

    def record_use(self, key: bytes, now: float) -> None:
        """Records a packet of the target in a flow that is not tracked.

        The flow began before the agent did, or was idle for so long that the
        agent removed it.
        """
        self._remember(key, now)

    def may_hold(self, key: bytes) -> bool:
        """Returns whether the target may hold a flow that is not tracked."""
        return key in self._removed

    def forget(self, key: bytes) -> None:
        """Forgets a flow that the target does not hold."""
        if self._removed.pop(key, None) is not None:
            self._drop_address(key)

    def expire(self, now: float) -> None:
        """Forgets removed flows that the target has discarded too."""
        self._first_at = min(self._first_at, now)
        while self._removed:
            key = next(iter(self._removed))
            if now - self._removed[key] <= FLOW_LIFETIME_S:
                return
            del self._removed[key]
            self._drop_address(key)

    def _remember(self, key: bytes, used_at: float) -> None:
        if key not in self._removed:
            self._addresses[get_service(key)] += 1
        self._removed[key] = used_at
        self._removed.move_to_end(key)
        if len(self._removed) > MAX_REMOVED_FLOWS:
            evicted, used_at = self._removed.popitem(last=False)
            self._drop_address(evicted)
            until = used_at + FLOW_LIFETIME_S
            self._unsure_until = max(self._unsure_until, until)

    def _drop_address(self, key: bytes) -> None:
        """Counts a flow less at its service address."""
        address = get_service(key)
        self._addresses[address] -= 1
        if not self._addresses[address]:
            del self._addresses[address]

    def _handle_locate(self, message: Any, sender: Address, now: float) -> None:
        """Answers which of the flows the target holds."""
        self.expire(now)
        missing = []
        for key in message.keys:
            flow = self._flows.get(key)
            if flow is not None and flow.accepted:
                self._counts["confirmed_by_key"] += 1
                self._send_accepted(key, flow.sequence, sender)
            elif flow is None and key not in self._removed:
                missing.append(key)
        if missing and now > self._unsure_until:
            running = self._compute_running(now)
            answer = NotHeld(missing, self.started, running, self._pool)
            self._peers.send(answer, sender)

    def _handle_list(self, message: Any, sender: Address, now: float) -> None:
        """Answers at which service addresses the target may hold flows."""
        self.expire(now)
        addresses = list(self._addresses)
        is_complete = (
            now > self._unsure_until
            and len(addresses) <= MAX_ADDRESSES_PER_MESSAGE
        )
        answer = HeldAddresses(
            message.token,
            addresses[:MAX_ADDRESSES_PER_MESSAGE],
            is_complete,
            self.started,
            self._compute_running(now),
            self._pool,
        )
        self._counts["addresses_listed"] += 1
        self._peers.send(answer, sender)

    def _compute_running(self, now: float) -> int:
        """Returns ms since the start of the agent."""
        return round((now - self._first_at) * 1000)
