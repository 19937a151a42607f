"""The daemon jujuberund: a balancer or an agent, by its settings."""

import argparse
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import anyio
from result import Err, Ok

from jujuberun.agent import Agent
from jujuberun.assembly import add_role, assemble
from jujuberun.balancer import Balancer
from jujuberun.errors import JujuberunError
from jujuberun.generations import Generations
from jujuberun.ids import Role
from jujuberun.kernel import Kernel
from jujuberun.logs import find_logger, set_up_logs
from jujuberun.manifest import format_address
from jujuberun.runner import Runner
from jujuberun.settings import Settings, load_settings
from jujuberun.spread import Spread

EXIT_SETTINGS = 2
EXIT_FORCED = 3
_MAX_DRAIN_BALANCER_S = 30.0
_WAIT_MANIFEST_S = 0.1
logger = find_logger("daemon")


async def run_daemon(settings: Settings) -> int:
    """Runs a daemon until it is stopped by a signal.

    Args:
        settings: checked settings.

    Returns:
        Exit status: 0 after a graceful stop, EXIT_FORCED when a second
        signal cut open work.
    """
    kernel = await assemble(settings)
    status = 0
    async with anyio.create_task_group() as group:
        await group.start(kernel.run)
        group.start_soon(_start_role, kernel, settings)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            first = True
            async for _ in signals:
                if not first:
                    status = _note_forced_stop(kernel)
                    break
                first = False
                logger.info("Graceful stop begins.")
                group.start_soon(_drain, kernel, settings, group.cancel_scope)
        kernel.stop()
        group.cancel_scope.cancel()
    logger.info("Stopped with status %d.", status)
    return status


async def _start_role(kernel: Kernel, settings: Settings) -> None:
    """Starts the parts of the role once a manifest names what they serve."""
    generations: Generations = kernel.find("generations")
    spread: Spread = kernel.find("spread")
    warned = False
    # A process that knows less than its peers could create flows that they
    # own already.
    await spread.wait_confirmed()
    while True:
        version = generations.current
        try:
            if version is not None:
                add_role(kernel, settings, version.manifest)
                break
        except KeyError:
            if not warned:
                logger.warning(
                    "Target %s is not in the manifest; waiting.",
                    settings.agent.target,
                )
                warned = True
        await anyio.sleep(_WAIT_MANIFEST_S)
    logger.info(
        "%s %s serves peers on %s.",
        settings.role.value,
        settings.vm,
        format_address(settings.peer),
    )


async def _drain(
    kernel: Kernel, settings: Settings, scope: anyio.CancelScope
) -> None:
    kernel.find("dump").draining = True
    if not kernel.has(settings.role.value):
        # It still waits for a manifest and serves nobody.
        scope.cancel()
        return
    match settings.role:
        case Role.BALANCER:
            quiet = settings.balancer.drain_timeout
            balancer: Balancer = kernel.find("balancer")
            await balancer.drain(quiet, _MAX_DRAIN_BALANCER_S)
        case Role.AGENT:
            agent: Agent = kernel.find("agent")
            cut = await agent.drain(settings.agent.drain_timeout)
            runner: Runner = kernel.find("runner")
            runner.draining = True
            await kernel.find("link").drain(settings.agent.drain_timeout)
            if cut:
                logger.warning("Drain timeout cut %d flows.", cut)
    scope.cancel()


def _note_forced_stop(kernel: Kernel) -> int:
    cut = 0
    if kernel.has("agent"):
        cut = kernel.find("agent").count_flows()
    logger.warning("Second signal; %d flows are cut.", cut)
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
    set_up_logs(settings.log)
    try:
        return anyio.run(run_daemon, settings)
    except (JujuberunError, OSError) as error:
        print(f"jujuberund: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
