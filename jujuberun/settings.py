"""Settings of a daemon: a TOML file, checked on start."""

import dataclasses
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from jujuberun.errors import SettingsError
from jujuberun.ids import Address, DomainId, Role, TargetId, VmId
from jujuberun.manifest import parse_address

MIN_KEY_BYTES = 16
_MISSING = object()


def _read_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("a text in quotes")
    return value


def _read_optional_text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("a text in quotes")
    return value


def _read_role(value: Any) -> Role:
    try:
        return Role(value)
    except ValueError:
        raise ValueError('"balancer" or "agent"') from None


def _read_address(value: Any) -> Address:
    try:
        host, port = parse_address(_read_text(value))
        parts = [int(part) for part in host.split(".")]
    except ValueError:
        raise ValueError('an address as in "192.0.2.1:7100"') from None
    if len(parts) != 4 or not all(0 <= part <= 255 for part in parts):
        raise ValueError('an address as in "192.0.2.1:7100"')
    if not 0 <= port <= 65_535:
        raise ValueError("a port from 0 to 65535")
    return host, port


def _read_addresses(value: Any) -> tuple[Address, ...]:
    if not isinstance(value, list):
        raise ValueError('a list of addresses as in ["192.0.2.1:7100"]')
    return tuple(_read_address(entry) for entry in value)


def _read_address_map(value: Any) -> dict[Address, Address]:
    if not isinstance(value, dict):
        raise ValueError('a table of lines as "192.0.2.1:443" = "10.0.0.1:443"')
    return {_read_address(k): _read_address(v) for k, v in value.items()}


def _read_keys(value: Any) -> tuple[bytes, ...]:
    remedy = f"a list of one or two keys of {MIN_KEY_BYTES} to 64 bytes in hex"
    if not isinstance(value, list) or not 1 <= len(value) <= 2:
        raise ValueError(remedy)
    try:
        keys = tuple(bytes.fromhex(entry) for entry in value)
    except (TypeError, ValueError):
        raise ValueError(remedy) from None
    if not all(MIN_KEY_BYTES <= len(key) <= 64 for key in keys):
        raise ValueError(remedy)
    return keys


def _read_level(value: Any) -> str:
    if value not in ("debug", "info", "warning", "error"):
        raise ValueError('"debug", "info", "warning" or "error"')
    return value


def _read_format(value: Any) -> str:
    if value not in ("text", "json"):
        raise ValueError('"text" or "json"')
    return value


