import dataclasses
from unittest import mock

import anyio
from daemons import CallerFlow, run_scenario
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from jujuberun.ids import Generation
from jujuberun.ownership import MAX_HOPS, Ownership
from jujuberun.standin_manifest import make_manifest
from jujuberun.wire import Forward

BOUNDED = settings(
    derandomize=True,
    database=None,
    phases=(Phase.explicit, Phase.generate),
    deadline=None,
    max_examples=12,
    suppress_health_check=list(HealthCheck),
)


def make_two_generations(without="t-6"):
    """Returns two generations; the older lacks a target of the service."""
    new = make_manifest(1, 7, 2)
    names = [n for n in new.targets if n != without]
    service = dataclasses.replace(new.services["s-0"], targets=tuple(names))
    services = {"s-0": service}
    old = dataclasses.replace(new, generation=Generation(1), services=services)
    return old, new


def make_swapped_addresses():
    """Returns two generations, which swap two services' addresses."""
    old = make_manifest(2, 8)
    first, second = old.services.values()
    services = {
        first.id: dataclasses.replace(first, address=second.address),
        second.id: dataclasses.replace(second, address=first.address),
    }
    return old, dataclasses.replace(
        old, generation=Generation(2), services=services
    )


def create_on_arrival(self, packet, now):
    """Naive Ownership.route: each agent creates every flow it receives."""
    if self._host.deliver(packet, now):
        return
    view = self.views.build(
        packet.forward, packet.flow, self._peers.address, now
    )
    if view.service.first_packet.accepts(packet.forward.payload):
        self._host.create(packet, view.service, now)


def race(delays, seed, loss=0.0, copies=0.0, flows=40):
    """Returns the ids of the flows that more than one target owns.

    The start packets of each flow pass through balancers of two generations.
    Only one balancer and one agent know the newer generation.
    """
    double = []

    async def test(scenario):
        old, new = make_two_generations()
        net = scenario.net
        await scenario.start(old)
        net.processes["t-6"].offer(new)
        net.processes["entry-0"].offer(new)
        await anyio.sleep(0.01)
        callers = [
            CallerFlow(net, i, new.services["s-0"].address)
            for i in range(flows)
        ]
        net.loss, net.copies = loss, copies
        for caller in callers:
            for number, delay in enumerate(delays):
                caller.send(b"S", f"entry-{number % 2}")
                await anyio.sleep(delay)
        await anyio.sleep(0.6)
        net.loss = 0.0
        await scenario.send_packets(callers, 2)
        for caller in callers:
            owners = {n for no_start, n in caller.owners if not no_start}
            if len(owners) > 1:
                double.append(caller.id)

    run_scenario(test, seed=seed, loss=0.0, jitter=0.01)
    return double


class StartTest(TestCase):
    @BOUNDED
    @given(
        st.lists(st.sampled_from([0.0, 0.001, 0.004]), min_size=2, max_size=4),
        st.integers(0, 999),
        st.sampled_from([0.0, 0.1]),
        st.sampled_from([0.0, 0.2]),
    )
    def test_flow_has_one_owner(self, delays, seed, loss, copies):
        # Guards against a flow that has two owners, because the home of each
        # of two generations created it.
        self.assertEqual([], race(delays, seed, loss, copies, flows=12))

    def test_naive_version_has_two_owners(self):
        # Guards against a race() in which even a naive agent creates no flow
        # twice: test_flow_has_one_owner would then test nothing.
        self.assertEqual([], race([0.0, 0.0], 1))
        with mock.patch.object(Ownership, "route", create_on_arrival):
            self.assertNotEqual([], race([0.0, 0.0], 1))

    def test_hops_are_bounded_and_without_loops(self):
        # Guards against packets that loop between agents of different
        # generations.
        async def test(scenario):
            old, new = make_two_generations()
            await scenario.start(old)
            scenario.net.processes["t-6"].offer(new)
            paths = []
            for process in scenario.net.processes.values():
                peers = process.peers
                seal = peers.codec.seal

                def note(message, *rest, seal=seal, **named):
                    if isinstance(message, Forward):
                        paths.append((message.hops, list(message.passed)))
                    return seal(message, *rest, **named)

                peers.codec.seal = note
            callers = await scenario.start(old, 60)
            scenario.net.group.start_soon(scenario.net.roll_out, new)
            await scenario.send_packets(callers, 4, 0.25)
            self.assertTrue(paths)
            self.assertLessEqual(max(hops for hops, _ in paths), MAX_HOPS)
            # The home that assigned a flow may get the packet back once.
            for _, passed in paths:
                self.assertLess(len(passed) - len(set(passed)), 2)

        run_scenario(test, jitter=0.01)

    def test_data_may_overtake_the_start(self):
        # Guards against the reset of a new flow whose second packet arrives
        # before the start packet, through a faster balancer.
        async def test(scenario):
            await scenario.start(make_manifest(1, 7))
            address = make_manifest(1, 7).services["s-0"].address
            callers = [CallerFlow(scenario.net, i, address) for i in range(40)]
            for caller in callers:
                caller.send(b"D")
            await anyio.sleep(0.02)
            for caller in callers:
                caller.send(b"S")
            await scenario.send_packets(callers, 1)
            for caller in callers:
                self.assertEqual([], caller.resets)
                self.assertEqual(1, len(caller.owners))

        run_scenario(test)

    def test_unknown_flow_is_reset(self):
        # Guards against packets of a flow without an owner that get no reset.
        async def test(scenario):
            await scenario.start(make_manifest(1, 7))
            address = make_manifest(1, 7).services["s-0"].address
            callers = [CallerFlow(scenario.net, i, address) for i in range(40)]
            await scenario.send_packets(callers, 1)
            for caller in callers:
                reasons = [reason for _, reason in caller.resets]
                self.assertEqual(["unknown-flow"] * 2, reasons)

        run_scenario(test)


