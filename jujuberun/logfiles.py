"""Search of the daemons' JSON logs for the history of a flow."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

# Lines about a target count as related to a flow if they were written within
# this time of a line of the flow. A suspicion of a target lasts up to 8 s.
TARGET_LINE_WINDOW = timedelta(seconds=10)
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
_HIDDEN_FIELDS = {"time", "level", "part", "message", "decision", "flow"}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log.

    Attributes:
        time: time stamp, by the clock of the daemon's VM.
        source: name of the log file without its suffix.
        fields: JSON object of the line.
    """

    time: datetime
    source: str
    fields: dict[str, Any]

    def write(self) -> str:
        """Returns the line as readable text."""
        values = " ".join(
            f"{name}={_write_value(value)}"
            for name, value in self.fields.items()
            if name not in _HIDDEN_FIELDS
        )
        message = self.fields.get("message", "")
        return f"{self.time:%H:%M:%S.%f} {self.source} {message} {values}"


def find_flow(paths: Sequence[Path], flow: str) -> list[LogLine]:
    """Returns the lines about a flow and its targets, sorted by time.

    The clocks of VMs differ, so lines from two sources with nearly the same
    time may be in the wrong order.

    Args:
        paths: log files, one for each daemon.
        flow: address of the caller, written as in the log field "flow".

    Raises:
        OSError: a file cannot be read.
    """
    lines = [line for path in paths for line in _read_lines(path)]
    flow_lines = [line for line in lines if line.fields.get("flow") == flow]
    targets = {line.fields.get("target") for line in flow_lines} - {None}
    target_lines = [
        line
        for line in lines
        if "flow" not in line.fields
        and line.fields.get("target") in targets
        and _is_near(line, flow_lines)
    ]
    return sorted([*flow_lines, *target_lines], key=lambda line: line.time)


def _is_near(line: LogLine, others: Iterable[LogLine]) -> bool:
    return any(
        abs(line.time - other.time) <= TARGET_LINE_WINDOW for other in others
    )


def _read_lines(path: Path) -> Iterable[LogLine]:
    """Yields the JSON lines of a log file and skips all other lines."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            line = _parse_line(text, path.stem)
            if line is not None:
                yield line


def _parse_line(text: str, source: str) -> LogLine | None:
    try:
        # Log collectors may add a prefix of their own to each line.
        fields = json.loads(text[text.index("{") :])
        time = datetime.strptime(fields["time"], _TIME_FORMAT)
    except (KeyError, RecursionError, TypeError, ValueError):
        return None
    return LogLine(time, source, fields)


def _write_value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return str(value)
