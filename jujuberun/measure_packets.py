"""Measures what a packet flow costs a balancer and an agent."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from types import SimpleNamespace

from jujuberun.frames import make_mark, make_tag
from jujuberun.ids import (
    DomainId,
    Generation,
    PoolId,
    Protocol,
    Role,
    ServiceId,
    Urgency,
    VmId,
    VmState,
)
from jujuberun.manifest import (
    FirstPacket,
    FirstPacketRule,
    Manifest,
    PoolShare,
    Service,
)
from jujuberun.measure import Options, Report, Row, Series
from jujuberun.members import Registration, Vm, VmList
from jujuberun.relay import Relay
from jujuberun.sidecar import Sidecar
from jujuberun.standin_packets import (
    PlainCodec,
    SinkPeers,
    SinkPort,
    pack_packet,
)
from jujuberun.wire import Accepted, Codec, Declined, Signer, pack_address

SIZES = (4, 15, 60, 240)  # targets of a pool
FLOWS = 4_000
QUICK_FLOWS = 200
REPEATS = 5
DATA = bytes(600)
POOL = PoolId("counts")
ADDRESS = ("198.18.0.1", 443)
HEADERS_BYTES = 28  # IP and UDP
_BALANCER = ("10.1.0.1", 8172)
_AGENT = ("10.2.0.1", 8172)


def measure(options: Options) -> Report:
    """Runs the measurement."""
    flows = QUICK_FLOWS if options.quick else FLOWS
    repeats = 2 if options.quick else REPEATS
    sizes = SIZES[:2] if options.quick else SIZES
    starts, later = [], []
    for size in sizes:
        options.progress(f"{size} targets")
        pairs = [_time_balancer(size, flows) for _ in range(repeats)]
        starts.append(statistics.median(pair[0] for pair in pairs))
        later.append(statistics.median(pair[1] for pair in pairs))
    agent = statistics.median(_time_agent(flows) for _ in range(repeats))
    rows = []
    for size, start, packet in zip(sizes, starts, later, strict=True):
        rows.append(_row(f"balancer, start, {size} targets", start))
        rows.append(_row(f"balancer, later packet, {size} targets", packet))
    rows.append(_row("agent, start, request and their answers", agent))
    rows.append(_measure_entry(flows))
    rows += _measure_messages()
    series = (
        Series("start", tuple(map(float, sizes)), tuple(starts)),
        Series("later packet", tuple(map(float, sizes)), tuple(later)),
    )
    return Report(
        "packets",
        options.seed,
        tuple(rows),
        series=series,
        x_label="targets of a pool",
        y_label="processor time, us",
    )


def _row(name: str, value: float, unit: str = "us") -> Row:
    return Row(name, round(value, 2), None, unit)


def _make_relay(size: int) -> Relay:
    members = SimpleNamespace(text=b"x", position=1)
    generations = SimpleNamespace(position=1)
    port = SinkPort(_BALANCER, lambda data, address: None)
    peers = SinkPeers(("10.1.0.1", 7720))
    relay = Relay(
        port, PlainCodec(), peers, generations, members, DomainId("a"), 100_000
    )
    service = Service(
        id=ServiceId("r-1"),
        address=ADDRESS,
        urgency=Urgency.NORMAL,
        headroom=1.0,
        protocol=Protocol.PACKET,
        first_packet=FirstPacket(FirstPacketRule.ANY),
        targets=(),
        pools=(PoolShare(POOL, 1),),
    )
    manifest = Manifest(Generation(1), {service.id: service}, {})
    relay.take_version(SimpleNamespace(manifest=manifest), 0.0)
    vms = {}
    for number in range(size):
        host = f"10.2.{number // 250}.{number % 250}"
        target = Registration(POOL, (host, 8165), 1000, 0.0)
        name = VmId(f"t-{number}")
        vms[name] = Vm(
            name, Role.AGENT, (host, 8172), DomainId("a"), VmState.LIVE, target
        )
    relay.take_targets(VmList(1, vms), 0.0)
    return relay


def _make_packets(flows: int, starts: bool) -> list[bytes]:
    service = pack_address(ADDRESS)
    return [
        pack_packet(
            pack_address((f"100.64.{n // 250}.{n % 250}", 40_000)) + service,
            starts,
            7,
            1,
            b"" if starts else DATA,
        )
        for n in range(flows)
    ]


def _time_balancer(size: int, flows: int) -> tuple[float, float]:
    """Returns the us of a start and of a later packet."""
    relay = _make_relay(size)
    start = _time(relay.carry, _make_packets(flows, True), _BALANCER)
    later = _time(relay.carry, _make_packets(flows, False), _BALANCER)
    return start, later


def _time_agent(flows: int) -> float:
    """Returns the us that one flow with one request takes an agent."""
    peers = SinkPeers(("10.2.0.1", 7720))
    sink = SinkPort(_AGENT, lambda data, address: None)
    sidecar = Sidecar(sink, sink, _AGENT, POOL, PlainCodec(), peers)
    mark = make_mark(make_tag(POOL), 255, 255)
    codec = PlainCodec()
    total = 0.0
    for starts in (True, False):
        packets = [
            codec.set_mark(packet, mark)
            for packet in _make_packets(flows, starts)
        ]
        total += _time(sidecar.deliver, packets, _BALANCER)
        total += _time(sidecar.send_back, packets, _AGENT)
    return total


def _time(
    carry: Callable[[list, float], None], packets: list[bytes], sender: tuple
) -> float:
    """Returns the us that one packet takes, in batches as from a socket."""
    batches = [
        [(packet, sender) for packet in packets[at : at + 16]]
        for at in range(0, len(packets), 16)
    ]
    gc.collect()
    begun = time.process_time()
    for batch in batches:
        carry(batch, 1.0)
    return (time.process_time() - begun) / len(packets) * 1e6


def _measure_entry(flows: int) -> Row:
    relay = _make_relay(SIZES[0])
    packets = [(packet, _BALANCER) for packet in _make_packets(flows, True)]
    tracemalloc.start()
    relay.carry(packets, 1.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return _row("balancer, memory of a flow", used / flows, "bytes")


def _measure_messages() -> list[Row]:
    codec = Codec(Signer((b"0" * 16,)))
    key = bytes(12)
    messages = (
        Accepted(key, 1 << 31, 2, 30_000),
        Declined(key, 2, 30_000, False),
    )
    return [
        _row(
            f"{type(message).__name__} on the wire",
            len(codec.seal(message, _BALANCER, 0)) + HEADERS_BYTES,
            "bytes",
        )
        for message in messages
    ]
