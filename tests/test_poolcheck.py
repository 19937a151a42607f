"""Tests that starts open only at targets of the pool that they name."""

import itertools

import testtools
from packetpath import (
    _HEADER,
    ADDRESS,
    CODEC,
    PORT,
    Caller,
    Fleet,
    PacketCodec,
    Target,
    make_service,
    make_vm,
    unpack,
)

from jujuberun.frames import make_tag
from jujuberun.ids import PoolId
from jujuberun.manifest import PoolShare
from jujuberun.poolcheck.quarantine import QUARANTINE_S
from jujuberun.poolcheck.shared_tags import find_shared_tags
from jujuberun.poolcheck.start_check import PoolChecker, StartCheck

OTHER_ADDRESS = ("198.18.0.2", 443)
# Names of one tag; the first pair is that of review/2.
PAIRS = (("tally-desk", "mail-v13"), ("mail-v13", "tally-desk"))


class FormerCodec(PacketCodec):
    """The packet format of processes of the version before."""

    def add_pool(self, data, pool):
        return data

    def split_pool(self, data):
        return data, None


def make_former(target):
    """Lets an agent behave like one of the version before."""
    target.sidecar._codec = FormerCodec()
    target.sidecar._pool_checker.quarantine.record_former_flow()


def find_names_with_one_tag(count):
    """Returns pairs of names that have one tag."""
    seen, pairs = {}, []
    for name in map("service.{}".format, itertools.count()):
        if len(pairs) == count:
            break
        other = seen.setdefault(make_tag(name), name)
        if other != name:
            pairs.append((other, name))
    return pairs


