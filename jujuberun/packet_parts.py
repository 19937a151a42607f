"""Kernel parts for services whose targets terminate packet flows themselves."""

from jujuberun.frames import FrameCodec
from jujuberun.ids import Role
from jujuberun.kernel import Kernel
from jujuberun.port import SocketPort
from jujuberun.relay import Relay
from jujuberun.settings import Settings
from jujuberun.sidecar import Sidecar


def add_packet_role(
    kernel: Kernel, settings: Settings, codec: FrameCodec
) -> None:
    """Registers the balancer or the agent of packet flows.

    Args:
        kernel: kernel that has all parts except those of the role.
        settings: validated settings.
        codec: format of the packets.

    Raises:
        OSError: an address cannot be bound.
    """
    packet = settings.packet
    peers = kernel.find("peers")
    port = SocketPort.bind(packet.address)
    match settings.role:
        case Role.BALANCER:
            relay = Relay(
                port,
                codec,
                peers,
                kernel.find("generations"),
                kernel.find("members"),
                settings.domain,
                settings.balancer.cache_flows,
            )
            kernel.register(relay)
        case Role.AGENT:
            outbound = SocketPort.bind(packet.outbound)
            sidecar = Sidecar(
                port, outbound, packet.target, packet.pool, codec, peers
            )
            kernel.register(sidecar)
