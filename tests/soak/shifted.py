"""Runs a program with its time of day shifted.

Usage: shifted.py OFFSET_FILE PROGRAM [ARGUMENT...]

The file holds the offset in seconds and may change while the program runs. The
offset is 0 if the file is empty or missing.
"""

import runpy
import sys
import time
from pathlib import Path

_READ_PERIOD_S = 0.1
_true_time, _true_time_ns = time.time, time.time_ns
_offset, _read_at = 0.0, -1.0


def _find_offset() -> float:
    global _offset, _read_at
    now = time.monotonic()
    if now - _read_at >= _READ_PERIOD_S:
        _read_at = now
        try:
            _offset = float(_file.read_text() or 0)
        except FileNotFoundError:
            _offset = 0.0
    return _offset


_file = Path(sys.argv[1])
time.time = lambda: _true_time() + _find_offset()
time.time_ns = lambda: _true_time_ns() + int(_find_offset() * 1e9)
sys.argv = sys.argv[2:]
sys.path[0] = str(Path(sys.argv[0]).parent)
runpy.run_path(sys.argv[0], run_name="__main__")
