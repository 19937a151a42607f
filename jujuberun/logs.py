"""Logging set-up, loggers with a prefix for each part, limited lines."""

import logging
import select
import sys
from collections.abc import MutableMapping
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from jujuberun.settings import LogSettings

ROOT = "jujuberun"
REPEAT_S = 10.0  # a limited line is written at most once in this time
# Keys often contain a peer address; an attacker can make up any number.
MAX_KEYS = 1000
TEXT_FORMAT = "%(asctime)s %(levelname)s %(message)s"
JSON_FORMAT = "%(asctime)s %(levelname)s %(part)s %(message)s"
JSON_NAMES = {"asctime": "time", "levelname": "level"}

# Prefix of each part's lines, and what the part writes about.
PREFIXES = {
    "daemon": "Start, graceful stop, and what a second signal cut.",
    "balancer": "Service addresses that cannot be bound.",
    "agent": "Flows that fail, and conflicts of owners.",
    "relay": "Packet flows at a balancer: resets, drops, suspected targets.",
    "sidecar": "Packet flows at an agent: packets of other pools.",
    "peers": "Messages between daemons; peers that are suspected or gone.",
    "generations": "Manifests that come into force or are refused.",
    "source": "Reads of the platform.",
    "watch": "Watches of the platform.",
    "spread": "Manifest and VM list between peers; pauses.",
    "members": "VM lists that are refused.",
    "link": "TCP exchanges with peers.",
    "streams": "QUIC connections of callers.",
    "runner": "Requests between agent and target.",
    "offload": "Requests that agents pass to idle agents.",
    "caller": "The caller library.",
    "dump": "The admin address.",
    "logs": "Lines that were dropped because nobody read the log.",
}


class Limiter:
    """Lets a repeated line through at most once per interval.

    Attributes:
        interval: seconds between two lines of one key.
    """

    def __init__(self, interval: float = REPEAT_S) -> None:
        self.interval = interval
        self._written: dict[Any, float] = {}
        self._skipped: dict[Any, int] = {}

    def count(self, key: Any, now: float) -> int | None:
        """Counts a line and returns how many were left out before it.

        Args:
            key: what makes two lines the same, for example step and peer.
            now: seconds, monotonic.

        Returns:
            Number of lines left out since the last one that was written, or
            None when this line is to be left out.
        """
        last = self._written.get(key)
        if last is not None and now - last < self.interval:
            self._skipped[key] = self._skipped.get(key, 0) + 1
            return None
        if len(self._written) >= MAX_KEYS:
            self._forget(now)
        self._written[key] = now
        return self._skipped.pop(key, 0)

    def _forget(self, now: float) -> None:
        self._written = {
            key: last
            for key, last in self._written.items()
            if now - last < self.interval
        }
        while len(self._written) >= MAX_KEYS:
            self._written.pop(next(iter(self._written)))
        self._skipped = {
            key: count
            for key, count in self._skipped.items()
            if key in self._written
        }


class DroppingHandler(logging.StreamHandler):
    """Writes lines, and drops those that would have to wait for the reader.

    A daemon whose log is not read must go on carrying packets.
    """

    def __init__(self, stream: TextIO) -> None:
        """Args: stream of the lines."""
        super().__init__(stream)
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line unless the stream is full."""
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
            # Not a descriptor, such as a text buffer: it takes every line.
            return True
        return bool(ready)


class _PartFilter(logging.Filter):
    """Names the part of records that a plain module logger wrote."""

    def filter(self, record: logging.LogRecord) -> bool:
        if not hasattr(record, "part"):
            record.part = record.name.rpartition(".")[2]
        return True


class PartLogger(logging.LoggerAdapter):
    """Logger of one part; each line begins with the name of the part."""

    def __init__(self, part: str, limiter: Limiter | None = None) -> None:
        super().__init__(logging.getLogger(f"{ROOT}.{part}"), {})
        self.part = part
        self._limiter = limiter or Limiter()

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Adds the prefix to the line and the part to its JSON fields."""
        extra = {**(kwargs.get("extra") or {}), "part": self.part}
        return f"{self.part}: {msg}", {**kwargs, "extra": extra}

    def log_limited(
        self, level: int, key: Any, now: float, message: str, *args: Any
    ) -> None:
        """Writes a line that may come very often, with a count of the rest.

        Args:
            level: level of the logging module.
            key: what makes two lines the same.
            now: seconds, monotonic.
            message: text with placeholders as the logging module has them.
            *args: values of the placeholders.
        """
        if not self.isEnabledFor(level):
            return
        skipped = self._limiter.count(key, now)
        if skipped is None:
            return
        if skipped:
            message += " (%d more of this kind left out)"
            args = (*args, skipped)
        self.log(level, message, *args)


def find_logger(part: str) -> PartLogger:
    """Returns the logger of a part, for example "balancer"."""
    return PartLogger(part)


def set_up_logs(settings: LogSettings, stream: TextIO | None = None) -> None:
    """Sends the lines of all parts to a stream; replaces an earlier set-up.

    Args:
        settings: level and format.
        stream: standard output when it is None.
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
            return JsonFormatter(JSON_FORMAT, rename_fields=JSON_NAMES)
        case _:
            return logging.Formatter(TEXT_FORMAT)