def _read_seconds(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("a number of seconds above 0")
    if not 0 < value <= 86_400 * 7:
        raise ValueError("a number of seconds above 0")
    return float(value)


def _read_count(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise ValueError("a whole number from 1")
    return value


def _define(
    read: Callable[[Any], Any], about: str, default: Any = _MISSING
) -> Any:
    metadata = {"read": read, "about": about}
    if default is _MISSING:
        return field(metadata=metadata)
    if isinstance(default, dict):
        return field(metadata=metadata, default_factory=dict)
    return field(metadata=metadata, default=default)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the manifest and the VM list come from: a URL or two files."""

    url: str = _define(
        _read_optional_text, "Base URL of the configuration service.", ""
    )
    manifest: str = _define(
        _read_optional_text, "Manifest file, when there is no URL.", ""
    )
    vms: str = _define(
        _read_optional_text, "VM list file, when there is no URL.", ""
    )


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """What only an agent needs."""

    target: TargetId = _define(
        _read_optional_text, "Id of its target in the manifest.", TargetId("")
    )
    certificate: str = _define(
        _read_optional_text, "PEM file with the certificate chain.", ""
    )
    private_key: str = _define(
        _read_optional_text, "PEM file with the private key.", ""
    )
    drain_timeout: float = _define(
        _read_seconds,
        "Seconds that a graceful stop waits for open work at most.",
        3600.0,
    )
    idle_timeout: float = _define(
        _read_seconds,
        "Seconds until a datagram flow without packets ends.",
        3600.0,
    )


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """What only a balancer needs."""

    cache_flows: int = _define(
        _read_count, "Flows that the cache holds at most.", 400_000
    )
    drain_timeout: float = _define(
        _read_seconds,
        "Seconds that a graceful stop goes on forwarding.",
        2.0,
    )


@dataclass(frozen=True, slots=True)
class LogSettings:
    """How the process logs."""

    level: str = _define(_read_level, "Least level that is logged.", "info")
    format: str = _define(_read_format, "Lines of text or of JSON.", "text")


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon."""

    role: Role = _define(_read_role, "What the daemon does.")
    vm: VmId = _define(_read_text, "Id of its VM in the platform's list.")
    domain: DomainId = _define(_read_text, "Failure domain of its VM.")
    peer: Address = _define(
        _read_address, "Address for messages of other daemons, UDP and TCP."
    )
    keys: tuple[bytes, ...] = _define(
        _read_keys, "Keys of the MAC in hex; the first signs, all verify."
    )
    admin: Address = _define(
        _read_address,
        "Address of the state dump and the metrics, HTTP.",
        ("127.0.0.1", 0),
    )
    seeds: tuple[Address, ...] = _define(
        _read_addresses, "Peers to ask first, while no VM list is known.", ()
    )
    addresses: dict[Address, Address] = _define(
        _read_address_map,
        "Local address to bind in place of a service's address.",
        {},
    )
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    agent: AgentSettings = field(default_factory=AgentSettings)
    balancer: BalancerSettings = field(default_factory=BalancerSettings)
    log: LogSettings = field(default_factory=LogSettings)


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Reads and checks a settings file.

    Args:
        path: TOML file.

    Returns:
        Ok with the settings, or Err naming file, key and remedy in one line.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return _refuse(path, "file", f"cannot be read ({error.strerror})")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return _refuse(path, "file", f"is not TOML: {error}")
    try:
        settings = _build(Settings, data, "")
    except _KeyError as problem:
        return _refuse(path, problem.key, problem.remedy)
    return _check_together(path, settings)


def _check_together(
    path: Path, settings: Settings
) -> Result[Settings, SettingsError]:
    platform = settings.platform
    if not platform.url and not platform.manifest:
        return _refuse(path, "platform", "needs url or manifest")
    if platform.url and (platform.manifest or platform.vms):
        return _refuse(path, "platform", "takes either url or files, not both")
    if settings.role is Role.AGENT and not settings.agent.target:
        return _refuse(path, "agent.target", "is missing; name its target")
    return Ok(settings)


class _KeyError(Exception):
    def __init__(self, key: str, remedy: str) -> None:
        super().__init__(key, remedy)
        self.key = key
        self.remedy = remedy


def _build(kind: type, data: Any, prefix: str) -> Any:
    if not isinstance(data, dict):
        raise _KeyError(prefix.rstrip("."), "must be a table")
    fields = {entry.name: entry for entry in dataclasses.fields(kind)}
    for key in data:
        if key not in fields:
            known = ", ".join(sorted(fields))
            raise _KeyError(prefix + key, f"is unknown; known: {known}")
    values = {}
    for name, entry in fields.items():
        key = prefix + name
        if name not in data:
            has_default = (
                entry.default is not dataclasses.MISSING
                or entry.default_factory is not dataclasses.MISSING
            )
            if has_default:
                continue
            raise _KeyError(key, f"is missing; {entry.metadata['about']}")
        read = entry.metadata.get("read")
        if read is None:
            values[name] = _build(entry.type, data[name], key + ".")
            continue
        try:
            values[name] = read(data[name])
        except ValueError as error:
            raise _KeyError(key, f"is {data[name]!r}; use {error}") from error
    return kind(**values)


def _refuse(path: Path, key: str, remedy: str) -> Err[SettingsError]:
    return Err(SettingsError("load settings", str(path), f"{key}: {remedy}"))
