"""Registry of the parts of a process; finds them by name and runs them."""

from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup, TaskStatus

from jujuberun.errors import JujuberunError


class Part(Protocol):
    """A component of the process that the kernel runs.

    Attributes:
        name: name by which other parts find the part; unique in the process.
    """

    name: str

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Runs until cancelled; calls task_status.started() once ready."""

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the part's state as JSON types, for the state dump."""


class Kernel:
    """Runs the parts of one process."""

    def __init__(self) -> None:
        self._parts: dict[str, Part] = {}
        # Created by run(): a cancel scope needs a running event loop.
        self._scope: anyio.CancelScope | None = None
        self._group: TaskGroup | None = None
        self._stopped = False

    def register(self, part: Part) -> None:
        """Adds a part; starts it at once if the kernel is running.

        Raises:
            JujuberunError: another part has this name.
        """
        if part.name in self._parts:
            raise JujuberunError("register part", part.name, "name is taken")
        self._parts[part.name] = part
        if self._group is not None:
            self._group.start_soon(part.run)

    def find(self, name: str) -> Any:
        """Returns the part with this name.

        Raises:
            JujuberunError: no part has this name.
        """
        part = self._parts.get(name)
        if part is None:
            raise JujuberunError("find part", name, "is not registered")
        return part

    def has(self, name: str) -> bool:
        """Returns whether a part has this name."""
        return name in self._parts

    def list_parts(self) -> tuple[Part, ...]:
        """Returns all parts in the order of their registration."""
        return tuple(self._parts.values())

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Starts the parts in order and runs them until stop() is called."""
        if self._stopped:
            task_status.started()
            return
        with anyio.CancelScope() as self._scope:
            async with anyio.create_task_group() as group:
                for part in self.list_parts():
                    await group.start(part.run)
                self._group = group
                task_status.started()
                await anyio.sleep_forever()

    def stop(self) -> None:
        """Cancels all parts and ends run(); a later run() returns at once."""
        self._stopped = True
        if self._scope is not None:
            self._scope.cancel()

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the state of all parts by name, as JSON types."""
        return {p.name: p.dump_state(now) for p in self._parts.values()}
