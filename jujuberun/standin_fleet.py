"""Stand-in of a small fleet: real daemons as processes on loopback."""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from jujuberun.addresses import format_address
from jujuberun.canonical import dump_manifest
from jujuberun.ids import Address, DomainId, Role, TargetId, VmId, VmState
from jujuberun.manifest import Manifest
from jujuberun.members import Vm, VmList
from jujuberun.standin_fabric import Fabric

KEY = "00112233445566778899aabbccddeeff"
_START_S = 15.0
_SEEDS = 3


def find_port(host: str = "127.0.0.1") -> int:
    """Returns a port that is free now, chosen by the kernel."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Fleet:
    """Starts and ends daemons of a manifest, and publishes it as a file.

    Attributes:
        fabric: sprays packets over the running balancers.
    """

    def __init__(self, folder: Path, seed: int, url: str = "") -> None:
        """Uses files in a folder, or a platform that runs already.

        Args:
            folder: takes settings, logs and the published files.
            seed: of the fabric's choices.
            url: base URL of the platform, empty for files.
        """
        self.fabric = Fabric(random.Random(seed))
        self._folder = folder
        self._url = url
        self._manifest_path = folder / "manifest.json"
        self._processes: dict[str, subprocess.Popen] = {}
        self._service_addresses: set[Address] = set()
        self._seeds: list[Address] = []
        self._vms: dict[VmId, Vm] = {}
        self._vm_index = 0
        self._balancer_ports: dict[str, int] = {}
        self._agent_lines: list[str] = []

    def use_certificate(self, certificate: Path, private_key: Path) -> None:
        """Gives all agents that start from now on a certificate."""
        self._agent_lines = [
            f'certificate = "{certificate}"',
            f'private_key = "{private_key}"',
        ]

    def publish(self, manifest: Manifest) -> None:
        """Publishes a manifest to all daemons."""
        for service in manifest.services.values():
            self._service_addresses.add(service.address)
        temporary = self._manifest_path.with_suffix(".new")
        temporary.write_bytes(dump_manifest(manifest))
        temporary.rename(self._manifest_path)

    def start_balancer(self, number: int) -> str:
        """Starts a balancer for all addresses published so far.

        Args:
            number: 1 to 250; gives its loopback address.

        Returns:
            Its name.
        """
        name = f"entry-{number}"
        host = f"127.0.2.{number}"
        local = {a: (host, a[1]) for a in self._service_addresses}
        port = self._balancer_ports.setdefault(name, find_port(host))
        lines = [
            f'peer = "{host}:{port}"',
            "[addresses]",
            *(
                f'"{format_address(a)}" = "{format_address(b)}"'
                for a, b in local.items()
            ),
            "[balancer]",
            "drain_timeout = 0.5",
        ]
        self._note_vm(name, Role.BALANCER, (host, port))
        self._start(name, "balancer", lines)
        self.fabric.add(name, local)
        return name

    def start_agent(self, manifest: Manifest, target: TargetId) -> str:
        """Starts the agent of a target and returns its name."""
        entry = manifest.targets[target]
        if len(self._seeds) < _SEEDS:
            self._seeds.append(entry.agent)
        lines = [
            f'peer = "{format_address(entry.agent)}"',
            "[agent]",
            f'target = "{target}"',
            *self._agent_lines,
        ]
        self._note_vm(f"agent-{target}", Role.AGENT, entry.agent)
        self._start(f"agent-{target}", "agent", lines)
        return f"agent-{target}"

    def start_module(self, name: str, module: str, *arguments: str) -> None:
        """Starts a stand-in of this package as a process."""
        command = [sys.executable, "-m", f"jujuberun.{module}", *arguments]
        self._spawn(name, command)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one of its own processes."""
        self._processes[name].send_signal(number)

    def wait(self, name: str, limit: float) -> int:
        """Waits for the end of a process and returns its exit status.

        Raises:
            subprocess.TimeoutExpired: it still runs after the limit.
        """
        return self._processes.pop(name).wait(limit)

    def read_memory(self, name: str) -> int:
        """Returns the resident memory of a process in bytes."""
        pid = self._processes[name].pid
        fields = Path(f"/proc/{pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")

    def read_log(self, name: str) -> str:
        """Returns what a process has logged so far."""
        return (self._folder / f"{name}.log").read_text()

    def stop(self) -> None:
        """Kills all processes that still run."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()

    def list_vms(self) -> VmList:
        """Returns the platform's list of all VMs started so far."""
        self._vm_index += 1
        return VmList(self._vm_index, dict(self._vms))

    def _note_vm(self, name: str, role: Role, peer: Address) -> None:
        vm = VmId(name)
        domain = DomainId("local")
        self._vms[vm] = Vm(vm, role, peer, domain, VmState.LIVE)

    def _start(self, name: str, role: str, lines: list[str]) -> None:
        head = [
            f'role = "{role}"',
            f'vm = "{name}"',
            'domain = "local"',
            f'keys = ["{KEY}"]',
            f"seeds = {[format_address(a) for a in self._seeds]}",
        ]
        tail = ["[platform]", f'manifest = "{self._manifest_path}"']
        if self._url:
            tail = ["[platform]", f'url = "{self._url}"']
        path = self._folder / f"{name}.toml"
        path.write_text("\n".join([*head, *lines, *tail]) + "\n")
        command = [
            sys.executable,
            "-m",
            "jujuberun.daemon",
            "--config",
            str(path),
        ]
        self._spawn(name, command)
        self._wait_until_ready(name)

    def _spawn(self, name: str, command: list[str]) -> None:
        log = (self._folder / f"{name}.log").open("ab")
        with log:
            self._processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def _wait_until_ready(self, name: str) -> None:
        end = time.monotonic() + _START_S
        while time.monotonic() < end:
            if "serves peers" in self.read_log(name):
                return
            if self._processes[name].poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(f"{name} did not start: {self.read_log(name)}")
