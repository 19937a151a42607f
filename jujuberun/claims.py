"""Claims: requests to other agents for the owner of a flow."""

import itertools
from typing import Any

import anyio

from jujuberun.ids import Address
from jujuberun.peers import Peers
from jujuberun.wire import Claim, ClaimReply, unpack_address

CLAIM_TIMEOUT_S = 0.1
CLAIM_TRIES = 3


class Claims:
    """Sends claims and matches replies to them by token."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._tokens = itertools.count(1)
        self._waiting: dict[int, tuple[anyio.Event, list[Any]]] = {}
        peers.register(ClaimReply, self._handle_reply)

    async def ask(self, address: Address, claim: Any) -> Any | None:
        """Sends a claim to an agent until it replies.

        Args:
            address: peer address of the agent.
            claim: the claim to send, with a new token.

        Returns:
            The ClaimReply, or None if none of CLAIM_TRIES attempts got a
            reply within CLAIM_TIMEOUT_S.
        """
        token = next(self._tokens)
        event = anyio.Event()
        replies: list[Any] = []
        self._waiting[token] = (event, replies)
        request = Claim(
            claim.flow,
            claim.claimant,
            claim.generation,
            claim.rank,
            claim.starts,
            token,
        )
        try:
            for _ in range(CLAIM_TRIES):
                self._peers.send(request, address, anyio.current_time())
                with anyio.move_on_after(CLAIM_TIMEOUT_S):
                    await event.wait()
                if replies:
                    return replies[0]
        finally:
            del self._waiting[token]
        return None

    def _handle_reply(self, reply: Any, sender: Address, now: float) -> None:
        waiting = self._waiting.get(reply.token)
        if waiting is None:
            return
        if reply.owner is not None:
            # Raises on a malformed address. The address is checked here because
            # errors are counted in a message handler, not in the waiting task.
            unpack_address(reply.owner_agent)
        event, replies = waiting
        replies.append(reply)
        event.set()
