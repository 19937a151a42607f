"""Tests of failure domains that are drained on the operator's request."""

import itertools

import anyio
from network import run_virtual
from packetpath import Caller, Fleet, make_service, make_vm
from platformstore import FakeStore, make_configuration
from testtools import ExpectedException, TestCase

from jujuberun.delta import MAX_DOCUMENT_BYTES
from jujuberun.draining.drain_list import (
    DrainList,
    dump_drain_list,
    parse_drain_list,
)
from jujuberun.draining.drains import Drains
from jujuberun.draining.former_drains import LOST_KEY_GRACE_S
from jujuberun.draining.reader import DrainReader
from jujuberun.errors import SourceError
from jujuberun.generations import OfferResult
from jujuberun.source import DocumentKind
from jujuberun.wire import Status

# The adapter is found on the path that platformstore sets.
from adapter.operator_keys import OperatorKeys  # isort: skip
from adapter.positions import Position  # isort: skip

WAIT_S = 4.0


def make_list(index, domains="", epoch=0):
    return dump_drain_list(DrainList(index, frozenset(domains.split()), epoch))


def key(domain):
    return f"op/evacuate/{domain}"


class DrainsTest(TestCase):
    def play(self, *steps):
        """Offers lists, or None, at their times; returns what is drained."""
        drains, found = Drains(), []
        for now, text in steps:
            if text is not None:
                drains.offer(text, "platform", now)
            drains.expire(now)
            found.append(" ".join(sorted(drains.domains)))
        return found

    def test_text_is_read_back_and_damage_is_refused(self):
        drain_list = DrainList(7, frozenset("ab"), 3)
        text = dump_drain_list(drain_list)
        self.assertEqual(drain_list, parse_drain_list(text).unwrap())
        domains = (b"[7]", b'[""]', b'"ab","epoch":"x"', b'[],"index":-1')
        damaged = [b'{"index":1,"domains":%b}' % part for part in domains]
        for text in (
            b"",
            b"[" * 5000,
            b"{}",
            b" " * (MAX_DOCUMENT_BYTES + 1),
            *damaged,
        ):
            self.assertTrue(parse_drain_list(text).is_err(), text[:40])

    def test_list_never_goes_back(self):
        # Guards against a late answer or a peer behind that ends a drain.
        drains = Drains()
        drains.offer(make_list(5, "a"), "platform", 1.0)
        older = drains.offer(make_list(4), "peer", 2.0)
        self.assertEqual(OfferResult.OLDER, older.unwrap())
        self.assertTrue(drains.offer(make_list(5), "peer", 2.0).is_err())
        self.assertEqual({"a"}, drains.domains)
        self.assertEqual(1, len(drains.dump_state(2.0)["refused"]))

    def test_drain_of_a_former_epoch_is_kept_for_the_grace_period(self):
        # Guards against new flows in a drained domain between the return of
        # the store and the time at which the operator writes the key again.
        end = 3 + LOST_KEY_GRACE_S
        before, after = (1, make_list(5, "a b", 1)), (3, make_list(12, "", 2))
        again = (4, make_list(13, "b", 2))
        found = self.play(before, after, again, (end - 0.1, None), (end, None))
        self.assertEqual(["a b"] * 4 + ["b"], found)
        # A key that the new epoch has listed and lost was removed.
        found = self.play(before, after, again, (5, make_list(14, "", 2)))
        self.assertEqual("a", found[-1])
        # A second return begins with what was drained.
        second = (end - 0.1, make_list(21, "", 3))
        found = self.play(before, after, second, (end + 5, None))
        self.assertEqual(["a b"] * 4, found)

    def test_equal_list_of_a_higher_index_is_not_fetched(self):
        # Guards against a fetch by all processes after each complete read.
        drains = Drains()
        drains.offer(make_list(5, "a"), "platform", 1.0)
        other = Drains()
        other.offer(make_list(9, "b"), "platform", 1.0)
        self.assertFalse(drains.adopt_index(9, other.digest))
        other.offer(make_list(10, "a"), "platform", 1.0)
        self.assertTrue(drains.adopt_index(10, other.digest))
        self.assertEqual(other.text, drains.text)

    def test_peer_without_drains_tells_that_there_are_none(self):
        # Guards against a balancer that is never ready while the store is
        # down, and against one that believes a peer without a manifest.
        drains = Drains()
        drains.note_peer(Status(generation=0))
        self.assertFalse(drains.is_known)
        drains.note_peer(Status(generation=3))
        self.assertTrue(drains.is_known)
        told = Drains()
        told.note_peer(Status(generation=3, drain_index=4))
        told.note_peer(Status(generation=3))
        self.assertFalse(told.is_known)


