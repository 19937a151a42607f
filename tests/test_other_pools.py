"""Tests of flows at targets of pools that their service does not use now."""

import math

import testtools
from packetpath import (
    ADDRESS,
    POOL,
    Caller,
    Fleet,
    Target,
    make_service,
    make_vm,
    unpack,
)

from jujuberun.ids import PoolId
from jujuberun.lost_flows import LIST_SETTLE_S
from jujuberun.ownersearch.address_rounds import (
    MAX_MESSAGES_AT_ONCE,
    MIN_ROUND_INTERVAL_S,
    AddressRounds,
)
from jujuberun.ownersearch.held_flows import MAX_ADDRESSES_PER_MESSAGE
from jujuberun.servicemap import FORMER_POOL_RETENTION_S
from jujuberun.wire import Accepted, HeldAddresses, ListAddresses

NEW_POOL, THIRD_POOL = PoolId("counts-next"), PoolId("counts-last")
PATIENCE_S = 1.5  # below the time in which a caller gives up


class MovedServiceTest(testtools.TestCase):
    def make(self, old=3, new=3, balancers=2):
        """Returns a fleet with an open flow, whose service then moves."""
        fleet = Fleet(balancers=balancers, targets=old)
        self.add_targets(fleet, new, NEW_POOL)
        fleet.distribute_config()
        fleet.run(LIST_SETTLE_S, step=0.5)
        caller = Caller(fleet.net, 1)
        self.use(fleet, caller, 0)
        return fleet, caller

    def add_targets(self, fleet, count, pool):
        for _ in range(count):
            target = Target(fleet.net, f"10.2.1.{len(fleet.targets)}", pool)
            fleet.targets.append(target)
            started = target.sidecar.held_flows.started
            fleet.vms.append(make_vm(target.host, pool=pool, started=started))

    def use(self, fleet, caller, balancer, seconds=0.03):
        """Sends a request, again like a caller until there is an answer."""
        balancer = fleet.balancers[balancer]
        if caller.accepted is None:
            caller.start(balancer)
            fleet.run(0.03)
        answers = caller.answers
        caller.sequence += 4
        for _ in range(max(1, round(seconds / 0.2))):
            caller.send_request(balancer)
            fleet.run(min(0.2, seconds))
            if caller.answers > answers or caller.resets:
                break
        return caller.answers - answers

    def move(self, fleet, pool=NEW_POOL, generation=2, indexes=None):
        """Lets the service use another pool at some balancers."""
        fleet.services = [make_service(pool=pool)]
        for index in indexes or range(len(fleet.balancers)):
            fleet.balancers[index].apply_config(
                fleet.services, fleet.vms, fleet.net.now, generation
            )

    def restart(self, fleet, index=1):
        fleet.restart_balancer(index)
        fleet.run(LIST_SETTLE_S, step=0.5)

    def check_found(self, fleet, caller, index=1):
        """Checks that a balancer finds the owner of the flow."""
        owner = fleet.find_owner(caller)
        answered = self.use(fleet, caller, index, PATIENCE_S)
        self.assertGreaterEqual(answered, 1)
        self.assertEqual(0, caller.resets)
        self.assertIs(owner, fleet.find_owner(caller))

    def test_a_balancer_that_started_after_the_move_finds_the_owner(self):
        # Guards against review/1: all flows of a service that moved to another
        # pool were reset when balancers were restarted.
        fleet, caller = self.make()
        self.move(fleet)
        self.restart(fleet)
        self.check_found(fleet, caller)

    def test_a_flow_that_is_older_than_the_memory_of_its_move_is_found(self):
        # Guards against flows that live as long as they are used, while a
        # balancer remembers former pools for a minute.
        fleet, caller = self.make()
        self.move(fleet)
        for _ in range(round(FORMER_POOL_RETENTION_S / 5) + 1):
            self.assertEqual(1, self.use(fleet, caller, 0))
            fleet.run(5, step=0.5)
        for balancer in fleet.balancers:
            balancer.relay._services.expire(fleet.net.now)
            balancer.relay._flows.expire(20, fleet.net.now)
        self.check_found(fleet, caller)

    def test_a_balancer_that_missed_a_version_finds_the_owner(self):
        # Guards against resets by a balancer that never saw the version in
        # which the flow began.
        fleet, _ = self.make()
        self.add_targets(fleet, 2, THIRD_POOL)
        self.move(fleet, NEW_POOL, 2, [0])
        caller = Caller(fleet.net, 2)
        self.use(fleet, caller, 0)
        self.move(fleet, THIRD_POOL, 3)
        self.check_found(fleet, caller)

    def test_a_balancer_that_is_behind_finds_the_owner(self):
        # Guards against resets by a balancer that has not got the version yet
        # in which the flow began.
        fleet, _ = self.make()
        self.move(fleet, indexes=[0])
        caller = Caller(fleet.net, 2)
        self.use(fleet, caller, 0)
        self.assertEqual(NEW_POOL, fleet.find_owner(caller).pool)
        self.check_found(fleet, caller)

    def test_a_search_that_began_before_the_move_finds_the_owner(self):
        # Guards against a flow whose entry keeps the pools of its first packet
        # here: the pool that came into force later was never asked.
        fleet, _ = self.make()
        self.move(fleet, indexes=[0])
        caller = Caller(fleet.net, 2)
        self.use(fleet, caller, 0)
        caller.send_request(fleet.balancers[1])
        fleet.run(0.002)
        self.move(fleet)
        self.check_found(fleet, caller)

    def test_a_service_that_moves_back_and_forth_keeps_its_flows(self):
        fleet, first = self.make()
        self.move(fleet)
        second = Caller(fleet.net, 2)
        self.use(fleet, second, 0)
        self.move(fleet, POOL, 3)
        self.restart(fleet)
        self.check_found(fleet, first)
        self.check_found(fleet, second)

    def test_an_owner_at_an_address_that_is_used_again_is_found(self):
        # Guards against an agent that returns packets of a flow that its
        # target holds, because the balancer believes that the address still
        # belongs to a target of another pool.
        fleet, _ = self.make()
        stale = list(fleet.vms)
        former = fleet.targets.pop(0)
        former.stop_agent()
        owner = Target(fleet.net, former.host, NEW_POOL)
        fleet.targets.append(owner)
        started = owner.sidecar.held_flows.started
        vm = make_vm(owner.host, "t-next", NEW_POOL, started=started)
        fleet.vms = [*fleet.vms[1:], vm]
        self.move(fleet)
        for target in fleet.targets:
            target.rejects_starts = target is not owner
        caller = Caller(fleet.net, 2)
        self.use(fleet, caller, 0)
        self.assertIs(owner, fleet.find_owner(caller))
        fleet.vms = stale
        self.restart(fleet)
        self.check_found(fleet, caller)

    def test_the_target_that_the_caller_went_on_with_is_found(self):
        # Guards against a reset by a balancer that knows another target, which
        # took a copy of the start before its service moved.
        fleet, _ = self.make()
        caller = Caller(fleet.net, 2)
        caller.start(fleet.balancers[0])
        fleet.run(0.03)
        self.move(fleet, indexes=[1])
        caller.accepted = None
        caller.start(fleet.balancers[1], copy=1)
        fleet.run(0.03)
        opened = [
            target.pool
            for target in fleet.targets
            for key in target.flows
            if unpack(key)[0] == caller.address
        ]
        self.assertEqual([POOL, NEW_POOL], opened)
        self.use(fleet, caller, 0, PATIENCE_S)
        self.assertEqual((1, 0), (caller.answers, caller.resets))
        self.assertEqual(NEW_POOL, fleet.find_owner(caller).pool)

    def test_acknowledgements_reach_the_owner(self):
        # Guards against a download that ends because its caller sends nothing
        # but acknowledgements, which lead to no reset and no further search.
        fleet, caller = self.make()
        self.move(fleet)
        self.restart(fleet)
        owner = fleet.find_owner(caller)
        seen = owner.sidecar._flows[next(iter(owner.flows))]
        used_at = seen.used_at
        for _ in range(3):
            caller.send_request(fleet.balancers[1], b"")
            fleet.run(0.2)
        self.assertGreater(seen.used_at, used_at)
        self.assertEqual(0, caller.resets)

    def test_silent_agents_do_not_hide_the_owner(self):
        # Guards against a search that waits for a silent target of the current
        # pool, or takes it for the owner, and asks no other pool.
        for silent in ([3], [3, 4], [3, 4, 5]):
            fleet, caller = self.make()
            self.move(fleet)
            self.restart(fleet)
            fleet.net.silent = {fleet.targets[n].host for n in silent}
            self.check_found(fleet, caller)

    def test_a_silent_agent_of_another_pool_delays_a_reset_for_a_time(self):
        # Guards against callers that wait for ever because any agent is
        # silent, and against a reset while the owner's agent is paused.
        fleet, caller = self.make()
        self.move(fleet)
        self.restart(fleet)
        owner = fleet.find_owner(caller)
        fleet.net.silent = {owner.host}
        self.assertEqual(0, self.use(fleet, caller, 1, 4.0))
        self.assertEqual(0, caller.resets)
        fleet.net.silent = set()
        self.check_found(fleet, caller)
        lost = Caller(fleet.net, 2)
        self.use(fleet, lost, 0)
        fleet.find_owner(lost).flows.clear()
        fleet.net.silent = {owner.host}
        self.restart(fleet)
        self.use(fleet, lost, 1, 14.0)
        self.assertEqual(1, lost.resets)

    def test_agents_that_cannot_know_leave_it_to_their_targets(self):
        # Guards against resets while agents restart or are of the version
        # before, which does not list addresses.
        for is_old in (True, False):
            fleet, caller = self.make()
            self.move(fleet)
            self.restart(fleet)
            for target in fleet.targets:
                if not is_old:
                    target.stop_agent()
                    target.start_agent()
                    target.sidecar.held_flows.started += 30_000
            if is_old:
                fleet.net.is_lost = lambda data, sender, address: isinstance(
                    data, ListAddresses
                )
            self.check_found(fleet, caller)

    def test_lost_messages_do_not_hide_the_owner(self):
        fleet, caller = self.make()
        self.move(fleet)
        self.restart(fleet)
        lost = []

        def is_lost(data, sender, address):
            if isinstance(data, HeldAddresses) and len(lost) < 6:
                lost.append(data)
                return True
            return False

        fleet.net.is_lost = is_lost
        self.check_found(fleet, caller)
        self.assertEqual(6, len(lost))

    def test_packets_of_a_removed_service_are_not_searched(self):
        # Guards against flows that go on after their route was removed.
        fleet, caller = self.make()
        fleet.services = [make_service("r-2", ("198.18.0.2", 443))]
        fleet.distribute_config(2)
        self.restart(fleet)
        self.assertEqual(0, self.use(fleet, caller, 1, 1.0))
        late = Caller(fleet.net, 2)
        late.start(fleet.balancers[1])
        fleet.run(0.01)
        self.assertEqual(1, late.resets)
        counts = fleet.balancers[1].relay.counts
        self.assertEqual(0, counts["address_inquiries"])

    def test_a_lost_flow_is_still_reset_within_a_second(self):
        # Guards against callers that wait until their time limit because other
        # pools are asked.
        fleet, caller = self.make(old=12, new=30)
        fleet.find_owner(caller).flows.clear()
        self.restart(fleet)
        self.use(fleet, caller, 1, 1.0)
        self.assertEqual(1, caller.resets)

    def test_many_lost_flows_share_the_messages(self):
        # Guards against a load that grows with the flows that end with their
        # targets, at all targets of a fleet.
        fleet, _ = self.make(old=12, new=30)
        callers = [Caller(fleet.net, n) for n in range(2, 202)]
        for caller in callers:
            caller.start(fleet.balancers[0])
            fleet.run(0.01)
        for target in fleet.targets:
            target.flows.clear()
            target.start_agent()
        fleet.vms = [
            make_vm(
                target.host,
                f"new-{target.host}",
                target.pool,
                started=target.sidecar.held_flows.started,
            )
            for target in fleet.targets
        ]
        fleet.distribute_config()
        self.restart(fleet)
        for caller in callers:
            caller.send_request(fleet.balancers[1])
        fleet.run(1.0)
        counts = fleet.balancers[1].relay.counts
        self.assertLessEqual(counts["address_inquiries"], 3 * 42)
        self.assertEqual({1}, {caller.resets for caller in callers})

    def test_the_end_of_a_flow_needs_no_messages(self):
        # Guards against a round for each acknowledgement that follows the end
        # of a flow at a balancer that does not know it.
        fleet, caller = self.make()
        fleet.find_owner(caller).flows.clear()
        self.restart(fleet)
        for _ in range(3):
            caller.send_request(fleet.balancers[1], b"")
            fleet.run(0.01)
        counts = fleet.balancers[1].relay.counts
        self.assertEqual((0, 0), (caller.resets, counts["address_inquiries"]))

    def test_a_search_that_finds_its_owner_needs_no_messages(self):
        # Guards against a round for each moved flow: bounces arrive before the
        # confirmation of the owner, or a confirmation is lost.
        for delay, lost_count in ((0.02, 0), (0.0, 1)):
            fleet, caller = self.make(old=5)
            owner, lost = fleet.find_owner(caller), []
            fleet.net.get_delay = lambda data, sender, address, owner=owner: (
                delay if sender[0] == owner.host != address[0] else 0.0  # noqa: B023
            )
            fleet.net.is_lost = lambda data, sender, address: (
                isinstance(data, Accepted)
                and len(lost) < lost_count  # noqa: B023
                and not lost.append(data)  # noqa: B023
            )
            self.check_found(fleet, caller)
            counts = fleet.balancers[1].relay.counts
            self.assertEqual(lost_count, len(lost))
            self.assertEqual(0, counts["address_inquiries"])

    def test_one_pool_needs_no_messages(self):
        # Guards against other decisions where all targets serve one pool.
        fleet = Fleet(targets=12)
        caller = Caller(fleet.net, 1)
        self.use(fleet, caller, 0)
        fleet.find_owner(caller).flows.clear()
        self.restart(fleet)
        self.use(fleet, caller, 1, 1.0)
        counts = fleet.balancers[1].relay.counts
        self.assertEqual((1, 0), (caller.resets, counts["address_inquiries"]))


