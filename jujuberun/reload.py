"""Takes over settings that change while the daemon runs."""

import logging
from pathlib import Path

import anyio
from result import Err, Ok

from jujuberun.kernel import Kernel
from jujuberun.logs import ROOT, find_logger
from jujuberun.settings import Settings, load_settings

# The file may change without a signal. Reading its time costs nothing that
# shows, and seeds matter only when a process finds no peer.
CHECK_S = 5.0

_log = find_logger("daemon")


class Reloader:
    """Reads the settings file again after a signal or a change of the file.

    Seeds and the level of the log are taken over; all else is fixed until the
    next start, and a line says so.
    """

    def __init__(self, path: Path, settings: Settings, kernel: Kernel) -> None:
        """Args: settings file, what it held at start, parts to tell."""
        self._path = path
        self._settings = settings
        self._kernel = kernel
        self._stamp = self._read_stamp()

    async def run(self) -> None:
        """Watches the file until cancelled."""
        while True:
            await anyio.sleep(CHECK_S)
            if self._read_stamp() != self._stamp:
                self.reload()

    def reload(self) -> None:
        """Reads the file and takes over what may change."""
        self._stamp = self._read_stamp()
        match load_settings(self._path):
            case Err(error):
                _log.error("Settings not reloaded: %s.", error)
            case Ok(settings):
                self._apply(settings)

    def _apply(self, settings: Settings) -> None:
        before, self._settings = self._settings, settings
        if settings == before:
            _log.info("Settings reloaded; nothing changed.")
            return
        if self._kernel.has("spread"):
            from jujuberun.document_parts import find_seeds

            self._kernel.find("spread").set_seeds(find_seeds(settings))
        logging.getLogger(ROOT).setLevel(settings.log.level.upper())
        _log.info(
            "Settings reloaded; seeds and log level are in force, all else "
            "from the next start."
        )

    def _read_stamp(self) -> tuple[int, int]:
        """Returns time and size of the file, zeros while it is not there."""
        try:
            found = self._path.stat()
        except OSError:
            return 0, 0
        return found.st_mtime_ns, found.st_size
