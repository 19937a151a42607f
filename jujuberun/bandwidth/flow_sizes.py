"""Bytes that callers send in a flow of each service, learned from packets.

Load: services with uploads among services with short requests; only starts of
the former wait for the link.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from jujuberun.bandwidth.upload_limit import WINDOW_BYTES
from jujuberun.ids import ServiceId

# Later samples change mean and deviation by this fraction, as in the usual
# estimate of round trips (RFC 6298). The first samples are averaged.
GAIN_SAMPLES = 8
# Size at which services are forgotten, those without samples for longest
# first. The largest deployment has 980 addresses.
MAX_SERVICES = 1_024


@dataclass(slots=True)
class FlowSize:
    """What is known of the flows of one service.

    Attributes:
        mean: mean bytes of a flow.
        deviation: mean absolute deviation in bytes.
        samples: flows that were measured, at most GAIN_SAMPLES.
        exceeded_window: whether a flow sent more than one window before any
            flow was measured.
    """

    mean: float = 0.0
    deviation: float = 0.0
    samples: int = 0
    exceeded_window: bool = False


class FlowSizes:
    """Learned bytes per flow of all services."""

    def __init__(self) -> None:
        self._services: OrderedDict[ServiceId, FlowSize] = OrderedDict()

    def is_known(self, service: ServiceId) -> bool:
        """Returns whether anything is known of a service's flows."""
        return service in self._services

    def is_uploading(self, service: ServiceId) -> bool:
        """Returns whether flows usually send more than one window."""
        size = self._services.get(service)
        if size is None:
            return False
        if not size.samples:
            return size.exceeded_window
        return size.mean > WINDOW_BYTES

    def find_mean(self, service: ServiceId) -> float:
        """Returns the mean bytes of a flow of an upload.

        One window, the least that an upload sends, if unknown.
        """
        size = self._services.get(service)
        if size is None or not size.samples:
            return WINDOW_BYTES
        return size.mean

    def record(self, service: ServiceId, sent: float) -> None:
        """Records the bytes that a flow has sent.

        Args:
            service: service of the flow.
            sent: bytes from its start to its end.
        """
        size = self._touch(service)
        size.samples = min(size.samples + 1, GAIN_SAMPLES)
        error = sent - size.mean
        size.mean += error / size.samples
        if size.samples > 1:
            size.deviation += (abs(error) - size.deviation) / size.samples

    def record_long_flow(self, service: ServiceId) -> None:
        """Records that a flow has sent more than one window, and goes on."""
        self._touch(service).exceeded_window = True

    def describe(self) -> dict[str, Any]:
        """Returns what is known of all services as JSON types."""
        return {
            service: {
                "mean_bytes": round(size.mean),
                "deviation_bytes": round(size.deviation),
                "samples": size.samples,
                "uploads": self.is_uploading(service),
            }
            for service, size in self._services.items()
        }

    def _touch(self, service: ServiceId) -> FlowSize:
        size = self._services.setdefault(service, FlowSize())
        self._services.move_to_end(service)
        while len(self._services) > MAX_SERVICES:
            self._services.popitem(last=False)
        return size
