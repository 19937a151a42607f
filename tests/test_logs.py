import io
import json
import logging
import os

from testtools import TestCase

from jujuberun.logs import MAX_KEYS, LineLimiter, make_logger, set_up_logs
from jujuberun.settings import LogSettings


class LogsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.stream = io.StringIO()
        logger = logging.getLogger("jujuberun")
        saved = logger.handlers[:], logger.level, logger.propagate
        self.addCleanup(self.restore, logger, saved)

    def restore(self, logger, saved):
        logger.handlers[:], logger.propagate = saved[0], saved[2]
        logger.setLevel(saved[1])

    def test_json_line_names_part_level_and_prefix(self):
        # Guards against JSON lines without the fields that searches by part
        # and level need.
        set_up_logs(LogSettings("info", "json"), self.stream)
        make_logger("balancer").warning("peer %s is suspected", "10.0.0.1:7")
        line = json.loads(self.stream.getvalue())
        self.assertEqual(
            "balancer: peer 10.0.0.1:7 is suspected", line["message"]
        )
        self.assertEqual(("balancer", "WARNING"), (line["part"], line["level"]))

    def test_record_of_a_module_logger_has_a_part(self):
        # Guards against records of module loggers that lack the part, so that
        # their JSON lines have no part or formatting them raises.
        set_up_logs(LogSettings("info", "json"), self.stream)
        logging.getLogger("jujuberun.spread").info("spread: paused")
        self.assertEqual("spread", json.loads(self.stream.getvalue())["part"])

    def test_second_set_up_replaces_the_first(self):
        # Guards against lines that are written twice because the first
        # handler stays installed.
        set_up_logs(LogSettings("debug", "text"), io.StringIO())
        set_up_logs(LogSettings("warning", "text"), self.stream)
        make_logger("agent").info("left out by level")
        make_logger("agent").error("written once")
        lines = self.stream.getvalue().splitlines()
        self.assertEqual(1, len(lines))
        self.assertTrue(lines[0].endswith("ERROR agent: written once"))

    def test_limited_line_counts_skipped_lines(self):
        # Guards against a flood of bad packets that fills the log.
        set_up_logs(LogSettings("info", "text"), self.stream)
        log = make_logger("balancer")
        for now in (0.0, 1.0, 9.9, 10.0):
            log.log_limited(logging.WARNING, "mac", now, "bad MAC")
        lines = self.stream.getvalue().splitlines()
        self.assertEqual(2, len(lines))
        self.assertIn("bad MAC (2 more of this kind left out)", lines[1])

    def test_limiter_is_bounded(self):
        # Guards against memory growth when an attacker forges many peer
        # addresses, which are keys of limited lines.
        limiter = LineLimiter()
        for number in range(3 * MAX_KEYS):
            self.assertEqual(0, limiter.check_line(number, 1.0))
            limiter.check_line(number, 1.0)
        self.assertTrue(len(limiter._last_written) <= MAX_KEYS)
        self.assertTrue(len(limiter._skipped) <= MAX_KEYS)


class DroppingTest(TestCase):
    def test_full_pipe_does_not_block(self):
        # Guards against a daemon that blocks on a full pipe because nobody
        # reads its log.
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        stream = os.fdopen(writer, "w")
        self.addCleanup(stream.close)
        self.addCleanup(set_up_logs, LogSettings())
        set_up_logs(LogSettings(), stream)
        logger = make_logger("daemon")
        for number in range(5000):
            logger.info("Line %d of many.", number)
        os.set_blocking(reader, False)
        read = os.read(reader, 1 << 20)
        logger.info("Goes on.")
        rest = os.read(reader, 1 << 20).decode()
        self.assertIn(b"Line 0 of many", read)
        self.assertIn("Goes on", rest)
        self.assertIn("lines dropped", rest)
