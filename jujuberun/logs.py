"""Logging set-up, loggers that prefix lines with their part, rate limits."""

import logging
import select
import sys
from collections.abc import MutableMapping
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from jujuberun.settings import LogSettings

ROOT = "jujuberun"
REPEAT_INTERVAL_S = 10.0
# Bounds the memory for keys. They often contain a peer address, and an attacker
# can forge any number of addresses.
MAX_KEYS = 1000
TEXT_FORMAT = "%(asctime)s %(levelname)s %(message)s"
JSON_FORMAT = "%(asctime)s %(levelname)s %(part)s %(message)s"
JSON_FIELD_NAMES = {"asctime": "time", "levelname": "level"}

# Maps the prefix of each part's lines to a description of these lines.
PREFIXES = {
    "daemon": "Start, graceful stop, and work that a second signal aborted.",
    "balancer": "Service addresses that cannot be bound.",
    "agent": "Flows that fail, and flows with two owners.",
    "relay": "Packet flows at a balancer: resets, drops, suspected targets.",
    "sidecar": "Packet flows at an agent: packets of other pools, and "
    "the limit of a target that has just started.",
    "containment": "Connections, packets and timers whose handling failed "
    "unexpectedly, and connections that cannot be accepted.",
    "port": "Packets whose handling failed unexpectedly.",
    "peers": "Messages between daemons; peers that are suspected or gone.",
    "generations": "Manifests that come into force or are refused.",
    "source": "Reads of the platform.",
    "watch": "Watches of the platform.",
    "spread": "Manifest and VM list from peers; pauses of this process.",
    "members": "VM lists that are refused.",
    "drains": "Failure domains that begin or end to be drained.",
    "link": "TCP exchanges with peers.",
    "streams": "QUIC connections of callers.",
    "runner": "Requests between agent and target.",
    "offload": "Requests that agents hand on to idle agents.",
    "caller": "The caller library.",
    "dump": "HTTP server on the admin address.",
    "logs": "Lines that were dropped because the log was not read.",
}


class LineLimiter:
    """Allows one line per key and interval, and counts the others.

    Attributes:
        interval: shortest time between two lines with the same key, seconds.
    """

    def __init__(self, interval: float = REPEAT_INTERVAL_S) -> None:
        self.interval = interval
        self._last_written: dict[Any, float] = {}
        self._skipped: dict[Any, int] = {}

    def check_line(self, key: Any, now: float) -> int | None:
        """Decides whether a line is written, and counts it if it is not.

        Args:
            key: identifies lines of one kind, for example step and peer.
            now: seconds, monotonic.

        Returns:
            Number of lines with this key that were skipped since the last
            written one, or None if this line must be skipped.
        """
        last = self._last_written.get(key)
        if last is not None and now - last < self.interval:
            self._skipped[key] = self._skipped.get(key, 0) + 1
            return None
        if len(self._last_written) >= MAX_KEYS:
            self._evict_keys(now)
        self._last_written[key] = now
        return self._skipped.pop(key, 0)

    def _evict_keys(self, now: float) -> None:
        self._last_written = {
            key: last
            for key, last in self._last_written.items()
            if now - last < self.interval
        }
        while len(self._last_written) >= MAX_KEYS:
            self._last_written.pop(next(iter(self._last_written)))
        self._skipped = {
            key: count
            for key, count in self._skipped.items()
            if key in self._last_written
        }


class DroppingHandler(logging.StreamHandler):
    """Writes lines without blocking; drops lines while the stream is full.

    A daemon must continue to forward packets when its log is not read.
    """

    def __init__(self, stream: TextIO) -> None:
        """Builds the handler.

        Args:
            stream: destination of the lines.
        """
        super().__init__(stream)
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or counts it as dropped if the stream is full.

        The first line written afterwards is followed by the count.
        """
        if not self._is_writable():
            self.dropped += 1
            return
        dropped, self.dropped = self.dropped, 0
        super().emit(record)
        if dropped:
            record = logging.LogRecord(
                f"{ROOT}.logs",
                logging.WARNING,
                __file__,
                0,
                "logs: %d lines dropped: the log was not read.",
                (dropped,),
                None,
            )
            record.part = "logs"
            super().emit(record)

    def _is_writable(self) -> bool:
        try:
            _, ready, _ = select.select([], [self.stream], [], 0)
        except (OSError, ValueError):
            # The stream has no descriptor (for example io.StringIO), so that
            # writing to it cannot block.
            return True
        return bool(ready)


class _PartFilter(logging.Filter):
    """Sets the field "part" of records that come from module loggers."""

    def filter(self, record: logging.LogRecord) -> bool:
        if not hasattr(record, "part"):
            record.part = record.name.rpartition(".")[2]
        return True


class PartLogger(logging.LoggerAdapter):
    """Logger of one part, which prefixes each line with the part's name."""

    def __init__(self, part: str, limiter: LineLimiter | None = None) -> None:
        super().__init__(logging.getLogger(f"{ROOT}.{part}"), {})
        self.part = part
        self._limiter = limiter or LineLimiter()

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Adds the prefix to the line and the part to its JSON fields."""
        extra = {**(kwargs.get("extra") or {}), "part": self.part}
        return f"{self.part}: {msg}", {**kwargs, "extra": extra}

    def log_limited(
        self, level: int, key: Any, now: float, message: str, *args: Any
    ) -> None:
        """Writes a line unless one with the same key was written recently.

        The next line that is written states how many were skipped.

        Args:
            level: level of the logging module.
            key: identifies lines of one kind.
            now: seconds, monotonic.
            message: text with %-style placeholders.
            *args: values of the placeholders.
        """
        if not self.isEnabledFor(level):
            return
        skipped = self._limiter.check_line(key, now)
        if skipped is None:
            return
        if skipped:
            message += " (%d more of this kind left out)"
            args = (*args, skipped)
        self.log(level, message, *args)


def make_logger(part: str) -> PartLogger:
    """Returns the logger of a part, for example "balancer"."""
    return PartLogger(part)


def set_up_logs(settings: LogSettings, stream: TextIO | None = None) -> None:
    """Sends the lines of all parts to a stream, replacing earlier handlers.

    Args:
        settings: level and format.
        stream: destination; None means standard output.
    """
    handler = DroppingHandler(stream or sys.stdout)
    handler.setFormatter(_make_formatter(settings.format))
    handler.addFilter(_PartFilter())
    logger = logging.getLogger(ROOT)
    for old in list(logger.handlers):
        logger.removeHandler(old)
    logger.addHandler(handler)
    logger.setLevel(settings.level.upper())
    logger.propagate = False


def _make_formatter(kind: str) -> logging.Formatter:
    match kind:
        case "json":
            return JsonFormatter(JSON_FORMAT, rename_fields=JSON_FIELD_NAMES)
        case _:
            return logging.Formatter(TEXT_FORMAT)
