import random

import anyio
import anyio.lowlevel
from fleet import make_address, make_manifest, make_vms, run_virtual
from result import Err
from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun.errors import LinkError, WireError
from jujuberun.generations import Generations
from jujuberun.ids import VmId
from jujuberun.members import Members, choose_watchers
from jujuberun.source import DocumentKind
from jujuberun.spread import Spread
from jujuberun.standin_platform import DirectSource, Mode, Platform
from jujuberun.wire import Status, decode, encode

LATENCY_S = 0.001
# A published manifest must be in force in all processes within this time.
IN_FORCE_S = 5.0


class FakeLink:
    """Calls the handlers of other nodes directly, if they are connected."""

    def __init__(self, fleet, address):
        self.fleet = fleet
        self.address = address
        self.handlers = {}

    def register_handler(self, kind, handler):
        self.handlers[kind] = handler

    async def call(self, address, message, timeout):
        if not self.fleet.connects(self.address, address):
            await anyio.sleep(timeout)
            raise LinkError("call peer", str(address), "timeout")
        await anyio.sleep(2 * LATENCY_S)
        handlers = self.fleet.nodes[address].link.handlers
        kind = type(message)
        reply = await handlers[kind](decode(kind, encode(message)), None)
        return decode(type(reply), encode(reply))


class Node:
    def __init__(self, fleet, number, seeds=()):
        vm = VmId(f"vm-{number}")
        self.address = make_address(number)
        self.link = FakeLink(fleet, self.address)
        self.generations = Generations()
        self.members = Members(vm)
        self.drains = fleet.make_drains()
        self.scope = anyio.CancelScope()
        self.spread = Spread(
            vm,
            seeds,
            self.generations,
            self.members,
            self.link,
            lambda status, address: fleet.send(self, status, address),
            fleet.make_source(vm),
            random.Random(number),
            anyio.current_time,
            fleet.make_roster(self.address, seeds),
            fleet.pace,
            self.drains,
        )

    async def run(self):
        self.scope = anyio.CancelScope()
        with self.scope:
            await self.spread.run()


class Fleet:
    pace = None

    def __init__(self, group, size):
        self.group = group
        self.size = size
        self.platform = Platform()
        self.nodes = {}
        self.connects = lambda one, other: other in self.nodes
        self.sent = 0

    @classmethod
    async def start(cls, group, size):
        """Starts nodes that hold generation 1 and the VM list."""
        fleet = cls(group, size)
        fleet.platform.publish("manifest", make_manifest(1))
        fleet.platform.publish("vms", make_vms(size))
        for number in range(size):
            fleet.add(number)
        await anyio.sleep(15)
        return fleet

    def make_source(self, vm):
        return DirectSource(self.platform, vm)

    def make_roster(self, address, seeds):
        return None

    def make_drains(self):
        return None

    def add(self, number, seeds=()):
        node = Node(self, number, seeds)
        self.nodes[node.address] = node
        self.group.start_soon(node.run)
        return node

    def send(self, sender, status, address):
        self.sent += 1
        if self.connects(sender.address, address):
            self.group.start_soon(self.deliver, sender, status, address)

    async def deliver(self, sender, status, address):
        await anyio.sleep(LATENCY_S)
        node = self.nodes[address]
        if not node.scope.cancel_called:
            status = decode(Status, encode(status))
            now = anyio.current_time()
            node.spread.handle_status(status, sender.address, now)

    def positions(self):
        return {n.generations.position for n in self.nodes.values()}


