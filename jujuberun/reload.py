"""Applies changed settings while the daemon runs."""

import logging
from pathlib import Path

import anyio
from result import Err, Ok

from jujuberun.containment.units import contain_errors
from jujuberun.kernel import Kernel
from jujuberun.logs import ROOT, make_logger
from jujuberun.settings import Settings, load_settings

# The file is checked for changes at this interval, besides after a signal.
# Reading its time stamp costs almost nothing. Changed seeds are not urgent,
# because they matter only when a process finds no peer.
FILE_CHECK_INTERVAL_S = 5.0

_log = make_logger("daemon")


class Reloader:
    """Reads the settings file again after a signal or a change of the file.

    Seeds and log level are applied; all other settings take effect at the next
    start, and a log line says so.
    """

    def __init__(self, path: Path, settings: Settings, kernel: Kernel) -> None:
        """Creates a reloader.

        Args:
            path: settings file.
            settings: settings in the file at start.
            kernel: parts of the daemon.
        """
        self._path = path
        self._settings = settings
        self._kernel = kernel
        self._file_stamp = self._read_file_stamp()

    async def run(self) -> None:
        """Watches the file until cancelled."""
        while True:
            await anyio.sleep(FILE_CHECK_INTERVAL_S)
            if self._read_file_stamp() != self._file_stamp:
                self.reload()

    def reload(self) -> None:
        """Reads the file and applies the settings that may change."""
        self._file_stamp = self._read_file_stamp()
        with contain_errors("reading of the settings"):
            match load_settings(self._path):
                case Err(error):
                    _log.error("Settings not reloaded: %s.", error)
                case Ok(settings):
                    self._apply(settings)

    def _apply(self, settings: Settings) -> None:
        previous, self._settings = self._settings, settings
        if settings == previous:
            _log.info("Settings reloaded; nothing changed.")
            return
        if self._kernel.has("spread"):
            from jujuberun.document_parts import find_seeds

            self._kernel.find("spread").set_seeds(find_seeds(settings))
        logging.getLogger(ROOT).setLevel(settings.log.level.upper())
        _log.info(
            "Settings reloaded; seeds and log level apply now, all other "
            "settings at the next start."
        )

    def _read_file_stamp(self) -> tuple[int, int]:
        """Returns modification time and size, zeros if stat fails."""
        try:
            status = self._path.stat()
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size
