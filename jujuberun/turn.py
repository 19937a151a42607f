"""A request's turn in the runner: where and whether it may run."""

from enum import Enum

import anyio

from jujuberun.work import Work, WorkResult


class Place(Enum):
    """Where a request should run.

    Targets outside the active set stay idle as long as peers have slots, and
    targets that leave get no new work at all.
    """

    HERE = "here"
    PEERS_FIRST = "peers-first"
    PEERS_ONLY = "peers-only"


class TurnState(Enum):
    """How far a request has come."""

    WAITING = "waiting"  # in the queue of admission
    STARTED = "started"  # has a slot
    HANDED = "handed"  # given to a peer
    GONE = "gone"  # cancelled, expired or refused while it waited


class Turn:
    """A request on its way through admission.

    Attributes:
        work: the request.
        state: where it is.
        go: set when the state leaves WAITING or there is a result.
        result: the result when it does not run here.
        begun: whether a target may have received it.
        lost: whether a peer may have run it without a reply.
    """

    __slots__ = ("begun", "go", "lost", "result", "state", "work")

    def __init__(self, work: Work) -> None:
        self.work = work
        self.state = TurnState.WAITING
        self.go = anyio.Event()
        self.result: WorkResult | None = None
        self.begun = False
        self.lost = False