class MovedAddressTest(TestCase):
    def move(self, seed, cached, back=False):
        async def test(scenario):
            old, new = make_swapped_addresses()
            net = scenario.net
            first = await scenario.start(old, 30, "s-0")
            second = await scenario.start(old, 30, "s-1", 100)
            callers = first + second
            await scenario.send_packets(callers, 2)
            if not cached:  # Restarted balancers have no cached owners.
                for number in range(3):
                    net.kill(f"entry-{number}")
                    await net.start_balancer(number, old)
            versions = [new]
            if back:
                last = dataclasses.replace(old, generation=Generation(3))
                versions.append(last)
            for version in versions:
                net.group.start_soon(net.roll_out, version)
                added = []
                for _ in range(12):
                    # New flows reach processes of both generations.
                    for service in old.services.values():
                        number = 200 + 100 * version.generation + len(added)
                        added.append(CallerFlow(net, number, service.address))
                        added[-1].send(b"S")
                    await scenario.send_packets(callers, 0.25, 0.25)
                    for caller in added:
                        caller.send()
                await scenario.send_packets(callers, 3)
                for caller in added:
                    self.assertTrue(caller.answers or caller.resets)
                    services = {
                        old.services[s].id
                        for _, name in caller.owners
                        for s in old.services
                        if name in old.services[s].targets
                    }
                    self.assertLess(len(services), 2)
            for group, service in ((first, "s-0"), (second, "s-1")):
                own = old.services[service].targets
                numbers = {caller.id for caller in group}
                for _, _, number, name in net.delivered:
                    if number in numbers:
                        self.assertIn(name, own)
            lost = [c for c in callers if c.resets or len(c.owners) > 1]
            self.assertEqual([], [c.resets for c in lost])
            for caller in callers:
                latest = net.now - 1.1
                self.assertTrue(caller.has_reply_since(latest))

        run_scenario(test, seed=seed, jitter=0.005)

    def test_flows_stay_with_their_service(self):
        # Guards against flows that are lost or reach the other service while a
        # roll-out lasts: for up to 2.5 s, processes disagree on which service
        # has the address.
        for seed in range(1, 4):
            for cached in (True, False):
                with self.subTest(seed=seed, cached=cached):
                    self.move(seed, cached)

    def test_address_moves_and_moves_back(self):
        # Guards against directory entries of the first move that are used
        # after the second.
        for seed in range(1, 4):
            with self.subTest(seed=seed):
                self.move(seed, True, back=True)


