"""Measures sizes of messages, and costs of keeping the directory."""

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any

from jujuberun.directory import Directory
from jujuberun.fits import Fit
from jujuberun.ids import DomainId, FlowId, ServiceId, TargetId
from jujuberun.manifest import Target
from jujuberun.measure import Options, Report, Row, Series
from jujuberun.standin_manifest import make_target
from jujuberun.standin_peers import UDP_OVERHEAD_BYTES
from jujuberun.table import Table
from jujuberun.view import REPORTS
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

DOMAINS = 10
TARGETS_PER_SERVICE = 15  # 3,600 targets in 4 of 980 services each
PAYLOADS = (0, 100, 200, 400, 800, 1200)  # bytes
FLOWS = (1, 10, 50, 100, 200)  # of one Register
REPORT_COUNTS = (1, 2, 4, REPORTS)
DIRECTORY_FLOWS = (5_000, 10_000, 20_000, 40_000)
HOME_FLOWS = (2_000, 4_000, 8_000, 16_000)
REPEATS = 25  # 5 left a residual of 132% on a busy machine
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
class Fitted:
    """A quantity over at least four sizes, with its fit."""

    name: str
    unit: str
    sizes: Sequence[float]
    values: Sequence[float]

    def fit(self) -> Fit:
        """Returns the line through the points."""
        return Fit.from_points(list(self.sizes), list(self.values))

    def describe(self) -> str:
        """Returns points, line and residual as text."""
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
    """Returns one typical message of each kind with a fixed size.

    Ids have the lengths of the control measurement's manifest; optional
    fields are set where the usual sender sets them.
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
    """Returns a Forward as a balancer sends it to a flow's home."""
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
    """Returns an Answer of an owner."""
    return Answer(_SERVICE, _ADDRESS, _TARGETS[0], _CALLER, bytes(payload))


def make_register(flows: int) -> Any:
    """Returns a Register of an owner."""
    records = [
        FlowRecord(number.to_bytes(8, "big"), _NOW_MS)
        for number in range(flows)
    ]
    return Register(_TARGETS[0], _SERVICE, _ADDRESS, records, [], _TOKEN)


def make_loads(reports: int) -> Any:
    """Returns the Loads that agents of a service send each second."""
    loads = [
        Load(f"target-{number:04}", 1, 0, 1000, 500, False, True)
        for number in range(reports)
    ]
    return Loads(_SERVICE, loads)