class DrainSourceTest(TestCase):
    """The adapter's source, with a reader of drains and of the manifest."""

    def read(self, scenario, *drained):
        """Runs a scenario(store, source, drains) beside a reader of drains."""

        async def run():
            store, drains = FakeStore(), Drains()
            store.put("op/config", make_configuration(4))
            for domain in drained:
                store.put(key(domain), {})
            source = store.make_source()
            reader = DrainReader(source, drains)
            async with anyio.create_task_group() as group:
                group.start_soon(reader.run, anyio.current_time)
                await anyio.sleep(0.01)
                result = await scenario(store, source, drains)
                group.cancel_scope.cancel()
            return result

        return run_virtual(run)

    async def fetch(self, source, index=0, wait=WAIT_S):
        return await source.fetch(DocumentKind.MANIFEST, index, wait)

    def test_one_read_and_one_watch_serve_both_documents(self):
        # Guards against a call of its own for the drains, which has a cost,
        # and against peers that conclude from a manifest without drains that
        # there are none: the drains of a read are known before its manifest.
        # The source of the configuration alone made as many calls.
        for domains in ((), ("a",)):

            async def scenario(store, source, drains, domains=domains):
                first = await self.fetch(source)
                self.assertTrue(drains.is_known)
                self.assertEqual(frozenset(domains), drains.domains)
                for number in range(5):
                    store.put(f"other/{number}", b"x")
                    self.assertIsNone(await self.fetch(source, first.index))
                return [path for path, _ in store.calls]

            calls = self.read(scenario, *domains)
            self.assertEqual(["/kv-range"] + ["/kv-watch"] * 5, calls)

    def test_changes_of_one_do_not_delay_the_other(self):
        async def scenario(store, source, drains):
            first = await self.fetch(source)
            found = []

            async def watch():
                found.append(await self.fetch(source, first.index))
                found.append(anyio.current_time())

            async with anyio.create_task_group() as group:
                group.start_soon(watch)
                await anyio.sleep(1.0)
                store.put(key("a"), {})
                await anyio.sleep(0.01)
                self.assertEqual({"a"}, drains.domains)
                store.put("op/config", make_configuration(9))
                written = anyio.current_time()
            self.assertIsNotNone(found[0])
            self.assertLess(found[1] - written, 0.2)

        self.read(scenario)

    def test_damage_hides_no_drain(self):
        # Guards against a drain that is missed because of its value, a damaged
        # configuration, a key that names no domain, or too many keys.
        async def scenario(store, source, drains):
            store.put("op/config", b"{")
            store.put(key("a"), b"\xff")
            store.put(key(""), {})
            store.put("op/evacuated/b", {})
            with ExpectedException(SourceError):
                await self.fetch(source)
            await anyio.sleep(0.01)
            return drains.domains

        self.assertEqual({"a"}, self.read(scenario))
        keys = OperatorKeys()
        names = ("x" * 300, *map(str, range(2000)))
        keys.replace(dict.fromkeys(map(key, names)), Position(1, 1))
        self.assertEqual(1000, len(keys.list_drained(0.0)))

    def test_whole_prefix_is_read_after_history_was_dropped(self):
        # Guards against drains that are missed or never taken back.
        async def scenario(store, source, drains):
            first = await self.fetch(source)
            store.remove(key("a"))
            store.put(key("b"), {})
            store.forget_history()
            await self.fetch(source, first.index)
            await anyio.sleep(0.01)
            return drains.domains

        self.assertEqual({"b"}, self.read(scenario, "a"))


