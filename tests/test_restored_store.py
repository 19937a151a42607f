"""Tests of a store that comes back from a copy and has lost changes."""

import anyio
import httpcore
import test_spread
from fleet import make_address
from network import run_virtual
from platformstore import (
    FakePool,
    FakeStore,
    make_configuration,
    make_entry,
    make_route,
)
from testtools import ExpectedException, TestCase

from jujuberun.draining.drains import Drains
from jujuberun.errors import SourceError
from jujuberun.former_members import LAPSE_S, REPORT_AGAIN_S
from jujuberun.roster import Roster
from jujuberun.source import DocumentKind
from jujuberun.spread import TICK_S
from jujuberun.vm_list import parse_vm_list
from jujuberun.watch import ReadPace

# A confirmed configuration must be in force within this time.
IN_FORCE_S = 3.0
WATCH_WAIT_S = 4.0


class CutOffStore(FakePool):
    async def request(self, method, url, extensions):
        raise httpcore.ConnectError("cut off")


class HeldStore(FakePool):
    """Delivers no answer until it is released, as to a frozen process."""

    def __init__(self, store):
        self.store = store
        self.release = anyio.Event()

    async def request(self, method, url, extensions):
        reply = await self.store.request(method, url, extensions)
        await self.release.wait()
        return reply


class StoreFleet(test_spread.Fleet):
    """Balancers that read one store and gossip with each other."""

    pace = ReadPace(max_wait=WATCH_WAIT_S, start_spread=0.02, retry_limit=1.0)

    def __init__(self, group, size):
        super().__init__(group, size)
        self.store = FakeStore()
        self.sources = {}

    def make_source(self, vm):
        source = self.store.make_source()
        self.sources[vm] = source
        return source

    def cut_off(self, *addresses):
        """Lets the store answer the balancers at these addresses no more."""
        for address in addresses:
            source = self.sources[self.nodes[address].spread._vm]
            source._client._pool = CutOffStore()

    def make_roster(self, address, seeds):
        return Roster(address, seeds, WATCH_WAIT_S)

    def make_drains(self):
        return Drains()

    @classmethod
    async def start(cls, group, size, version):
        fleet = cls(group, size)
        fleet.store.put("op/config", make_configuration(version))
        for number in range(size):
            fleet.add(number, (make_address(0),))
        await anyio.sleep(3)
        return fleet

    def publish(self, version):
        self.store.put("op/config", make_configuration(version))

    def list_targets(self):
        """Returns the sets of targets that the balancers list."""
        return {
            frozenset(node.members.current.vms)
            for node in self.nodes.values()
            if not node.scope.cancel_called
        }

    def list_services(self):
        """Returns the sets of services that are in force."""
        return {
            tuple(node.generations.current.manifest.services)
            for node in self.nodes.values()
        }

    def generations(self):
        return {
            node.generations.current.manifest.generation
            for node in self.nodes.values()
            if not node.scope.cancel_called
        }


def run_fleet(scenario, size=3, version=4):
    """Runs a scenario, a coroutine function, with a started fleet."""

    async def run():
        async with anyio.create_task_group() as group:
            fleet = await StoreFleet.start(group, size, version)
            result = await scenario(fleet)
            group.cancel_scope.cancel()
        return result

    return run_virtual(run)


class RepeatedNumberTest(TestCase):
    def test_configuration_with_a_repeated_revision_is_in_force(self):
        # Guards against incident config-a301.
        async def scenario(fleet):
            copy = fleet.store.make_copy()
            fleet.publish(8)
            await anyio.sleep(IN_FORCE_S)
            self.assertEqual({8}, fleet.generations())
            fleet.store.restore(copy)
            await anyio.sleep(2.0)
            # Gets the revision that generation 8 had.
            fleet.publish(14)
            await anyio.sleep(IN_FORCE_S)
            return fleet.generations()

        self.assertEqual({14}, run_fleet(scenario))

    def test_registration_with_a_repeated_revision_is_listed(self):
        # Guards against a VM list that is refused as older or conflicting,
        # because its index is at or below the one before the return.
        async def scenario(fleet):
            fleet.store.put("servers/i-1", make_entry())
            await anyio.sleep(1.0)
            copy = fleet.store.make_copy()
            fleet.store.put("servers/i-2", make_entry("10.2.0.2"))
            fleet.store.put("servers/i-3", make_entry("10.2.0.3"))
            await anyio.sleep(1.0)
            fleet.store.restore(copy)
            # Gets the revision that i-2 had.
            fleet.store.put("servers/i-4", make_entry("10.2.0.4"))
            await anyio.sleep(IN_FORCE_S)
            for node in fleet.nodes.values():
                self.assertEqual([], list(node.members.refused))
            for targets in fleet.list_targets():
                self.assertIn("i-4", targets)
            # A process keeps i-2 and i-3 from its first read after the return,
            # which a failed watch delays.
            delay = StoreFleet.pace.retry_limit + TICK_S
            await anyio.sleep(delay + REPORT_AGAIN_S - IN_FORCE_S)
            return fleet.list_targets()

        self.assertEqual({frozenset({"i-1", "i-4"})}, run_fleet(scenario))

    def test_members_end_their_corrections_in_time(self):
        # Guards against a target that stays listed because no later list
        # ends the correction.
        async def scenario(fleet):
            fleet.store.put("servers/i-1", make_entry())
            copy = fleet.store.make_copy()
            fleet.store.put("servers/i-2", make_entry("10.2.0.2"))
            await anyio.sleep(1.0)
            fleet.store.restore(copy)
            await anyio.sleep(1.0)
            kept = fleet.list_targets()
            await anyio.sleep(3.0)
            return kept, fleet.list_targets()

        kept, left = run_fleet(scenario)
        self.assertEqual({frozenset({"i-1", "i-2"})}, kept)
        self.assertEqual({frozenset({"i-1"})}, left)


