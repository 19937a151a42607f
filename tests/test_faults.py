import itertools

import anyio
from daemons import CallerFlow, change_targets, run_scenario
from testtools import TestCase

from jujuberun.standin_manifest import make_manifest

OPEN_FLOWS = 60  # opened before the first fault
STARTS_PER_ROUND = 4  # new flows per second during the faults
SETTLE_S = 10.0  # from the last fault to the final checks
# These changes must break no flow.
PLANNED = ("balancer_joined", "manifest_uneven", "target_drained")


class Faults:
    """Faults by name; each method returns when the fault is over."""

    def __init__(self, scenario, manifest):
        self.scenario, self.net, self.manifest = (
            scenario,
            scenario.net,
            manifest,
        )
        self.last_balancer = 3
        self.last_flow = 10_000
        self.cuts = []
        self.net.is_cut = lambda a, b: any(cut(a, b) for cut in self.cuts)

    async def balancer_killed(self):
        live = [n for n in self.net.processes if n.startswith("entry")]
        if len(live) > 1:
            self.net.kill(live[0])

    async def balancer_joined(self):
        self.last_balancer += 1
        await self.net.start_balancer(self.last_balancer, self.manifest)

    async def agent_restarted(self):
        if "t-1" in self.net.processes:
            self.net.kill("t-1")
        await self.net.start_agent("t-1", self.manifest)

    async def agent_paused(self):
        if "t-2" not in self.net.held_packets:
            await self.net.pause("t-2", 10)

    async def cut(self, is_cut, seconds):
        self.cuts.append(is_cut)
        await anyio.sleep(seconds)
        self.cuts.remove(is_cut)

    async def owner_cut(self):
        await self.cut(lambda a, b: a == "t-3", 8)

    async def partition(self):
        half = {"t-0", "t-1", "t-2", "entry-0"}
        await self.cut(lambda a, b: (a in half) != (b in half), 8)

    async def manifest_uneven(self):
        # The target leaves the service; a second call adds it again.
        names = set(self.manifest.services["s-0"].targets) ^ {"t-4"}
        self.manifest = change_targets(self.manifest, s_0=sorted(names))
        await self.net.roll_out(self.manifest)

    async def target_drained(self):
        self.net.mark_leaving("t-5")

    async def flood_of_starts(self):
        address = self.manifest.services["s-0"].address
        for _ in range(20):
            for _ in range(10):
                self.last_flow += 1
                CallerFlow(self.net, self.last_flow, address).send(b"S")
            await anyio.sleep(0.05)


FAULT_NAMES = (
    "balancer_killed",
    "balancer_joined",
    "agent_restarted",
    "agent_paused",
    "owner_cut",
    "partition",
    "manifest_uneven",
    "target_drained",
    "flood_of_starts",
)


class FaultsTest(TestCase):
    def run_faults(self, names, together):
        """Runs faults while flows are open, and checks the flows."""

        async def test(scenario):
            # With a second service, packets of the wrong service are found.
            manifest = make_manifest(2, 7)
            callers = await scenario.start(manifest, OPEN_FLOWS // 2)
            callers += await scenario.start(
                manifest, OPEN_FLOWS // 2, "s-1", 100
            )
            address = manifest.services["s-0"].address
            faults = Faults(scenario, manifest)
            ended = []

            async def run(name, delay):
                await anyio.sleep(delay)
                await getattr(faults, name)()
                ended.append(name)

            async def send_traffic():
                open_callers = list(callers)
                # Each start is sent twice, so that it may reach both sides of
                # a partition. Data follow 1 s later, since a flow is unknown
                # before its start.
                for _ in range(STARTS_PER_ROUND):
                    number = 300 + len(callers)
                    callers.append(CallerFlow(scenario.net, number, address))
                    callers[-1].send(b"S")
                    callers[-1].send(b"S")
                await scenario.send_packets(open_callers, 1, 1)

            for place, name in enumerate(names):
                delay = 0.7 * place if together else 0
                scenario.net.group.start_soon(run, name, delay)
                while not together and len(ended) <= place:
                    await send_traffic()
            while len(ended) < len(names):
                await send_traffic()
            await scenario.send_packets(callers, SETTLE_S, 1)
            settled = scenario.net.now
            await scenario.send_packets(callers, 2, 1)
            self.check(scenario, callers, names, settled)

        run_scenario(test)

    def check(self, scenario, callers, names, settled):
        for caller in callers:
            final_owners = {a[3] for a in caller.answers if a[0] > settled}
            self.assertLess(len(final_owners), 2, "two owners answer")
            # A flow whose owner was lost is reset. It must not continue at
            # an owner that did not get its start.
            going_on = any(
                a[0] > settled and a[1] != b"L" for a in caller.answers
            )
            self.assertTrue(
                going_on or caller.resets, f"silent: {caller.answers[-1:]}"
            )
            self.assertTrue(
                caller.has_reply_since(settled), "silent at the end"
            )
            if set(names) <= set(PLANNED):
                self.assertEqual([], caller.resets)
                self.assertEqual(1, len(caller.owners))
        services = {caller.id: caller.address for caller in callers}
        first = make_manifest(2, 7).services
        for _, _, number, name in scenario.net.delivered:
            address = services.get(number, first["s-0"].address)
            service = first["s-0" if address == first["s-0"].address else "s-1"]
            self.assertIn(name, service.targets)

    def run_cases(self, cases, together):
        for names in cases:
            with self.subTest(names=names):
                self.run_faults(names, together)

    def test_alone(self):
        # Guards against flows without replies, or with two owners, after a
        # single fault.
        self.run_cases([(name,) for name in FAULT_NAMES], False)

    def test_twice(self):
        # Guards against state left by a fault that breaks flows when the same
        # fault happens again.
        self.run_cases([(name, name) for name in FAULT_NAMES], False)

    def test_pairs(self):
        # Guards against two overlapping faults that break flows together,
        # though neither does alone.
        self.run_cases(list(itertools.combinations(FAULT_NAMES, 2)), True)
