"""Runs a small fleet of real daemons as processes on loopback."""

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
from jujuberun.standin_fabric import Fabric
from jujuberun.vm_list import Vm, VmList

KEY = "00112233445566778899aabbccddeeff"
_START_TIMEOUT_S = 15.0
_MAX_SEED_PEERS = 3


def find_port(host: str = "127.0.0.1") -> int:
    """Returns a UDP port, chosen by the kernel, that is currently free."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class DaemonFleet:
    """Starts and stops daemons, and publishes their manifest as a file.

    Attributes:
        fabric: spreads packets over the running balancers.
    """

    def __init__(self, folder: Path, seed: int, url: str = "") -> None:
        """Creates a fleet without daemons.

        Args:
            folder: directory for settings, logs and the published manifest.
            seed: seed of the fabric's random choice of balancers.
            url: base URL of a running platform that the daemons read; if
                empty, they read the manifest file.
        """
        self.fabric = Fabric(random.Random(seed))
        self._folder = folder
        self._url = url
        self._manifest_path = folder / "manifest.json"
        self._processes: dict[str, subprocess.Popen] = {}
        self._service_addresses: set[Address] = set()
        self._seed_peers: list[Address] = []
        self._vms: dict[VmId, Vm] = {}
        self._vm_index = 0
        self._balancer_ports: dict[str, int] = {}
        self._agent_config_lines: list[str] = []

    def use_certificate(self, certificate: Path, private_key: Path) -> None:
        """Sets the certificate of all agents that are started later."""
        self._agent_config_lines = [
            f'certificate = "{certificate}"',
            f'private_key = "{private_key}"',
        ]

    def publish(self, manifest: Manifest) -> None:
        """Replaces the manifest file and records the service addresses."""
        for service in manifest.services.values():
            self._service_addresses.add(service.address)
        temporary = self._manifest_path.with_suffix(".new")
        temporary.write_bytes(dump_manifest(manifest))
        temporary.rename(self._manifest_path)

    def start_balancer(self, number: int) -> str:
        """Starts a balancer for all service addresses published so far.

        Args:
            number: 1 to 250; the last byte of the balancer's loopback address.

        Returns:
            Name of the balancer's process.
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
        self._record_vm(name, Role.BALANCER, (host, port))
        self._start_daemon(name, "balancer", lines)
        self.fabric.add(name, local)
        return name

    def start_agent(self, manifest: Manifest, target: TargetId) -> str:
        """Starts the agent of a target and returns its process name."""
        entry = manifest.targets[target]
        if len(self._seed_peers) < _MAX_SEED_PEERS:
            self._seed_peers.append(entry.agent)
        lines = [
            f'peer = "{format_address(entry.agent)}"',
            "[agent]",
            f'target = "{target}"',
            *self._agent_config_lines,
        ]
        self._record_vm(f"agent-{target}", Role.AGENT, entry.agent)
        self._start_daemon(f"agent-{target}", "agent", lines)
        return f"agent-{target}"

    def start_module(self, name: str, module: str, *arguments: str) -> None:
        """Starts a module of this package as a process."""
        command = [sys.executable, "-m", f"jujuberun.{module}", *arguments]
        self._spawn(name, command)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of the fleet."""
        self._processes[name].send_signal(number)

    def wait(self, name: str, timeout: float) -> int:
        """Waits until a process ends and returns its exit status.

        Args:
            name: name of the process.
            timeout: seconds to wait.

        Raises:
            subprocess.TimeoutExpired: the process still runs after the
                timeout.
        """
        return self._processes.pop(name).wait(timeout)

    def read_memory(self, name: str) -> int:
        """Returns the resident memory of a process in bytes."""
        pid = self._processes[name].pid
        fields = Path(f"/proc/{pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")

    def read_log(self, name: str) -> str:
        """Returns the standard output and error of a process so far."""
        return (self._folder / f"{name}.log").read_text()

    def stop(self) -> None:
        """Kills all processes of the fleet that still run."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()

    def list_vms(self) -> VmList:
        """Returns the next VM list, with all VMs started so far."""
        self._vm_index += 1
        return VmList(self._vm_index, dict(self._vms))

    def _record_vm(self, name: str, role: Role, peer: Address) -> None:
        vm = VmId(name)
        domain = DomainId("local")
        self._vms[vm] = Vm(vm, role, peer, domain, VmState.LIVE)

    def _start_daemon(self, name: str, role: str, lines: list[str]) -> None:
        head = [
            f'role = "{role}"',
            f'vm = "{name}"',
            'domain = "local"',
            f'keys = ["{KEY}"]',
            f"seeds = {[format_address(a) for a in self._seed_peers]}",
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
        deadline = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline:
            if "serves peers" in self.read_log(name):
                return
            if self._processes[name].poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(f"{name} did not start: {self.read_log(name)}")