class UsedAgainTest(testtools.TestCase):
    def make(self, pool, other, targets=3):
        """Returns a fleet of two services, each with targets of its own."""
        pool, other = PoolId(pool), PoolId(other)
        fleet = Fleet(balancers=2, targets=0)
        fleet.services = [
            make_service(pool=pool),
            make_service("r-2", OTHER_ADDRESS, other),
        ]
        for number, name in enumerate([pool] * targets + [other] * targets):
            target = Target(fleet.net, f"10.2.0.{number}", name)
            fleet.targets.append(target)
            fleet.vms.append(make_vm(target.host, pool=name))
        fleet.distribute_config()
        return fleet

    def use_again(self, fleet, is_listed):
        """Gives the address of the first target to one of the other pool."""
        former = fleet.targets.pop(0)
        former.stop_agent()
        target = Target(fleet.net, former.host, fleet.targets[-1].pool)
        fleet.targets.append(target)
        if is_listed:
            fleet.vms.append(make_vm(target.host, "t-next", target.pool))
            fleet.distribute_config()
        return target

    def open_flows(self, fleet, numbers, address=ADDRESS):
        """Opens flows at both balancers; returns their callers."""
        callers = []
        for number in numbers:
            caller = Caller(fleet.net, number, address)
            caller.start(fleet.balancers[number % 2])
            fleet.run(0.12)
            callers.append(caller)
        return callers

    def check_services(self, fleet):
        """Checks that each flow opened at a target of its own service."""
        pools = {
            service.address: service.pools[0].pool for service in fleet.services
        }
        for target in fleet.targets:
            for key in target.flows:
                self.assertEqual(pools[unpack(key)[1]], target.pool)

    def check_served(self, callers, count=None):
        opened = [c for c in callers if c.accepted is not None]
        self.assertEqual(len(callers) if count is None else count, len(opened))

    def test_names_with_one_tag_are_told_apart_at_a_reused_address(self):
        # Guards against review/2: requests of one service were run by another
        # one that has taken over an address, because 16 bits of the hashes of
        # both names are equal.
        for pair in (*PAIRS, *find_names_with_one_tag(3)):
            for is_listed in (False, True):
                fleet = self.make(*pair)
                self.check_served(self.open_flows(fleet, range(1, 5)))
                self.use_again(fleet, is_listed)
                callers = self.open_flows(fleet, range(5, 25))
                self.check_served(callers)
                others = self.open_flows(fleet, range(25, 35), OTHER_ADDRESS)
                self.check_served(others)
                self.check_services(fleet)

    def test_balancers_that_start_while_an_address_is_reused(self):
        # Guards against a first start that an agent takes before the balancer
        # knows that it reads names.
        fleet = self.make(*PAIRS[0])
        self.use_again(fleet, is_listed=False)
        self.check_served(self.open_flows(fleet, range(1, 25)))
        self.check_services(fleet)

    def test_silence_does_not_bring_the_tag_back(self):
        # Guards against a balancer that falls back to the tag after the agent
        # at the address was silent, as it is while its VM is replaced.
        fleet = self.make(*PAIRS[0])
        self.open_flows(fleet, range(1, 5))
        fleet.net.silent = {fleet.targets[0].host}
        self.open_flows(fleet, range(5, 15))
        fleet.net.silent = set()
        self.use_again(fleet, is_listed=False)
        fleet.run(8.5, step=0.5)  # suspicions end
        self.check_served(self.open_flows(fleet, range(15, 35)))
        self.check_services(fleet)

    def test_balancers_of_the_former_version_are_served(self):
        # Guards against an outage while processes are updated.
        fleet = self.make("counts", "sheets")
        fleet.run(QUARANTINE_S, step=0.5)
        fleet.balancers[0].relay._port._codec = FormerCodec()
        for target in fleet.targets:
            target.sidecar.expire(fleet.net.now - QUARANTINE_S)
        callers = self.open_flows(fleet, range(1, 13))
        self.check_served(callers)
        for target in fleet.targets:  # beside a target with flows in use
            target.stop_agent()
            target.start_agent()
        for caller in callers:
            caller.send_request(fleet.balancers[0])
            fleet.run(0.01)
        self.check_served(self.open_flows(fleet, range(13, 25)))
        self.use_again(fleet, is_listed=False)
        self.check_served(self.open_flows(fleet, range(25, 37)))
        self.check_services(fleet)

    def test_former_balancers_do_not_reach_a_new_machine_at_once(self):
        # Guards against an agent at a reused address that can only compare the
        # tags of starts from balancers of the version before.
        for pair in PAIRS:
            fleet = self.make(*pair)
            for balancer in fleet.balancers:
                balancer.relay._port._codec = FormerCodec()
            for target in fleet.targets:
                target.sidecar._pool_checker.quarantine.record_former_flow()
            target = self.use_again(fleet, is_listed=True)
            self.check_served(self.open_flows(fleet, range(1, 25)))
            self.check_services(fleet)
            fleet.vms = fleet.vms[1:]
            fleet.distribute_config()
            fleet.run(QUARANTINE_S, step=0.5)
            self.open_flows(fleet, range(25, 60), OTHER_ADDRESS)
            self.assertNotEqual({}, target.flows)
            self.check_services(fleet)

    def test_a_former_agent_that_was_silent_gets_only_named_starts(self):
        # Guards against a machine of another pool at the address of one that
        # fell silent, before its registration is read.
        fleet = self.make(*PAIRS[0])
        for target in fleet.targets:
            make_former(target)
        self.open_flows(fleet, range(1, 9))
        fleet.net.silent = {fleet.targets[0].host}
        self.open_flows(fleet, range(9, 21))
        fleet.net.silent = set()
        make_former(self.use_again(fleet, is_listed=False))
        self.open_flows(fleet, range(21, 41))
        self.check_services(fleet)

    def test_agents_of_the_former_version_are_served(self):
        # Guards against an outage while processes are updated, also back.
        fleet = self.make("counts", "sheets")
        for _ in range(2):
            for target in fleet.targets:
                make_former(target)
            callers = self.open_flows(fleet, range(1, 13))
            self.check_served(callers)
            for target in fleet.targets:
                target.sidecar._codec = CODEC
            self.check_served(self.open_flows(fleet, range(13, 25)))
            fleet.run(21, step=0.5)
            for balancer in fleet.balancers:
                balancer.relay._flows.expire(20, fleet.net.now)
        self.check_services(fleet)

    def test_a_former_agent_gets_no_start_that_it_may_confuse(self):
        # Guards against an agent of the version before at a reused address:
        # it compares the tag only.
        for pair in PAIRS:
            fleet = self.make(*pair)
            for target in fleet.targets:
                make_former(target)
            target = self.use_again(fleet, is_listed=True)
            make_former(target)
            self.check_served(self.open_flows(fleet, range(1, 25)))
            self.check_services(fleet)
            self.assertEqual({}, target.flows)
            # The former registration expires.
            fleet.vms = fleet.vms[1:]
            fleet.distribute_config()
            self.open_flows(fleet, range(25, 60), OTHER_ADDRESS)
            self.assertNotEqual({}, target.flows)
            self.check_services(fleet)

    def test_targets_get_packets_as_their_callers_wrote_them(self):
        # Guards against a name that reaches a target or returns to a balancer.
        fleet = self.make("a" * 63, "counts")
        fleet.services[0] = make_service(pool=PoolId("a" * 63))
        received = []
        is_lost = fleet.net.is_lost

        def record(data, sender, address):
            if isinstance(data, bytes) and address[1] != PORT:
                received.append(data)
            return is_lost(data, sender, address)

        fleet.net.is_lost = record
        fleet.targets[1].rejects_starts = True
        self.check_served(self.open_flows(fleet, range(1, 13)))
        self.assertEqual({_HEADER.size}, {len(data) for data in received})
        self.assertEqual({0}, {data[23] for data in received})

    def test_a_name_from_a_caller_is_not_used(self):
        # Guards against callers that choose the service of a start.
        fleet = self.make(*PAIRS[0])
        caller = Caller(fleet.net, 1)
        caller.start(fleet.balancers[0])
        (_, _, start, sender, address), *_ = fleet.net.queue
        fleet.net.queue.clear()
        for name in (b"", b"mail-v13"):
            forged = CODEC.add_pool(start, name)
            fleet.net.enqueue(forged, sender, address)
            fleet.run(0.1)
        self.check_services(fleet)

    def test_services_with_shares_of_two_pools(self):
        # Guards against one name for all targets of a service.
        fleet = self.make(*PAIRS[0])
        fleet.services = [
            make_service(pools=tuple(PoolShare(PoolId(n), 1) for n in PAIRS[0]))
        ]
        fleet.distribute_config(2)
        self.check_served(self.open_flows(fleet, range(1, 25)))
        used = {target.pool for target in fleet.targets if target.flows}
        self.assertEqual(set(PAIRS[0]), used)


