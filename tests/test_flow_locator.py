"""Tests of agents that say which flows their targets hold."""

import json

import testtools
from movedflow import open_flow, restart_fleet
from packetpath import Fleet, make_vm
from platformstore import make_entry

from jujuberun.ownersearch.agent_knowledge import knows_all_flows
from jujuberun.ownersearch.flow_locator import (
    LOCATE_INTERVAL_S,
    MAX_KEYS_PER_MESSAGE,
    FlowLocator,
)
from jujuberun.ownersearch.held_flows import MAX_REMOVED_FLOWS
from jujuberun.vm_list import parse_vm_list
from jujuberun.wire import Accepted, Locate, NotHeld


class LocatedFlowTest(testtools.TestCase):
    def make(self, rank=40, targets=61):
        """Returns a fleet, a caller with an open flow, and ranked targets."""
        fleet = Fleet(targets=targets)
        return fleet, *open_flow(fleet, 1, rank)

    def ask(self, fleet, caller, seconds):
        """Sends a request; returns the copies of it that targets returned."""
        before = sum(target.unknown_packets for target in fleet.targets)
        caller.send_request(fleet.balancers[1])
        fleet.run(seconds)
        strays = sum(target.unknown_packets for target in fleet.targets)
        return strays - before

    def lose_first(self, fleet, kind, count=1):
        """Loses the first messages of a class."""
        lost = []

        def is_lost(data, sender, address):
            if isinstance(data, kind) and len(lost) < count:
                lost.append(data)
                return True
            return False

        fleet.net.is_lost = is_lost
        return lost

    def test_any_owner_is_found_with_few_copies(self):
        # Guards against a search of the whole pool with copies of a packet:
        # with 61 targets the median was 5.5 round trips and 35 copies.
        for rank in (6, 30, 60, 135):
            fleet, caller, _ = self.make(rank, max(61, rank + 1))
            self.assertLessEqual(self.ask(fleet, caller, 0.014), 6)
            self.assertEqual(1, caller.answers)

    def test_agents_are_not_asked_where_no_start_is_stated(self):
        # Guards against other decisions in deployments without the new field:
        # the packet goes to six targets at a time, and 41 return it.
        fleet, caller, ranked = self.make()
        fleet.vms = [make_vm(target.host) for target in fleet.targets]
        fleet.distribute_config()
        self.assertEqual(41, self.ask(fleet, caller, 0.04))
        counts = fleet.balancers[1].relay.counts
        self.assertEqual((1, 0), (caller.answers, counts["searches_by_key"]))

    def test_lost_messages_do_not_end_the_search(self):
        # Guards against a search that waits for an answer that never comes, or
        # for the last answer as long as for all.
        cases = ((Locate, 55, 0.25), (NotHeld, 55, 0.25), (Accepted, 1, 0.02))
        for kind, count, seconds in cases:
            fleet, caller, _ = self.make()
            lost = self.lose_first(fleet, kind, count)
            self.ask(fleet, caller, seconds)
            self.assertGreater(len(lost), 0)
            self.assertEqual(1, caller.answers)

    def test_agents_of_an_earlier_version_are_asked_with_the_packet(self):
        # Guards against flows that are lost while a fleet is updated.
        fleet, caller, ranked = self.make()
        for target in ranked[::2]:
            del target.sidecar._peers.handlers[Locate]
        fleet.net.is_lost = lambda data, sender, address: (
            isinstance(data, Locate)
            and address[0] in {target.host for target in ranked[::2]}
        )
        self.ask(fleet, caller, 0.25)
        self.assertEqual((1, 0), (caller.answers, caller.resets))

    def test_an_agent_that_restarted_does_not_hide_its_flows(self):
        # Guards against a reset of a flow that the agent forgot in its restart
        # while its target holds it.
        fleet, caller, ranked = self.make()
        ranked[40].stop_agent()
        ranked[40].start_agent()
        ranked[40].sidecar.held_flows.started += 30_000
        self.assertLessEqual(self.ask(fleet, caller, 0.05), 7)
        self.assertEqual(1, caller.answers)

    def test_flows_in_use_since_before_an_agent_are_left_to_the_packet(self):
        # Guards against a reset of a flow that is older than its agent, or was
        # idle until the agent removed it: 60 s later the agent denied it.
        for is_restarted in (True, False):
            fleet, caller, ranked = self.make()
            owner = ranked[40]
            if is_restarted:
                owner.stop_agent()
                owner.start_agent()
            else:
                owner.sidecar.expire(fleet.net.now + 21)
            for _ in range(14):
                caller.send_request(fleet.balancers[0])
                fleet.run(5, step=0.5)
                owner.sidecar.expire(fleet.net.now)
            fleet.restart_balancer(1)
            fleet.run(2.5, step=0.5)  # the list of targets counts as complete
            answers = caller.answers
            self.ask(fleet, caller, 0.7)
            self.assertEqual(0, caller.resets)
            self.assertEqual(answers + 1, caller.answers)

    def test_a_clock_that_jumps_leaves_the_flow_to_the_packet(self):
        # Guards against an agent that seems to be as old as its target or
        # older, because the clock was set back before its restart.
        fleet, caller, ranked = self.make()
        ranked[40].start_agent()
        ranked[40].sidecar.held_flows.started -= 30_000
        self.ask(fleet, caller, 0.05)
        self.assertEqual(1, caller.answers)

    def test_a_flow_that_the_agent_removed_is_left_to_the_packet(self):
        # Guards against an idle flow that is reset because agents remove flows
        # after 20 s and targets later, also if too many were removed.
        for others in (0, MAX_REMOVED_FLOWS):
            fleet, caller, ranked = self.make()
            sidecar = ranked[40].sidecar
            flow = next(iter(sidecar._flows.values()))
            sidecar.expire(fleet.net.now + 21)
            for number in range(others):
                flow.key = number.to_bytes(12, "big")
                sidecar.held_flows.record_removal(flow)
            self.ask(fleet, caller, 0.25)
            self.assertEqual(1, caller.answers)

    def test_a_target_that_restarted_beside_its_agent_ends_its_flows(self):
        # Guards against a caller that waits for a flow that ended with its
        # target, because the agent still knows it.
        fleet, caller, ranked = self.make()
        ranked[40].flows.clear()
        fleet.run(2.5)  # the list of targets counts as complete
        self.ask(fleet, caller, 0.1)
        self.assertEqual((0, 1), (caller.answers, caller.resets))

    def test_an_earlier_flow_of_the_port_is_not_taken_for_this_one(self):
        # Guards against packets that go to the target of the flow that used
        # the caller's port before.
        fleet, caller, ranked = self.make(rank=30)
        caller.send_request(fleet.balancers[0])
        fleet.run(0.02)
        fleet.restart_balancer(0)
        ranked[30].sidecar.draining = True  # declines the new start
        caller, _ = open_flow(fleet, 1, rank=40)
        before = ranked[30].unknown_packets
        self.ask(fleet, caller, 0.05)
        self.assertEqual(1, caller.answers)
        self.assertEqual(before, ranked[30].unknown_packets)

    def test_lost_flows_cost_a_fifth_of_the_bytes(self):
        # Guards against searches that fill the links of small balancers after
        # a loss of power, so that starts are not confirmed.
        old, new = (restart_fleet(False), restart_fleet(True))
        self.assertEqual(55, new.resets)
        self.assertLess(new.sent * 5, old.sent)
        self.assertLess(new.last, old.last)