class DrainedTargetsTest(TestCase):
    """Packet flows through balancers; targets 0 and 1 are in domain "b"."""

    def make_fleet(self, drained_targets=2, targets=4):
        fleet = Fleet(targets=targets)
        fleet.vms = [
            make_vm(target.host, domain="b" if n < drained_targets else "a")
            for n, target in enumerate(fleet.targets)
        ]
        fleet.distribute_config()
        self.numbers = itertools.count(1)
        return fleet

    def start(self, fleet, count):
        callers = [Caller(fleet.net, next(self.numbers)) for _ in range(count)]
        for number, caller in enumerate(callers):
            caller.start(fleet.balancers[number % len(fleet.balancers)])
            fleet.net.run(0.005)
        fleet.net.run()
        return callers

    def count_flows(self, fleet):
        return [len(target.flows) for target in fleet.targets]

    def test_no_flow_opens_in_a_drained_domain(self):
        fleet = self.make_fleet()
        fleet.drain("b", "c")
        callers = self.start(fleet, 20)
        self.assertEqual([0, 0], self.count_flows(fleet)[:2])
        self.assertTrue(all(c.accepted is not None for c in callers))
        fleet.drain()
        self.start(fleet, 20)
        self.assertNotIn(0, self.count_flows(fleet))

    def test_open_flows_go_on_also_at_another_balancer(self):
        fleet = self.make_fleet(drained_targets=4)
        callers = self.start(fleet, 6)
        fleet.drain("b")
        for number, caller in enumerate(callers):
            caller.send_request(fleet.balancers[number % 2])
        # Both requests of these callers have the same sequence number, so the
        # first one is answered before the next one looks like its copy.
        fleet.net.run()
        fleet.restart_balancer(0)
        fleet.drain("b")
        for caller in callers:
            caller.send_request(fleet.balancers[0])
            fleet.net.run()
        self.assertEqual([2] * 6, [caller.answers for caller in callers])

    def test_starts_are_refused_at_once_if_the_whole_pool_is_drained(self):
        # Guards against callers that wait for a target which never comes, and
        # against refused starts that run later.
        fleet = self.make_fleet(drained_targets=4)
        fleet.drain("b")
        callers = self.start(fleet, 4)
        self.assertEqual([1] * 4, [caller.resets for caller in callers])
        fleet.check_offers(2.0)
        self.assertEqual([0] * 4, self.count_flows(fleet))

    def test_waiting_starts_are_refused_when_the_pool_is_drained(self):
        fleet = self.make_fleet(drained_targets=1, targets=1)
        fleet.services = [make_service(objective=0.02)]
        fleet.distribute_config()
        fleet.targets[0].work = 0.5
        for caller in self.start(fleet, 2):
            caller.send_request(fleet.balancers[0])
        fleet.net.run()
        waiting = self.start(fleet, 3)
        relays = [balancer.relay for balancer in fleet.balancers]
        self.assertTrue(any(r._dispatcher.has_waiting_starts for r in relays))
        fleet.drain("b")
        for relay in relays:
            relay.check_offers(fleet.net.now + 0.02)
        fleet.net.run()
        self.assertEqual([1] * 3, [caller.resets for caller in waiting])

    def test_no_start_is_repeated_or_copied_into_a_drained_domain(self):
        # Guards against a copy that opens a flow after the drain: of a start
        # that was accepted, or that was never confirmed.
        fleet = self.make_fleet(drained_targets=1, targets=1)
        target = fleet.targets[0]
        (accepted,) = self.start(fleet, 1)
        target.is_dead = True
        (caller,) = self.start(fleet, 1)
        fleet.drain("b")
        target.is_dead = False
        target.flows.clear()
        for _ in range(3):
            fleet.check_offers()
            accepted.start(fleet.balancers[0], copy=1)
            caller.start(fleet.balancers[0], copy=1)
        fleet.net.run(0.5)
        self.assertEqual([0], self.count_flows(fleet))
        # The target may still open the first copy, so no refusal is true.
        self.assertEqual(0, caller.resets)

    def test_balancer_starts_no_flow_before_it_knows_the_drains(self):
        fleet = self.make_fleet()
        balancer = fleet.balancers[0]
        balancer.drains.expects_list = True
        self.assertFalse(balancer.relay.is_ready)
        fleet.balancers = [balancer]
        (caller,) = self.start(fleet, 1)
        self.assertEqual([0] * 4, self.count_flows(fleet))
        self.assertEqual(0, caller.resets)
        fleet.drain("b")
        self.assertTrue(balancer.relay.is_ready)

    def test_dump_and_explanation_name_the_drained_domains(self):
        fleet = self.make_fleet(drained_targets=4)
        fleet.drain("b")
        relay, now = fleet.balancers[0].relay, fleet.net.now
        answer = relay.explain("r-1", ("100.64.0.7", 1), now)
        self.assertEqual(["b"], answer["drained_domains"])
        self.assertIsNone(answer["chosen"])
        targets = relay.dump_state(now)["targets"].values()
        self.assertTrue(all(target["drained"] for target in targets))
        state = fleet.balancers[0].drains.dump_state(now)
        self.assertEqual((["b"], 1), (state["domains"], state["index"]))
