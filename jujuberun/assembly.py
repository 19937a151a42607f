"""Assembly: builds the parts of a daemon from its settings."""

from dataclasses import dataclass

import anyio

from jujuberun.dump import Dump
from jujuberun.frames import FrameCodec
from jujuberun.generations import Generations
from jujuberun.ids import Address, Role
from jujuberun.kernel import Kernel
from jujuberun.link import Link
from jujuberun.manifest import Manifest
from jujuberun.members import Members
from jujuberun.metrics import Metrics
from jujuberun.peers import Peers
from jujuberun.port import SocketPort
from jujuberun.roster import Roster
from jujuberun.settings import Settings
from jujuberun.source import Source
from jujuberun.spread import Spread
from jujuberun.watch import ReadPace
from jujuberun.wire import Codec, Signer, Status


@dataclass(frozen=True, slots=True)
class Network:
    """What a daemon needs to know of the network that it runs in.

    Attributes:
        source: where manifest and VM list are published.
        codec: format of the packets, None without packet services.
    """

    source: Source
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
        _add_documents(kernel, settings, network.source, signer)
    kernel.register(Metrics(kernel))
    kernel.register(Dump(kernel, settings.admin))
    return kernel


def needs_documents(settings: Settings) -> bool:
    """Returns whether the role needs manifest and VM list.

    The agent of a packet target learns what it needs from each packet.
    """
    return settings.role is Role.BALANCER or settings.packet.address is None


def add_role(
    kernel: Kernel,
    settings: Settings,
    network: Network,
    manifest: Manifest | None,
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


def find_seeds(settings: Settings) -> tuple[Address, ...]:
    """Returns the peer addresses of the seeds."""
    if not settings.seed_port:
        return settings.seeds
    return tuple((host, settings.seed_port) for host, _ in settings.seeds)


def _add_documents(
    kernel: Kernel, settings: Settings, source: Source, signer: Signer
) -> None:
    """Adds the parts that keep manifest and VM list up to date."""
    peers: Peers = kernel.find("peers")
    link = Link(settings.peer, signer)
    generations = Generations()
    members = Members(settings.vm)
    seeds = find_seeds(settings)
    platform = settings.platform
    roster = None
    if not platform.lists_balancers:
        roster = Roster(settings.peer, seeds)
    spread = Spread(
        settings.vm,
        seeds,
        generations,
        members,
        link,
        peers.send,
        source,
        read_clock=anyio.current_time,
        roster=roster,
        pace=ReadPace(
            wait=platform.watch_wait,
            start_spread=platform.start_spread,
            retry_limit=platform.retry_limit,
        ),
    )
    peers.register(Status, spread.handle_status)
    peers.subscribe_pauses(spread.ask_peers)
    for part in (generations, members, link, spread):
        kernel.register(part)
