"""Text output of states, explanations, manifests and reports."""

import json
import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import asdict
from typing import Any

from jujuberun.manifest import Manifest
from jujuberun.measure import Report, Row

_INDENT = "  "
# Parts whose state write_state() prints in a section with its own format.
_PARTS_WITH_SECTION = ("generations", "peers", "beliefs")
# Limit for one list or mapping; the text states how many more there are.
_MAX_LIST_LINES = 40


def write_manifest_summary(manifest: Manifest) -> str:
    """Returns a summary of a manifest, with notes on likely mistakes."""
    domains = {target.domain for target in manifest.targets.values()}
    lines = [
        f"generation {manifest.generation}, digest {manifest.digest.hex()}",
        f"{len(manifest.services)} services, {len(manifest.targets)} targets, "
        f"{len(domains)} failure domains",
        *_find_notes(manifest),
    ]
    return "\n".join(lines)


def _find_notes(manifest: Manifest) -> Iterator[str]:
    used: set[str] = set()
    for service in manifest.services.values():
        used.update(service.targets)
        domains = {manifest.targets[name].domain for name in service.targets}
        if len(domains) == 1:
            yield (
                f"note: service {service.id} has all its targets in failure "
                f"domain {domains.pop()}"
            )
    for name in manifest.targets:
        if name not in used:
            yield f"note: target {name} carries no service"
    agents: dict[Any, str] = {}
    for target in manifest.targets.values():
        other = agents.setdefault(target.agent, target.id)
        if other != target.id:
            yield f"note: targets {other} and {target.id} have the same agent"


def write_state(address: str, state: Mapping[str, Any]) -> str:
    """Returns the state dump of a daemon as text.

    Args:
        address: admin address of the daemon.
        state: state of the daemon's parts by name.
    """
    lines = [f"daemon at {address}"]
    lines += _write_generation(_get_part_state(state, "generations"))
    lines += _write_refusals(state)
    lines += _write_peers(_get_part_state(state, "peers"))
    lines += _write_targets(_get_part_state(state, "beliefs"))
    for name, part in state.items():
        if name in _PARTS_WITH_SECTION:
            continue
        lines.append(f"{name}:")
        lines += _write_tree(part, 1)
    return "\n".join(lines)