class RewrittenConfigurationTest(TestCase):
    def test_version_with_other_content_is_in_force_after_a_return(self):
        # Guards against a configuration that is refused as a conflict,
        # because the lost one had its version.
        async def scenario(fleet):
            copy = fleet.store.make_copy()
            fleet.publish(8)
            await anyio.sleep(IN_FORCE_S)
            fleet.store.restore(copy)
            route = make_route("r-9", port=8443)
            fleet.store.put("op/config", make_configuration(8, route))
            await anyio.sleep(IN_FORCE_S)
            return fleet.list_services()

        self.assertEqual({("r-9",)}, run_fleet(scenario))

    def test_version_with_other_content_reaches_peers_that_do_not_read(self):
        async def scenario(fleet):
            copy = fleet.store.make_copy()
            fleet.publish(8)
            await anyio.sleep(IN_FORCE_S)
            fleet.cut_off(*list(fleet.nodes)[1:])
            fleet.store.restore(copy)
            route = make_route("r-9", port=8443)
            fleet.store.put("op/config", make_configuration(8, route))
            await anyio.sleep(IN_FORCE_S)
            return fleet.list_services()

        self.assertEqual({("r-9",)}, run_fleet(scenario))

    def test_configuration_of_the_copy_does_not_replace_a_newer_one(self):
        # Guards against a confirmed change that goes back until the operator
        # has written it again.
        async def scenario(fleet):
            copy = fleet.store.make_copy()
            fleet.publish(8)
            await anyio.sleep(IN_FORCE_S)
            for _ in range(2):
                fleet.store.restore(copy)
                await anyio.sleep(IN_FORCE_S)
                self.assertEqual({8}, fleet.generations())
            # A restarted balancer learns the newer one from its peers.
            address = make_address(1)
            fleet.nodes[address].scope.cancel()
            fleet.add(1, (make_address(0),))
            await anyio.sleep(IN_FORCE_S)
            return fleet.generations()

        self.assertEqual({8}, run_fleet(scenario))