class PoolCheckerTest(testtools.TestCase):
    def test_only_a_balancer_that_sends_no_names_is_checked_by_the_tag(self):
        checker = PoolChecker(PoolId("tally-desk"))
        checker.quarantine.begin(0.0)
        tag = make_tag(PoolId("mail-v13"))
        cases = (
            (None, tag, StartCheck.OWN_POOL),
            (None, tag ^ 1, StartCheck.OTHER_POOL),
            (b"", tag, StartCheck.NO_NAME),
            (b"mail-v13", tag, StartCheck.OTHER_POOL),
            (b"tally-desk", tag ^ 1, StartCheck.OWN_POOL),
            (b"tally-desk ", tag, StartCheck.OTHER_POOL),
            (b"\xff", tag, StartCheck.OTHER_POOL),
        )
        for name, tag, expected in cases:
            self.assertIs(expected, checker.check(name, tag, QUARANTINE_S))

    def test_a_new_machine_takes_no_start_by_its_tag(self):
        checker = PoolChecker(PoolId("tally-desk"))
        tag = make_tag(PoolId("mail-v13"))
        checker.quarantine.begin(0.0)
        early = QUARANTINE_S - 0.01
        self.assertIs(StartCheck.TOO_EARLY, checker.check(None, tag, early))
        named = checker.check(b"tally-desk", tag, early)
        self.assertIs(StartCheck.OWN_POOL, named)
        checker.quarantine.record_former_flow()
        self.assertIs(StartCheck.OWN_POOL, checker.check(None, tag, early))

    def test_only_pools_of_one_tag_are_shared(self):
        tally, mail, other = map(PoolId, ("tally-desk", "mail-v13", "other"))
        self.assertEqual({tally, mail}, find_shared_tags([tally, mail, other]))
        self.assertEqual(frozenset(), find_shared_tags([tally, other]))
