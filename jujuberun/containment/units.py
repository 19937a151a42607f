"""Units of work that end alone if an unexpected error occurs in them."""

import contextlib
import logging
import time
import traceback
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from jujuberun.logs import make_logger

_log = make_logger("containment")


@dataclass(slots=True)
class Unit:
    """A unit of work.

    Attributes:
        has_failed: whether an unexpected error has ended it.
    """

    has_failed: bool = False


@contextlib.contextmanager
def contain_errors(
    name: str, counts: Counter[str] | None = None
) -> Iterator[Unit]:
    """Ends only the block of code if an unexpected error occurs in it.

    The error is logged with its traceback and counted as "failed". Errors that
    are expected are handled inside of the block. Cancellation is not contained.

    Args:
        name: names the unit of work in the log, for example "connection".
        counts: event counters of the part, None without counters.
    """
    unit = Unit()
    try:
        yield unit
    except Exception as error:  # noqa: BLE001
        unit.has_failed = True
        record_failure(name, error, counts)


def record_failure(
    name: str, error: Exception, counts: Counter[str] | None = None
) -> None:
    """Logs and counts an unexpected error that has ended a unit of work.

    Args:
        name: names the unit of work in the log.
        error: the error.
        counts: event counters of the part, None without counters.
    """
    if counts is not None:
        counts["failed"] += 1
    _log.log_limited(
        logging.ERROR,
        (name, type(error)),
        time.monotonic(),
        "%s ended: %s",
        name,
        "".join(traceback.format_exception(error)).rstrip(),
    )
