"""Kernel parts for services whose targets terminate packet flows themselves."""

from jujuberun.frames import FrameCodec
from jujuberun.ids import Role
from jujuberun.kernel import Kernel
from jujuberun.port import SocketPort
from jujuberun.settings import Settings


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
        # Each role imports only its own part: loading the other one takes a
        # tenth of an agent's start.
        case Role.BALANCER:
            from jujuberun.relay import Relay

            relay = Relay(
                port,
                codec,
                peers,
                kernel.find("generations"),
                kernel.find("members"),
                settings.domain,
                settings.balancer.cache_flows,
                kernel.find("drains") if kernel.has("drains") else None,
                settings.warmup,
                packet.link_rate,
                settings.overload.order_by_loss,
            )
            kernel.register(relay)
        case Role.AGENT:
            from jujuberun.sidecar import Sidecar

            outbound = SocketPort.bind(packet.outbound)
            sidecar = Sidecar(
                port, outbound, packet.target, packet.pool, codec, peers
            )
            kernel.register(sidecar)
