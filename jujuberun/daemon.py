"""The daemon jujuberund: a balancer or an agent, by its settings."""

import argparse
import logging
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

import anyio
from anyio.abc import TaskStatus
from result import Err, Ok

from jujuberun.agent import Agent
from jujuberun.balancer import Balancer
from jujuberun.errors import JujuberunError
from jujuberun.flows import DatagramFlow, Flow
from jujuberun.generations import Generations
from jujuberun.ids import Protocol, Role
from jujuberun.kernel import Kernel
from jujuberun.manifest import Service, Target, format_address
from jujuberun.peers import Peers
from jujuberun.port import SocketPort
from jujuberun.settings import Settings, load_settings
from jujuberun.wire import Codec, Signer

EXIT_SETTINGS = 2
EXIT_FORCED = 3
_MAX_DRAIN_BALANCER_S = 30.0
logger = logging.getLogger("jujuberun.daemon")


class FileFollower:
    """Part "source": reads the manifest file again and again."""

    name = "source"

    def __init__(self, path: Path, generations: Generations) -> None:
        self._path = anyio.Path(path)
        self._generations = generations

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Offers the file's content twice a second."""
        task_status.started()
        while True:
            try:
                data = await self._path.read_bytes()
            except OSError as error:
                logger.warning("daemon: Manifest not read: %s.", error.strerror)
            else:
                now = anyio.current_time()
                self._generations.offer(data, "platform", now)
            await anyio.sleep(0.5)

    def dump_state(self, now: float) -> dict[str, str]:
        """Returns the path of the file."""
        return {"path": str(self._path)}


def build_kernel(settings: Settings) -> Kernel:
    """Builds all parts of a daemon.

    Args:
        settings: checked settings.

    Raises:
        OSError: an address cannot be bound.
    """
    kernel = Kernel()
    generations = Generations()
    codec = Codec(Signer(settings.keys))
    peers = Peers(SocketPort.bind(settings.peer), codec)
    kernel.register(generations)
    kernel.register(peers)
    match settings.role:
        case Role.BALANCER:
            kernel.register(Balancer.from_config(settings, kernel))
        case Role.AGENT:
            kernel.register(build_agent(settings, kernel))
    path = Path(settings.platform.manifest)
    kernel.register(FileFollower(path, generations))
    return kernel


def build_agent(settings: Settings, kernel: Kernel) -> Agent:
    """Builds the agent part with its kinds of flows."""
    idle_timeout = settings.agent.idle_timeout

    def open_flow(
        service: Service, target: Target, send: Callable[[bytes], None]
    ) -> Flow:
        match service.protocol:
            case Protocol.DATAGRAM:
                port = SocketPort.connect(target.address)
                return DatagramFlow(
                    service, target.address, port, send, idle_timeout
                )
            case Protocol.REQUEST:
                raise OSError(0, "requests are not built in yet")

    return Agent(
        settings.agent.target,
        kernel.find("peers"),
        kernel.find("generations"),
        open_flow,
    )


async def run_daemon(settings: Settings) -> int:
    """Runs a daemon until it is stopped by a signal.

    Args:
        settings: checked settings.

    Returns:
        Exit status: 0 after a graceful stop, EXIT_FORCED when a second
        signal cut open work.
    """
    kernel = build_kernel(settings)
    status = 0
    async with anyio.create_task_group() as group:
        await group.start(kernel.run)
        logger.info(
            "daemon: %s %s serves peers on %s.",
            settings.role.value,
            settings.vm,
            format_address(settings.peer),
        )
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            first = True
            async for _ in signals:
                if not first:
                    status = _note_forced_stop(kernel, settings)
                    break
                first = False
                logger.info("daemon: Graceful stop begins.")
                group.start_soon(_drain, kernel, settings, group.cancel_scope)
        kernel.stop()
        group.cancel_scope.cancel()
    logger.info("daemon: Stopped with status %d.", status)
    return status


async def _drain(
    kernel: Kernel, settings: Settings, scope: anyio.CancelScope
) -> None:
    match settings.role:
        case Role.BALANCER:
            quiet = settings.balancer.drain_timeout
            balancer: Balancer = kernel.find("balancer")
            await balancer.drain(quiet, _MAX_DRAIN_BALANCER_S)
        case Role.AGENT:
            agent: Agent = kernel.find("agent")
            cut = await agent.drain(settings.agent.drain_timeout)
            if cut:
                logger.warning("daemon: Drain timeout cut %d flows.", cut)
    scope.cancel()


def _note_forced_stop(kernel: Kernel, settings: Settings) -> int:
    cut = 0
    if settings.role is Role.AGENT:
        cut = kernel.find("agent").count_flows()
    logger.warning("daemon: Second signal; %d flows are cut.", cut)
    return EXIT_FORCED


def main(arguments: Sequence[str] | None = None) -> int:
    """Entry point of jujuberund."""
    parser = argparse.ArgumentParser(
        prog="jujuberund",
        description=(
            "Runs one jujuberun daemon: a balancer on an entry VM or an agent "
            "beside a target, by its settings. SIGTERM or SIGINT stops it "
            "gracefully; a second signal ends it at once."
        ),
    )
    parser.add_argument(
        "--config",
        required=True,
        type=Path,
        metavar="FILE",
        help="settings file in TOML",
    )
    options = parser.parse_args(arguments)
    match load_settings(options.config):
        case Err(error):
            print(f"jujuberund: {error}", file=sys.stderr)
            return EXIT_SETTINGS
        case Ok(settings):
            return _start(settings)


def _start(settings: Settings) -> int:
    logging.basicConfig(
        level=settings.log.level.upper(),
        format="%(asctime)s %(levelname)s %(message)s",
    )
    try:
        return anyio.run(run_daemon, settings)
    except (JujuberunError, OSError) as error:
        print(f"jujuberund: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
