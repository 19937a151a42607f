"""Runs balancers, agents and targets on loopback; changes them under load."""

import argparse
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from jujuberun.caller import Caller, CallResult
from jujuberun.canonical import dump_manifest
from jujuberun.first_packet import FirstPacket, FirstPacketRule
from jujuberun.ids import (
    Address,
    Generation,
    Outcome,
    Protocol,
    ServiceId,
    TargetId,
    Urgency,
)
from jujuberun.manifest import (
    Manifest,
    Service,
    Target,
)
from jujuberun.quic import make_client_tls
from jujuberun.retry import RetryBudget
from jujuberun.standin_certificate import DEFAULT_NAME, make_certificate
from jujuberun.standin_fabric import SprayPort
from jujuberun.standin_fleet import DaemonFleet, find_port
from jujuberun.standin_manifest import DOMAINS
from jujuberun.standin_platform import Platform
from jujuberun.standin_target import Behaviour, TargetStandin
from jujuberun.vm_list import dump_vm_list

MEAL_CHANGE, LABEL = ServiceId("meal-change"), ServiceId("label")
BALANCERS = 2
CALLERS_PER_SERVICE = 4
REQUEST_PAUSE_S = 0.08
PHASE_S = 2.0
REQUEST_RUN_TIME_S = 0.02
TIMEOUT_S = 10.0


