"""Starts a small fleet with the commands of the deploy file.

The store, the targets, the callers and the network in front of the balancers
are the stand-ins of the project's soak. Only the way in which the daemons are
started differs: by the `run` lines of `deploy/system.toml`.
"""

import os
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

import anyio
from soak import world as soak_world
from soak.layout import Host
from soak.processes import ROOT, Daemon
from soak.targets import Target
from soak.world import POOLS, World

READY_LIMIT_S = 30.0


class DeployedDaemon(Daemon):
    """A daemon that is started by the `run` line of its role.

    Attributes:
        exits: for each exit that no signal of the script caused, the time in
            monotonic seconds and the status.
        last_status: status of the last exit, None before the first.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Builds a daemon; see soak.processes.Daemon."""
        super().__init__(*args, **kwargs)
        self.exits: list[tuple[float, int]] = []
        self.last_status: int | None = None

    def _start(self) -> None:
        settings = self.folder / f"{self.host.name}.toml"
        settings.write_text(self.settings)
        log_file = self.log.open("ab")
        self._files.append(log_file)
        role = self.host.name.partition("-")[0]
        command = make_command(
            "balancer" if role == "balancer" else "agent", settings
        )
        self._log_bytes_before_start = self.log.stat().st_size
        self._killed = False
        self._terminated_at = None
        self._started_at = anyio.current_time()
        self.ended = anyio.Event()
        self._process = subprocess.Popen(
            command,
            stdout=log_file,
            stderr=log_file,
            cwd=ROOT,
            env=make_environment(settings),
        )

    def _check_exit_status(self, status: int) -> None:
        self.last_status = status
        if not self._killed and self._terminated_at is None:
            self.exits.append((anyio.current_time(), status))

    @property
    def pid(self) -> int:
        """Process id of the running daemon."""
        return self._process.pid


def make_command(role: str, settings: Path) -> list[str]:
    """Returns the command of a role with the path of its settings file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    words = tomllib.loads(text)["roles"][role]["run"].split()
    place = words.index("--config") + 1
    words[place] = str(settings)
    return words


def make_environment(settings: Path) -> dict[str, str]:
    """Returns the environment that the platform gives a daemon."""
    kept = {
        name: os.environ[name]
        for name in ("PATH", "HOME", "LANG")
        if name in os.environ
    }
    return kept | {
        "PYTHONPATH": str(ROOT / "target" / "deps"),
        "JUJUBERUN_CONFIG": str(settings),
    }


def use_deployed_daemons() -> None:
    """Lets the soak's world start its daemons with the deploy file."""
    soak_world.Daemon = DeployedDaemon


class LoopbackWorld(World):
    """The soak's world, with services at loopback addresses.

    Its targets register the time at which they really started.

    Attributes:
        services: address of the service of each of the first two pools.
        spare_service: address of a service that a script may add.
    """

    def __init__(self, *args: Any) -> None:
        """Builds the world; see soak.world.World."""
        super().__init__(*args)
        prefix = f"127.{self.layout.octet}.90"
        self.services = (f"{prefix}.1", 443), (f"{prefix}.2", 443)
        self.spare_service = f"{prefix}.3", 443
        self.routes = dict(zip(self.services, POOLS, strict=False))
        self.permanent_services = self.services

    def make_target(self, host: Host, pool: str) -> Target:
        """Returns a new target that starts now."""
        born = time.time_ns() // 1_000_000
        return Target(host, pool, self.rng, self.promises, born)


class Record:
    """Writes lines to record.txt in the folder of a case."""

    def __init__(self, folder: Path) -> None:
        """Creates the file."""
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        at = time.monotonic() - self._began
        print(f"{at:7.2f} {text}", file=self._file, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
