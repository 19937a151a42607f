"""Datagram network in memory, on a virtual clock."""

import heapq
import random
from types import SimpleNamespace
from unittest import mock

import anyio
import trio
from trio.testing import MockClock

from jujuberun.standin_echo import answer


def run_virtual(main):
    """Runs a test with virtual monotonic and wall clocks."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    options = {"clock": MockClock(autojump_threshold=0)}
    wall = SimpleNamespace(
        time_ns=lambda: int((1e6 + anyio.current_time()) * 1e9)
    )
    with mock.patch("jujuberun.wire.time", wall):
        return anyio.run(main, backend="trio", backend_options=options)


class MemoryPort:
    """A Port whose packets wait while its process is paused."""

    def __init__(self, net, process, address):
        self.net, self.process, self.address = net, process, address
        self.inbox = []
        self.new_data = anyio.Event()

    async def receive(self, limit=64):
        while not self.inbox or self.process in self.net.held_packets:
            self.new_data = anyio.Event()
            await self.new_data.wait()
        batch, self.inbox = self.inbox[:limit], self.inbox[limit:]
        return batch

    async def serve(self, handle):
        while True:
            batch = await self.receive()
            handle(batch, anyio.current_time())

    def receive_datagram(self, data, sender):
        self.inbox.append((data, sender))
        self.new_data.set()

    def send(self, data, address):
        if self.net.ports.get((self.process, self.address)) is self:
            self.net.send(self, data, address)
        return True

    def send_batch(self, batch):
        for data, address in batch:
            self.send(data, address)

    def close(self):
        self.net.ports.pop((self.process, self.address), None)


class Network:
    """Delivers datagrams, with seeded loss, duplication and delay.

    Links between processes can be cut, and processes can be paused or killed.
    """

    def __init__(self, group, seed=1, loss=0.0, copies=0.0, jitter=0.0):
        self.group, self.rng = group, random.Random(seed)
        self.loss, self.copies, self.jitter = loss, copies, jitter
        self.ports, self.hosts, self.processes = {}, {}, {}
        self.callers, self.reply_paths, self.echo_targets = {}, {}, {}
        self.held_packets, self.opened, self.delivered = {}, [], []
        self.is_cut = lambda sender, receiver: False
        self.incarnations = self.flow_ports = self.transmissions = 0
        self.queue, self.queue_changed = [], anyio.Event()
        group.start_soon(self._run)

    @property
    def now(self):
        return anyio.current_time()

    def open(self, process, address):
        port = MemoryPort(self, process, address)
        self.ports[process, address] = port
        return port

    def send(self, port, data, address):
        if port.process in self.held_packets:
            self.held_packets[port.process].append((port, data, address))
        elif address in self.callers:
            self._transmit(
                self.callers[address].receive_datagram, data, port.address
            )
        elif address in self.echo_targets:
            self._echo_datagram(port, data, address)
        elif address in self.hosts:
            name = self.hosts[address]
            if not self.is_cut(port.process, name):
                self._transmit((name, address), data, port.address)

    def send_from_caller(self, caller, data, balancer=None):
        live = [n for n in self.processes if n.startswith("entry")]
        name = balancer or self.rng.choice(live)
        self._transmit((name, caller.address), data, caller.source)

    def send_from_target(self, caller, data):
        """Sends a datagram from the target that answers no request."""
        for receive, name in self.reply_paths[caller.id]:
            receive(data + name, None)

    def _echo_datagram(self, port, data, address):
        name, state = self.echo_targets[address]
        source = (port.process, port.address)
        self.delivered.append((anyio.current_time(), data[:1], data[1:9], name))
        reply = answer(state, name.encode(), data, source)
        if data[:1] == b"S":
            entry = (port.receive_datagram, name.encode())
            self.reply_paths.setdefault(data[1:9], []).append(entry)
        port.receive_datagram(reply, address)

    def _transmit(self, receiver, data, sender):
        for _ in range(1 + (self.rng.random() < self.copies)):
            if self.rng.random() < self.loss:
                continue
            at = anyio.current_time() + 0.001
            at += self.rng.random() * self.jitter
            self.transmissions += 1
            item = (at, self.transmissions, receiver, data, sender)
            heapq.heappush(self.queue, item)
        self.queue_changed.set()

    async def _run(self):
        while True:
            self.queue_changed = anyio.Event()
            due = self.queue[0][0] if self.queue else float("inf")
            with anyio.CancelScope(deadline=due):
                await self.queue_changed.wait()
            while self.queue and self.queue[0][0] <= anyio.current_time():
                _, _, receiver, data, sender = heapq.heappop(self.queue)
                if isinstance(receiver, tuple):
                    port = self.ports.get(receiver)
                    receiver = port.receive_datagram if port else None
                if receiver is not None:
                    receiver(data, sender)

    def kill(self, name):
        """Ends a process without notice to its peers."""
        for key in [key for key in self.ports if key[0] == name]:
            del self.ports[key]
        self.processes.pop(name).scope.cancel()

    async def pause(self, name, seconds):
        """Delays all packets of a process, as if it were paused."""
        self.held_packets[name] = []
        await anyio.sleep(seconds)
        held_packets = self.held_packets.pop(name)
        self.processes[name].peers.note_pause(anyio.current_time())
        for port, data, address in held_packets:
            port.send(data, address)
        for key, port in self.ports.items():
            if key[0] == name:
                port.new_data.set()
