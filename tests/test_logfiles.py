"""Tests of the log search and of the decision log that it reads."""

import io
import json
import logging
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

import testtools

from jujuberun import cli
from jujuberun.decisions import DecisionLog
from jujuberun.logfiles import find_flow
from jujuberun.logs import set_up_logs
from jujuberun.settings import LogSettings

FLOW = "100.64.0.7:40001"


class LogFilesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "entry-1.log"

    def write_log(self, write):
        stream = io.StringIO()
        self.addCleanup(set_up_logs, LogSettings())
        set_up_logs(LogSettings(format="json"), stream)
        write(DecisionLog("relay", lines_per_s=3))
        self.path.write_text(stream.getvalue())
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    def test_flow_and_its_target_are_found(self):
        # Guards against a search that misses the suspicion of the flow's
        # target, returns lines of other flows, or fails at lines that are not
        # JSON.
        def write(log):
            log.write("start offered again", 1.0, flow=FLOW, target="t1")
            log.write("target suspected", 1.0, target="t1", until_s=1.0)
            log.write("target suspected", 1.0, target="t2", until_s=1.0)
            log.write("start accepted", 1.0, flow="100.64.0.8:1", target="t1")

        self.write_log(write)
        self.path.write_text("collector: not JSON {\n" + self.path.read_text())
        texts = [line.write() for line in find_flow([self.path], FLOW)]
        self.assertEqual(2, len(texts), texts)
        self.assertIn("start offered again", texts[0])
        self.assertIn("target suspected. target=t1 until_s=1.0", texts[1])

    def test_command(self):
        # Guards against exit status 0 when nothing was found or a file cannot
        # be read.
        self.write_log(lambda log: log.write("start accepted", 1.0, flow=FLOW))
        out = io.StringIO()
        with redirect_stdout(out), redirect_stderr(out):
            found = cli.main(["logs", "flow", FLOW, str(self.path)])
            none = cli.main(["logs", "flow", "100.64.0.7:1", str(self.path)])
            missing = cli.main(["logs", "flow", FLOW, "/nonexistent.log"])
        self.assertEqual((0, 1, 1), (found, none, missing), out.getvalue())
        self.assertIn("entry-1 relay: start accepted.", out.getvalue())

    def test_lines_are_bounded_and_counted(self):
        # Guards against a flood of starts that fills the log, and against
        # skipped lines that are not counted.
        def write(log):
            for number in range(50):
                log.write("start accepted", 1.0, flow=f"100.64.0.7:{number}")
            log.write("start accepted", 2.1, flow=FLOW)

        lines = self.write_log(write)
        self.assertEqual(5, len(lines))
        self.assertEqual({"start accepted": 47}, lines[3]["left_out"])
        self.assertEqual("WARNING", lines[3]["level"])
        self.assertTrue(logging.getLogger("jujuberun").handlers)
