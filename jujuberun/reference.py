"""Generates the reference sections of docs/operators.md."""

import re
import sys
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

from jujuberun.events import EVENTS
from jujuberun.logs import PREFIXES
from jujuberun.metric_table import PREFIX
from jujuberun.metrics import list_metrics
from jujuberun.schema import load_schema
from jujuberun.settings import list_entries

_SECTION = re.compile(
    r"(<!-- begin (?P<name>[a-z]+) reference -->\n).*?"
    r"(<!-- end (?P=name) reference -->)",
    re.DOTALL,
)


def make_settings_reference() -> str:
    """Returns the table of all settings, in Markdown."""
    rows = (
        (f"`{entry.key}`", _format_default(entry.default), entry.about)
        for entry in list_entries()
    )
    return _make_table(("key", "default", "meaning"), rows)


def make_manifest_reference() -> str:
    """Returns the table of all manifest keys, in Markdown."""
    rows = _walk_schema(load_schema(), "")
    return _make_table(("key", "value"), rows)


def make_metrics_reference() -> str:
    """Returns the tables of all metrics and events, in Markdown."""
    metrics = _make_table(
        ("metric", "type", "unit", "labels", "meaning", "what to do"),
        (
            (
                f"`{PREFIX}{metric.name}`",
                metric.kind,
                metric.unit,
                metric.labels.replace(",", ", ") or "-",
                metric.about,
                metric.action,
            )
            for metric in list_metrics()
        ),
    )
    events = _make_table(
        ("part", "event", "meaning", "what to do when the count rises"),
        (
            (event.part, f"`{event.name}`", event.about, event.action)
            for event in EVENTS
        ),
    )
    return f"{metrics}\n{events}"


def make_logs_reference() -> str:
    """Returns the table of all log prefixes, in Markdown."""
    rows = ((f"`{part}: `", about) for part, about in PREFIXES.items())
    return _make_table(("prefix", "subject of the lines"), rows)


REFERENCES: dict[str, Callable[[], str]] = {
    "settings": make_settings_reference,
    "manifest": make_manifest_reference,
    "metrics": make_metrics_reference,
    "logs": make_logs_reference,
}


def update_page(text: str) -> str:
    """Returns a page with all reference sections regenerated.

    Args:
        text: Markdown; each section lies between the lines
            "<!-- begin NAME reference -->" and "<!-- end NAME reference -->".
    """

    def replace(match: re.Match[str]) -> str:
        section = REFERENCES[match["name"]]()
        return f"{match[1]}\n{section}\n{match[3]}"

    return _SECTION.sub(replace, text)


def _walk_schema(
    schema: dict[str, Any], prefix: str
) -> Iterable[tuple[str, str]]:
    for name, inner in schema["properties"].items():
        yield f"`{prefix}{name}`", inner["description"]
        items = inner.get("items", {})
        if "properties" in items:
            yield from _walk_schema(items, f"{prefix}{name}[].")


def _format_default(default: str) -> str:
    return f"`{default}`" if default else "required"


def _make_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def main(arguments: Sequence[str]) -> int:
    """Updates pages in place: python -m jujuberun.reference PAGE..."""
    for name in arguments:
        path = Path(name)
        text = path.read_text(encoding="utf-8")
        path.write_text(update_page(text), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
