"""In-memory datagram path between callers and flows, on a virtual clock."""

import heapq
import random

import anyio
import trio
from trio.testing import MockClock

from jujuberun.caller import Caller
from jujuberun.first_packet import FirstPacket, FirstPacketRule
from jujuberun.ids import Outcome, Protocol, ServiceId, Urgency
from jujuberun.manifest import Service
from jujuberun.quic import make_client_tls
from jujuberun.standin_certificate import make_certificate
from jujuberun.streams import RequestFlow
from jujuberun.wire import make_reset
from jujuberun.work import WorkResult

CERTIFICATE = make_certificate()
ADDRESS = ("192.0.2.1", 443)


def make_service(name="meal-change"):
    return Service(
        ServiceId(name),
        ADDRESS,
        Urgency.NORMAL,
        0.5,
        Protocol.REQUEST,
        FirstPacket.from_config("quic"),
        (),
    )


def run_virtual(main):
    """Runs a test with a virtual clock that skips every wait."""
    # trio runs tasks in random order; the seed makes the order repeatable.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    clock = MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})


class FixedRetryBudget:
    """A retry budget that allows a fixed number of retries."""

    def __init__(self, retries=0):
        self.left = retries

    def record_request(self, now):
        pass

    def allow_retry(self, now):
        self.left -= 1
        return self.left >= 0


class EchoExecutor:
    """An executor that waits for `work` seconds and answers with the body."""

    def __init__(self, work=0.0):
        self.work = work
        self.ran = []
        self.cancelled = []

    async def execute(self, work, now):
        self.ran.append(work.id)
        try:
            await anyio.sleep(self.work)
        except BaseException:
            self.cancelled.append(work.id)
            raise
        return WorkResult(
            Outcome.ANSWERED, 200, work.path.encode() + b" " + work.body
        )


class _CallerPort:
    """A port of a caller that sends and receives through a path."""

    def __init__(self, path, address):
        self.path = path
        self.address = address
        self.inbox = []
        self.wake = anyio.Event()

    async def receive(self):
        while not self.inbox:
            self.wake = anyio.Event()
            await self.wake.wait()
        batch, self.inbox = self.inbox, []
        return batch

    def take(self, data):
        self.inbox.append((data, ADDRESS))
        self.wake.set()

    def send(self, data, address):
        self.path.transmit(self.path.find_flow(self), data)
        return True

    def close(self):
        pass


class LossyPath:
    """Loses, duplicates and reorders datagrams at random, with a fixed seed.

    Attributes:
        loss: probability that a datagram is lost.
        chaos: probability that a datagram is duplicated. If it is above 0,
            random delays also reorder datagrams.
        flows: the flow of each caller port.
        silent: ports whose datagrams are dropped in both directions.
        refuse: if not empty, reason of the reset that answers a new flow.
    """

    def __init__(self, group, executor, tls, seed=1, loss=0.0, chaos=0.0):
        self.group = group
        self.executor = executor
        self.tls = tls
        self.rng = random.Random(seed)
        self.loss = loss
        self.chaos = chaos
        self.flows = {}
        self.ports = []
        self.silent = set()
        self.refuse = ""
        self.queue = []
        self.count = 0
        self.wake = anyio.Event()
        self.scopes = []
        group.start_soon(self.run)

    def open_port(self, address):
        port = _CallerPort(self, ("198.51.100.1", 1024 + len(self.ports)))
        self.ports.append(port)
        return port

    def find_flow(self, port):
        def take(data):
            if port in self.silent:
                return
            flow = self.flows.get(port)
            reason = self.refuse
            if not FirstPacket(FirstPacketRule.QUIC).accepts(data):
                reason = "unknown-flow"
            if flow is None and reason:
                self.transmit(port.take, make_reset(reason, 50, data))
                return
            if flow is None:
                flow = self.flows[port] = RequestFlow(
                    make_service(),
                    lambda data: self.transmit(self.find_port(port), data),
                    self.executor,
                    self.tls,
                    anyio.current_time,
                )
                self.group.start_soon(self.run_flow, flow)
            flow.deliver(data, anyio.current_time())

        return take

    async def run_flow(self, flow):
        with anyio.CancelScope() as scope:
            self.scopes.append(scope)
            await flow.run()

    def restart(self, executor):
        """Ends all flows without sending anything, like a killed agent."""
        for flow in self.flows.values():
            flow._send = lambda data: None
        self.flows.clear()
        for scope in self.scopes:
            scope.cancel()
        self.executor = executor

    def find_port(self, port):
        def take(data):
            if port not in self.silent:
                port.take(data)

        return take

    def transmit(self, take, data):
        copies = 2 if self.rng.random() < self.chaos else 1
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            delay = 0.001 + self.rng.random() * 0.02 * (self.chaos > 0)
            self.count += 1
            at = anyio.current_time() + delay
            heapq.heappush(self.queue, (at, self.count, take, data))
        self.wake.set()

    async def run(self):
        while True:
            self.wake = anyio.Event()
            due = self.queue[0][0] if self.queue else float("inf")
            with anyio.CancelScope(deadline=due):
                await self.wake.wait()
            while self.queue and self.queue[0][0] <= anyio.current_time():
                _, _, take, data = heapq.heappop(self.queue)
                take(data)

    def make_caller(self, retries=0):
        return Caller(
            make_client_tls(CERTIFICATE.name, CERTIFICATE.certificate),
            FixedRetryBudget(retries),
            lambda attempt, rng, retry_after: max(0.01, retry_after),
            self.open_port,
            random.Random(7),
            anyio.current_time,
        )
