"""Reader of drain lists, which arrive with the source's other reads."""

from collections.abc import Callable

from jujuberun.containment.units import contain_errors
from jujuberun.draining.drains import Drains
from jujuberun.source import DocumentKind, Source

# Longest wait of one fetch. It costs no call, so any long time will do.
FETCH_WAIT_S = 60.0


class DrainReader:
    """Offers the drain lists that a source publishes to the part "drains".

    It waits in the source for results of reads that other readers make, and
    therefore never puts load on the platform.
    """

    def __init__(self, source: Source, drains: Drains) -> None:
        """Builds the reader.

        Args:
            source: a source that publishes drains.
            drains: receives the lists.
        """
        self._source = source
        self._drains = drains

    async def run(self, read_clock: Callable[[], float]) -> None:
        """Reads until cancelled.

        Args:
            read_clock: returns seconds, monotonic.
        """
        index = 0
        while True:
            document = await self._source.fetch(
                DocumentKind.DRAINS, index, FETCH_WAIT_S
            )
            if document is None:
                continue
            index = document.index
            with contain_errors("drain list"):
                self._drains.offer(document.data, "platform", read_clock())
