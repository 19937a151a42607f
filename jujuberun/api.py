"""High-level functions; the command-line tool uses only this module."""

import importlib
import json
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import httpx
from result import Err, Ok, Result

from jujuberun.addresses import format_address
from jujuberun.caller import Caller, CallResult
from jujuberun.errors import (
    JujuberunError,
    ManifestError,
    RequestError,
    SettingsError,
)
from jujuberun.ids import Address, Outcome
from jujuberun.logfiles import find_flow
from jujuberun.manifest import MAX_MANIFEST_BYTES, Manifest, parse_manifest
from jujuberun.measure import MEASUREMENTS, Options, Report
from jujuberun.quic import make_client_tls
from jujuberun.reference import REFERENCES
from jujuberun.settings import Settings, load_settings
from jujuberun.text_output import (
    make_report_document,
    write_explanation,
    write_manifest_summary,
    write_report,
    write_state,
)

__all__ = [
    "JujuberunError",
    "Options",
    "Outcome",
    "Report",
    "call",
    "check_manifest",
    "check_settings",
    "fetch_explanation",
    "fetch_state",
    "find_flow",
    "find_plot_problem",
    "list_measurements",
    "make_reference",
    "make_report_document",
    "run_measurement",
    "save_plot",
    "write_explanation",
    "write_manifest_summary",
    "write_report",
    "write_state",
]

FETCH_TIMEOUT_S = 10.0
MAX_STATE_BYTES = 64 << 20
PLOT_ENDINGS = (".png", ".svg", ".pdf")


