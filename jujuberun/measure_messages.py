"""Measures sizes of messages, and the CPU cost of messages and tables."""

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any

from jujuberun.candidate_table import CandidateTable
from jujuberun.directory import Directory
from jujuberun.ids import DomainId, FlowId, ServiceId, TargetId
from jujuberun.linear_fit import LinearFit
from jujuberun.manifest import Target
from jujuberun.measure import Options, Report, Row, Series
from jujuberun.service_view import MAX_REPORTS
from jujuberun.standin_manifest import make_target
from jujuberun.standin_peers import UDP_OVERHEAD_BYTES
from jujuberun.wire import (
    Answer,
    Claim,
    ClaimReply,
    Codec,
    FlowRecord,
    Forward,
    Grant,
    Hint,
    Load,
    Loads,
    Probe,
    ProbeReply,
    Register,
    RegisterReply,
    Reserve,
    ReserveReply,
    Reset,
    Run,
    RunReply,
    Signer,
    Status,
    make_flow_id,
    pack_address,
)

DOMAIN_COUNT = 10
# In the full-size fleet, 3,600 targets belong to 4 of 980 services each. That
# makes 14.7 targets per service.
TARGETS_PER_SERVICE = 15
PAYLOAD_BYTES = (0, 100, 200, 400, 800, 1200)
REGISTER_FLOW_COUNTS = (1, 10, 50, 100, 200)
LOADS_REPORT_COUNTS = (1, 2, 4, MAX_REPORTS)
DIRECTORY_FLOW_COUNTS = (5_000, 10_000, 20_000, 40_000)
HOME_FLOW_COUNTS = (2_000, 4_000, 8_000, 16_000)
# The shortest of this many repeats counts, so that other load on the machine
# does not distort the fit: with 5, a fit on a busy machine had a residual of
# 132%.
REPEATS = 25
_NOW_MS = 1_700_000_000_000
_SERVICE = "service-0123"
_TARGETS = ("target-0123", "target-0456", "target-0789")
_ADDRESS = pack_address(("10.1.2.3", 7100))
_CALLER = pack_address(("198.51.100.7", 40_000))
_FLOW = make_flow_id(_ADDRESS, _CALLER)
_TOKEN = 1 << 40
_BODY = b"label 4711"
_HEADERS = ["content-type", "text/plain"]


@dataclass(frozen=True, slots=True)
class FittedQuantity:
    """A quantity measured at four or more sizes, with its linear fit."""

    name: str
    unit: str
    sizes: Sequence[float]
    values: Sequence[float]

    def fit(self) -> LinearFit:
        """Returns the line fitted to the points."""
        return LinearFit.from_points(list(self.sizes), list(self.values))

    def describe(self) -> str:
        """Returns the points, the line and the residual as text."""
        fit = self.fit()
        points = ", ".join(
            f"{size:g}: {value:.4g}"
            for size, value in zip(self.sizes, self.values, strict=True)
        )
        return (
            f"{self.name} ({self.unit}): {points}; {fit.intercept:.4g} + "
            f"{fit.slope:.4g} each; residual {fit.residual:.1%}"
        )


def make_messages() -> dict[str, Any]:
    """Returns a typical message of each kind that has a fixed size.

    Ids are as long as in the manifest of the control-cost measurement.
    Optional fields are set if the sender usually sets them.
    """
    return {
        "Hint": Hint(_SERVICE, _ADDRESS, _CALLER, _TARGETS[0], _ADDRESS),
        "Reset": Reset(_ADDRESS, _CALLER, "overloaded", 250, _FLOW),
        "Claim": Claim(_FLOW, _TARGETS[0], 1000, 0, True, _TOKEN),
        "ClaimReply": ClaimReply(_TOKEN, _TARGETS[0], _ADDRESS, _SERVICE),
        "RegisterReply": RegisterReply(_TOKEN),
        "Status": Status("vm-0123", 1000, b"d" * 16, 1000, b"d" * 16, []),
        "Probe": Probe(1),
        "ProbeReply": ProbeReply(1, False),
        "Grant": Grant(_SERVICE, 12.5, 6000),
        "Reserve": Reserve(_TOKEN, _SERVICE, 100),
        "ReserveReply": ReserveReply(_TOKEN, True, 1, 0),
        "Run, 10 bytes of body": Run(
            _TOKEN,
            _SERVICE,
            "0123456789abcdef0123456789abcdef",
            "POST",
            "/print",
            False,
            30_000,
            _BODY,
            _HEADERS,
        ),
        "RunReply, 10 bytes of body": RunReply(
            "answered", 200, _BODY, _HEADERS, "", 0
        ),
    }


