"""Measures CPU time and memory of packet flows at balancers and agents."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from types import SimpleNamespace

from jujuberun.first_packet import FirstPacket, FirstPacketRule
from jujuberun.frames import KEY_BYTES, make_mark, make_tag
from jujuberun.ids import (
    Address,
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
    Manifest,
    PoolShare,
    Service,
)
from jujuberun.measure import Options, Report, Row, Series
from jujuberun.relay import Relay
from jujuberun.sidecar import Sidecar
from jujuberun.standin_packets import (
    CallbackPort,
    PlainCodec,
    RecordingPeers,
    pack_packet,
)
from jujuberun.vm_list import Registration, Vm, VmList
from jujuberun.wire import Accepted, Codec, Declined, Signer, pack_address

POOL_TARGET_COUNTS = (4, 15, 60, 240)
FLOWS = 4_000
QUICK_FLOWS = 200
REPEATS = 5
REQUEST_DATA = bytes(600)
POOL = PoolId("counts")
SERVICE_ADDRESS = ("198.18.0.1", 443)
IP_UDP_HEADERS_BYTES = 28
_BALANCER_ADDRESS = ("10.1.0.1", 8172)
_BALANCER_PEER = ("10.1.0.1", 7720)
_AGENT_ADDRESS = ("10.2.0.1", 8172)


def measure(options: Options) -> Report:
    """Measures CPU time per packet, memory per flow and sizes of messages.

    Args:
        options: seed, quick run, progress.
    """
    flows = QUICK_FLOWS if options.quick else FLOWS
    repeats = 2 if options.quick else REPEATS
    sizes = POOL_TARGET_COUNTS[:2] if options.quick else POOL_TARGET_COUNTS
    start_us, later_us = [], []
    for size in sizes:
        options.progress(f"{size} targets")
        pairs = [_time_balancer(size, flows) for _ in range(repeats)]
        start_us.append(statistics.median(pair[0] for pair in pairs))
        later_us.append(statistics.median(pair[1] for pair in pairs))
    agent_us = statistics.median(_time_agent(flows) for _ in range(repeats))
    rows = []
    for size, start, later in zip(sizes, start_us, later_us, strict=True):
        rows.append(_make_row(f"balancer, start, {size} targets", start))
        rows.append(_make_row(f"balancer, later packet, {size} targets", later))
    rows.append(_make_row("agent, start, request and their answers", agent_us))
    rows.append(_measure_flow_memory(flows))
    rows += _measure_message_sizes()
    series = (
        Series("start", tuple(map(float, sizes)), tuple(start_us)),
        Series("later packet", tuple(map(float, sizes)), tuple(later_us)),
    )
    return Report(
        "packets",
        options.seed,
        tuple(rows),
        series=series,
        x_label="targets of a pool",
        y_label="processor time, us",
    )


def _make_row(name: str, value: float, unit: str = "us") -> Row:
    return Row(name, round(value, 2), None, unit)


def _make_relay(size: int, port: CallbackPort, peers: RecordingPeers) -> Relay:
    members = SimpleNamespace(text=b"x", position=1)
    generations = SimpleNamespace(position=1)
    relay = Relay(
        port, PlainCodec(), peers, generations, members, DomainId("a"), 100_000
    )
    service = Service(
        id=ServiceId("r-1"),
        address=SERVICE_ADDRESS,
        urgency=Urgency.NORMAL,
        headroom=1.0,
        protocol=Protocol.PACKET,
        first_packet=FirstPacket(FirstPacketRule.ANY),
        targets=(),
        pools=(PoolShare(POOL, 1),),
    )
    manifest = Manifest(Generation(1), {service.id: service}, {})
    relay.apply_version(SimpleNamespace(manifest=manifest), 0.0)
    vms = {}
    for number in range(size):
        host = f"10.2.{number // 250}.{number % 250}"
        target = Registration(POOL, (host, 8165), 1000, 0.0)
        name = VmId(f"t-{number}")
        vms[name] = Vm(
            name, Role.AGENT, (host, 8172), DomainId("a"), VmState.LIVE, target
        )
    relay.apply_vm_list(VmList(1, vms), 0.0)
    return relay


def _make_packets(flows: int, starts: bool) -> list[bytes]:
    service = pack_address(SERVICE_ADDRESS)
    return [
        pack_packet(
            pack_address((f"100.64.{n // 250}.{n % 250}", 40_000)) + service,
            starts,
            7,
            1,
            b"" if starts else REQUEST_DATA,
        )
        for n in range(flows)
    ]


def _time_balancer(size: int, flows: int) -> tuple[float, float]:
    """Returns the CPU time in us of a start packet and of a later packet.

    The later packets belong to flows that agents have confirmed.
    """
    offers: dict[bytes, Address] = {}
    port = CallbackPort(
        _BALANCER_ADDRESS,
        lambda data, agent: offers.setdefault(data[:KEY_BYTES], agent),
    )
    peers = RecordingPeers(_BALANCER_PEER)
    relay = _make_relay(size, port, peers)
    start_us = _time_packets(
        relay.forward, _make_packets(flows, True), _BALANCER_ADDRESS
    )
    for key, (host, _) in offers.items():
        accepted = Accepted(key, 0, 1, 30_000)
        peers.handlers[Accepted](accepted, (host, _BALANCER_PEER[1]), 1.0)
    later_us = _time_packets(
        relay.forward, _make_packets(flows, False), _BALANCER_ADDRESS
    )
    return start_us, later_us


def _time_agent(flows: int) -> float:
    """Returns the CPU time in us of an agent for a flow with one request."""
    peers = RecordingPeers(("10.2.0.1", 7720))
    sink = CallbackPort(_AGENT_ADDRESS, lambda data, address: None)
    sidecar = Sidecar(sink, sink, _AGENT_ADDRESS, POOL, PlainCodec(), peers)
    mark = make_mark(make_tag(POOL), 255, 255)
    codec = PlainCodec()
    total_us = 0.0
    for starts in (True, False):
        packets = [
            codec.set_mark(packet, mark)
            for packet in _make_packets(flows, starts)
        ]
        if starts:
            packets = [codec.add_pool(p, POOL.encode()) for p in packets]
        total_us += _time_packets(sidecar.deliver, packets, _BALANCER_ADDRESS)
        total_us += _time_packets(sidecar.send_back, packets, _AGENT_ADDRESS)
    return total_us


def _time_packets(
    handle_batch: Callable[[list, float], None],
    packets: list[bytes],
    sender: tuple,
) -> float:
    """Returns the CPU time in us per packet.

    The packets are handled in batches, as a socket delivers them.
    """
    batches = [
        [(packet, sender) for packet in packets[at : at + 16]]
        for at in range(0, len(packets), 16)
    ]
    gc.collect()
    started = time.process_time()
    for batch in batches:
        handle_batch(batch, 1.0)
    return (time.process_time() - started) / len(packets) * 1e6


def _measure_flow_memory(flows: int) -> Row:
    port = CallbackPort(_BALANCER_ADDRESS, lambda data, agent: None)
    peers = RecordingPeers(_BALANCER_PEER)
    relay = _make_relay(POOL_TARGET_COUNTS[0], port, peers)
    packets = [
        (packet, _BALANCER_ADDRESS) for packet in _make_packets(flows, True)
    ]
    tracemalloc.start()
    relay.forward(packets, 1.0)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return _make_row("balancer, memory of a flow", used_bytes / flows, "bytes")


def _measure_message_sizes() -> list[Row]:
    codec = Codec(Signer((b"0" * 16,)))
    key = bytes(12)
    messages = (
        Accepted(key, 1 << 31, 2, 30_000),
        Declined(key, 2, 30_000, False),
    )
    return [
        _make_row(
            f"{type(message).__name__} on the wire",
            len(codec.seal(message, _BALANCER_ADDRESS, 0))
            + IP_UDP_HEADERS_BYTES,
            "bytes",
        )
        for message in messages
    ]