def _get_part_state(state: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    part = state.get(name)
    return part if isinstance(part, Mapping) else {}


def _write_generation(part: Mapping[str, Any]) -> Iterator[str]:
    generation = part.get("generation")
    if generation is None:
        yield "manifest: none in force"
        return
    yield (
        f"manifest: generation {generation} in force for "
        f"{part.get('in_force_for_s')} s, from {part.get('origin')}, "
        f"digest {part.get('digest')}"
    )


def _write_refusals(state: Mapping[str, Any]) -> Iterator[str]:
    found = []
    for name, part in state.items():
        if not isinstance(part, Mapping):
            continue
        for key, value in part.items():
            if not key.startswith("refused") or not value:
                continue
            found += _write_refusal(f"{name} {key}", value)
    yield "refused:" if found else "refused: nothing"
    yield from found


def _write_refusal(name: str, value: Any) -> Iterator[str]:
    match value:
        case Mapping():
            counts = [f"{reason} {n}" for reason, n in value.items() if n]
            if counts:
                yield f"{_INDENT}{name}: {', '.join(counts)}"
        case list():
            for reason in value[-_MAX_LIST_LINES:]:
                yield f"{_INDENT}{name}: {reason}"
        case _:
            yield f"{_INDENT}{name}: {value}"


def _write_peers(part: Mapping[str, Any]) -> Iterator[str]:
    absent = part.get("absent") or {}
    known = part.get("known", 0)
    if not known:
        yield "peers: none known"
        return
    if not absent:
        yield f"peers: {known} known, all of them alive"
        return
    yield f"peers: {known} known, {len(absent)} of them not alive:"
    for address, peer in list(absent.items())[:_MAX_LIST_LINES]:
        yield (
            f"{_INDENT}{address} {peer.get('state')}: packets unanswered for "
            f"{peer.get('unanswered_for_s')} s, last heard "
            f"{peer.get('heard_before_s')} s ago"
        )
    if len(absent) > _MAX_LIST_LINES:
        yield f"{_INDENT}and {len(absent) - _MAX_LIST_LINES} more, see --json"


def _write_targets(part: Mapping[str, Any]) -> Iterator[str]:
    for service, targets in part.items():
        if not isinstance(targets, Mapping):
            yield f"targets: {service}: {targets}"
            continue
        line = (
            f"targets of {service}: {targets.get('active')} active of "
            f"{targets.get('targets')}"
        )
        for key in ("suspected", "leaving"):
            if targets.get(key):
                line += f"; {key}: {', '.join(targets[key])}"
        yield line


def _write_tree(value: Any, depth: int) -> Iterator[str]:
    indent = _INDENT * depth
    match value:
        case Mapping():
            items = list(value.items())
            for key, inner in items[:_MAX_LIST_LINES]:
                if isinstance(inner, Mapping | list) and inner:
                    yield f"{indent}{key}:"
                    yield from _write_tree(inner, depth + 1)
                else:
                    yield f"{indent}{key}: {_write_value(inner)}"
            rest = len(items) - _MAX_LIST_LINES
        case list():
            for inner in value[:_MAX_LIST_LINES]:
                if isinstance(inner, Mapping | list):
                    yield f"{indent}{json.dumps(inner)}"
                else:
                    yield f"{indent}{_write_value(inner)}"
            rest = len(value) - _MAX_LIST_LINES
        case _:
            yield f"{indent}{_write_value(value)}"
            return
    if rest > 0:
        yield f"{indent}and {rest} more, see --json"


def _write_value(value: Any) -> str:
    match value:
        case None:
            return "none"
        case bool():
            return "yes" if value else "no"
        case Mapping() | list() | "":
            return "none"
        case _:
            return str(value)


def write_explanation(answer: Mapping[str, Any]) -> str:
    """Returns the explanation of a flow as text."""
    return "\n".join(_write_tree(answer, 0))


def write_report(report: Report) -> str:
    """Returns a report as a table.

    The columns are ours, naive, ratio, unit and bound.
    """
    header = ("", "ours", "naive", "ratio", "unit", "bound", "")
    rows = [header, *(_write_row(row) for row in report.rows)]
    lines = [f"{report.name}, seed {report.seed}", *_align(rows)]
    lines += [f"note: {note}" for note in report.notes]
    return "\n".join(lines)


def _write_row(row: Row) -> tuple[str, ...]:
    verdict = {None: "", True: "met", False: "MISSED"}[row.met]
    return (
        row.name,
        _write_number(row.ours),
        _write_number(row.naive),
        _write_number(row.ratio),
        row.unit,
        row.bound,
        verdict,
    )


def _write_number(number: float | None) -> str:
    if number is None:
        return "-"
    if isinstance(number, int) or abs(number) >= 1000:
        return f"{number:,.0f}"
    return f"{number:.3g}"


def _align(rows: Sequence[Sequence[str]]) -> Iterator[str]:
    widths = [
        max(len(cell) for cell in column) for column in zip(*rows, strict=True)
    ]
    numbers = range(1, 4)
    for row in rows:
        cells = [
            cell.rjust(width) if index in numbers else cell.ljust(width)
            for index, (cell, width) in enumerate(zip(row, widths, strict=True))
        ]
        yield "  ".join(cells).rstrip()


def make_report_document(report: Report) -> dict[str, Any]:
    """Returns a report as JSON types; NaN and infinity become null."""
    document = asdict(report)
    for row, source in zip(document["rows"], report.rows, strict=True):
        row["ratio"] = source.ratio
    return _replace_non_numbers(document)


def _replace_non_numbers(value: Any) -> Any:
    match value:
        case float() if not math.isfinite(value):
            return None
        case dict():
            return {k: _replace_non_numbers(v) for k, v in value.items()}
        case list() | tuple():
            return [_replace_non_numbers(entry) for entry in value]
        case _:
            return value
