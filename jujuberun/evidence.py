"""Evidence about a target, from traffic, lists and claims."""

from dataclasses import dataclass

from jujuberun.ids import VmState


@dataclass(frozen=True, slots=True)
class Answered:
    """A request was answered without an error after so many seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Failed:
    """A request was answered with an error, however fast."""


@dataclass(frozen=True, slots=True)
class Refused:
    """A request was refused before it ran.

    Attributes:
        draining: whether the target refused because it is leaving.
    """

    draining: bool = False


@dataclass(frozen=True, slots=True)
class WasReset:
    """An open flow was reset by the target."""


@dataclass(frozen=True, slots=True)
class Silent:
    """The target's agent did not answer for a second under traffic."""


@dataclass(frozen=True, slots=True)
class Heard:
    """The target's agent sent something; ends a suspicion by silence."""


@dataclass(frozen=True, slots=True)
class Started:
    """The target or its agent shows a new incarnation, or is new."""


@dataclass(frozen=True, slots=True)
class Listed:
    """Entry of the platform's VM list.

    Attributes:
        state: None when the target's VM is not listed.
        age: seconds since the platform wrote the list.
    """

    state: VmState | None
    age: float


@dataclass(frozen=True, slots=True)
class Claimed:
    """What the target's agent says about it in a load message.

    Attributes:
        healthy: may be wrong in both directions.
        draining: whether it is leaving.
        age: seconds since it said so.
    """

    healthy: bool
    draining: bool
    age: float


Evidence = (
    Answered
    | Failed
    | Refused
    | WasReset
    | Silent
    | Heard
    | Started
    | Listed
    | Claimed
)
