"""Builds all parts of a soak and generates the load of the callers."""

import random
from dataclasses import dataclass
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from jujuberun.ids import Address
from soak.callers import CallerFlow, CallerHost, Result
from soak.fabric import Fabric
from soak.layout import STORE_PORT, Host, Layout
from soak.links import DaemonProxy, Links, StoreProxy
from soak.processes import (
    Daemon,
    make_agent_settings,
    make_balancer_settings,
)
from soak.promises import Promises
from soak.store import HEARTBEAT_S, Store
from soak.targets import Target

DOMAINS = ("a", "b")
# Targets are assigned to these pools in turn. The first service moves between
# the first and the last one. The first two names have one tag (review/2).
POOLS = ("tally-desk", "mail-v13", "tally-next")
MAX_SEEDS = 3
MAX_RETRIES = 2
# Most answers fit into one packet; the largest exceeds the send window.
ANSWER_SIZES_BYTES = (200, 1_000, 1_000, 24_000)
# Results after which the caller may assume that no target ran the request.
NOT_RUN = (Result.NOT_OPENED, Result.REFUSED, Result.SHED)


@dataclass(frozen=True, slots=True)
class Size:
    """Number of daemons and callers in a soak.

    Attributes:
        balancers: number of balancers.
        targets: number of targets, each with an agent.
        users: number of caller tasks; each sends one request at a time.
        pause: mean pause between two requests of a user in seconds.
    """

    balancers: int = 4
    targets: int = 7
    users: int = 24
    pause: float = 0.4


