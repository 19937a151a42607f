"""Demo: the whole path on loopback, with changes under load."""

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
    FirstPacket,
    FirstPacketRule,
    Manifest,
    Service,
    Target,
)
from jujuberun.members import dump_vm_list
from jujuberun.quic import make_client_tls
from jujuberun.retry import RetryBudget
from jujuberun.standin_certificate import DEFAULT_NAME, make_certificate
from jujuberun.standin_fabric import SprayPort
from jujuberun.standin_fleet import Fleet, find_port
from jujuberun.standin_manifest import DOMAINS
from jujuberun.standin_platform import Platform
from jujuberun.standin_target import Behaviour, TargetStandin

MEAL, LABEL = ServiceId("meal-change"), ServiceId("label")
BALANCERS = 2
CALLERS = 4  # of each service
PERIOD_S = 0.08  # between two requests of a caller
PHASE_S = 2.0
WORK_S = 0.02
TIMEOUT_S = 10.0


class Demo:
    """Runs the fleet, sends requests and counts what became of them."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.counts: Counter[str] = Counter()
        self._folder = folder
        self._rng = random.Random(seed)
        self._platform = Platform(("127.0.0.1", 0))
        self._standins: dict[TargetId, TargetStandin] = {}
        self._certificate = make_certificate()
        self._loading = True
        self._fleet: Fleet
        self._manifest: Manifest

    async def run(self) -> None:
        """Runs all phases; the counts then hold the result."""
        async with anyio.create_task_group() as group:
            await group.start(self._platform.run)
            self._fleet = Fleet(
                self._folder, self._rng.random(), self._platform.url
            )
            paths = self._certificate.write(self._folder)
            self._fleet.use_certificate(*paths)
            try:
                await self._start_fleet(group)
                await self._load(group)
            finally:
                self._fleet.stop()
            group.cancel_scope.cancel()
        for standin in self._standins.values():
            self.counts["run twice"] += len(standin.counts.list_doubles())

    async def _start_fleet(self, group: TaskGroup) -> None:
        targets = [
            await self._add_target(group, service, number)
            for service, count in ((MEAL, 3), (LABEL, 2))
            for number in range(1, count + 1)
        ]
        services = {}
        for number, name in enumerate((MEAL, LABEL)):
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
        show("Starting 2 balancers and 5 agents.")
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
        standin = TargetStandin(Behaviour(slots=2, work=WORK_S), service)
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

    async def _load(self, group: TaskGroup) -> None:
        tls = make_client_tls(DEFAULT_NAME, self._certificate.certificate)
        async with (
            Caller(
                tls, RetryBudget.from_config(), open_port=self._open_port
            ) as caller,
            anyio.create_task_group() as load,
        ):
            for service in self._manifest.services.values():
                for number in range(CALLERS):
                    load.start_soon(self._call, caller, service, number)
            await self._change(group)
            self._loading = False

    def _open_port(self, address: Address) -> SprayPort:
        return SprayPort.open(self._fleet.fabric)

    async def _call(
        self, caller: Caller, service: Service, number: int
    ) -> None:
        sequence = 0
        while self._loading:
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
            await anyio.sleep(PERIOD_S)

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

    async def _change(self, group: TaskGroup) -> None:
        show("Sending requests.")
        await anyio.sleep(PHASE_S)
        show("Adding a target by a new manifest.")
        target = await self._add_target(group, MEAL, 4)
        meal = self._manifest.services[MEAL]
        meal = replace(meal, targets=(*meal.targets, target.id))
        manifest = Manifest(
            Generation(2),
            {**self._manifest.services, MEAL: meal},
            {**self._manifest.targets, target.id: target},
        )
        self._publish(manifest)
        await anyio.to_thread.run_sync(
            self._fleet.start_agent, manifest, target.id
        )
        self._publish_vms()
        await anyio.sleep(PHASE_S)
        show("Stopping balancer entry-1 under load.")
        self._fleet.fabric.withdraw("entry-1")
        self._fleet.signal("entry-1", signal.SIGTERM)
        status = await anyio.to_thread.run_sync(
            self._fleet.wait, "entry-1", 15.0
        )
        self.counts["bad exits"] += status != 0
        await anyio.sleep(PHASE_S)
        show("Stopping agent meal-change-1 under load.")
        self._fleet.signal("agent-meal-change-1", signal.SIGTERM)
        status = await anyio.to_thread.run_sync(
            self._fleet.wait, "agent-meal-change-1", 15.0
        )
        self.counts["bad exits"] += status != 0
        await anyio.sleep(PHASE_S)


def show(line: str) -> None:
    """Prints a line at once."""
    print(line, flush=True)


def print_table(counts: Counter[str]) -> bool:
    """Prints the result and returns whether every promise held."""
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
    kept = counts["answered"] + counts["refused"] == counts["sent"]
    bad = ("broken", "wrong service", "run twice", "bad exits")
    held = kept and counts["answered"] > 0 and not any(map(counts.get, bad))
    print("\nEvery promise held." if held else "\nA promise was broken.")
    return held


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
