"""Tests of starts that wait while their route changes."""

from packetpath import POOL, Caller, Fleet, Target, make_service, make_vm
from testtools import TestCase

from jujuberun.ids import PoolId

OTHER_POOL = PoolId("sheets")
CALLERS = 12


class ChangedRouteTest(TestCase):
    def setUp(self):
        super().setUp()
        # One slow target with one slot, so that starts wait at the balancer.
        self.fleet = Fleet(balancers=1, targets=1, slots=1)
        (self.old,) = self.fleet.targets
        self.new = Target(self.fleet.net, "10.2.0.9", OTHER_POOL)
        self.fleet.targets.append(self.new)
        self.fleet.vms.append(make_vm(self.new.host, pool=OTHER_POOL))
        for target in self.fleet.targets:
            target.slots, target.work = 1, 0.3
        self.fleet.distribute_config()
        self.callers = [Caller(self.fleet.net, n) for n in range(1, CALLERS)]

    def start_callers(self):
        """Lets the first caller occupy the target and the others wait."""
        for caller in self.callers:
            caller.start(self.fleet.balancers[0])
            self.fleet.run(0.01)
            if caller.accepted is not None:
                caller.send_request(self.fleet.balancers[0])
        return [c for c in self.callers if c.accepted is None]

    def test_start_that_waits_opens_in_the_pool_of_the_new_version(self):
        # Guards against starts that wait for a slot and then open at a target
        # that only a replaced version allows.
        waiting = self.start_callers()
        self.assertTrue(waiting)
        self.fleet.services = [make_service(pool=OTHER_POOL)]
        self.fleet.distribute_config(generation=2)
        changed_at = self.fleet.net.now
        self.fleet.run(0.6)
        late = [at for at in self.old.opened_at if at > changed_at + 0.01]
        self.assertEqual([], late)
        self.assertTrue(self.new.opened_at)
        self.assertTrue(any(c.accepted is not None for c in waiting))

    def test_start_that_waits_is_refused_when_its_route_is_removed(self):
        waiting = self.start_callers()
        self.fleet.services = [make_service("r-2", ("198.18.0.2", 443), POOL)]
        self.fleet.distribute_config(generation=2)
        changed_at = self.fleet.net.now
        self.fleet.run(0.1)
        self.assertEqual({1}, {caller.resets for caller in waiting})
        late = [at for at in self.old.opened_at if at > changed_at + 0.01]
        self.assertEqual([], late)
        for caller in waiting:
            caller.start(self.fleet.balancers[0], copy=1)
        self.fleet.run(0.1)
        self.assertEqual({2}, {caller.resets for caller in waiting})
