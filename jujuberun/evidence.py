"""Defines evidence about targets: traffic, VM lists and health reports."""

from dataclasses import dataclass

from jujuberun.ids import VmState


@dataclass(frozen=True, slots=True)
class Answered:
    """A request was answered without an error.

    Attributes:
        seconds: time from the request to the answer.
    """

    seconds: float


@dataclass(frozen=True, slots=True)
class Failed:
    """A request failed or was answered with an error; its time is ignored."""


@dataclass(frozen=True, slots=True)
class Refused:
    """A request was refused before it ran.

    Attributes:
        draining: whether the target refused because it is draining.
    """

    draining: bool = False


@dataclass(frozen=True, slots=True)
class WasReset:
    """The target reset an open flow or broke off an answer."""


@dataclass(frozen=True, slots=True)
class Silent:
    """The target's agent did not answer messages for a second."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """The target's agent sent a message after it had been silent."""


@dataclass(frozen=True, slots=True)
class Started:
    """The target is new, or it or its agent started a new incarnation."""


@dataclass(frozen=True, slots=True)
class Listed:
    """The target's VM as it appears in the platform's VM list.

    Attributes:
        state: state of the VM; None when the VM is not listed.
        age: seconds since the platform wrote the list.
    """

    state: VmState | None
    age: float


@dataclass(frozen=True, slots=True)
class HealthReport:
    """A health report about a target in a load message.

    Attributes:
        healthy: whether the target is reported healthy; may be wrong in both
            directions.
        draining: whether the target is draining.
        age: seconds since the report was first made.
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
    | MessageReceived
    | Started
    | Listed
    | HealthReport
)