class Demo:
    """Runs the fleet, sends requests and counts their outcomes.

    Attributes:
        counts: number of requests by outcome or failure, under the names in
            the printed table. "bad exits" counts daemons that ended with a
            non-zero exit status.
    """

    def __init__(self, folder: Path, seed: int) -> None:
        self.counts: Counter[str] = Counter()
        self._folder = folder
        self._rng = random.Random(seed)
        self._platform = Platform(("127.0.0.1", 0))
        self._standins: dict[TargetId, TargetStandin] = {}
        self._certificate = make_certificate()
        self._load_active = True
        self._fleet: DaemonFleet
        self._manifest: Manifest

    async def run(self) -> None:
        """Runs all phases and fills the counts."""
        async with anyio.create_task_group() as group:
            await group.start(self._platform.run)
            self._fleet = DaemonFleet(
                self._folder, self._rng.random(), self._platform.url
            )
            paths = self._certificate.write(self._folder)
            self._fleet.use_certificate(*paths)
            try:
                await self._start_fleet(group)
                await self._run_load(group)
            finally:
                self._fleet.stop()
            group.cancel_scope.cancel()
        for standin in self._standins.values():
            self.counts["run twice"] += len(standin.counts.list_doubles())

    async def _start_fleet(self, group: TaskGroup) -> None:
        targets = [
            await self._add_target(group, service, number)
            for service, count in ((MEAL_CHANGE, 3), (LABEL, 2))
            for number in range(1, count + 1)
        ]
        services = {}
        for number, name in enumerate((MEAL_CHANGE, LABEL)):
            services[name] = Service(
                id=name,
                address=(f"198.51.100.{number + 1}", find_port()),
                urgency=Urgency(number),
                headroom=1.0,
                protocol=Protocol.REQUEST,
                first_packet=FirstPacket(FirstPacketRule.QUIC),
                targets=tuple(t.id for t in targets if t.id.startswith(name)),
            )
        self._publish(
            Manifest(Generation(1), services, {t.id: t for t in targets})
        )
        print_line("Starting 2 balancers and 5 agents.")
        for target in targets:
            await anyio.to_thread.run_sync(
                self._fleet.start_agent, self._manifest, target.id
            )
        for number in range(1, BALANCERS + 1):
            await anyio.to_thread.run_sync(self._fleet.start_balancer, number)
        self._publish_vms()

    async def _add_target(
        self, group: TaskGroup, service: ServiceId, number: int
    ) -> Target:
        standin = TargetStandin(
            Behaviour(slots=2, work=REQUEST_RUN_TIME_S), service
        )
        await group.start(standin.run)
        name = TargetId(f"{service}-{number}")
        self._standins[name] = standin
        host = f"127.0.5.{len(self._standins)}"
        return Target(
            id=name,
            address=standin.address,
            agent=(host, find_port(host)),
            domain=DOMAINS[number % len(DOMAINS)],
            slots=2,
            connection_limit=2000,
        )

    def _publish(self, manifest: Manifest) -> None:
        self._manifest = manifest
        self._fleet.publish(manifest)
        self._platform.publish("manifest", dump_manifest(manifest))

    def _publish_vms(self) -> None:
        vms = dump_vm_list(self._fleet.list_vms())
        self._platform.publish("vms", vms)

    async def _run_load(self, group: TaskGroup) -> None:
        tls = make_client_tls(DEFAULT_NAME, self._certificate.certificate)
        async with (
            Caller(
                tls, RetryBudget.from_config(), open_port=self._open_port
            ) as caller,
            anyio.create_task_group() as load,
        ):
            for service in self._manifest.services.values():
                for number in range(CALLERS_PER_SERVICE):
                    load.start_soon(self._run_caller, caller, service, number)
            await self._run_changes(group)
            self._load_active = False

    def _open_port(self, address: Address) -> SprayPort:
        return SprayPort.open(self._fleet.fabric)

    async def _run_caller(
        self, caller: Caller, service: Service, number: int
    ) -> None:
        sequence = 0
        while self._load_active:
            sequence += 1
            body = f"{service.id}/{number}/{sequence}".encode()
            self.counts["sent"] += 1
            result = await caller.request(
                service.address, "POST", "/", body, timeout=TIMEOUT_S
            )
            match result.outcome:
                case Outcome.ANSWERED:
                    self._check_answer(service, body, result)
                case Outcome.NOT_RUN:
                    self.counts["refused"] += 1
                case Outcome.UNKNOWN:
                    self.counts["broken"] += 1
            await anyio.sleep(REQUEST_PAUSE_S)

    def _check_answer(
        self, service: Service, body: bytes, result: CallResult
    ) -> None:
        headers = dict(result.headers)
        if headers.get(b"service") != service.id.encode():
            self.counts["wrong service"] += 1
        elif result.status != 200 or result.body != body:
            self.counts["broken"] += 1
        else:
            self.counts["answered"] += 1

    async def _run_changes(self, group: TaskGroup) -> None:
        print_line("Sending requests.")
        await anyio.sleep(PHASE_S)
        print_line("Adding a target by a new manifest.")
        target = await self._add_target(group, MEAL_CHANGE, 4)
        meal = self._manifest.services[MEAL_CHANGE]
        meal = replace(meal, targets=(*meal.targets, target.id))
        manifest = Manifest(
            Generation(2),
            {**self._manifest.services, MEAL_CHANGE: meal},
            {**self._manifest.targets, target.id: target},
        )
        self._publish(manifest)
        await anyio.to_thread.run_sync(
            self._fleet.start_agent, manifest, target.id
        )
        self._publish_vms()
        await anyio.sleep(PHASE_S)
        print_line("Stopping balancer entry-1 under load.")
        self._fleet.fabric.withdraw("entry-1")
        self._fleet.signal("entry-1", signal.SIGTERM)
        status = await anyio.to_thread.run_sync(
            self._fleet.wait, "entry-1", 15.0
        )
        self.counts["bad exits"] += status != 0
        await anyio.sleep(PHASE_S)
        print_line("Stopping agent meal-change-1 under load.")
        self._fleet.signal("agent-meal-change-1", signal.SIGTERM)
        status = await anyio.to_thread.run_sync(
            self._fleet.wait, "agent-meal-change-1", 15.0
        )
        self.counts["bad exits"] += status != 0
        await anyio.sleep(PHASE_S)


def print_line(line: str) -> None:
    """Prints a line and flushes standard output."""
    print(line, flush=True)


def print_table(counts: Counter[str]) -> bool:
    """Prints the counts and returns whether every promise held.

    Every request must be answered or refused, at least one must be answered,
    and no failure may be counted.
    """
    print()
    for name in (
        "sent",
        "answered",
        "refused",
        "broken",
        "wrong service",
        "run twice",
    ):
        print(f"{name:>15} {counts[name]:6d}")
    all_counted = counts["answered"] + counts["refused"] == counts["sent"]
    failures = ("broken", "wrong service", "run twice", "bad exits")
    passed = (
        all_counted
        and counts["answered"] > 0
        and not any(map(counts.get, failures))
    )
    print("\nEvery promise held." if passed else "\nA promise was broken.")
    return passed


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the demo; exit status 0 only if every promise held."""
    parser = argparse.ArgumentParser(
        prog="python -m jujuberun.demo", description=__doc__
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(Path(folder), options.seed)
        anyio.run(demo.run)
    return 0 if print_table(demo.counts) else 1


if __name__ == "__main__":
    sys.exit(main())
