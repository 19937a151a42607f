"""Tests that the decision log shows why a flow failed or was late.

The cases are those of docs/OPERATIONS.md.
"""

import io
import tempfile
from pathlib import Path

import testtools
from packetpath import Caller, Fleet, make_service

from jujuberun.logfiles import find_flow
from jujuberun.logs import set_up_logs
from jujuberun.settings import LogSettings


class OperationsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.stream = io.StringIO()
        self.addCleanup(set_up_logs, LogSettings())
        set_up_logs(LogSettings(format="json"), self.stream)

    def trace(self, caller):
        """Returns the fields of the log lines that find_flow() finds."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.log"
            path.write_text(self.stream.getvalue())
            host, port = caller.address
            lines = find_flow([path], f"{host}:{port}")
        return [line.fields for line in lines]

    def test_refused_under_load(self):
        # Guards against a refused start whose log line does not name the
        # targets that returned it.
        fleet = Fleet(balancers=1)
        for target in fleet.targets:
            target.rejects_starts = True
        caller = Caller(fleet.net, 1)
        caller.start(fleet.balancers[0])
        fleet.net.run()
        (line,) = self.trace(caller)
        self.assertIn("every target returned it", line["decision"])
        self.assertEqual(3, len(line["refused"]))
        self.assertEqual("reset, not run", line["outcome"])

    def test_late_under_load(self):
        # Guards against a late start whose log lines do not show that it was
        # held, with the time left and the delay.
        fleet = Fleet(balancers=1, targets=1, slots=1)
        fleet.services = [make_service(objective=0.15)]
        fleet.distribute_config(generation=2)
        Caller(fleet.net, 1).start(fleet.balancers[0])
        fleet.net.run()
        caller = Caller(fleet.net, 2)
        caller.start(fleet.balancers[0], copy=1)
        for _ in range(3):
            fleet.check_offers()
        first, *_, last = self.trace(caller)
        self.assertIn("start held", first["decision"])
        self.assertLess(first["left_ms"], 0)
        self.assertEqual("start accepted", last["decision"])
        self.assertEqual(200, last["delay_ms"])

    def test_lost_with_a_vm(self):
        # Guards against a start without confirmation, after a failure of the
        # VM, whose log has no line about the next offer.
        fleet = Fleet(balancers=1, targets=2)
        fleet.net.silent = {t.host for t in fleet.targets}
        caller = Caller(fleet.net, 1)
        caller.start(fleet.balancers[0])
        fleet.check_offers()
        decisions = [line["decision"] for line in self.trace(caller)]
        self.assertIn("start offered again", decisions[0])

    def test_target_was_gone(self):
        # Guards against a reset flow whose log does not say that its target
        # had lost it.
        fleet = Fleet(balancers=1)
        caller = Caller(fleet.net, 1)
        caller.start(fleet.balancers[0])
        fleet.net.run()
        for target in fleet.targets:
            target.flows.clear()
        caller.send_request(fleet.balancers[0])
        fleet.net.run()
        lines = self.trace(caller)
        self.assertEqual("start accepted", lines[0]["decision"])
        self.assertIn("does not hold it any more", lines[-1]["decision"])
        self.assertEqual("reset, unknown", lines[-1]["outcome"])