class SpreadTest(TestCase):
    def run_fleet(self, test, size=40):
        async def main():
            async with anyio.create_task_group() as group:
                fleet = await Fleet.start(group, size)
                self.assertEqual({1}, fleet.positions())
                await test(fleet)
                group.cancel_scope.cancel()

        run_virtual(main)

    def test_in_force_everywhere_when_platform_answers_one(self):
        # Guards against a new manifest that reaches only the processes that the
        # platform answers: here it answers a single watcher.
        async def test(fleet):
            vm_list = fleet.nodes[make_address(0)].members.current
            only = min(choose_watchers(vm_list))
            fleet.platform.accepts = lambda vm: vm.endswith("/" + only)
            await anyio.sleep(30)
            fleet.platform.publish("manifest", make_manifest(2))
            await anyio.sleep(0.1)
            pushed = [n.generations.position for n in fleet.nodes.values()]
            # Within this time, periodic gossip alone reaches only a few
            # processes; the rest are reached by pushes.
            self.assertThat(pushed.count(2), GreaterThan(len(pushed) / 2))
            await anyio.sleep(IN_FORCE_S - 0.1)
            self.assertEqual({2}, fleet.positions())

        self.run_fleet(test, 120)

    def test_platform_faults_change_nothing(self):
        # Guards against losing the manifest in force, or going back to an older
        # one, while the platform is stale, slow, failing, hanging or gives
        # oversized answers.
        async def test(fleet):
            fleet.platform.set_mode(Mode.STALE)
            fleet.platform.publish("manifest", make_manifest(2))
            node = fleet.nodes[make_address(3)]
            now = anyio.current_time()
            node.generations.offer(make_manifest(2), "platform", now)
            await anyio.sleep(IN_FORCE_S)
            self.assertEqual({2}, fleet.positions())
            for mode in Mode:
                fleet.platform.set_mode(mode, delay=60)
                await anyio.sleep(70)
                self.assertEqual({2}, fleet.positions(), mode)
            fleet.platform.set_mode(Mode.NORMAL)
            await anyio.sleep(15)
            fleet.platform.publish("manifest", make_manifest(3))
            await anyio.sleep(IN_FORCE_S)
            self.assertEqual({3}, fleet.positions())

        self.run_fleet(test)

    def test_refused_manifests_do_not_displace(self):
        # Guards against replacing the manifest in force by a malformed one, an
        # older one, or other content of the same generation.
        async def test(fleet):
            for data in (b"{", make_manifest(1, slots=3), make_manifest(0)):
                fleet.platform.publish("manifest", data)
                await anyio.sleep(IN_FORCE_S)
                for node in fleet.nodes.values():
                    self.assertEqual(make_manifest(1), node.generations.text)
            watcher = next(
                node for node in fleet.nodes.values() if node.members.is_watcher
            )
            refused = " ".join(watcher.generations.refused)
            self.assertIn("in force with other content", refused)
            fleet.platform.publish("manifest", make_manifest(2))
            await anyio.sleep(IN_FORCE_S)
            self.assertEqual({2}, fleet.positions())

        self.run_fleet(test)

    def test_conflict_between_peers_is_reported_once_and_heals(self):
        # Guards against two peers with different content of one generation: the
        # conflict must be reported, but only once, and must not block the next
        # generation.
        async def test(fleet):
            fleet.platform.set_mode(Mode.HANGING)
            ends = [fleet.nodes[make_address(n)] for n in (0, 1)]
            now = anyio.current_time()
            for slots, node in enumerate(ends, 3):
                node.generations.offer(make_manifest(2, slots), "test", now)
            await anyio.sleep(30)
            for node in fleet.nodes.values():
                self.assertEqual(1, len(node.generations.refused))
            ends[0].generations.offer(make_manifest(3), "test", now)
            await anyio.sleep(IN_FORCE_S)
            self.assertEqual({3}, fleet.positions())

        self.run_fleet(test)

    def test_start_while_platform_is_down(self):
        # Guards against a new process that cannot start while the platform is
        # down, or that does not fetch the earlier manifests from its peers.
        async def test(fleet):
            fleet.platform.publish("manifest", make_manifest(2))
            await anyio.sleep(10)
            fleet.platform.publish("manifest", make_manifest(5))
            await anyio.sleep(10)
            fleet.platform.set_mode(Mode.HANGING)
            seeds = [make_address(n) for n in (999, 3, 4)]
            node = fleet.add(700, seeds)
            await anyio.sleep(2)
            self.assertTrue(node.spread.is_confirmed)
            self.assertEqual(5, node.generations.position)
            self.assertEqual(1, node.members.position)
            now = anyio.current_time()
            history = node.generations.list_history(now)
            found = [version.manifest.generation for version in history]
            self.assertEqual([2, 1], found)
            ages = [round(now - version.replaced) for version in history]
            self.assertEqual([12, 22], ages)

        self.run_fleet(test)

    def test_partition_heals(self):
        # Guards against a side of a partition that keeps an older generation or
        # VM list after the partition ends, or that does not fetch the
        # generations that it missed.
        async def test(fleet):
            def is_left(address):
                return address < make_address(20)

            fleet.connects = lambda a, b: is_left(a) == is_left(b)
            left = [n for a, n in fleet.nodes.items() if is_left(a)]
            names = {f"jujuberun/{node.spread._vm}" for node in left}
            fleet.platform.accepts = lambda vm: vm in names
            await anyio.sleep(60)
            fleet.platform.publish("manifest", make_manifest(2))
            fleet.platform.publish("vms", make_vms(40, index=2))
            await anyio.sleep(120)
            fleet.platform.publish("manifest", make_manifest(3))
            await anyio.sleep(120)
            self.assertEqual({1, 3}, fleet.positions())
            self.assertEqual({3}, {n.generations.position for n in left})
            fleet.connects = lambda a, b: True
            await anyio.sleep(IN_FORCE_S)
            self.assertEqual({3}, fleet.positions())
            indexes = {n.members.position for n in fleet.nodes.values()}
            self.assertEqual({2}, indexes)
            for node in fleet.nodes.values():
                history = node.generations.list_history(anyio.current_time())
                found = [version.manifest.generation for version in history]
                self.assertEqual([2, 1], found)

        self.run_fleet(test)

    def test_pause_asks_peers_before_confirming(self):
        # Guards against a process that, after a pause, counts as confirmed with
        # an outdated generation, or does not fetch the generations in between,
        # on which directory ownership depends.
        async def test(fleet):
            node = fleet.nodes[make_address(7)]
            node.scope.cancel()
            await anyio.sleep(30)
            for generation in (2, 3):
                fleet.platform.publish("manifest", make_manifest(generation))
                await anyio.sleep(30)
            self.assertEqual(1, node.generations.position)
            fleet.group.start_soon(node.run)
            await anyio.lowlevel.checkpoint()
            await anyio.sleep(LATENCY_S)
            self.assertFalse(node.spread.is_confirmed)
            with anyio.fail_after(1):
                await node.spread.wait_confirmed()
            self.assertEqual(3, node.generations.position)
            await anyio.sleep(1)
            history = node.generations.list_history(anyio.current_time())
            found = [version.manifest.generation for version in history]
            self.assertEqual([2, 1], found)

        self.run_fleet(test)

    def test_lone_process_is_confirmed(self):
        async def test(fleet):
            fleet.connects = lambda one, other: False
            node = fleet.nodes[make_address(0)]
            node.spread.ask_peers(anyio.current_time())
            self.assertFalse(node.spread.is_confirmed)
            await anyio.sleep(3.5)
            self.assertTrue(node.spread.is_confirmed)

        self.run_fleet(test, 2)

    def test_peers_ahead_in_one_document_each_stop_replying(self):
        # Guards against two peers, each with one newer document, that reply to
        # each other endlessly.
        async def test(fleet):
            fleet.platform.set_mode(Mode.HANGING)
            ends = [fleet.nodes[make_address(n)] for n in (0, 1)]
            for node in ends:
                node.spread._transfer.fetch = lambda *_: anyio.sleep_forever()
            now = anyio.current_time()
            ends[0].generations.offer(make_manifest(2), "test", now)
            ends[1].members.offer(make_vms(2, index=2), "test", now)
            before = fleet.sent
            await anyio.sleep(10)
            self.assertThat(fleet.sent - before, LessThan(60))

        self.run_fleet(test, 2)

    def test_refused_document_of_a_peer_is_not_fetched_again(self):
        # Guards against fetching a refused document again at each status
        # message.
        async def test(fleet):
            one, other = (fleet.nodes[make_address(n)] for n in (0, 1))
            fetchers = one.spread._fetchers
            peers_ahead = fetchers[DocumentKind.MANIFEST].peers_ahead
            peers_ahead.add(other.address, (7, 0), b"digest", 0.0)
            peers_ahead.reject_document(other.address, 1.0)
            peers_ahead.add(other.address, (7, 0), b"digest", 30.0)
            self.assertIsNone(peers_ahead.choose((1, 0), random.Random(1)))
            peers_ahead.add(other.address, (7, 0), b"digest", 62.0)
            self.assertEqual(
                other.address, peers_ahead.choose((1, 0), random.Random(1))
            )

        self.run_fleet(test, 2)

    def test_document_whose_transfer_failed_is_fetched_again(self):
        # Guards against a valid version that a process takes from no peer for
        # a minute, because one delta could not be applied.
        async def test(fleet):
            one, other = (fleet.nodes[make_address(n)] for n in (0, 1))
            fetcher = one.spread._fetchers[DocumentKind.MANIFEST]
            for error in (
                LinkError("fetch document", "", "unknown base"),
                WireError("unpack document", "", "no zstd"),
            ):
                peers_ahead = fetcher.peers_ahead
                peers_ahead.add(other.address, (7, 0), b"digest", 0.0)
                fetcher._finish_fetch(other.address, Err(error))
                self.assertIsNone(peers_ahead.choose((1, 0), random.Random(1)))
                peers_ahead.add(other.address, (7, 0), b"digest", 0.5)
                self.assertEqual(
                    other.address, peers_ahead.choose((1, 0), random.Random(1))
                )

        self.run_fleet(test, 2)

    def test_malformed_status_and_loads(self):
        async def test(fleet):
            node = fleet.nodes[make_address(0)]
            node.spread.handle_status(Status(), make_address(1), 0.0)
            self.assertEqual(1, node.spread.counts["malformed"])
            sent = []
            node.spread._send = lambda status, address: sent.append(status)
            node.spread.collect_loads = lambda: ["load"]
            node.spread._last_gossip = 0.0
            node.spread.tick(anyio.current_time())
            self.assertEqual([["load"]], [status.loads for status in sent])

        self.run_fleet(test, 2)
