"""Tests of signals that arrive while a daemon starts."""

import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parent.parent
# Starts a daemon that gets a signal before it has read its settings, and
# SIGHUP when its process exits.
PROGRAM = """
import atexit, os, runpy, signal, sys
import jujuberun.settings as settings

atexit.register(os.kill, os.getpid(), signal.SIGHUP)
load = settings.load_settings

def load_later(path):
    settings.load_settings = load
    os.kill(os.getpid(), NUMBER)
    return load(path)

settings.load_settings = load_later
sys.argv = ["run.py", "--config", sys.argv[1]]
sys.path[0] = "platform"
runpy.run_path("platform/run.py", run_name="__main__")
"""
SETTINGS = """
role = "agent"
vm = "t-1"
domain = "a"
peer = "127.0.0.1:0"
keys = "unkeyed"

[platform]
url = "http://unused"

[packet]
address = "127.0.0.1:0"
outbound = "127.0.0.1:0"
target = "127.0.0.1:1"
pool = "meals"
"""


class SignalsTest(testtools.TestCase):
    def start_daemon(self, number):
        """Starts a daemon that signals itself before it reads its settings."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "agent.toml"
        path.write_text(SETTINGS)
        program = PROGRAM.replace("NUMBER", str(int(number)))
        daemon = subprocess.Popen(
            [sys.executable, "-c", program, str(path)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.addCleanup(daemon.stdout.close)
        self.addCleanup(daemon.wait)
        self.addCleanup(daemon.kill)
        return daemon

    def find_line(self, daemon, text):
        """Returns the first line with a text; if there is none, all output."""
        written = []
        for line in daemon.stdout:
            written.append(line)
            if text in line:
                return line
        return "".join(written)

    def test_stop_during_start_is_graceful(self):
        # Guards against a graceful stop whose exit status is that of a signal:
        # SIGTERM arrived before its handler was installed, or SIGHUP after its
        # handler was removed (soak test, seed 2100).
        daemon = self.start_daemon(signal.SIGTERM)
        text = "Graceful stop begins"
        self.assertIn(text, self.find_line(daemon, text))
        self.assertEqual(0, daemon.wait())

    def test_reload_during_start_does_not_end_the_daemon(self):
        # Guards against SIGHUP that arrives before its handler is installed:
        # it ended daemons that had just been restarted after a kill (soak
        # test, seed 100).
        daemon = self.start_daemon(signal.SIGHUP)
        text = "Settings reloaded"
        self.assertIn(text, self.find_line(daemon, text))
        daemon.send_signal(signal.SIGTERM)
        self.assertEqual(0, daemon.wait())