class HeldAddressesTest(testtools.TestCase):
    def test_addresses_follow_the_flows(self):
        # Guards against an agent that denies an address of a removed flow,
        # which its target may hold, and against addresses that stay for ever.
        fleet = Fleet(balancers=1, targets=1)
        (target,) = fleet.targets
        held = target.sidecar.held_flows
        callers = [Caller(fleet.net, n) for n in range(1, 4)]
        for caller in callers:
            caller.start(fleet.balancers[0])
            fleet.run(0.01)
            caller.send_request(fleet.balancers[0])
            fleet.run(0.01)
        self.assertEqual([3], list(held._addresses.values()))
        target.sidecar.expire(fleet.net.now + 21)
        self.assertEqual([3], list(held._addresses.values()))
        callers[0].send_request(fleet.balancers[0])
        fleet.run(0.01)
        self.assertEqual([3], list(held._addresses.values()))
        target.sidecar.expire(fleet.net.now + 61)
        self.assertEqual([], list(held._addresses.values()))

    def test_an_answer_fits_into_a_packet(self):
        from jujuberun.wire import Codec, Signer

        addresses = [bytes(6)] * MAX_ADDRESSES_PER_MESSAGE
        message = HeldAddresses(1 << 40, addresses, True, 1 << 62, 1 << 62)
        codec = Codec(Signer([b"k" * 32]))
        sealed = codec.seal(message, ADDRESS, 1 << 62)
        self.assertLessEqual(len(sealed), 1_232)


