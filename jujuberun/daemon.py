"""The daemon jujuberund; the settings choose its role, balancer or agent."""

import argparse
import signal
import sys
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok

from jujuberun.addresses import format_address
from jujuberun.assembly import (
    Network,
    add_role,
    assemble,
    find_role_part,
)
from jujuberun.errors import JujuberunError
from jujuberun.ids import Role
from jujuberun.kernel import Kernel
from jujuberun.logs import make_logger, set_up_logs
from jujuberun.reload import Reloader
from jujuberun.settings import Settings, load_settings
from jujuberun.signals import block_signals, unblock_signals

EXIT_SETTINGS = 2
EXIT_FORCED = 3
_MANIFEST_POLL_S = 0.1
logger = make_logger("daemon")


async def run_daemon(settings: Settings, path: Path, network: Network) -> int:
    """Runs a daemon until a signal stops it.

    On SIGHUP it reloads its settings.

    Args:
        settings: checked settings.
        path: the settings file.
        network: the network that the daemon runs in.

    Returns:
        Exit status: 0 after a graceful stop, EXIT_FORCED if a second signal
        ended it before open flows and requests were done.
    """
    kernel = assemble(settings, network)
    status = 0
    async with anyio.create_task_group() as group:
        await group.start(kernel.run)
        group.start_soon(_start_role, kernel, settings, network)
        reloader = Reloader(path, settings, kernel)
        group.start_soon(reloader.run)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            unblock_signals()
            try:
                status = await _follow_signals(
                    signals, kernel, settings, reloader, group
                )
            finally:
                # The handlers are removed on leaving this block; a SIGHUP that
                # is not blocked would then end the process while it stops.
                block_signals()
        kernel.stop()
        group.cancel_scope.cancel()
    logger.info("Stopped with status %d.", status)
    return status


async def _follow_signals(
    signals: AsyncIterator[signal.Signals],
    kernel: Kernel,
    settings: Settings,
    reloader: Reloader,
    group: TaskGroup,
) -> int:
    """Handles signals; returns when a second one ends the graceful stop."""
    stopping = False
    async for received in signals:
        if received == signal.SIGHUP:
            reloader.reload()
            continue
        if stopping:
            break
        stopping = True
        logger.info("Graceful stop begins.")
        group.start_soon(_drain, kernel, settings, group.cancel_scope)
    return _report_forced_stop(kernel, settings)


async def _start_role(
    kernel: Kernel, settings: Settings, network: Network
) -> None:
    """Starts the parts of the role; waits for a manifest if they need one."""
    if settings.packet.address is None:
        await _add_role_of_manifest(kernel, settings, network)
    else:
        add_role(kernel, settings, network, None)
    logger.info(
        "%s %s serves peers on %s.",
        settings.role.value,
        settings.vm,
        format_address(settings.peer),
    )


async def _add_role_of_manifest(
    kernel: Kernel, settings: Settings, network: Network
) -> None:
    generations = kernel.find("generations")
    spread = kernel.find("spread")
    warned = False
    # A process with older documents than its peers could create flows that
    # its peers already own.
    await spread.wait_confirmed()
    while True:
        version = generations.current
        try:
            if version is not None:
                add_role(kernel, settings, network, version.manifest)
                break
        except KeyError:
            if not warned:
                logger.warning(
                    "Target %s is not in the manifest; waiting for a manifest "
                    "that contains it.",
                    settings.agent.target,
                )
                warned = True
        await anyio.sleep(_MANIFEST_POLL_S)


async def _drain(
    kernel: Kernel, settings: Settings, scope: anyio.CancelScope
) -> None:
    kernel.find("dump").draining = True
    part = find_role_part(settings)
    if not kernel.has(part):
        # The role has not started: it still waits for a manifest.
        scope.cancel()
        return
    match settings.role:
        case Role.BALANCER:
            quiet = settings.balancer.drain_timeout
            limit = settings.balancer.drain_limit
            await kernel.find(part).drain(quiet, limit)
        case Role.AGENT:
            limit = settings.agent.drain_timeout
            ended_flows = await kernel.find(part).drain(limit)
            if kernel.has("runner"):
                kernel.find("runner").draining = True
                await kernel.find("link").drain(limit)
            if ended_flows:
                logger.warning(
                    "Drain timeout ended %d open flows.", ended_flows
                )
    scope.cancel()


def _report_forced_stop(kernel: Kernel, settings: Settings) -> int:
    ended_flows = 0
    part = find_role_part(settings)
    if settings.role is Role.AGENT and kernel.has(part):
        ended_flows = kernel.find(part).count_flows()
    logger.warning("Second signal: ending %d flows.", ended_flows)
    return EXIT_FORCED


def make_parser(prog: str) -> argparse.ArgumentParser:
    """Returns the parser of the daemon's command line."""
    parser = argparse.ArgumentParser(
        prog=prog,
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
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Entry point of jujuberund."""
    return start_daemon(arguments, "jujuberund", _make_network)


def start_daemon(
    arguments: Sequence[str] | None,
    prog: str,
    make_network: Callable[[Settings], Network],
) -> int:
    """Parses the command line and runs a daemon.

    Args:
        arguments: command-line arguments, None for those of the process.
        prog: name of the program in messages.
        make_network: returns the network that the settings describe.

    Returns:
        Exit status: 0 after a graceful stop, 1 if it could not start,
        EXIT_SETTINGS for invalid settings, EXIT_FORCED after a second signal.
    """
    block_signals()
    options = make_parser(prog).parse_args(arguments)
    match load_settings(options.config):
        case Err(error):
            print(f"{prog}: {error}", file=sys.stderr)
            return EXIT_SETTINGS
        case Ok(settings):
            pass
    set_up_logs(settings.log)
    try:
        network = make_network(settings)
        return anyio.run(run_daemon, settings, options.config, network)
    except (JujuberunError, OSError) as error:
        print(f"{prog}: {error}", file=sys.stderr)
        return 1


def _make_network(settings: Settings) -> Network:
    from jujuberun.source import make_source

    return Network(make_source(settings.platform, settings.vm))


if __name__ == "__main__":
    sys.exit(main())
