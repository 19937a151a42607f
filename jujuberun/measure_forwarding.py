"""Measures the balancer's forwarding path against a bare loop."""

import random
import socket
import statistics
import time

from jujuberun.balancer import Balancer
from jujuberun.cache import CacheBudget
from jujuberun.canonical import dump_manifest
from jujuberun.generations import Generations
from jujuberun.ids import FlowId
from jujuberun.limits import StartLimits
from jujuberun.listener import Listener
from jujuberun.measure import Options, Report, Row
from jujuberun.peers import Peers
from jujuberun.port import BATCH_PACKETS, SocketPort
from jujuberun.standin_manifest import make_manifest, make_target
from jujuberun.table import Table
from jujuberun.wire import Answer, Codec, Signer, pack_address

PAYLOAD_BYTES = 200
FLOWS = 1000
ROUNDS = 15
QUICK_ROUNDS = 3
PACKETS = 6400  # of one round
LOOKUPS = 20_000
TARGET_COUNTS = (7, 100, 900, 3600)
_BOUND = 0.5


class Bench:
    """One process with a balancer, callers and a sink on real sockets."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        manifest = make_manifest(1, 7)
        generations = Generations()
        generations.offer(dump_manifest(manifest), "platform", 0.0).unwrap()
        version = generations.current
        self.peers = Peers(
            SocketPort.bind(("127.0.0.1", 0)),
            Codec(Signer([b"k" * 16])),
        )
        self.balancer = Balancer(
            self.peers,
            generations,
            SocketPort.bind,
            {},
            StartLimits.from_config(self.rng),
        )
        self.listener = Listener(
            SocketPort.bind(("127.0.0.1", 0)),
            version.manifest.services["s-0"],
            version,
            CacheBudget(),
        )
        self.balancer.add_listener(self.listener)
        self.sink = SocketPort.bind(("127.0.0.1", 0))
        self.callers = [
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            for _ in range(FLOWS)
        ]
        for sock in self.callers:
            sock.bind(("127.0.0.1", 0))
        self.payload = self.rng.randbytes(PAYLOAD_BYTES)

    def close(self) -> None:
        """Closes all sockets."""
        for sock in self.callers:
            sock.close()
        self.listener.port.close()
        self.sink.close()

    def learn_owners(self) -> None:
        """Fills the flow cache as answers of the sink would."""
        for sock in self.callers:
            answer = Answer(
                "s-0",
                self.listener.packed,
                "t-0",
                pack_address(sock.getsockname()),
                b"",
            )
            self.balancer.handle_answer(answer, self.sink.address, 0.0)

    def fill(self) -> None:
        """Sends one batch of callers' packets to the listener."""
        address = self.listener.port.address
        for sock in self.rng.sample(self.callers, BATCH_PACKETS):
            sock.sendto(self.payload, address)

    def empty_sink(self) -> None:
        """Takes what the sink has received."""
        while self.sink.drain():
            pass

    def run_ours(self) -> float:
        """Returns seconds to receive and forward PACKETS packets."""
        spent = 0.0
        for _ in range(PACKETS // BATCH_PACKETS):
            self.fill()
            for peer in self.peers.list_peers():
                peer.note_heard(0.0)
            begun = time.perf_counter()
            batch = self.listener.port.drain()
            now_ms = time.time_ns() // 1_000_000
            self.balancer.forward(
                self.listener, batch, time.monotonic(), now_ms
            )
            spent += time.perf_counter() - begun
            self.empty_sink()
        return spent

    def run_misses(self) -> float:
        """Returns seconds for packets of flows that are not cached.

        They go to agents that are not there, so nothing receives them.
        """
        # Twice: the first only makes the flows old.
        self.listener.cache.age()
        self.listener.cache.age()
        return self.run_ours()

    def run_answers(self) -> float:
        """Returns seconds to receive PACKETS answers and send them on."""
        spent = 0.0
        codec = Codec(Signer([b"k" * 16]))
        for _ in range(PACKETS // BATCH_PACKETS):
            now_ms = time.time_ns() // 1_000_000
            for sock in self.rng.sample(self.callers, BATCH_PACKETS):
                answer = Answer(
                    "s-0",
                    self.listener.packed,
                    "t-0",
                    pack_address(sock.getsockname()),
                    self.payload,
                )
                data = codec.seal(answer, self.peers.address, now_ms)
                self.sink.send(data, self.peers.address)
            begun = time.perf_counter()
            now = time.monotonic()
            for datagram, sender in self.peers.port.drain():
                self.peers.accept(datagram, sender, now, now_ms)
            spent += time.perf_counter() - begun
        return spent

    def run_bare(self) -> float:
        """Returns seconds to receive and send the same without a balancer."""
        spent = 0.0
        receive = self.listener.port.socket.recvfrom
        send = self.sink.socket.sendto
        address = self.sink.address
        for _ in range(PACKETS // BATCH_PACKETS):
            self.fill()
            begun = time.perf_counter()
            for _ in range(BATCH_PACKETS):
                data, _ = receive(65_536)
                send(data, address)
            spent += time.perf_counter() - begun
            self.empty_sink()
        return spent


def measure_lookup(count: int, rng: random.Random) -> float:
    """Returns seconds of one look-up of candidates among count targets."""
    table = Table.from_targets(make_target(index) for index in range(count))
    flows = [FlowId(rng.randbytes(8)) for _ in range(LOOKUPS)]
    begun = time.perf_counter()
    for flow in flows:
        table.find_candidates(flow)
    return (time.perf_counter() - begun) / LOOKUPS


def measure(options: Options) -> Report:
    """Compares packets per second, and look-ups at four sizes."""
    bench = Bench(options.seed)
    ours, bare, answers, misses = [], [], [], []
    try:
        bench.learn_owners()
        bench.empty_sink()
        for number in range(QUICK_ROUNDS if options.quick else ROUNDS):
            options.progress(f"round {number + 1}")
            ours.append(PACKETS / bench.run_ours())
            bare.append(PACKETS / bench.run_bare())
            answers.append(PACKETS / bench.run_answers())
        for _ in ours:
            misses.append(PACKETS / bench.run_misses())
    finally:
        bench.close()
    mine, naive = statistics.median(ours), statistics.median(bare)
    met = mine >= _BOUND * naive
    rows = [Row("forwarding", mine, naive, "packets/s", "ratio >= 0.5", met)]
    for name, rates in (("answers", answers), ("flows not cached", misses)):
        median = statistics.median(rates)
        rows.append(Row(f"forwarding, {name}", median, naive, "packets/s"))
    times = {n: measure_lookup(n, bench.rng) for n in TARGET_COUNTS}
    for count, seconds in times.items():
        rows.append(
            Row(
                f"look-up among {count} targets, against 7",
                seconds * 1e6,
                times[TARGET_COUNTS[0]] * 1e6,
                "us",
            )
        )
    return Report("forwarding", options.seed, tuple(rows))