class TargetVm:
    """A VM with a target and its agent."""

    def __init__(self, world: "World", host: Host, pool: str) -> None:
        """Args: the soak, the host of this VM, and the pool that it serves."""
        self._world = world
        self.host = host
        self.daemon = Daemon(
            host,
            make_agent_settings(host, pool),
            world.folder,
            world.promises,
        )
        self.target = world.make_target(host, pool)
        self._replaced = anyio.Event()

    async def run(self) -> None:
        """Runs the agent and successive targets until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.daemon.run)
            while True:
                target, self._replaced = self.target, anyio.Event()
                async with anyio.create_task_group() as lifetime:
                    lifetime.start_soon(self._send_heartbeats, target)
                    lifetime.start_soon(target.run)
                    await target.ended.wait()
                    lifetime.cancel_scope.cancel()
                if self.target is target:
                    await self._replaced.wait()

    def replace(self, pool: str) -> None:
        """Starts a new target and agent at the address of an ended target."""
        self.target = self._world.make_target(self.host, pool)
        self.daemon.settings = make_agent_settings(self.host, pool)
        self.daemon.should_run = True
        self._replaced.set()

    def restart_target(self) -> None:
        """Crashes the target and starts a new one under the same name."""
        pool = self.target.pool
        crashed, self.target = (
            self.target,
            self._world.make_target(self.host, pool),
        )
        crashed.crash()

    async def _send_heartbeats(self, target: Target) -> None:
        store = self._world.store
        while not target.has_ended:
            if not store.items.fault and self.target is target:
                store.register(target)
            await anyio.sleep(HEARTBEAT_S * self._world.rng.uniform(0.9, 1.1))


class World:
    """One soak with all its parts.

    Attributes:
        routes: pool by service address, as last published.
        permanent_services: service addresses that stay in every configuration.
        answered: begin times of the answered requests.
        unanswered: begin time of each other request, with a line on how it
            ended.
    """

    def __init__(self, seed: int, size: Size, folder: Path) -> None:
        """Args: seed of all random choices, size, directory for logs."""
        self.rng = random.Random(seed)
        self.size, self.folder = size, folder
        self.layout = Layout.find_free(self.rng)
        self.promises = Promises()
        self.links = Links(self.rng)
        self.store = Store(self.layout, self.rng)
        self.balancers = [
            self.layout.make_balancer(n, DOMAINS[n % len(DOMAINS)])
            for n in range(size.balancers)
        ]
        self.hosts = [
            self.layout.make_target(n, DOMAINS[n % len(DOMAINS)])
            for n in range(size.targets)
        ]
        self.promises.set_host_names({b.alias: b.name for b in self.balancers})
        self.routes: dict[Address, str] = {
            ("198.18.0.1", 443): POOLS[0],
            ("198.18.0.2", 443): POOLS[1],
        }
        self.permanent_services = tuple(self.routes)
        self.store_proxies = [
            StoreProxy(
                (self.layout.find_store_proxy(n), STORE_PORT),
                (self.layout.store, STORE_PORT),
            )
            for n in range(size.balancers)
        ]
        self.daemons = [self._make_balancer(n) for n in range(size.balancers)]
        self.vms = [
            TargetVm(self, host, POOLS[n % len(POOLS)])
            for n, host in enumerate(self.hosts)
        ]
        self.proxy: DaemonProxy | None = None
        self.answered: list[float] = []
        self.unanswered: list[tuple[float, str]] = []
        self._attempts = 0
        self._fabric = Fabric(self.balancers, self.links)
        self._stopping = False

    @property
    def agents(self) -> list[Daemon]:
        """All agents."""
        return [vm.daemon for vm in self.vms]

    def make_target(self, host: Host, pool: str) -> Target:
        """Returns a new target with a random start time in its registration."""
        born = 1_700_000_000_000 + self.rng.getrandbits(30)
        return Target(host, pool, self.rng, self.promises, born)

    async def start(self, group: TaskGroup) -> None:
        """Starts all parts as tasks of the group."""
        self.proxy = DaemonProxy(
            (*self.balancers, *self.hosts), self.links, group
        )
        await self.proxy.start()
        group.start_soon(self.promises.watch_lag)
        group.start_soon(self.store.run)
        for proxy in self.store_proxies:
            group.start_soon(proxy.run)
        self.store.publish(self.routes, self.promises)
        for daemon in self.daemons:
            group.start_soon(daemon.run)
        for vm in self.vms:
            group.start_soon(vm.run)
        group.start_soon(self._fabric.run)

    async def wait_ready(self) -> None:
        """Waits until all balancers are in rotation."""
        await self._fabric.all_ready.wait()

    async def wait_ready_again(self) -> None:
        """Waits until all balancers are in rotation after planned work."""
        await self._fabric.wait_ready_again()

    def start_load(self, callers: TaskGroup, users: TaskGroup) -> None:
        """Starts the load.

        Args:
            callers: task group of the hosts of callers, which run until
                cancelled.
            users: task group of the users, which end after stop_load.
        """
        hosts = [
            CallerHost(
                self.layout.find_caller(n), domain, self._fabric, self.promises
            )
            for n, domain in enumerate(DOMAINS)
        ]
        for host in hosts:
            callers.start_soon(host.run)
        for number in range(self.size.users):
            users.start_soon(self._run_user, hosts[number % len(hosts)], number)

    def stop_load(self) -> None:
        """Makes each user stop after its current request."""
        self._stopping = True

    async def _run_user(self, host: CallerHost, number: int) -> None:
        """Runs one user; every third user keeps its flow for many requests."""
        rng = random.Random(f"{self.layout.octet} {number}")
        flow = None
        while not self._stopping:
            await anyio.sleep(rng.expovariate(1 / self.size.pause))
            keeps_flow_open = number % 3 == 0
            service = self.permanent_services[number % 5 % 2]
            if flow is not None and (flow.reset or flow.target_ended):
                host.close(flow)
                flow = None
            flow = await self._request_with_retries(host, flow, service, rng)
            if flow is not None and not keeps_flow_open:
                host.close(flow)
                flow = None
        if flow is not None:
            host.close(flow)

    async def _request_with_retries(
        self,
        host: CallerHost,
        flow: CallerFlow | None,
        service: Address,
        rng: random.Random,
    ) -> CallerFlow | None:
        """Sends a request, with retries; returns its flow if still open."""
        at_most_once, began = rng.random() < 0.3, anyio.current_time()
        target_lost = False
        for _ in range(1 + MAX_RETRIES):
            self._attempts += 1
            attempt = f"r-{self._attempts}"
            self.promises.note_attempt(attempt)
            result = None
            if flow is None:
                flow = host.open(service, rng)
                result = await host.start(flow)
            if result is None:
                size = rng.choice(ANSWER_SIZES_BYTES)
                result = await host.send_request(
                    flow, attempt, at_most_once, size
                )
            name, not_run = result.value, result in NOT_RUN
            self.promises.note_result(attempt, name, not_run)
            if result is Result.ANSWERED:
                self.answered.append(began)
                return flow
            target_lost |= self.promises.has_lost_target(flow)
            host.close(flow)
            flow = None
            if at_most_once and not not_run:
                break
        if target_lost:
            # The target of the open flow has ended, so the failure is allowed.
            return None
        duration = anyio.current_time() - began
        text = f"{attempt} of {host.host}: {name} in {duration:.2f} s"
        self.unanswered.append((began, text))
        return None

    def _make_balancer(self, number: int) -> Daemon:
        host = self.balancers[number]
        seeds = [b.alias for b in self.balancers[:MAX_SEEDS]]
        settings = make_balancer_settings(host, number, seeds, self.layout)
        return Daemon(host, settings, self.folder, self.promises)