class AddressRoundsTest(testtools.TestCase):
    def make(self, count=3, now=10.0):
        rounds = AddressRounds()
        agents = [("10.2.0.1", number) for number in range(count)]
        rounds.request(now)
        rounds.begin(agents, agents, now)
        return rounds, agents

    def test_a_round_covers_searches_that_began_before_it(self):
        # Guards against a reset of a flow that opened after its owner's agent
        # was asked.
        rounds, agents = self.make()
        self.assertEqual(agents, rounds.take_due(0.1, 10.0))
        for agent in agents:
            rounds.record_answer(agent, rounds.token, True)
        self.assertTrue(rounds.end_if_done(10.0))
        self.assertTrue(rounds.is_covered(10.0))
        self.assertFalse(rounds.is_covered(10.01))

    def test_answers_of_an_earlier_round_do_not_count(self):
        rounds, agents = self.make()
        rounds.take_due(0.1, 10.0)
        self.assertFalse(rounds.record_answer(agents[0], 0, True))

    def test_silent_agents_are_asked_twice_and_then_unsure(self):
        rounds, agents = self.make()
        rounds.take_due(0.1, 10.0)
        rounds.record_answer(agents[0], rounds.token, True)
        rounds.record_answer(agents[1], rounds.token, False)
        self.assertEqual([agents[2]], rounds.take_due(0.1, 10.1))
        self.assertFalse(rounds.end_if_done(10.1))
        self.assertEqual([], rounds.take_due(0.1, 10.2))
        self.assertTrue(rounds.end_if_done(10.2))
        self.assertEqual(frozenset(agents[1:]), rounds.unsure)

    def test_messages_of_a_large_fleet_leave_slowly(self):
        # Guards against a burst that fills the link, and against rounds that
        # follow each other without a pause.
        rounds, agents = self.make(3_600)
        now, sent = 10.0, []
        while len(sent) < len(agents):
            due = rounds.take_due(0.1, now)
            self.assertLessEqual(len(due), MAX_MESSAGES_AT_ONCE)
            sent.extend(due)
            now = max(now, rounds.find_next_at())
        self.assertEqual(agents, sent)
        for agent in agents:
            rounds.record_answer(agent, rounds.token, True)
        rounds.end_if_done(now)
        rounds.request(now)
        self.assertGreaterEqual(rounds.find_next_at() - 10.0, 2 * (now - 10.2))

    def test_small_rounds_have_a_pause(self):
        rounds, _ = self.make(0)
        self.assertTrue(rounds.end_if_done(10.0))
        self.assertEqual(math.inf, rounds.find_next_at())
        rounds.request(10.1)
        expected = 10.0 + MIN_ROUND_INTERVAL_S
        self.assertEqual(expected, rounds.find_next_at())