def check_manifest(path: Path) -> Result[Manifest, ManifestError]:
    """Reads and checks a manifest file.

    Returns:
        Ok with the manifest, or Err that names key, value and allowed values.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_MANIFEST_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return Err(ManifestError("read manifest", "", reason))
    return parse_manifest(data)


def check_settings(path: Path) -> Result[Settings, SettingsError]:
    """Reads and checks a settings file.

    Returns:
        Ok with the settings, or Err that names file, key and remedy.
    """
    return load_settings(path)


def make_reference(name: str) -> str:
    """Returns a reference section of docs/operators.md, in Markdown.

    Args:
        name: settings, manifest, metrics or logs.
    """
    return REFERENCES[name]()


async def fetch_state(address: Address) -> Result[dict[str, Any], RequestError]:
    """Returns the state of a daemon's parts by name.

    Args:
        address: admin address of the daemon.
    """
    return await _fetch("fetch state", address, "/state", {})


async def fetch_explanation(
    address: Address, service: str, flow: Address
) -> Result[dict[str, Any], RequestError]:
    """Returns where a daemon would send a packet of a flow, and why.

    Args:
        address: admin address of the daemon.
        service: id of the service.
        flow: address of the caller.
    """
    query = {"service": service, "flow": format_address(flow)}
    return await _fetch("explain flow", address, "/explain", query)


async def _fetch(
    step: str, address: Address, path: str, query: Mapping[str, str]
) -> Result[dict[str, Any], RequestError]:
    peer = format_address(address)
    url = f"http://{peer}{path}"
    try:
        # Proxy settings of the environment are ignored, because a proxy cannot
        # reach a loopback address.
        async with (
            httpx.AsyncClient(
                trust_env=False, timeout=FETCH_TIMEOUT_S
            ) as client,
            client.stream("GET", url, params=query) as response,
        ):
            body = await _read_body(response)
    except httpx.HTTPError as error:
        reason = str(error) or type(error).__name__
        return Err(RequestError(step, peer, f"no answer: {reason}"))
    if body is None:
        return Err(
            RequestError(
                step, peer, f"the answer exceeds {MAX_STATE_BYTES} bytes"
            )
        )
    return _parse_answer(step, peer, body)


async def _read_body(response: httpx.Response) -> bytes | None:
    body = bytearray()
    async for part in response.aiter_bytes():
        body += part
        if len(body) > MAX_STATE_BYTES:
            return None
    return bytes(body)


def _parse_answer(
    step: str, peer: str, body: bytes
) -> Result[dict[str, Any], RequestError]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        document = None
    if not isinstance(document, dict):
        remedy = "is this the admin address of a daemon?"
        return Err(
            RequestError(
                step, peer, f"the answer is not a JSON object; {remedy}"
            )
        )
    error = document.get("error")
    if isinstance(error, str):
        return Err(RequestError(step, peer, error))
    return Ok(document)


class _NoRetryBudget:
    """Retry budget that allows no retry, so a command makes one attempt."""

    def record_request(self, now: float) -> None:
        """Does nothing."""

    def allow_retry(self, now: float) -> bool:
        """Returns False."""
        return False


async def call(
    address: Address,
    method: str,
    path: str,
    body: bytes,
    *,
    idempotent: bool,
    timeout: float,
    server_name: str,
    authorities: bytes | None,
) -> CallResult:
    """Sends one request to a service.

    Args:
        address: address of the service.
        method: HTTP method.
        path: path and query.
        body: whole body.
        idempotent: whether the request may be run twice without harm.
        timeout: seconds.
        server_name: name that the service's certificate must contain.
        authorities: PEM text of the accepted certificate authorities, or None
            for those of the system.

    Returns:
        The result, whose outcome is answered, not run or unknown.
    """
    tls = make_client_tls(server_name, authorities)
    async with Caller(tls, _NoRetryBudget()) as library:
        return await library.request(
            address, method, path, body, idempotent=idempotent, timeout=timeout
        )


def list_measurements() -> tuple[str, ...]:
    """Returns the names of all measurements."""
    return tuple(MEASUREMENTS)


def run_measurement(name: str, options: Options) -> Report:
    """Runs a measurement.

    Args:
        name: one of list_measurements().
        options: options of the run, such as the seed.

    Raises:
        JujuberunError: the module of the measurement cannot be imported.
    """
    module_name, _, function = MEASUREMENTS[name].partition(":")
    measure: Callable[[Options], Report]
    try:
        measure = getattr(importlib.import_module(module_name), function)
    except ImportError as error:
        remedy = "install jujuberun[measure]"
        raise JujuberunError(
            "measure", name, f"cannot be loaded: {error}; {remedy}"
        ) from error
    return measure(options)


def find_plot_problem(path: Path) -> str | None:
    """Returns why a plot cannot be saved at a path, or None if it can.

    Callers check this before a measurement, so that a long run is not lost.
    """
    if path.suffix not in PLOT_ENDINGS:
        return f"{path}: must end in one of {', '.join(PLOT_ENDINGS)}"
    if not path.absolute().parent.is_dir():
        return f"{path}: its directory does not exist"
    try:
        importlib.import_module("matplotlib")
    except ImportError:
        return "plots need matplotlib: install jujuberun[measure]"
    return None


def save_plot(report: Report, path: Path) -> None:
    """Saves the series of a report as a plot.

    Args:
        report: report with at least one series.
        path: file whose name ends in one of PLOT_ENDINGS.

    Raises:
        JujuberunError: the report has no series, or the file cannot be
            written.
    """
    if not report.series:
        raise JujuberunError(
            "save plot", report.name, "the report has no series"
        )
    figure_module = importlib.import_module("matplotlib.figure")
    figure = figure_module.Figure(layout="constrained")
    axes = figure.subplots()
    for series in report.series:
        axes.plot(series.x, series.y, marker=".", label=series.label)
    axes.set_xlabel(report.x_label)
    axes.set_ylabel(report.y_label)
    axes.set_title(f"{report.name}, seed {report.seed}")
    axes.legend()
    try:
        figure.savefig(path)
    except OSError as error:
        reason = error.strerror or str(error)
        raise JujuberunError("save plot", str(path), reason) from error
