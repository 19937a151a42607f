"""Builds the parts of a daemon from its settings."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from jujuberun.admin_server import AdminServer
from jujuberun.frames import FrameCodec
from jujuberun.ids import Role
from jujuberun.kernel import Kernel
from jujuberun.peers import Peers
from jujuberun.port import SocketPort
from jujuberun.settings import Settings
from jujuberun.wire import Codec, Signer

if TYPE_CHECKING:
    from jujuberun.manifest import Manifest
    from jujuberun.source import Source


@dataclass(frozen=True, slots=True)
class Network:
    """Platform-specific interfaces of a daemon.

    Attributes:
        source: reads the published manifest and VM list, None for a role
            that needs neither.
        codec: encodes and decodes packets, None without packet services.
    """

    source: "Source | None"
    codec: FrameCodec | None = None


def assemble(settings: Settings, network: Network) -> Kernel:
    """Builds all parts of a daemon except those that add_role adds.

    Args:
        settings: checked settings.
        network: the network that the daemon runs in.

    Raises:
        OSError: an address cannot be bound.
    """
    kernel = Kernel()
    signer = Signer(settings.keys)
    peers = Peers(SocketPort.bind(settings.peer), Codec(signer))
    kernel.register(peers)
    if needs_documents(settings):
        # Imported only if needed: loading these modules takes 50 ms at start,
        # which agents of packet targets save.
        from jujuberun.document_parts import add_document_parts

        add_document_parts(kernel, settings, network.source, signer)
    kernel.register(AdminServer(kernel, settings.admin))
    return kernel


def needs_documents(settings: Settings) -> bool:
    """Returns whether the role needs the manifest and the VM list.

    The agent of a packet target does not: each packet contains what it needs.
    """
    return settings.role is Role.BALANCER or settings.packet.address is None


def find_role_part(settings: Settings) -> str:
    """Returns the name of the part that handles the role's traffic."""
    if settings.packet.address is None:
        return settings.role.value
    return "relay" if settings.role is Role.BALANCER else "sidecar"


def add_role(
    kernel: Kernel,
    settings: Settings,
    network: Network,
    manifest: "Manifest | None",
) -> None:
    """Adds the parts of the daemon's role.

    Args:
        kernel: kernel returned by assemble.
        settings: checked settings.
        network: the network that the daemon runs in.
        manifest: the manifest in force, None for packet services.

    Raises:
        KeyError: the agent's target is not in the manifest.
        RequestError: the certificate cannot be read.
    """
    # Only one of the two modules is imported: QUIC and TLS take 30 MB and
    # 0.3 s at start, which a role without them saves.
    if settings.packet.address is not None:
        from jujuberun.packet_parts import add_packet_role

        add_packet_role(kernel, settings, network.codec)
        return
    from jujuberun.request_parts import add_request_role

    add_request_role(kernel, settings, manifest)
