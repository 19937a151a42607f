"""Runs balancers and agents as the deploy file says, with their stand-ins."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.callers import Caller, Router
from standins.record import Record
from standins.store import Store, StoreProxy
from standins.targets import Target

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, CANNOT_RUN = 1, 0, 2
# Time limit of a whole case.
CASE_LIMIT_S = 110.0
READY_LIMIT_S = 20.0
# A process that has ended is started again after this time.
RESTART_DELAY_S = 0.3
GRACE_S = 6.0
# Bounds of the small deployments.
STABLE_WINDOW_S = 4.0
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
HEARTBEAT_S = 1.2
_PACKET, _PEER, _READY, _CONTROL = 8172, 7720, 8167, 8166
_OUTBOUND, _APP, _STORE = 8162, 8165, 8169
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)\}\}")


class Daemon:
    """A process of the system."""

    def __init__(self, name: str, command: list[str], settings: Path) -> None:
        """Creates the daemon; start() starts it.

        Args:
            name: name of its VM.
            command: command of the deploy file.
            settings: path of its settings file.
        """
        self.name = name
        self._command, self._settings = command, settings
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        known = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in known if key in os.environ}
        env["JUJUBERUN_CONFIG"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._settings.with_suffix(".log").open("ab") as log:
            self._process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.is_running:
            self._process.send_signal(number)

    async def stop(self) -> None:
        """Stops the process as the platform does."""
        self.send_signal(signal.SIGTERM)
        for _ in range(round(GRACE_S / 0.02)):
            if not self.is_running:
                return
            await asyncio.sleep(0.02)
        self.kill()

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.is_running:
            self._process.kill()
            self._process.wait()


class Fleet:
    """A small fleet in one zone of one block of loopback addresses.

    Attributes:
        store: the platform's store.
        proxies: proxies between balancers and the store.
        router: routers in front of the balancers.
        balancers: balancers by address.
        targets: targets by id.
        configuration: the newest configuration.
    """

    def __init__(self, record: Record, folder: Path) -> None:
        """Creates an empty fleet.

        Args:
            record: record of the case.
            folder: temporary folder for settings and logs.
        """
        self.record = record
        self._folder = folder
        self._octet = _find_free_block()
        self._roles = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )["roles"]
        self.store = Store((self._make_host(250, 1), _STORE))
        self.proxies: list[StoreProxy] = []
        self.router = Router(record, _PACKET, _READY)
        self.balancers: dict[str, Daemon] = {}
        self.targets: dict[str, Target] = {}
        self._agents: dict[str, Daemon] = {}
        self.configuration: dict[str, Any] = {
            "Version": 0,
            "Routes": [],
            "Services": [],
            "Limits": {"IdleTimeoutMs": 15_000},
        }
        self._seeds = [
            f"{self._make_host(10, n + 1)}:{_CONTROL}" for n in range(3)
        ]
        self._born = itertools.count(time.time_ns() // 1_000_000)

    async def start(self, services: dict[str, int], balancers: int) -> None:
        """Starts the store, targets with agents, and balancers.

        Args:
            services: number of targets of each service.
            balancers: number of balancers.
        """
        await self.store.start()
        self.configuration["Services"] = [
            {"Name": name, "HealthPath": "/health", "MaxConns": 2000}
            for name in services
        ]
        names = [n for name, count in services.items() for n in [name] * count]
        for number, service in enumerate(names):
            self.add_target(f"i-{number + 1:04x}", service, number + 1)
        for number in range(balancers):
            await self.add_balancer(number + 1)

    async def wait_ready(self) -> bool:
        """Waits until all balancers are in rotation; returns whether so."""
        for _ in range(round(READY_LIMIT_S / 0.05)):
            if all(map(self.router.is_ready, self.balancers)):
                return True
            await asyncio.sleep(0.05)
        return False

    async def add_balancer(self, number: int) -> str:
        """Starts a balancer; returns its address."""
        host = self._make_host(10, number)
        proxy = StoreProxy(
            (self._make_host(60, number), _STORE), self.store.address
        )
        await proxy.start()
        self.proxies.append(proxy)
        daemon = self._make_daemon(
            "balancer", f"front-{number}", host, proxy.address[0]
        )
        self.balancers[host] = daemon
        daemon.start()
        self.router.add(host)
        return host

    def add_target(self, name: str, service: str, number: int, **work) -> None:
        """Starts a target with its agent, and registers it.

        Args:
            name: id of the target.
            service: service that it serves.
            number: number of the machine, and so its address.
            **work: arguments of Target.
        """
        host = self._make_host(30, number)
        born = next(self._born)
        ports = (_APP, _OUTBOUND)
        target = Target(name, service, host, ports, self.record, born, **work)
        self.targets[name] = target
        agent = self._make_daemon(
            "agent",
            f"side-{number}",
            host,
            self.store.address[0],
            Service=service,
            app=f"{host}:{_APP}",
        )
        self._agents[host] = agent
        agent.start()
        self.register(target)

    async def stop_agent(self, host: str) -> None:
        """Stops the agent at an address."""
        await self._agents.pop(host).stop()

    def kill_agent(self, host: str) -> None:
        """Kills the agent at an address."""
        self._agents.pop(host).kill()

    def register(self, target: Target) -> None:
        """Writes the registration of a target."""
        self.store.put(
            f"servers/{target.name}",
            {
                "Service": target.service,
                "Address": f"{target.host}:{_APP}",
                "Zone": "zone-a",
                "Version": "v1",
                "Slots": target.slots,
                "State": "draining" if target.is_draining else "ready",
                "WarmupLeftMs": 0,
                "Seq": 1,
                "born": target.born,
            },
        )

    def publish(self, routes: dict[str, tuple[str, str]]) -> None:
        """Writes a configuration; it is confirmed when this returns.

        Args:
            routes: host and service of each route by its name.
        """
        self.configuration["Version"] += 3
        self.configuration["Routes"] = [
            {
                "Name": name,
                "Host": host,
                "Prefix": "/443/",
                "RouteType": "non_idempotent",
                "TimeoutMs": 5000,
                "SloMs": 300,
                "Priority": 1,
                "Service": service,
                "MaxAttempts": 2,
            }
            for name, (host, service) in routes.items()
        ]
        self.store.put("op/config", self.configuration)
        size = len(json.dumps(self.configuration, separators=(",", ":")))
        shown = {k: v for k, v in routes.items() if not k.startswith("idle")}
        self.record.write(
            f"configuration {self.configuration['Version']} is confirmed: "
            f"{len(routes)} routes, {size} bytes, {shown}"
        )

    def make_caller(self, number: int) -> Caller:
        """Returns a host of callers."""
        host = self._make_host(80, number)
        return Caller(host, _PACKET, self.router, self.record)

    async def restart_balancer(self, host: str) -> None:
        """Stops a balancer and starts it again; waits until it is ready."""
        self.record.write(f"balancer {host} gets SIGTERM")
        await self.balancers[host].stop()
        self.record.write(f"balancer {host} has ended")
        await asyncio.sleep(RESTART_DELAY_S)
        self.balancers[host].start()
        for _ in range(round(READY_LIMIT_S / 0.05)):
            await asyncio.sleep(0.05)
            if self.router.is_ready(host):
                return

    async def close(self) -> None:
        """Ends all processes and connections that this fleet started."""
        for daemon in (*self.balancers.values(), *self._agents.values()):
            daemon.kill()
        for server in (self.store, *self.proxies):
            server.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def _make_host(self, third: int, fourth: int) -> str:
        return f"127.{self._octet}.{third}.{fourth}"

    def _make_daemon(
        self, role: str, name: str, host: str, store: str, **fields: str
    ) -> Daemon:
        values = {
            "NodeName": name,
            "Ip": host,
            "Zone": "zone-a",
            "PortRange": [_PEER, _PEER + 15],
            "Seeds": self._seeds,
            "Listen": {
                "DatagramAddr": f"{host}:{_PACKET}",
                "Ready": f"{host}:{_READY}",
                "outbound": f"{host}:{_OUTBOUND}",
            },
            "Limits": {"LinkMbps": 1000.0},
            "Bounds": {},
            "platform": {"Address": f"{store}:{_STORE}"},
            **fields,
        }
        template = (ROOT / self._roles[role]["template"]).read_text()
        settings = self._folder / f"{name}-{host}.toml"
        settings.write_text(_render(template, values))
        program, *words = self._roles[role]["run"].split()
        command = [program, *words[:-1], str(settings)]
        return Daemon(name, command, settings)


def _find_free_block() -> int:
    """Returns the second octet of loopback addresses that are not in use."""
    rng = random.Random()
    for _ in range(100):
        octet = rng.randrange(16, 250)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind((f"127.{octet}.250.1", _STORE))
            except OSError:
                continue
            return octet
    raise OSError("no free block of loopback addresses")


def _render(template: str, values: dict[str, Any]) -> str:
    """Fills in a settings template in the way of the platform."""

    def fill_section(match: re.Match[str]) -> str:
        found = _find(values, match[1])
        if not found:
            return ""
        if not isinstance(found, list):
            return _render(match[2], values)
        parts = [match[2].replace("{{.}}", str(entry)) for entry in found]
        rendered = [part.replace("{{,}}", ",") for part in parts[:-1]]
        return "".join([*rendered, parts[-1].replace("{{,}}", "")])

    text = _SECTION.sub(fill_section, template)
    return _VALUE.sub(lambda match: str(_find(values, match[1]) or ""), text)


def _find(values: Any, path: str) -> Any:
    for word in path.split("."):
        if isinstance(values, list):
            values = values[int(word)]
        else:
            values = values.get(word)
        if values is None:
            return None
    return values


def run_case(
    folder: Path, play: Callable[[Fleet, Record, bool], Awaitable[None]]
) -> int:
    """Runs a case; returns the exit status of its script.

    Args:
        folder: folder of the case, in which the record is written.
        play: plays the case with a fleet, a record, and whether there is the
            disruption.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"disruption: {'yes' if has_trouble else 'no'}")
    keep = os.environ.get("KEEP_LOGS")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            asyncio.run(
                _play(record, Path(keep or temporary), play, has_trouble)
            )
        except (Exception, asyncio.CancelledError) as error:
            record.write(f"the case could not run: {error!r}")
            return CANNOT_RUN
        finally:
            record.close()
    count = len(record.violations)
    # The exit status counts, also if nobody reads the output.
    with contextlib.suppress(OSError):
        print(f"{count} violations", *record.violations, sep="\n", flush=True)
    return BROKEN if count else HELD


async def _play(
    record: Record,
    folder: Path,
    play: Callable[[Fleet, Record, bool], Awaitable[None]],
    has_trouble: bool,
) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    fleet = Fleet(record, folder)
    try:
        async with asyncio.timeout(CASE_LIMIT_S):
            await play(fleet, record, has_trouble)
    finally:
        await fleet.close()