class FlowLocatorTest(testtools.TestCase):
    def test_an_agent_gets_one_message_in_each_interval(self):
        # Guards against a message for each flow, and against datagrams that
        # are longer than packets of the network.
        locator = FlowLocator()
        agent, other = ("10.2.0.1", 8172), ("10.2.0.2", 8172)
        locator.add(b"first", [agent, other], 100.0)
        self.assertEqual(2, len(locator.take_due(100.0)))
        keys = [b"%12d" % number for number in range(MAX_KEYS_PER_MESSAGE + 1)]
        due = [locator.add(key, [agent], 100.01) for key in keys]
        self.assertEqual([], locator.take_due(100.02))
        self.assertEqual(100.0 + LOCATE_INTERVAL_S, due[0])
        self.assertEqual([(agent, keys[:-1])], locator.take_due(due[0]))
        self.assertEqual([(agent, keys[-1:])], locator.take_due(due[-1]))
        self.assertEqual(0, len(locator))


class AgentKnowledgeTest(testtools.TestCase):
    def test_only_an_agent_as_old_as_its_target_knows_all_flows(self):
        # Guards against resets of flows that an agent cannot know.
        cases = (
            (5_500, 100, [5_000], True),
            (6_500, 100, [5_000], False),
            (3_000, 100, [5_000], False),
            (6_500, 60_000, [5_000], True),
            (5_500, 100, [1_000, 5_000], True),
            (5_500, 100, [None, 5_000], False),
            (5_500, 100, [], False),
        )
        for started, running, starts, expected in cases:
            self.assertIs(expected, knows_all_flows(started, running, starts))


class StartTest(testtools.TestCase):
    def test_start_of_a_target_is_optional(self):
        # Guards against lists that processes of another version refuse, and
        # against other bytes where the platform states no start.
        from adapter import documents, targets  # packetpath sets the path

        cases = ((None, None), (7, 7), (-7, None), (1 << 63, None))
        for born, expected in cases:
            changes = {} if born is None else {"born": born}
            value = json.dumps(make_entry(**changes)).encode()
            entry = documents.StoreEntry("servers/i", value, None)
            text = targets.translate_registrations([entry], 1, 0, 8172, 0.0)
            (vm,) = parse_vm_list(text).ok_value.vms.values()
            self.assertEqual(expected, vm.target.started)
            self.assertEqual(expected is not None, b'"started"' in text)