class LossOfProcessTest(TestCase):
    def run_disturbance(self, disturb, check, **network):
        async def test(scenario):
            manifest = make_manifest(1, 7)
            callers = await scenario.start(manifest, 60)
            await scenario.send_packets(callers, 2)
            await disturb(scenario, callers, manifest)
            check(scenario, callers)

        run_scenario(test, **network)

    def find_broken(self, callers, since, names=()):
        """Returns the broken flows, except those of the targets in names.

        A broken flow was reset, has two owners, or got no reply after since.
        """
        broken = []
        for caller in callers:
            owner = caller.answers[0][3]
            good = caller.has_reply_since(since) and not caller.resets
            if owner not in names and (not good or len(caller.owners) > 1):
                broken.append((owner, caller.resets, caller.owners))
        return broken

    def test_agent_restarted_empty(self):
        # Guards against a home whose restart with an empty directory breaks
        # flows that other agents own.
        async def disturb(scenario, callers, manifest):
            scenario.net.kill("t-2")
            await scenario.net.start_agent("t-2", manifest)
            for number in range(3):
                scenario.net.kill(f"entry-{number}")
                await scenario.net.start_balancer(number, manifest)
            await scenario.send_packets(callers, 8)

        def check(scenario, callers):
            since = scenario.net.now - 1.1
            self.assertEqual([], self.find_broken(callers, since, ["t-2"]))
            for caller in callers:
                self.assertTrue(caller.has_reply_since(since))

        self.run_disturbance(disturb, check)

    def test_home_killed(self):
        # Guards against flows that break when their home dies, although
        # another agent owns them.
        async def disturb(scenario, callers, manifest):
            scenario.net.kill("t-2")
            for number in range(3):
                scenario.net.kill(f"entry-{number}")
                await scenario.net.start_balancer(number, manifest)
            await scenario.send_packets(callers, 9)

        def check(scenario, callers):
            since = scenario.net.now - 2.1
            self.assertEqual([], self.find_broken(callers, since, ["t-2"]))
            for caller in callers:
                self.assertTrue(
                    caller.has_reply_since(since), caller.answers[-1]
                )

        self.run_disturbance(disturb, check)

    def test_owner_paused(self):
        # Guards against flows that a short pause of the owner breaks, and
        # flows that get no reply after a long one.
        for seconds in (3, 10):

            async def disturb(scenario, callers, manifest, seconds=seconds):
                scenario.net.group.start_soon(
                    scenario.net.pause, "t-2", seconds
                )
                await scenario.send_packets(callers, seconds + 4)

            def check(scenario, callers, seconds=seconds):
                since = scenario.net.now - 1.1
                names = ["t-2"] if seconds > 5 else []
                self.assertEqual([], self.find_broken(callers, since, names))
                for caller in callers:
                    self.assertTrue(caller.has_reply_since(since))

            with self.subTest(seconds=seconds):
                self.run_disturbance(disturb, check)

    def test_conflict_after_partition(self):
        # Guards against flows that keep two owners after a partition, in
        # which both sides created them.
        async def disturb(scenario, callers, manifest):
            net = scenario.net
            left = {"entry-0", "t-0", "t-1", "t-2"}
            net.is_cut = lambda a, b: (a in left) != (b in left)
            address = manifest.services["s-0"].address
            added = [CallerFlow(net, 200 + i, address) for i in range(40)]
            for _ in range(8):
                for caller in added:
                    caller.send(b"S", "entry-0")
                    caller.send(b"S", "entry-1")
                await anyio.sleep(1)
            net.is_cut = lambda a, b: False
            scenario.double_owned = [c for c in added if len(c.owners) > 1]
            await scenario.send_packets(callers + added, 10)
            scenario.added, scenario.since = added, net.now
            await scenario.send_packets(added, 3)

        def check(scenario, callers):
            self.assertTrue(scenario.double_owned)
            for caller in scenario.added:
                answers = [a for a in caller.answers if a[0] > scenario.since]
                owners = {name for _, _, _, name in answers}
                self.assertLess(len(owners), 2, caller.resets)
                self.assertTrue(caller.has_reply_since(scenario.since))

        self.run_disturbance(disturb, check)

    def test_draining_target_gets_no_new_flow(self):
        # Guards against new flows at a target more than 3 s after its agent
        # learned that it is leaving, and against open flows that break.
        async def disturb(scenario, callers, manifest):
            net = scenario.net
            net.mark_leaving("t-2")
            learned_at = net.now
            await scenario.send_packets(callers, 3)
            address = manifest.services["s-0"].address
            added = [CallerFlow(net, 200 + i, address) for i in range(100)]
            for caller in added:
                caller.send(b"S")
            await scenario.send_packets(callers, 3)
            for at, target, _ in net.opened:
                self.assertFalse(target == "t-2" and at > learned_at + 3)
            for caller in added:
                self.assertTrue(caller.answers)

        def check(scenario, callers):
            since = scenario.net.now - 1.1
            self.assertEqual([], self.find_broken(callers, since))

        self.run_disturbance(disturb, check)

    def test_balancer_killed_while_only_the_target_sends(self):
        # Guards against answers that are still sent to a killed balancer.
        # No packet of the caller shows the agent another balancer.
        async def disturb(scenario, callers, manifest):
            net = scenario.net
            net.kill("entry-1")
            for _ in range(20):
                for caller in callers:
                    net.send_from_target(caller, b"D" + caller.id + bytes(4))
                await anyio.sleep(0.5)

        def check(scenario, callers):
            since = scenario.net.now - 1.1
            self.assertEqual([], self.find_broken(callers, since))

        self.run_disturbance(disturb, check)
