"""Assembly: builds the parts of a daemon from its settings."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from jujuberun.dump import Dump
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
    """What a daemon needs to know of the network that it runs in.

    Attributes:
        source: where manifest and VM list are published, None for a role
            without documents.
        codec: format of the packets, None without packet services.
    """

    source: "Source | None"
    codec: FrameCodec | None = None


def assemble(settings: Settings, network: Network) -> Kernel:
    """Builds all parts of a daemon but those of its role; see add_role.

    Args:
        settings: checked settings.
        network: the network that it runs in.

    Raises:
        OSError: an address cannot be bound.
    """
    kernel = Kernel()
    signer = Signer(settings.keys)
    peers = Peers(SocketPort.bind(settings.peer), Codec(signer))
    kernel.register(peers)
    if needs_documents(settings):
        # Agents of packet targets do without; loading these parts costs them
        # 50 ms at start.
        from jujuberun.document_parts import add_documents

        add_documents(kernel, settings, network.source, signer)
    kernel.register(Dump(kernel, settings.admin))
    return kernel


def needs_documents(settings: Settings) -> bool:
    """Returns whether the role needs manifest and VM list.

    The agent of a packet target learns what it needs from each packet.
    """
    return settings.role is Role.BALANCER or settings.packet.address is None


def find_role_part(settings: Settings) -> str:
    """Returns the name of the part that carries the role's traffic."""
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
        kernel: what assemble returned.
        settings: checked settings.
        network: the network that it runs in.
        manifest: the manifest in force, None for a role without documents.

    Raises:
        KeyError: the agent's target is not in the manifest.
        RequestError: the certificate cannot be read.
    """
    # Only one of the two is loaded: QUIC and TLS cost 30 MB and 0.3 s at
    # start, which a role without them saves.
    if settings.packet.address is not None:
        from jujuberun.packet_parts import add_packet_role

        add_packet_role(kernel, settings, network.codec)
        return
    from jujuberun.request_parts import add_request_role

    add_request_role(kernel, settings, manifest)