def make_forward(payload: int) -> Any:
    """Returns a Forward such as a balancer sends to the home of a flow."""
    return Forward(
        _SERVICE,
        1000,
        _ADDRESS,
        list(_TARGETS),
        0,
        caller=_CALLER,
        payload=bytes(payload),
    )


def make_answer(payload: int) -> Any:
    """Returns an Answer such as the owner of a flow sends."""
    return Answer(_SERVICE, _ADDRESS, _TARGETS[0], _CALLER, bytes(payload))


def make_register(flows: int) -> Any:
    """Returns a Register such as the owner of the flows sends."""
    records = [
        FlowRecord(number.to_bytes(8, "big"), _NOW_MS)
        for number in range(flows)
    ]
    return Register(_TARGETS[0], _SERVICE, _ADDRESS, records, [], _TOKEN)


def make_loads(reports: int) -> Any:
    """Returns a Loads such as agents of a service send each second."""
    loads = [
        Load(f"target-{number:04}", 1, 0, 1000, 500, False, True)
        for number in range(reports)
    ]
    return Loads(_SERVICE, loads)


def measure(options: Options) -> Report:
    """Measures sizes and CPU times of messages, registration and look-ups.

    Args:
        options: seed, progress, and whether to run with few repeats.
    """
    codec = Codec(Signer([b"k" * 16]))
    rows = [
        Row(f"{name} on the wire", _find_size(codec, message), None, "bytes")
        for name, message in make_messages().items()
    ]
    quantities = []
    for name, build, sizes, unit in (
        ("Forward over payload", make_forward, PAYLOAD_BYTES, "bytes"),
        ("Answer over payload", make_answer, PAYLOAD_BYTES, "bytes"),
        ("Register over flows", make_register, REGISTER_FLOW_COUNTS, "bytes"),
        ("Loads over reports", make_loads, LOADS_REPORT_COUNTS, "bytes"),
    ):
        values = [_find_size(codec, build(size)) for size in sizes]
        quantities.append(FittedQuantity(name, unit, sizes, values))
    repeats = 1 if options.quick else REPEATS
    for name, measure_us, sizes in (
        ("sending a Register", _time_sending_register, REGISTER_FLOW_COUNTS),
        (
            "receiving a Register",
            _time_receiving_register,
            REGISTER_FLOW_COUNTS,
        ),
        ("sending a Loads", _time_sending_loads, LOADS_REPORT_COUNTS),
        ("receiving a Loads", _time_receiving_loads, LOADS_REPORT_COUNTS),
        (
            "registering in a directory",
            _time_registering,
            DIRECTORY_FLOW_COUNTS,
        ),
        ("finding home and backup", _time_finding_homes, HOME_FLOW_COUNTS),
    ):
        options.progress(name)
        if options.quick and sizes in (DIRECTORY_FLOW_COUNTS, HOME_FLOW_COUNTS):
            sizes = tuple(size // 10 for size in sizes)
        # Each round measures all sizes, so that a change of the clock rate
        # affects all of them.
        rounds = [[measure_us(size) for size in sizes] for _ in range(repeats)]
        values = [min(times) for times in zip(*rounds, strict=True)]
        quantities.append(FittedQuantity(name, "us of CPU", sizes, values))
    for quantity in quantities:
        fit = quantity.fit()
        unit = quantity.unit
        rows.append(
            Row(f"{quantity.name}, fixed part", fit.intercept, None, unit)
        )
        rows.append(Row(f"{quantity.name}, each", fit.slope, None, unit))
    rows += _measure_moved_flows(options)
    return Report(
        "messages",
        options.seed,
        tuple(rows),
        (
            "Bytes on the wire include MAC, envelope and "
            f"{UDP_OVERHEAD_BYTES} bytes of IP and UDP headers.",
            *(quantity.describe() for quantity in quantities),
        ),
        tuple(
            Series(quantity.name, tuple(quantity.sizes), tuple(quantity.values))
            for quantity in quantities
            if quantity.unit == "bytes"
        ),
        "payload bytes, flows or reports",
        "bytes on the wire",
    )


def _find_size(codec: Codec, message: Any) -> float:
    sealed = codec.seal(message, "peer", _NOW_MS)
    return float(len(sealed) + UDP_OVERHEAD_BYTES)


def _measure_cpu_us(run: Callable[[], Any], count: int) -> float:
    started = time.process_time_ns()
    for _ in range(count):
        run()
    return (time.process_time_ns() - started) / 1000 / count


def _time_sending(message: Any) -> float:
    codec = Codec(Signer([b"k" * 16]))
    return _measure_cpu_us(lambda: codec.seal(message, "peer", _NOW_MS), 50)


def _time_receiving(message: Any) -> float:
    sender, receiver = (Codec(Signer([b"k" * 16])) for _ in range(2))
    datagrams = [sender.seal(message, "peer", _NOW_MS) for _ in range(50)]
    unread = iter(datagrams)
    return _measure_cpu_us(
        lambda: receiver.open(next(unread), _NOW_MS).unwrap(), len(datagrams)
    )


def _time_sending_register(flows: int) -> float:
    return _time_sending(make_register(flows))


def _time_receiving_register(flows: int) -> float:
    return _time_receiving(make_register(flows))


def _time_sending_loads(reports: int) -> float:
    return _time_sending(make_loads(reports))


def _time_receiving_loads(reports: int) -> float:
    return _time_receiving(make_loads(reports))


def _time_registering(flows: int) -> float:
    """Returns the CPU time in us to refresh existing directory entries."""
    directory = Directory()
    flow_ids = [FlowId(number.to_bytes(8, "big")) for number in range(flows)]
    agent = ("10.1.2.3", 7100)

    def register() -> None:
        for flow_id in flow_ids:
            directory.register(
                flow_id,
                TargetId(_TARGETS[0]),
                agent,
                ServiceId(_SERVICE),
                _NOW_MS,
                0.0,
            )

    register()
    return _measure_cpu_us(register, 1)


def _make_targets() -> list[Target]:
    return [
        replace(
            make_target(index),
            domain=DomainId(f"domain-{index % DOMAIN_COUNT}"),
        )
        for index in range(TARGETS_PER_SERVICE)
    ]


def _time_finding_homes(flows: int) -> float:
    table = CandidateTable.from_targets(_make_targets())
    flow_ids = [FlowId(number.to_bytes(8, "big")) for number in range(flows)]

    def find() -> None:
        for flow_id in flow_ids:
            table.find_candidates(flow_id)

    return _measure_cpu_us(find, 1)


def _measure_moved_flows(options: Options) -> list[Row]:
    """Measures the share of flows whose home or backup changes."""
    rng = random.Random(options.seed)
    flows = [FlowId(rng.randbytes(8)) for _ in range(20_000)]
    targets = _make_targets()
    removed = DomainId("domain-0")
    homes_before = _list_homes_and_backups(targets, flows)
    rows = []
    for name, targets_after in (
        ("one target removed", targets[1:]),
        (
            "a failure domain removed",
            [t for t in targets if t.domain != removed],
        ),
    ):
        homes_after = _list_homes_and_backups(targets_after, flows)
        moved = sum(
            a != b for a, b in zip(homes_before, homes_after, strict=True)
        )
        rows.append(
            Row(
                f"flows with another home or backup, {name} of "
                f"{TARGETS_PER_SERVICE} targets in {DOMAIN_COUNT} domains",
                100.0 * moved / len(flows),
                None,
                "% of flows",
            )
        )
    return rows


def _list_homes_and_backups(
    targets: Sequence[Target], flows: Sequence[FlowId]
) -> list[tuple[TargetId, ...]]:
    table = CandidateTable.from_targets(targets)
    return [table.find_candidates(flow)[:2] for flow in flows]