class ReturnAmongFaultsTest(TestCase):
    def test_history_dropped_at_the_return_hides_no_change(self):
        async def scenario(fleet):
            copy = fleet.store.make_copy()
            fleet.publish(8)
            await anyio.sleep(IN_FORCE_S)
            fleet.store.restore(copy)
            fleet.store.forget_history()
            await anyio.sleep(0.7)
            fleet.publish(14)
            fleet.store.forget_history()
            await anyio.sleep(IN_FORCE_S)
            return fleet.generations()

        self.assertEqual({14}, run_fleet(scenario))

    def test_change_between_two_returns_is_in_force(self):
        async def scenario(fleet):
            copy = fleet.store.make_copy()
            fleet.publish(8)
            await anyio.sleep(IN_FORCE_S)
            for version in (9, 12):
                fleet.store.restore(copy)
                await anyio.sleep(0.1)
                fleet.publish(version)
                await anyio.sleep(IN_FORCE_S)
                self.assertEqual({version}, fleet.generations())

        run_fleet(scenario)

    def test_frozen_balancer_takes_no_answer_from_before_the_return(self):
        # Guards against a process that wakes with an old answer in its
        # connection and keeps or passes on what the store has lost.
        async def scenario(fleet):
            fleet.store.put("servers/i-1", make_entry())
            copy = fleet.store.make_copy()
            fleet.store.put("servers/i-2", make_entry("10.2.0.2"))
            await anyio.sleep(1.0)
            source = fleet.sources["vm-2"]
            source._client._pool = HeldStore(fleet.store)
            fleet.publish(8)
            fleet.store.restore(copy)
            # Gets the revision that i-2 had.
            fleet.store.put("servers/i-3", make_entry("10.2.0.3"))
            fleet.publish(8)
            await anyio.sleep(IN_FORCE_S)
            source._client._pool.release.set()
            await anyio.sleep(IN_FORCE_S)
            for node in fleet.nodes.values():
                self.assertEqual([], list(node.members.refused))
                self.assertEqual([], node.generations.refused)
            return fleet.list_targets(), fleet.generations()

        targets, generations = run_fleet(scenario)
        self.assertEqual({frozenset({"i-1", "i-3"})}, targets)
        self.assertEqual({8}, generations)

    def test_address_used_again_before_the_return_keeps_its_new_target(self):
        # Guards against new flows for the target that had the address before.
        async def scenario(fleet):
            fleet.store.put("servers/i-1", make_entry(service="sheets"))
            copy = fleet.store.make_copy()
            await anyio.sleep(1.0)
            fleet.store.remove("servers/i-1")
            fleet.store.put("servers/i-2", make_entry(service="counts"))
            await anyio.sleep(1.0)
            fleet.store.restore(copy)
            await anyio.sleep(1.0)
            found = [fleet.list_targets()]
            fleet.store.put("servers/i-2", make_entry(service="counts"))
            await anyio.sleep(2.0)
            found.append(fleet.list_targets())
            fleet.store.remove("servers/i-1")
            await anyio.sleep(LAPSE_S)
            return [*found, fleet.list_targets()]

        expected = [{frozenset({"i-2"})}] * 3
        self.assertEqual(expected, run_fleet(scenario))

    def test_restarted_balancer_does_not_change_what_others_believe(self):
        # Guards against a process without a past whose list drops targets
        # that the others still expect to register again.
        async def scenario(fleet):
            fleet.store.put("servers/i-1", make_entry())
            copy = fleet.store.make_copy()
            fleet.store.put("servers/i-2", make_entry("10.2.0.2"))
            await anyio.sleep(1.0)
            fleet.store.restore(copy)
            restarted = make_address(2)
            fleet.nodes[restarted].scope.cancel()
            fleet.add(2, (make_address(0),))
            await anyio.sleep(1.0)
            del fleet.nodes[restarted]
            return fleet.list_targets()

        self.assertEqual({frozenset({"i-1", "i-2"})}, run_fleet(scenario))


class ReadAcrossReturnTest(TestCase):
    def read(self, scenario):
        """Runs a scenario with a store, a copy of it, and a source."""
        store = FakeStore()
        store.put("op/config", make_configuration(4))
        for number in range(5):
            store.put(f"servers/i-{number}", make_entry(f"10.2.0.{number}"))

        async def run():
            return await scenario(store, store.make_copy(), store.make_source())

        return run_virtual(run)

    def test_pages_of_two_eras_are_not_put_together(self):
        # Guards against a list that contains a target which has left, or
        # lacks one, because its pages show the store before and after.
        async def scenario(store, copy, source):
            store.remove("servers/i-0")
            answer = store.answer

            async def restore_after_first_page(url):
                reply = await answer(url)
                if store.era == 1 and "kv-range" in url:
                    store.restore(copy)
                return reply

            store.answer = restore_after_first_page
            with ExpectedException(SourceError, ".*era changed.*"):
                await source.fetch(DocumentKind.VMS, 0, 0)
            found = await source.fetch(DocumentKind.VMS, 0, 0)
            return set(parse_vm_list(found.data).unwrap().vms)

        self.assertEqual({f"i-{n}" for n in range(5)}, self.read(scenario))

    def test_answer_of_a_former_era_is_refused(self):
        async def scenario(store, copy, source):
            store.restore(copy)
            await source.fetch(DocumentKind.VMS, 0, 0)
            store.era -= 1
            with ExpectedException(SourceError, ".*era 1 came in era 2.*"):
                await source.fetch(DocumentKind.MANIFEST, 0, 0)

        self.read(scenario)

    def test_one_full_read_follows_a_return(self):
        # Guards against repeated reads until the revisions have caught up.
        async def scenario(store, copy, source):
            first = await source.fetch(DocumentKind.MANIFEST, 0, 0)
            store.put("op/config", make_configuration(8))
            second = await source.fetch(DocumentKind.MANIFEST, first.index, 1)
            store.restore(copy)
            third = await source.fetch(DocumentKind.MANIFEST, 0, 1)
            self.assertGreater(third.index, second.index)
            store.calls.clear()
            for _ in range(3):
                await source.fetch(DocumentKind.MANIFEST, third.index, 1)
            return [path for path, _ in store.calls]

        self.assertEqual(["/kv-watch"] * 3, self.read(scenario))
