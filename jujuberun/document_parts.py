"""Assembly of the parts that keep the platform's documents up to date."""

import anyio

from jujuberun.draining.drains import Drains
from jujuberun.generations import Generations
from jujuberun.ids import Address
from jujuberun.kernel import Kernel
from jujuberun.link import Link
from jujuberun.members import Members
from jujuberun.peers import Peers
from jujuberun.roster import Roster
from jujuberun.settings import Settings
from jujuberun.source import Source
from jujuberun.spread import Spread
from jujuberun.watch import ReadPace
from jujuberun.wire import Signer, Status


def find_seeds(settings: Settings) -> tuple[Address, ...]:
    """Returns the peer addresses of the seeds.

    A seed port in the settings replaces the ports of the seeds.
    """
    if not settings.seed_port:
        return settings.seeds
    return tuple((host, settings.seed_port) for host, _ in settings.seeds)


def add_document_parts(
    kernel: Kernel, settings: Settings, source: Source, signer: Signer
) -> None:
    """Registers the parts that keep the platform's documents up to date.

    Args:
        kernel: receives the parts; its part "peers" sends and receives the
            messages.
        settings: settings of the daemon.
        source: reads documents from the platform.
        signer: signs messages on the link to peers.
    """
    peers: Peers = kernel.find("peers")
    link = Link(settings.peer, signer)
    generations = Generations()
    drains = Drains() if source.publishes_drains else None
    seeds = find_seeds(settings)
    platform = settings.platform
    roster = None
    if not platform.lists_balancers:
        roster = Roster(settings.peer, seeds, platform.watch_wait)
    members = Members(settings.vm, roster.list_hosts if roster else tuple)
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
            max_wait=platform.watch_wait,
            start_spread=platform.start_spread,
            retry_limit=platform.retry_limit,
        ),
        drains=drains,
    )
    peers.register(Status, spread.handle_status)
    peers.subscribe_pauses(spread.ask_peers)
    if drains is not None:
        kernel.register(drains)
    for part in (generations, members, link, spread):
        kernel.register(part)
