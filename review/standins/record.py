"""Record of what was sent, answered and run in a case."""

import time
from pathlib import Path


class Record:
    """Writes lines with the time since the start of the case.

    Attributes:
        violations: the violations that were found.
    """

    def __init__(self, path: Path) -> None:
        """Creates the file.

        Args:
            path: path of the record.
        """
        self.violations: list[str] = []
        self._file = path.open("w")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.read_time():9.3f}  {text}\n")

    def violate(self, text: str) -> None:
        """Writes a line about a broken rule."""
        self.violations.append(text)
        self.write(f"BROKEN {text}")

    def read_time(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._began

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
