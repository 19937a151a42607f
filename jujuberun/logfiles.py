"""Search in the daemons' JSON logs for what happened to a flow."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

# Lines about a target of the flow belong to it when they are this close. A
# suspicion lasts up to 8 s.
NEAR = timedelta(seconds=10)
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
_HIDDEN = {"time", "level", "part", "message", "decision", "flow"}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log.

    Attributes:
        time: by the clock of the daemon's VM.
        source: name of the file without its ending.
        fields: the line's JSON object.
    """

    time: datetime
    source: str
    fields: dict[str, Any]

    def write(self) -> str:
        """Returns the line for a person."""
        values = " ".join(
            f"{name}={_write_value(value)}"
            for name, value in self.fields.items()
            if name not in _HIDDEN
        )
        message = self.fields.get("message", "")
        return f"{self.time:%H:%M:%S.%f} {self.source} {message} {values}"


def find_flow(paths: Sequence[Path], flow: str) -> list[LogLine]:
    """Returns the lines about a flow and its targets, in order of time.

    Clocks of VMs differ, so lines of two sources that are close may stand in
    the wrong order.

    Args:
        paths: logs, a file for each daemon.
        flow: address of the caller, as the lines have it.

    Raises:
        OSError: a file cannot be read.
    """
    lines = [line for path in paths for line in _read_lines(path)]
    own = [line for line in lines if line.fields.get("flow") == flow]
    targets = {line.fields.get("target") for line in own} - {None}
    near = [
        line
        for line in lines
        if "flow" not in line.fields
        and line.fields.get("target") in targets
        and _is_near(line, own)
    ]
    return sorted([*own, *near], key=lambda line: line.time)


def _is_near(line: LogLine, others: Iterable[LogLine]) -> bool:
    return any(abs(line.time - other.time) <= NEAR for other in others)


def _read_lines(path: Path) -> Iterable[LogLine]:
    """Yields the lines of a log; others than JSON lines are passed over."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            line = _parse_line(text, path.stem)
            if line is not None:
                yield line


def _parse_line(text: str, source: str) -> LogLine | None:
    try:
        # Log collectors put their own words in front of a line.
        fields = json.loads(text[text.index("{") :])
        time = datetime.strptime(fields["time"], _TIME_FORMAT)
    except (KeyError, RecursionError, TypeError, ValueError):
        return None
    return LogLine(time, source, fields)


def _write_value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return str(value)
