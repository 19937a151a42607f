"""Faults that a soak injects from outside the daemons."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from soak.processes import Daemon
from soak.promises import DRAIN_LIMIT_S, STORE
from soak.world import POOLS, TargetVm, World

# A draining target keeps running for this time beyond DRAIN_LIMIT_S.
DRAIN_EXTRA_S = 1.5
# Time from the exit of an agent until its address is used again.
ADDRESS_REUSE_DELAY_S = 2.0
SIGNAL_RETRY_S = 0.05
# The store removes the registration of a silent target after this time.
REGISTRATION_LIFETIME_S = 4.0
STATUS_BUSY, STATUS_DOWN = 429, 503

Fault = Callable[[World, random.Random], Awaitable[None]]


def _choose_daemons(
    world: World, rng: random.Random, maximum: int = 2
) -> list[Daemon]:
    """Returns randomly chosen daemons of either role."""
    daemons = [*world.daemons, *world.agents]
    return rng.sample(daemons, rng.randint(1, maximum))


def _list_names(daemons: list[Daemon]) -> tuple[str, ...]:
    return tuple(daemon.host.name for daemon in daemons)


async def _wait_random(
    rng: random.Random, minimum: float, maximum: float
) -> None:
    await anyio.sleep(rng.uniform(minimum, maximum))


async def kill_some(world: World, rng: random.Random) -> None:
    """Kills some processes, in up to three rounds while they restart."""
    daemons = _choose_daemons(world, rng, 3)
    with world.promises.mark_disturbed(_list_names(daemons)):
        for _ in range(rng.randint(1, 3)):
            for daemon in daemons:
                daemon.signal(signal.SIGKILL)
            await _wait_random(rng, 0.3, 1.5)


async def kill_all(world: World, rng: random.Random) -> None:
    """Kills all processes of one role, or of both, at once."""
    daemons = rng.choice(
        [world.daemons, world.agents, [*world.daemons, *world.agents]]
    )
    with world.promises.mark_disturbed(_list_names(daemons)):
        for daemon in daemons:
            daemon.signal(signal.SIGKILL)
        await anyio.sleep(1.0)


async def stop_in_turn(world: World, rng: random.Random) -> None:
    """Stops some processes gracefully, one by one; they start again."""
    for daemon in _choose_daemons(world, rng, 4):
        with world.promises.mark_disturbed(_list_names([daemon])):
            daemon.signal(signal.SIGTERM)
            await _wait_random(rng, 0.5, 2.0)


async def pause_some(world: World, rng: random.Random) -> None:
    """Suspends some processes with SIGSTOP and resumes them later."""
    daemons = _choose_daemons(world, rng, 3)
    with world.promises.mark_disturbed(_list_names(daemons)):
        for daemon in daemons:
            daemon.disturbed_until = anyio.current_time() + 6.0
            daemon.signal(signal.SIGSTOP)
        await _wait_random(rng, 0.2, 4.0)
        for daemon in daemons:
            daemon.signal(signal.SIGCONT)
            daemon.disturbed_until = anyio.current_time()


async def reload_all(world: World, rng: random.Random) -> None:
    """Makes all processes reload their settings."""
    for daemon in [*world.daemons, *world.agents]:
        daemon.signal(signal.SIGHUP)
        await anyio.sleep(0.01)


async def cut_some(world: World, rng: random.Random) -> None:
    """Cuts off hosts from the other daemons, both ways or only outbound."""
    daemons = _choose_daemons(world, rng, 2)
    everyone = [d.host.name for d in (*world.daemons, *world.agents)]
    one_way = rng.random() < 0.5
    pairs = set()
    for name in _list_names(daemons):
        pairs |= {(name, other) for other in everyone}
        if not one_way:
            pairs |= {(other, name) for other in everyone}
    with world.promises.mark_disturbed(_list_names(daemons)):
        world.links.cut |= pairs
        await _wait_random(rng, 0.5, 4.0)
        world.links.cut -= pairs


async def harm_links(world: World, rng: random.Random) -> None:
    """Loses or delays datagrams between daemons."""
    everyone = [d.host.name for d in (*world.daemons, *world.agents)]
    with world.promises.mark_disturbed(everyone):
        world.links.loss = rng.choice([0.0, 0.03, 0.1])
        world.links.delay = rng.choice([0.0, 0.01, 0.05])
        await _wait_random(rng, 0.5, 3.0)
        world.links.loss = world.links.delay = 0.0


async def reset_connections(world: World, rng: random.Random) -> None:
    """Resets the connections between daemons and those to the store."""
    with world.promises.mark_disturbed(_list_names(world.daemons)):
        await world.proxy.reset_connections()
        for proxy in world.store_proxies:
            await proxy.reset_connections()


async def silence_connections(world: World, rng: random.Random) -> None:
    """Silences open connections while the configuration changes.

    Some or all of those to the store go silent for good, at times those
    between daemons too; new ones work.
    """
    silences_peers = rng.random() < 0.5
    share = rng.choice([0.3, 1.0])
    for _ in range(rng.randint(1, 3)):
        async with anyio.create_task_group() as group:
            group.start_soon(change_configuration, world, rng)
            await _wait_random(rng, 0.0, 1.0)
            names = _list_names([*world.daemons, *world.agents])
            with world.promises.mark_disturbed(names):
                for proxy in world.store_proxies:
                    proxy.silence_connections(rng, share)
                if silences_peers:
                    world.proxy.silence_connections()


async def harm_store_links(world: World, rng: random.Random) -> None:
    """Disturbs the links of some balancers to the store.

    Bytes get lost in both directions or only in answers, connections are
    refused, or answers are delayed.
    """
    numbers = rng.sample(
        range(len(world.daemons)), rng.randint(1, len(world.daemons))
    )
    kind = rng.choice(["silent", "deaf", "refuses", "delay"])
    daemons = [world.daemons[number] for number in numbers]
    with world.promises.mark_disturbed(_list_names(daemons)):
        for number in numbers:
            proxy = world.store_proxies[number]
            setattr(proxy, kind, 0.2 if kind == "delay" else True)
            if kind == "refuses":
                await proxy.reset_connections()
        await _wait_random(rng, 0.5, 4.0)
        for number in numbers:
            proxy = world.store_proxies[number]
            proxy.silent = proxy.deaf = proxy.refuses = False
            proxy.delay = 0.0


async def harm_store(world: World, rng: random.Random) -> None:
    """Makes the store fail, be busy, hang, answer slowly or lose answers."""
    store = world.store
    with world.promises.mark_disturbed([STORE]):
        match rng.choice(["status", "silent", "slow", "lost"]):
            case "status":
                store.items.fault = rng.choice([STATUS_BUSY, STATUS_DOWN])
            case "silent":
                store.items.fault = "silent"
            case "slow":
                store.answer_delay = 0.2
            case "lost":
                store.loss = 0.3
        await _wait_random(rng, 0.5, 4.0)
        store.items.fault, store.answer_delay, store.loss = None, 0.004, 0.0


async def forget_history(world: World, rng: random.Random) -> None:
    """Makes the store discard its history of changes."""
    with world.promises.mark_disturbed([STORE]):
        world.store.items.forget_history()


async def shift_clocks(world: World, rng: random.Random) -> None:
    """Shifts the time of day at some hosts, and shifts it back."""
    daemons = _choose_daemons(world, rng, 4)
    with world.promises.mark_disturbed(_list_names(daemons)):
        for daemon in daemons:
            daemon.shift_clock(rng.uniform(-12.0, 12.0))
        await _wait_random(rng, 1.0, 4.0)
        for daemon in daemons:
            daemon.shift_clock(0.0)


async def slow_target(world: World, rng: random.Random) -> None:
    """Makes a target work several times as long on each request."""
    target = rng.choice(world.vms).target
    target.work_factor = rng.uniform(3.0, 6.0)
    await _wait_random(rng, 1.0, 4.0)
    target.work_factor = 1.0


async def restart_target(world: World, rng: random.Random) -> None:
    """Crashes a target and starts a new one under the same name."""
    vm = _choose_spare_target(world, rng)
    if vm is not None:
        with world.promises.mark_disturbed([vm.host.name]):
            vm.restart_target()


async def drain_target(world: World, rng: random.Random) -> None:
    """Drains a target and replaces it, possibly by one of another pool."""
    vm = _choose_spare_target(world, rng)
    if vm is None:
        return
    target = vm.target
    target.draining_since = anyio.current_time()
    with world.promises.mark_disturbed(
        [STORE] if world.store.is_disturbed else []
    ):
        world.store.register(target)
        world.promises.note_drain(target, anyio.current_time())
    await anyio.sleep(DRAIN_LIMIT_S + DRAIN_EXTRA_S)
    target.crash()
    world.store.remove(target)
    await _replace_target(world, vm, rng)


async def crash_target(world: World, rng: random.Random) -> None:
    """Crashes a target without notice and replaces it later."""
    vm = _choose_spare_target(world, rng)
    if vm is None:
        return
    vm.target.crash()
    await anyio.sleep(REGISTRATION_LIFETIME_S)
    world.store.remove(vm.target)
    await _replace_target(world, vm, rng)


async def change_configuration(world: World, rng: random.Random) -> None:
    """Publishes configurations in quick succession that add or drop routes."""
    for _ in range(rng.randint(1, 6)):
        address = f"198.18.1.{rng.randrange(1, 9)}", 443
        if world.routes.pop(address, None) is None:
            world.routes[address] = rng.choice(POOLS[:2])
        world.store.publish(
            world.routes, world.promises, rng.choice([12_000, 15_000])
        )
        await _wait_random(rng, 0.1, 0.5)


async def move_service(world: World, rng: random.Random) -> None:
    """Moves a service to another pool and back, while balancers restart.

    Its open flows stay where they are.
    """
    address, _ = world.permanent_services
    for _ in range(rng.randint(1, 2)):
        is_moved = world.routes[address] == POOLS[-1]
        world.routes[address] = POOLS[0] if is_moved else POOLS[-1]
        world.store.publish(world.routes, world.promises)
        await _wait_random(rng, 0.5, 2.0)
        for daemon in rng.sample(world.daemons, 2):
            with world.promises.mark_disturbed(_list_names([daemon])):
                daemon.signal(signal.SIGTERM)
                await _wait_random(rng, 0.5, 2.0)


def _choose_spare_target(world: World, rng: random.Random) -> TargetVm | None:
    """Returns the VM of a target whose pool has another target, or None."""
    candidates = [
        vm
        for vm in world.vms
        if not vm.target.has_ended and vm.target.draining_since is None
    ]
    rng.shuffle(candidates)
    for vm in candidates:
        if sum(v.target.pool == vm.target.pool for v in candidates) > 1:
            return vm
    return None


async def _replace_target(
    world: World, vm: TargetVm, rng: random.Random
) -> None:
    """Stops the agent of a VM, then starts a new target and agent there."""
    with world.promises.mark_disturbed([vm.host.name]):
        vm.daemon.should_run = False
        # A daemon that has no signal handlers yet is sent no SIGTERM.
        while not vm.daemon.ended.is_set():
            vm.daemon.signal(signal.SIGTERM)
            await anyio.sleep(SIGNAL_RETRY_S)
        await anyio.sleep(ADDRESS_REUSE_DELAY_S)
        vm.replace(rng.choice(POOLS))


FAULTS: tuple[Fault, ...] = (
    kill_some,
    kill_all,
    stop_in_turn,
    pause_some,
    reload_all,
    cut_some,
    harm_links,
    reset_connections,
    silence_connections,
    harm_store_links,
    harm_store,
    forget_history,
    shift_clocks,
    slow_target,
    restart_target,
    drain_target,
    crash_target,
    change_configuration,
    move_service,
)
# Routine work of operators and the platform: it must not fail any request.
PLANNED: tuple[Fault, ...] = (
    stop_in_turn,
    reload_all,
    drain_target,
    change_configuration,
    move_service,
)
