"""Faults that a soak injects from outside the daemons."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from soak.processes import Daemon
from soak.promises import DRAIN_S, STORE
from soak.world import TargetVm, World

# A stopped target goes on for this time after the store knows that it leaves.
DRAIN_EXTRA_S = 1.5
REUSE_S = 2.0  # from the end of a target until its address is used again
LAPSE_S = 4.0  # until the registration of a silent target is gone
STATUS_BUSY, STATUS_DOWN = 429, 503

Fault = Callable[[World, random.Random], Awaitable[None]]


def _choose(world: World, rng: random.Random, most: int = 2) -> list[Daemon]:
    """Returns some daemons, of either role."""
    daemons = [*world.daemons, *world.agents]
    return rng.sample(daemons, rng.randint(1, most))


def _name(daemons: list[Daemon]) -> tuple[str, ...]:
    return tuple(daemon.host.name for daemon in daemons)


async def _wait(rng: random.Random, least: float, most: float) -> None:
    await anyio.sleep(rng.uniform(least, most))


async def kill_some(world: World, rng: random.Random) -> None:
    """Processes are killed, and killed again as they come back."""
    daemons = _choose(world, rng, 3)
    with world.promises.harm(_name(daemons)):
        for _ in range(rng.randint(1, 3)):
            for daemon in daemons:
                daemon.signal(signal.SIGKILL)
            await _wait(rng, 0.3, 1.5)


async def kill_all(world: World, rng: random.Random) -> None:
    """All processes of a role, or of both, are killed at once."""
    daemons = rng.choice(
        [world.daemons, world.agents, [*world.daemons, *world.agents]]
    )
    with world.promises.harm(_name(daemons)):
        for daemon in daemons:
            daemon.signal(signal.SIGKILL)
        await anyio.sleep(1.0)


async def stop_in_turn(world: World, rng: random.Random) -> None:
    """Processes are stopped gracefully and start again, one by one."""
    for daemon in _choose(world, rng, 4):
        with world.promises.harm(_name([daemon])):
            daemon.signal(signal.SIGTERM)
            await _wait(rng, 0.5, 2.0)


async def pause_some(world: World, rng: random.Random) -> None:
    """Processes stand still and wake up late."""
    daemons = _choose(world, rng, 3)
    with world.promises.harm(_name(daemons)):
        for daemon in daemons:
            daemon.harmed_until = anyio.current_time() + 6.0
            daemon.signal(signal.SIGSTOP)
        await _wait(rng, 0.2, 4.0)
        for daemon in daemons:
            daemon.signal(signal.SIGCONT)
            daemon.harmed_until = anyio.current_time()


async def reload_all(world: World, rng: random.Random) -> None:
    """All processes are told to read their settings again."""
    for daemon in [*world.daemons, *world.agents]:
        daemon.signal(signal.SIGHUP)
        await anyio.sleep(0.01)


async def cut_some(world: World, rng: random.Random) -> None:
    """Hosts are cut off from the other daemons, or hear but are not heard."""
    daemons = _choose(world, rng, 2)
    everyone = [d.host.name for d in (*world.daemons, *world.agents)]
    one_way = rng.random() < 0.5
    pairs = set()
    for name in _name(daemons):
        pairs |= {(name, other) for other in everyone}
        if not one_way:
            pairs |= {(other, name) for other in everyone}
    with world.promises.harm(_name(daemons)):
        world.links.cut |= pairs
        await _wait(rng, 0.5, 4.0)
        world.links.cut -= pairs


async def harm_links(world: World, rng: random.Random) -> None:
    """Datagrams between daemons are lost or late."""
    everyone = [d.host.name for d in (*world.daemons, *world.agents)]
    with world.promises.harm(everyone):
        world.links.loss = rng.choice([0.0, 0.03, 0.1])
        world.links.delay = rng.choice([0.0, 0.01, 0.05])
        await _wait(rng, 0.5, 3.0)
        world.links.loss = world.links.delay = 0.0


async def reset_connections(world: World, rng: random.Random) -> None:
    """Connections between daemons, and to the store, are reset."""
    with world.promises.harm(_name(world.daemons)):
        await world.proxy.reset_connections()
        for proxy in world.store_proxies:
            await proxy.reset_connections()


async def harm_store_links(world: World, rng: random.Random) -> None:
    """Some balancers lose the store: silent, one way, refused, or slow."""
    numbers = rng.sample(
        range(len(world.daemons)), rng.randint(1, len(world.daemons))
    )
    kind = rng.choice(["silent", "deaf", "refuses", "delay"])
    daemons = [world.daemons[number] for number in numbers]
    with world.promises.harm(_name(daemons)):
        for number in numbers:
            proxy = world.store_proxies[number]
            setattr(proxy, kind, 0.2 if kind == "delay" else True)
            if kind == "refuses":
                await proxy.reset_connections()
        await _wait(rng, 0.5, 4.0)
        for number in numbers:
            proxy = world.store_proxies[number]
            proxy.silent = proxy.deaf = proxy.refuses = False
            proxy.delay = 0.0


async def harm_store(world: World, rng: random.Random) -> None:
    """The store is down, busy, silent, slow, or loses answers."""
    store = world.store
    with world.promises.harm([STORE]):
        match rng.choice(["status", "silent", "slow", "lost"]):
            case "status":
                store.items.fault = rng.choice([STATUS_BUSY, STATUS_DOWN])
            case "silent":
                store.items.fault = "silent"
            case "slow":
                store.delay = 0.2
            case "lost":
                store.lost = 0.3
        await _wait(rng, 0.5, 4.0)
        store.items.fault, store.delay, store.lost = None, 0.004, 0.0


async def forget_history(world: World, rng: random.Random) -> None:
    """The store forgets its history."""
    with world.promises.harm([STORE]):
        world.store.items.forget_history()


async def shift_clocks(world: World, rng: random.Random) -> None:
    """The time of day jumps at some hosts, and back again."""
    daemons = _choose(world, rng, 4)
    with world.promises.harm(_name(daemons)):
        for daemon in daemons:
            daemon.shift_clock(rng.uniform(-12.0, 12.0))
        await _wait(rng, 1.0, 4.0)
        for daemon in daemons:
            daemon.shift_clock(0.0)


async def slow_target(world: World, rng: random.Random) -> None:
    """A target takes several times as long."""
    target = rng.choice(world.vms).target
    target.slow = rng.uniform(3.0, 6.0)
    await _wait(rng, 1.0, 4.0)
    target.slow = 1.0


async def restart_target(world: World, rng: random.Random) -> None:
    """A target crashes and starts anew under its name."""
    vm = _choose_live(world, rng)
    if vm is not None:
        with world.promises.harm([vm.host.name]):
            vm.restart_target()


async def drain_target(world: World, rng: random.Random) -> None:
    """A target leaves as planned; its address may go to another pool."""
    vm = _choose_live(world, rng)
    if vm is None:
        return
    target = vm.target
    target.draining_since = anyio.current_time()
    with world.promises.harm([STORE] if world.store.is_harmed else []):
        world.store.register(target)
        world.promises.note_drain(target, anyio.current_time())
    await anyio.sleep(DRAIN_S + DRAIN_EXTRA_S)
    target.crash()
    world.store.remove(target)
    await _replace(world, vm, rng)


async def crash_target(world: World, rng: random.Random) -> None:
    """A target falls silent; its address goes to another pool later."""
    vm = _choose_live(world, rng)
    if vm is None:
        return
    vm.target.crash()
    await anyio.sleep(LAPSE_S)
    world.store.remove(vm.target)
    await _replace(world, vm, rng)


async def change_configuration(world: World, rng: random.Random) -> None:
    """Configurations come in quick succession; routes come and go."""
    for _ in range(rng.randint(1, 6)):
        address = f"198.18.1.{rng.randrange(1, 9)}", 443
        if world.routes.pop(address, None) is None:
            world.routes[address] = rng.choice(("meals", "labels"))
        world.store.publish(
            world.routes, world.promises, rng.choice([12_000, 15_000])
        )
        await _wait(rng, 0.1, 0.5)


def _choose_live(world: World, rng: random.Random) -> TargetVm | None:
    """Returns a target that can be spared: its pool keeps another one."""
    live = [
        vm
        for vm in world.vms
        if not vm.target.dead and vm.target.draining_since is None
    ]
    rng.shuffle(live)
    for vm in live:
        if sum(v.target.pool == vm.target.pool for v in live) > 1:
            return vm
    return None


async def _replace(world: World, vm: TargetVm, rng: random.Random) -> None:
    """Starts another target at an address, with an agent of its own."""
    with world.promises.harm([vm.host.name]):
        vm.daemon.wanted = False
        vm.daemon.signal(signal.SIGTERM)
        await vm.daemon.ended.wait()
        await anyio.sleep(REUSE_S)
        vm.replace(rng.choice(("meals", "labels")))


FAULTS: tuple[Fault, ...] = (
    kill_some,
    kill_all,
    stop_in_turn,
    pause_some,
    reload_all,
    cut_some,
    harm_links,
    reset_connections,
    harm_store_links,
    harm_store,
    forget_history,
    shift_clocks,
    slow_target,
    restart_target,
    drain_target,
    crash_target,
    change_configuration,
)
# What operators and the platform do on any day: no request may fail by it.
PLANNED: tuple[Fault, ...] = (
    stop_in_turn,
    reload_all,
    drain_target,
    change_configuration,
)
