"""Measures flows broken by planned changes and by a lost balancer."""

import collections
import select
import signal
import socket
import tempfile
import time
from dataclasses import dataclass, replace
from pathlib import Path

from jujuberun.addresses import format_address
from jujuberun.first_packet import FirstPacket, FirstPacketRule
from jujuberun.ids import (
    Address,
    DomainId,
    Generation,
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
from jujuberun.measure import Options, Report, Row
from jujuberun.standin_echo import DATA, START, UNKNOWN_FLOW
from jujuberun.standin_fabric import Fabric
from jujuberun.standin_fleet import DaemonFleet, find_port
from jujuberun.standin_manifest import DOMAINS
from jujuberun.wire import parse_reset

FLOWS = 14_000
QUICK_FLOWS = 700
OPEN_RATE = 2000.0  # flows per second
DATA_PERIOD_S = 4.0  # between two datagrams of a flow
RESEND_S = 0.5
# A flow counts as broken after this time without an answer, despite resending.
BROKEN_AFTER_S = 10.0
PHASE_S = 7.0
QUICK_PHASE_S = 2.0
_CALLER_HOST_COUNT = 16
MEAL, LABEL = ServiceId("meal-change"), ServiceId("label")


@dataclass(slots=True)
class EchoFlow:
    """A flow of a caller, with at most one unanswered datagram."""

    number: int
    sock: socket.socket
    address: Address
    expected: frozenset[str]
    sequence: int = 0
    waiting: bool = False
    first_sent: float = 0.0
    sent: float = 0.0
    broken: str = ""  # reason, empty for a flow that is not broken

    def make_datagram(self) -> bytes:
        """Returns the bytes of the current datagram."""
        kind = DATA if self.sequence else START
        number = self.number.to_bytes(8, "big")
        return kind + number + self.sequence.to_bytes(4, "big")


class Callers:
    """Callers that drive many flows through the fabric from one process."""

    def __init__(self, fabric: Fabric) -> None:
        self.flows: dict[int, EchoFlow] = {}
        self.sent = 0
        self.answered = 0
        self.resent = 0
        self.wrong_service = 0
        self._fabric = fabric
        self._poll = select.epoll()
        self._idle: collections.deque[EchoFlow] = collections.deque()
        self._unanswered: collections.deque[EchoFlow] = collections.deque()

    def open(self, address: Address, expected: frozenset[str]) -> None:
        """Opens a flow and sends its start datagram."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        number = len(self.flows)
        # One loopback address has too few ports for all callers and agents.
        sock.bind((f"127.0.4.{1 + number % _CALLER_HOST_COUNT}", 0))
        flow = EchoFlow(number, sock, address, expected)
        self.flows[sock.fileno()] = flow
        self._poll.register(sock, select.EPOLLIN)
        self._send_new(flow, time.monotonic())

    def run(self, seconds: float) -> None:
        """Sends and receives datagrams for a number of seconds."""
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            self._send_due(now)
            self._resend(now)
            for number, _ in self._poll.poll(0.005, 512):
                self._receive(self.flows[number])

    def finish_outstanding(self, limit: float) -> None:
        """Resends until all flows have answers, for limit seconds at most."""
        self._idle.clear()
        end = time.monotonic() + limit
        while (now := time.monotonic()) < end:
            self._resend(now)
            for number, _ in self._poll.poll(0.005, 512):
                self._receive(self.flows[number])
            self._idle.clear()
            if not any(f.waiting for f in self.flows.values()):
                return

    def close(self) -> None:
        """Closes all sockets."""
        for flow in self.flows.values():
            flow.sock.close()
        self._poll.close()

    def count_broken(self) -> int:
        """Returns the number of flows that broke."""
        return sum(1 for flow in self.flows.values() if flow.broken)

    def _send_new(self, flow: EchoFlow, now: float) -> None:
        flow.waiting = True
        flow.first_sent = now
        self._send(flow, now)

    def _send(self, flow: EchoFlow, now: float) -> None:
        flow.sent = now
        self.sent += 1
        self._unanswered.append(flow)
        local = self._fabric.choose(flow.address)
        if local is not None:
            flow.sock.sendto(flow.make_datagram(), local)

    def _send_due(self, now: float) -> None:
        while self._idle and now - self._idle[0].sent >= DATA_PERIOD_S:
            flow = self._idle.popleft()
            if not flow.broken:
                self._send_new(flow, now)

    def _resend(self, now: float) -> None:
        while self._unanswered and now - self._unanswered[0].sent >= RESEND_S:
            flow = self._unanswered.popleft()
            if not flow.waiting or now - flow.sent < RESEND_S:
                continue
            if now - flow.first_sent > BROKEN_AFTER_S:
                self._mark_broken(flow, "silent")
                continue
            self.resent += 1
            self._send(flow, now)

    def _mark_broken(self, flow: EchoFlow, reason: str) -> None:
        flow.broken = flow.broken or reason
        flow.waiting = False

    def _receive(self, flow: EchoFlow) -> None:
        data = flow.sock.recv(65_536)
        reset = parse_reset(data)
        if reset is not None:
            self._mark_broken(flow, reset.reason)
            return
        kind, number = data[:1], int.from_bytes(data[1:9], "big")
        sequence, name = int.from_bytes(data[9:13], "big"), data[13:].decode()
        if name not in flow.expected or number != flow.number:
            self.wrong_service += 1
            return
        if kind == UNKNOWN_FLOW:
            self._mark_broken(flow, "state lost")
            return
        if not flow.waiting or sequence != flow.sequence:
            return
        flow.waiting = False
        flow.sequence += 1
        self.answered += 1
        self._idle.append(flow)


def make_manifest(limit: int = 2000) -> Manifest:
    """Builds the Montreal manifest on free loopback ports.

    Args:
        limit: connection limit of each target.
    """
    targets = {}
    for name, count in (("meal", 7), ("label", 4)):
        for index in range(1, count + 1):
            target = make_target(f"{name}-{index}", index, limit)
            targets[target.id] = target
    rule = FirstPacket(FirstPacketRule.PREFIX, START)
    services = {}
    for number, (name, prefix) in enumerate(((MEAL, "meal"), (LABEL, "label"))):
        services[name] = Service(
            id=name,
            address=(f"198.51.100.{number + 1}", 20_000 + find_port() % 9000),
            urgency=Urgency.URGENT,
            headroom=1.0,
            protocol=Protocol.DATAGRAM,
            first_packet=rule,
            targets=tuple(n for n in targets if n.startswith(prefix)),
        )
    return Manifest(Generation(1), services, targets)


def make_target(name: str, index: int, limit: int) -> Target:
    """Builds a target on free loopback ports."""
    host = f"127.0.3.{index}"
    return Target(
        id=TargetId(name),
        address=(host, find_port(host)),
        agent=(host, find_port(host)),
        domain=DomainId(DOMAINS[index % len(DOMAINS)]),
        slots=2,
        connection_limit=limit,
    )


def replace_services(manifest: Manifest, **services: Service) -> Manifest:
    """Returns the next generation with some services replaced."""
    known = dict(manifest.services)
    for service in services.values():
        known[service.id] = service
    return Manifest(
        Generation(manifest.generation + 1), known, dict(manifest.targets)
    )


class BrokenFlowsRun:
    """A run of all phases of the measurement.

    Attributes:
        fleet: processes of the run.
        callers: callers with their flows.
        manifest: manifest that was published last.
        rows: rows measured so far.
    """

    def __init__(self, folder: Path, options: Options) -> None:
        self._options = options
        self._flows = QUICK_FLOWS if options.quick else FLOWS
        self._phase_s = QUICK_PHASE_S if options.quick else PHASE_S
        self.fleet = DaemonFleet(folder, options.seed)
        self.callers = Callers(self.fleet.fabric)
        self.manifest = make_manifest()
        self._spare = make_target("meal-8", 8, 2000)
        self.rows: list[Row] = []

    def run(self) -> None:
        """Runs all phases and ends all processes."""
        try:
            self.start()
            self._open_flows()
            self._run_phase("held, no change", lambda: None)
            self._run_phase("target added", self._add_target)
            self._run_phase("target drained", self._drain_target)
            self._run_phase("address moved", self._move_address)
            self._run_phase("balancer restarted", self._restart_balancer)
            self._run_phase("balancer lost", self._lose_balancer)
            self.callers.finish_outstanding(BROKEN_AFTER_S + 2)
            self._report_totals()
        finally:
            self.stop()

    def stop(self) -> None:
        """Closes the flows and ends all processes."""
        self.callers.close()
        self.fleet.stop()

    def start(self) -> None:
        """Starts targets, agents and balancers."""
        targets = [*self.manifest.targets.values(), self._spare]
        # With four processes the echo stand-in is not the bottleneck.
        for number in range(4):
            self.fleet.start_module(
                f"echo-{number}",
                "standin_echo",
                *(
                    f"{t.id}={format_address(t.address)}"
                    for t in targets[number::4]
                ),
            )
        self.fleet.publish(self.manifest)
        for target in self.manifest.targets:
            self.fleet.start_agent(self.manifest, target)
        for number in range(1, 5):
            self.fleet.start_balancer(number)
        time.sleep(1.0)

    def _open_flows(self) -> None:
        self._options.progress(f"opening {self._flows} flows")
        meal = self._flows * 5 // 7
        for index in range(self._flows):
            self.open_flow(MEAL if index < meal else LABEL)
            if index % 20 == 19:
                self.callers.run(20 / OPEN_RATE)
        self.callers.run(2.0)

    def open_flow(self, name: ServiceId) -> None:
        """Opens a flow to a service."""
        service = self.manifest.services[name]
        self.callers.open(service.address, frozenset(service.targets))

    def _run_phase(self, name: str, action: collections.abc.Callable) -> None:
        self._options.progress(name)
        broken = self.callers.count_broken()
        action()
        self.callers.run(self._phase_s)
        count = self.callers.count_broken() - broken
        self.rows.append(
            Row(f"broken: {name}", count, None, "flows", "0", count == 0)
        )

    def _publish(self, manifest: Manifest) -> None:
        self.manifest = manifest
        self.fleet.publish(manifest)

    def _add_target(self) -> None:
        meal = self.manifest.services[MEAL]
        names = (*meal.targets, self._spare.id)
        manifest = replace_services(
            self.manifest, meal=replace(meal, targets=names)
        )
        manifest.targets[self._spare.id] = self._spare
        self._publish(manifest)
        self.fleet.start_agent(manifest, self._spare.id)
        for flow in self.callers.flows.values():
            if flow.address == meal.address:
                flow.expected |= {self._spare.id}

    def _drain_target(self) -> None:
        meal = self.manifest.services[MEAL]
        names = tuple(n for n in meal.targets if n != "meal-3")
        self._publish(
            replace_services(self.manifest, meal=replace(meal, targets=names))
        )

    def _move_address(self) -> None:
        meal = self.manifest.services[MEAL]
        label = self.manifest.services[LABEL]
        self._publish(
            replace_services(
                self.manifest,
                meal=replace(meal, address=label.address),
                label=replace(label, address=meal.address),
            )
        )
        # New flows start once the change is in force on all daemons.
        self.callers.run(min(5.0, self._phase_s))
        for name in (MEAL, LABEL):
            for _ in range(self._flows // 40):
                self.open_flow(name)

    def _restart_balancer(self) -> None:
        name = "entry-1"
        self.fleet.fabric.withdraw(name)
        self.fleet.signal(name, signal.SIGTERM)
        self.callers.run(1.0)
        status = self.fleet.wait(name, 10.0)
        self.rows.append(
            Row("exit status of it", status, None, "", "0", status == 0)
        )
        self.fleet.start_balancer(1)

    def _lose_balancer(self) -> None:
        self.fleet.signal("entry-2", signal.SIGKILL)
        self.callers.run(1.0)
        self.fleet.fabric.withdraw("entry-2")

    def _report_totals(self) -> None:
        callers = self.callers
        wrong = callers.wrong_service
        broken = callers.count_broken()
        reasons = collections.Counter(
            f.broken for f in callers.flows.values() if f.broken
        )
        self.rows.extend(
            [
                Row("flows", len(callers.flows), None, "flows"),
                Row("datagrams sent", callers.sent, None, "datagrams"),
                Row("answered", callers.answered, None, "datagrams"),
                Row("sent again", callers.resent, None, "datagrams"),
                Row("wrong service", wrong, None, "datagrams", "0", wrong == 0),
                Row("broken in all", broken, None, "flows", "0", broken == 0),
            ]
        )
        for reason, count in reasons.items():
            self._options.progress(f"broken by {reason}: {count}")


def measure(options: Options) -> Report:
    """Keeps flows open through four balancers during all changes."""
    with tempfile.TemporaryDirectory() as folder:
        run = BrokenFlowsRun(Path(folder), options)
        run.run()
    return Report("broken-flows", options.seed, tuple(run.rows))
