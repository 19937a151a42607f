"""Settings of a daemon, read from a TOML file and checked at start."""

import dataclasses
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from jujuberun.addresses import format_address
from jujuberun.errors import SettingsError
from jujuberun.ids import Address, DomainId, PoolId, Role, TargetId, VmId
from jujuberun.overload.settings import OverloadSettings
from jujuberun.values import (
    format_key,
    format_value,
    read_address,
    read_address_map,
    read_addresses,
    read_amount,
    read_count,
    read_flag,
    read_format,
    read_keys,
    read_level,
    read_name,
    read_optional_address,
    read_optional_name,
    read_optional_text,
    read_port,
    read_role,
    read_seconds,
    read_text,
    read_url,
    shorten,
)
from jujuberun.warmup.bounds import WarmupSettings

MAX_SETTINGS_BYTES = 1_000_000
_MISSING = object()


def _define(
    read: Callable[[Any], Any],
    about: str,
    default: Any = _MISSING,
    secret: bool = False,
) -> Any:
    metadata = {"read": read, "about": about, "secret": secret}
    if default is _MISSING:
        return field(metadata=metadata)
    if isinstance(default, dict):
        return field(metadata=metadata, default_factory=dict)
    return field(metadata=metadata, default=default)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Sources of the manifest and the VM list: a URL or two files."""

    url: str = _define(read_url, "Base URL of the configuration service.", "")
    manifest: str = _define(
        read_optional_text, "Manifest file, used if url is empty.", ""
    )
    vms: str = _define(
        read_optional_text, "VM list file, used if url is empty.", ""
    )
    lists_balancers: bool = _define(
        read_flag,
        "Whether the VM list names the balancers; if not, they find each "
        "other through the seeds.",
        True,
    )
    watch_wait: float = _define(
        read_seconds, "Maximum seconds that a watch waits for a change.", 2.0
    )
    start_spread: float = _define(
        read_seconds,
        "Seconds over which processes that start together spread their reads.",
        5.0,
    )
    retry_limit: float = _define(
        read_seconds, "Longest pause after failed reads, in seconds.", 10.0
    )


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings that only an agent uses."""

    target: TargetId = _define(
        read_optional_name,
        "Id of the agent's target in the manifest.",
        TargetId(""),
    )
    certificate: str = _define(
        read_optional_text, "PEM file with the certificate chain.", ""
    )
    private_key: str = _define(
        read_optional_text, "PEM file with the private key.", ""
    )
    drain_timeout: float = _define(
        read_seconds,
        "Longest wait of a graceful stop for open flows and requests, in "
        "seconds.",
        3600.0,
    )
    idle_timeout: float = _define(
        read_seconds,
        "Seconds without packets after which a datagram flow ends.",
        3600.0,
    )


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings that only a balancer uses."""

    cache_flows: int = _define(
        read_count, "Maximum number of flows in the cache.", 400_000
    )
    drain_timeout: float = _define(
        read_seconds, "Seconds without packets that end a graceful stop.", 2.0
    )
    drain_limit: float = _define(
        read_seconds, "Longest duration of a graceful stop, in seconds.", 30.0
    )


@dataclass(frozen=True, slots=True)
class PacketSettings:
    """Addresses for services of protocol packet."""

    address: Address | None = _define(
        read_optional_address,
        "Address for packets from callers and other daemons, UDP.",
        None,
    )
    outbound: Address | None = _define(
        read_optional_address,
        "Agent: address to which the target sends its packets.",
        None,
    )
    target: Address | None = _define(
        read_optional_address,
        "Agent: address at which the target receives packets.",
        None,
    )
    pool: PoolId = _define(
        read_optional_name, "Agent: pool that its target serves.", PoolId("")
    )
    link_rate: float = _define(
        read_amount, "Balancer: rate of its link, Mbit/s; 0 for unknown.", 0.0
    )


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Level and format of the log."""

    level: str = _define(read_level, "Lowest level that is logged.", "info")
    format: str = _define(
        read_format, "Format of the lines: text or JSON.", "text"
    )


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon."""

    role: Role = _define(read_role, "Role of the daemon: balancer or agent.")
    vm: VmId = _define(
        read_text, "Id of the daemon's VM in the platform's VM list."
    )
    domain: DomainId = _define(read_name, "Failure domain of the VM.")
    peer: Address = _define(
        read_address, "Address for messages from other daemons, UDP and TCP."
    )
    keys: tuple[bytes, ...] = _define(
        read_keys,
        "MAC keys in hex; the first signs, all verify.",
        secret=True,
    )
    admin: Address = _define(
        read_address,
        "Address of the state dump and the metrics, HTTP.",
        ("127.0.0.1", 0),
    )
    seeds: tuple[Address, ...] = _define(
        read_addresses, "Peers to ask first, while no VM list is known.", ()
    )
    seed_port: int = _define(
        read_port,
        "Peer port of all seeds, used instead of the ports in seeds; 0 keeps "
        "the ports in seeds.",
        0,
    )
    addresses: dict[Address, Address] = _define(
        read_address_map,
        "Table of service addresses and the local addresses bound for them.",
        {},
    )
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    agent: AgentSettings = field(default_factory=AgentSettings)
    balancer: BalancerSettings = field(default_factory=BalancerSettings)
    packet: PacketSettings = field(default_factory=PacketSettings)
    warmup: WarmupSettings = field(default_factory=WarmupSettings)
    overload: OverloadSettings = field(default_factory=OverloadSettings)
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, slots=True)
class SettingsEntry:
    """One line of the settings reference.

    Attributes:
        key: name of the key with its table, as in "agent.target".
        default: default value as in TOML, empty if the key is required.
        about: description of the key.
    """

    key: str
    default: str
    about: str


def list_entries(
    kind: type = Settings, prefix: str = ""
) -> tuple[SettingsEntry, ...]:
    """Returns all keys with default and description, in order."""
    entries: list[SettingsEntry] = []
    for item in dataclasses.fields(kind):
        if "read" not in item.metadata:
            entries += list_entries(item.type, f"{prefix}{item.name}.")
            continue
        key = prefix + item.name
        default = _format_default(item)
        entries.append(SettingsEntry(key, default, item.metadata["about"]))
    return tuple(entries)


def _format_default(item: dataclasses.Field) -> str:
    if item.default_factory is not dataclasses.MISSING:
        return "{}"
    match item.default:
        case dataclasses.MISSING:
            return ""
        case (str() as host, int() as port):
            return f'"{host}:{port}"'
        case None:
            return '""'
        case tuple():
            return "[]"
        case bool() as flag:
            return str(flag).lower()
        case str() as text:
            return f'"{text}"'
        case number:
            return str(number)


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Reads and checks a settings file.

    Args:
        path: TOML file.

    Returns:
        Ok with the settings, or Err with one line that names the file, the
        key, what is wrong and what is allowed.
    """
    try:
        text = _read_file(path)
        data = tomllib.loads(text)
    except _SettingError as problem:
        return _refuse(path, problem.key, problem.message)
    except OSError as error:
        return _refuse(path, "file", f"cannot be read ({error.strerror})")
    except RecursionError:
        return _refuse(path, "file", "nests tables or arrays too deeply")
    except ValueError as error:
        # Invalid TOML or UTF-8, or an integer with thousands of digits.
        return _refuse(path, "file", f"is not TOML: {shorten(str(error))}")
    return parse_settings(data, path)


