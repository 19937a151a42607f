"""Compares the forwarding path of the balancer with a bare socket loop."""

import random
import socket
import statistics
import time

from jujuberun.balancer import Balancer
from jujuberun.cache import CacheBudget
from jujuberun.candidate_table import CandidateTable
from jujuberun.canonical import dump_manifest
from jujuberun.generations import Generations
from jujuberun.ids import FlowId
from jujuberun.listener import Listener
from jujuberun.measure import Options, Report, Row
from jujuberun.peers import Peers
from jujuberun.port import BATCH_PACKETS, SocketPort
from jujuberun.standin_manifest import make_manifest, make_target
from jujuberun.start_limits import StartLimits
from jujuberun.wire import Answer, Codec, Signer, pack_address

PAYLOAD_BYTES = 200
FLOWS = 1000
ROUNDS = 15
QUICK_ROUNDS = 3
PACKETS_PER_ROUND = 6400
LOOKUPS = 20_000
TARGET_COUNTS = (7, 100, 900, 3600)
_MIN_RATIO = 0.5


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

    def fill_flow_cache(self) -> None:
        """Fills the flow cache from answers that the sink could have sent."""
        for sock in self.callers:
            answer = Answer(
                "s-0",
                self.listener.packed_address,
                "t-0",
                pack_address(sock.getsockname()),
                b"",
            )
            self.balancer.handle_answer(answer, self.sink.address, 0.0)

    def send_caller_batch(self) -> None:
        """Sends one batch of callers' packets to the listener."""
        address = self.listener.port.address
        for sock in self.rng.sample(self.callers, BATCH_PACKETS):
            sock.sendto(self.payload, address)

    def empty_sink_buffer(self) -> None:
        """Discards the packets that the sink has received."""
        while self.sink.read_available():
            pass

    def time_forwarding(self) -> float:
        """Returns the seconds to receive and forward the packets of a round."""
        spent = 0.0
        for _ in range(PACKETS_PER_ROUND // BATCH_PACKETS):
            self.send_caller_batch()
            for peer in self.peers.list_peers():
                peer.note_received(0.0)
            started = time.perf_counter()
            batch = self.listener.port.read_available()
            now_ms = time.time_ns() // 1_000_000
            self.balancer.forward(
                self.listener, batch, time.monotonic(), now_ms
            )
            spent += time.perf_counter() - started
            self.empty_sink_buffer()
        return spent

    def time_uncached_forwarding(self) -> float:
        """Returns the seconds to forward packets whose flows are not cached.

        The packets go to addresses of agents that do not run, so nothing
        receives them.
        """
        # The first call only marks the cached flows as old; the second drops
        # them.
        self.listener.cache.age()
        self.listener.cache.age()
        return self.time_forwarding()

    def time_answers(self) -> float:
        """Returns the seconds to receive and forward the answers of a round."""
        spent = 0.0
        codec = Codec(Signer([b"k" * 16]))
        for _ in range(PACKETS_PER_ROUND // BATCH_PACKETS):
            now_ms = time.time_ns() // 1_000_000
            for sock in self.rng.sample(self.callers, BATCH_PACKETS):
                answer = Answer(
                    "s-0",
                    self.listener.packed_address,
                    "t-0",
                    pack_address(sock.getsockname()),
                    self.payload,
                )
                data = codec.seal(answer, self.peers.address, now_ms)
                self.sink.send(data, self.peers.address)
            started = time.perf_counter()
            now = time.monotonic()
            for datagram, sender in self.peers.port.read_available():
                self.peers.accept(datagram, sender, now, now_ms)
            spent += time.perf_counter() - started
        return spent

    def time_bare_loop(self) -> float:
        """Returns the seconds of a bare socket loop for a round.

        The loop receives and sends the same packets without a balancer.
        """
        spent = 0.0
        receive = self.listener.port.socket.recvfrom
        send = self.sink.socket.sendto
        address = self.sink.address
        for _ in range(PACKETS_PER_ROUND // BATCH_PACKETS):
            self.send_caller_batch()
            started = time.perf_counter()
            for _ in range(BATCH_PACKETS):
                data, _ = receive(65_536)
                send(data, address)
            spent += time.perf_counter() - started
            self.empty_sink_buffer()
        return spent


def time_lookup(count: int, rng: random.Random) -> float:
    """Returns the seconds of one look-up of candidates among count targets."""
    table = CandidateTable.from_targets(
        make_target(index) for index in range(count)
    )
    flows = [FlowId(rng.randbytes(8)) for _ in range(LOOKUPS)]
    started = time.perf_counter()
    for flow in flows:
        table.find_candidates(flow)
    return (time.perf_counter() - started) / LOOKUPS


def measure(options: Options) -> Report:
    """Compares packets per second, and look-ups among four numbers of targets.

    Args:
        options: seed, quick run, progress.
    """
    bench = Bench(options.seed)
    cached_rates, bare_rates, answer_rates, uncached_rates = [], [], [], []
    try:
        bench.fill_flow_cache()
        bench.empty_sink_buffer()
        for number in range(QUICK_ROUNDS if options.quick else ROUNDS):
            options.progress(f"round {number + 1}")
            cached_rates.append(PACKETS_PER_ROUND / bench.time_forwarding())
            bare_rates.append(PACKETS_PER_ROUND / bench.time_bare_loop())
            answer_rates.append(PACKETS_PER_ROUND / bench.time_answers())
        for _ in cached_rates:
            uncached_rates.append(
                PACKETS_PER_ROUND / bench.time_uncached_forwarding()
            )
    finally:
        bench.close()
    ours, naive = statistics.median(cached_rates), statistics.median(bare_rates)
    met = ours >= _MIN_RATIO * naive
    rows = [Row("forwarding", ours, naive, "packets/s", "ratio >= 0.5", met)]
    for name, rates in (
        ("answers", answer_rates),
        ("flows not cached", uncached_rates),
    ):
        median = statistics.median(rates)
        rows.append(Row(f"forwarding, {name}", median, naive, "packets/s"))
    lookup_s = {n: time_lookup(n, bench.rng) for n in TARGET_COUNTS}
    for count, seconds in lookup_s.items():
        rows.append(
            Row(
                f"look-up among {count} targets, against 7",
                seconds * 1e6,
                lookup_s[TARGET_COUNTS[0]] * 1e6,
                "us",
            )
        )
    return Report("forwarding", options.seed, tuple(rows))
