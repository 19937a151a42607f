"""Settings of the order of starts under overload."""

from dataclasses import dataclass, field

from jujuberun.values import read_flag


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """Which order of starts is in force."""

    order_by_loss: bool = field(
        default=False,
        metadata={
            "read": read_flag,
            "about": "Balancer: whether starts are ranked and limited by what "
            "their callers lose, in pools whose services state time_limit or "
            "kind.",
            "secret": False,
        },
    )
