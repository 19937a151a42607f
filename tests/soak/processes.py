"""Runs the daemons under test as processes and sends them signals."""

import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from soak.layout import (
    ADMIN_PORT,
    OUTBOUND_PORT,
    PACKET_PORT,
    PEER_PORT,
    STORE_PORT,
    TARGET_PORT,
    Host,
    Layout,
)
from soak.promises import Promises

ROOT = Path(__file__).resolve().parents[2]
# A process that has not exited by this time after SIGTERM gets SIGKILL.
GRACE_PERIOD_S = 6.0
# Pause between the exit of a process and its restart.
RESTART_DELAY_S = 0.2
# SIGTERM and SIGHUP are withheld from a new process until it blocks or handles
# them, because the interpreter must start first. After this time they are sent
# in any case.
HANDLER_SETUP_LIMIT_S = 1.0
# A daemon serves 0.4 s after its start on an idle machine. A slower start means
# that the machine is too busy and delays packets: beside two concurrent runs
# of the bench, agents took 2.8 s (seeds 3015, 3106, 3113).
MAX_START_S = 1.0
_POLL_S = 0.02


@dataclass(slots=True)
class Daemon:
    """Runs one daemon and restarts it; signals only its own processes.

    Attributes:
        host: host on which the daemon runs.
        settings: text of its settings file.
        folder: directory for settings, log and clock offset.
        should_run: whether the process is started again after its exit.
        disturbed_until: end of the last suspension, in monotonic seconds.
        ended: set from the exit of the process until its next start.
    """

    host: Host
    settings: str
    folder: Path
    promises: Promises
    should_run: bool = True
    disturbed_until: float = 0.0
    ended: anyio.Event = field(default_factory=anyio.Event)
    _process: subprocess.Popen | None = None
    _killed: bool = False
    _started_at: float = 0.0
    _log_bytes_before_start: int = 0
    _terminated_at: float | None = None
    _files: list = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """Whether the process exists."""
        return self._process is not None and self._process.poll() is None

    @property
    def log(self) -> Path:
        """Path of the log file."""
        return self.folder / f"{self.host.name}.log"

    async def run(self) -> None:
        """Keeps the process running until cancelled; then kills it."""
        try:
            while True:
                if self.should_run and not self.is_running:
                    self._start()
                await self._wait_exit()
                await anyio.sleep(RESTART_DELAY_S)
        finally:
            self.kill()
            for file in self._files:
                file.close()

    def signal(self, number: int) -> None:
        """Sends a signal, if the process exists."""
        if not self.is_running or self._killed:
            return
        if (
            number in (signal.SIGTERM, signal.SIGHUP)
            and not self._has_signal_handlers()
        ):
            return
        if number == signal.SIGTERM:
            if self._terminated_at is not None:
                # A second SIGTERM would cut off open work, as documented.
                return
            self._terminated_at = anyio.current_time()
        if number == signal.SIGKILL:
            self._killed = True
        os.kill(self._process.pid, number)

    def kill(self) -> None:
        """Kills the process and waits for its exit."""
        if self.is_running:
            self.signal(signal.SIGKILL)
            self._process.wait()

    def shift_clock(self, seconds: float) -> None:
        """Shifts the time of day that the daemon sees by these seconds."""
        (self.folder / f"{self.host.name}.clock").write_text(str(seconds))

    def _start(self) -> None:
        settings = self.folder / f"{self.host.name}.toml"
        settings.write_text(self.settings)
        log_file = self.log.open("ab")
        self._files.append(log_file)
        command = [
            sys.executable,
            str(ROOT / "tests" / "soak" / "shifted.py"),
            str(self.folder / f"{self.host.name}.clock"),
            str(ROOT / "platform" / "run.py"),
            "--config",
            str(settings),
        ]
        self._log_bytes_before_start = self.log.stat().st_size
        self._killed = False
        self._terminated_at = None
        self._started_at = anyio.current_time()
        self.ended = anyio.Event()
        self._process = subprocess.Popen(
            command, stdout=log_file, stderr=log_file, cwd=ROOT
        )

    async def _wait_exit(self) -> None:
        process = self._process
        if process is None:
            await anyio.sleep(_POLL_S)
            return
        while process.poll() is None:
            await anyio.sleep(_POLL_S)
            self._check_start_time(anyio.current_time())
            terminated_at = self._terminated_at
            if (
                terminated_at is None
                or anyio.current_time() < terminated_at + GRACE_PERIOD_S
            ):
                continue
            if self.disturbed_until < terminated_at:
                self.promises.record_violation(
                    "GRACE",
                    f"{self.host.name} did not exit in {GRACE_PERIOD_S} s",
                )
            self.kill()
        self._check_exit_status(process.returncode)
        self._process = None
        self.ended.set()

    def _check_start_time(self, now: float) -> None:
        """Records a slow start: the first log line marks the end of a start."""
        is_slow = now - self._started_at > MAX_START_S
        if is_slow and self.log.stat().st_size == self._log_bytes_before_start:
            self.promises.note_lag(now)

    def _check_exit_status(self, status: int) -> None:
        if self._killed:
            return
        if self._terminated_at is None:
            text = f"{self.host.name} exited unexpectedly with status {status}"
            self.promises.record_violation("EXIT", text)
        elif status:
            text = f"{self.host.name} exited after SIGTERM with status {status}"
            self.promises.record_violation("GRACE", text)

    def _has_signal_handlers(self) -> bool:
        """Returns whether the process is ready for SIGTERM and SIGHUP."""
        age = anyio.current_time() - self._started_at
        return age > HANDLER_SETUP_LIMIT_S or _blocks_or_catches(
            self._process.pid, signal.SIGHUP
        )


def _blocks_or_catches(pid: int, number: int) -> bool:
    """Returns whether a process blocks a signal or has a handler for it."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return False
    masks = dict(line.split(":") for line in status.splitlines())
    return any(
        int(masks[name], 16) >> (number - 1) & 1
        for name in ("SigBlk", "SigCgt")
    )


def make_balancer_settings(
    host: Host, number: int, seeds: list[str], layout: Layout
) -> str:
    """Returns the settings file of a balancer."""
    listed = ", ".join(f'"{seed}:{PEER_PORT}"' for seed in seeds)
    return f"""
role = "balancer"
vm = "{host.name}"
domain = "{host.domain}"
peer = "{host.bind_address}:{PEER_PORT}"
keys = "unkeyed"
admin = "{host.bind_address}:{ADMIN_PORT}"
seeds = [{listed}]

[platform]
url = "http://{layout.find_store_proxy(number)}:{STORE_PORT}"
lists_balancers = false
watch_wait = 1.5
start_spread = 0.02
retry_limit = 1.0

[packet]
address = "{host.bind_address}:{PACKET_PORT}"

[balancer]
cache_flows = 100000
drain_timeout = 0.3
drain_limit = 4.5

[log]
format = "json"
"""


def make_agent_settings(host: Host, pool: str) -> str:
    """Returns the settings file of an agent."""
    return f"""
role = "agent"
vm = "{host.name}"
domain = "{host.domain}"
peer = "{host.bind_address}:{PEER_PORT}"
keys = "unkeyed"
admin = "{host.bind_address}:{ADMIN_PORT}"

[platform]
url = "http://unused"

[agent]
drain_timeout = 4.5

[packet]
address = "{host.bind_address}:{PACKET_PORT}"
outbound = "{host.bind_address}:{OUTBOUND_PORT}"
target = "{host.bind_address}:{TARGET_PORT}"
pool = "{pool}"

[log]
format = "json"
"""