def parse_settings(
    data: dict[str, Any], path: Path
) -> Result[Settings, SettingsError]:
    """Checks settings that are already parsed.

    Args:
        data: tables of the TOML file.
        path: the file, for the error message.
    """
    try:
        settings = _build(Settings, data, "")
        _check_combinations(settings)
    except _SettingError as problem:
        return _refuse(path, problem.key, problem.message)
    return Ok(settings)


def _read_file(path: Path) -> str:
    with path.open("rb") as file:
        data = file.read(MAX_SETTINGS_BYTES + 1)
    if len(data) > MAX_SETTINGS_BYTES:
        raise _SettingError("file", f"has more than {MAX_SETTINGS_BYTES} bytes")
    return data.decode("utf-8")


def _check_combinations(settings: Settings) -> None:
    platform, agent = settings.platform, settings.agent
    if not platform.url and not platform.manifest:
        raise _SettingError("platform", "needs url or manifest")
    if platform.url and (platform.manifest or platform.vms):
        raise _SettingError("platform", "takes url or files, not both")
    if settings.packet.address is None:
        if settings.role is Role.AGENT and not agent.target:
            raise _SettingError("agent.target", "is missing; use a target id")
    elif settings.role is Role.AGENT:
        _check_packet_agent(settings.packet)
    if agent.certificate and not agent.private_key:
        raise _SettingError("agent.private_key", "is required with certificate")
    if agent.private_key and not agent.certificate:
        raise _SettingError("agent.certificate", "is required with private_key")
    if settings.admin[1] and settings.admin == settings.peer:
        raise _SettingError("admin", "is equal to peer; use another port")
    _check_local_addresses(settings)


def _check_packet_agent(packet: PacketSettings) -> None:
    if packet.outbound is None:
        raise _SettingError("packet.outbound", "is missing; use host:port")
    if packet.target is None:
        raise _SettingError("packet.target", "is missing; use host:port")
    if not packet.pool:
        raise _SettingError("packet.pool", "is missing; use the pool's id")


def _check_local_addresses(settings: Settings) -> None:
    taken: dict[Address, Address] = {}
    for address, local in settings.addresses.items():
        key = f"addresses.{format_address(address)}"
        if local in taken:
            other = format_address(taken[local])
            raise _SettingError(key, f"is already the local address of {other}")
        if local == settings.peer and local[1]:
            raise _SettingError(key, "is equal to peer; use another port")
        if local[1]:
            taken[local] = address


# Raised if a key is missing or unknown, or if its value is not allowed.
class _SettingError(Exception):
    def __init__(self, key: str, message: str) -> None:
        super().__init__(key, message)
        self.key = key
        self.message = message


def _build(kind: type, data: Any, prefix: str) -> Any:
    if not isinstance(data, dict):
        raise _SettingError(prefix.rstrip("."), "must be a table")
    fields = {item.name: item for item in dataclasses.fields(kind)}
    for key in data:
        if key not in fields:
            known = ", ".join(sorted(fields))
            raise _SettingError(
                prefix + format_key(key), f"is unknown; known: {known}"
            )
    values = {}
    for name, item in fields.items():
        key = prefix + name
        if name not in data:
            has_default = (
                item.default is not dataclasses.MISSING
                or item.default_factory is not dataclasses.MISSING
            )
            if has_default:
                continue
            raise _SettingError(key, f"is required ({item.metadata['about']})")
        read = item.metadata.get("read")
        if read is None:
            values[name] = _build(item.type, data[name], key + ".")
            continue
        try:
            values[name] = read(data[name])
        except ValueError as error:
            shown = format_value(data[name], item.metadata["secret"])
            # The text of the error states the allowed values.
            raise _SettingError(key, f"is {shown}; expected {error}") from error
    return kind(**values)


def _refuse(path: Path, key: str, message: str) -> Err[SettingsError]:
    return Err(SettingsError("load settings", str(path), f"{key}: {message}"))
