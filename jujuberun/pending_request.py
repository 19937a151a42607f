"""A request inside the runner, and where it should run."""

from enum import Enum

import anyio

from jujuberun.work import Work, WorkResult


class RunLocation(Enum):
    """Where a request should run.

    A target outside the active set uses PEERS_FIRST: it stays idle as long as
    peers have free slots. A target that is leaving uses PEERS_ONLY: it gets no
    new requests.
    """

    HERE = "here"
    PEERS_FIRST = "peers-first"
    PEERS_ONLY = "peers-only"


class RequestState(Enum):
    """State of a request in the runner."""

    WAITING = "waiting"  # in the admission queue
    STARTED = "started"  # holds a slot of the target
    HANDED_ON = "handed"  # sent to a peer
    ENDED = "gone"  # finished, cancelled, expired or refused


class PendingRequest:
    """A request that the runner has received and not finished.

    Attributes:
        work: the request.
        state: how far it has been processed.
        wait_ended: set when the request gets a slot or a result.
        result: the result if the request was refused or handed on; else None.
        may_have_started: whether a target may have received the request.
        reply_lost: whether a peer may have run the request although no reply
            arrived.
    """

    __slots__ = (
        "may_have_started",
        "reply_lost",
        "result",
        "state",
        "wait_ended",
        "work",
    )

    def __init__(self, work: Work) -> None:
        self.work = work
        self.state = RequestState.WAITING
        self.wait_ended = anyio.Event()
        self.result: WorkResult | None = None
        self.may_have_started = False
        self.reply_lost = False