def measure(options: Options) -> Report:
    """Encodes messages, and times registration and tables.

    Args:
        options: a quick run has fewer repetitions.
    """
    codec = Codec(Signer([b"k" * 16]))
    rows = [
        Row(f"{name} on the wire", _find_size(codec, message), None, "bytes")
        for name, message in make_messages().items()
    ]
    fitted = []
    for name, build, sizes, unit in (
        ("Forward over payload", make_forward, PAYLOADS, "bytes"),
        ("Answer over payload", make_answer, PAYLOADS, "bytes"),
        ("Register over flows", make_register, FLOWS, "bytes"),
        ("Loads over reports", make_loads, REPORT_COUNTS, "bytes"),
    ):
        values = [_find_size(codec, build(size)) for size in sizes]
        fitted.append(Fitted(name, unit, sizes, values))
    repeats = 1 if options.quick else REPEATS
    for name, spend, sizes in (
        ("sending a Register", _send_register, FLOWS),
        ("receiving a Register", _receive_register, FLOWS),
        ("sending a Loads", _send_loads, REPORT_COUNTS),
        ("receiving a Loads", _receive_loads, REPORT_COUNTS),
        ("registering in a directory", _fill_directory, DIRECTORY_FLOWS),
        ("finding home and backup", _find_homes, HOME_FLOWS),
    ):
        options.progress(name)
        if options.quick and sizes in (DIRECTORY_FLOWS, HOME_FLOWS):
            sizes = tuple(size // 10 for size in sizes)
        # Sizes take turns, so that a change of the clock rate meets all.
        turns = [[spend(size) for size in sizes] for _ in range(repeats)]
        values = [min(column) for column in zip(*turns, strict=True)]
        fitted.append(Fitted(name, "us of CPU", sizes, values))
    for line in fitted:
        fit = line.fit()
        unit = line.unit
        rows.append(Row(f"{line.name}, fixed part", fit.intercept, None, unit))
        rows.append(Row(f"{line.name}, each", fit.slope, None, unit))
    rows += _measure_moves(options)
    return Report(
        "messages",
        options.seed,
        tuple(rows),
        (
            "Bytes on the wire include MAC, envelope and "
            f"{UDP_OVERHEAD_BYTES} bytes of IP and UDP headers.",
            *(line.describe() for line in fitted),
        ),
        tuple(
            Series(line.name, tuple(line.sizes), tuple(line.values))
            for line in fitted
            if line.unit == "bytes"
        ),
        "payload bytes, flows or reports",
        "bytes on the wire",
    )


def _find_size(codec: Codec, message: Any) -> float:
    sealed = codec.seal(message, "peer", _NOW_MS)
    return float(len(sealed) + UDP_OVERHEAD_BYTES)


def _time_us(run: Callable[[], Any], count: int) -> float:
    began = time.process_time_ns()
    for _ in range(count):
        run()
    return (time.process_time_ns() - began) / 1000 / count


def _send(message: Any) -> float:
    codec = Codec(Signer([b"k" * 16]))
    return _time_us(lambda: codec.seal(message, "peer", _NOW_MS), 50)


def _receive(message: Any) -> float:
    sender, receiver = (Codec(Signer([b"k" * 16])) for _ in range(2))
    waiting = [sender.seal(message, "peer", _NOW_MS) for _ in range(50)]
    opened = iter(waiting)
    return _time_us(
        lambda: receiver.open(next(opened), _NOW_MS).unwrap(), len(waiting)
    )


def _send_register(flows: int) -> float:
    return _send(make_register(flows))


def _receive_register(flows: int) -> float:
    return _receive(make_register(flows))


def _send_loads(reports: int) -> float:
    return _send(make_loads(reports))


def _receive_loads(reports: int) -> float:
    return _receive(make_loads(reports))


def _fill_directory(flows: int) -> float:
    """Returns us of CPU to refresh entries that exist already."""
    directory = Directory()
    names = [FlowId(number.to_bytes(8, "big")) for number in range(flows)]
    agent = ("10.1.2.3", 7100)

    def register() -> None:
        for name in names:
            directory.register(
                name,
                TargetId(_TARGETS[0]),
                agent,
                ServiceId(_SERVICE),
                _NOW_MS,
                0.0,
            )

    register()
    return _time_us(register, 1)


def _make_targets() -> list[Target]:
    return [
        replace(
            make_target(index), domain=DomainId(f"domain-{index % DOMAINS}")
        )
        for index in range(TARGETS_PER_SERVICE)
    ]


def _find_homes(flows: int) -> float:
    table = Table.from_targets(_make_targets())
    names = [FlowId(number.to_bytes(8, "big")) for number in range(flows)]

    def find() -> None:
        for name in names:
            table.find_candidates(name)

    return _time_us(find, 1)


def _measure_moves(options: Options) -> list[Row]:
    """Measures which part of the flows get another home or backup."""
    rng = random.Random(options.seed)
    flows = [FlowId(rng.randbytes(8)) for _ in range(20_000)]
    targets = _make_targets()
    lost = DomainId("domain-0")
    before = _list_homes(targets, flows)
    rows = []
    for name, after in (
        ("one target removed", targets[1:]),
        ("a failure domain removed", [t for t in targets if t.domain != lost]),
    ):
        homes = _list_homes(after, flows)
        moved = sum(a != b for a, b in zip(before, homes, strict=True))
        rows.append(
            Row(
                f"flows with another home or backup, {name} of "
                f"{TARGETS_PER_SERVICE} targets in {DOMAINS} domains",
                100.0 * moved / len(flows),
                None,
                "% of flows",
            )
        )
    return rows


def _list_homes(
    targets: Sequence[Target], flows: Sequence[FlowId]
) -> list[tuple[TargetId, ...]]:
    table = Table.from_targets(targets)
    return [table.find_candidates(flow)[:2] for flow in flows]
