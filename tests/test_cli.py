import contextlib
import io
import json
import sys
import tempfile
import types
from pathlib import Path

import anyio.from_thread
from hypothesis import given, settings
from hypothesis import strategies as st
from test_admin_server import FakeBalancer
from test_schema import VALID
from test_settings import GOOD, KEY
from testtools import TestCase

from jujuberun import api, cli, measure
from jujuberun.admin_server import AdminServer
from jujuberun.generations import Generations
from jujuberun.ids import Outcome
from jujuberun.kernel import Kernel
from jujuberun.measure import Report, Row, Series


def measure_fake(options):
    options.progress("half way")
    rows = (
        Row("broken flows", 0.0, 12.0, "flows", "0", options.seed == 1),
        Row("rate", 2.5, 0.0, "flows/s"),
    )
    series = (Series("ours", (1.0, 2.0), (3.0, float("nan"))),)
    return Report("broken-flows", options.seed, rows, ("a fit",), series)


class FakeCaller:
    def __init__(self, tls, budget):
        self.tls = tls
        self.budget = budget

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        return None

    async def request(
        self, address, method, path, body, *, idempotent, timeout
    ):
        answered = path == "/good"
        outcome = Outcome.ANSWERED if answered else Outcome.NOT_RUN
        text = f"{method} {body.decode()} {idempotent} {self.tls}".encode()
        return types.SimpleNamespace(
            outcome=outcome,
            status=200 if answered else 0,
            body=text if answered else b"",
            reason="overloaded",
            retry_after=1.5,
        )


class CliTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def run_tool(self, *arguments):
        """Returns exit status, standard output and standard error."""
        raw = io.BytesIO()
        output = io.TextIOWrapper(raw, encoding="utf-8")
        errors = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            try:
                status = cli.main([str(a) for a in arguments])
            except SystemExit as end:
                status = end.code
            output.flush()
        return status, raw.getvalue().decode(), errors.getvalue()

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return path

    def assert_fails(self, status, *arguments):
        found, output, errors = self.run_tool(*arguments)
        self.assertEqual((status, ""), (found, output), errors)
        self.assertEqual(1, len(errors.splitlines()), errors)
        return errors

    def test_manifest_check(self):
        # Guards against a check that accepts a wrong manifest, or that prints
        # a traceback instead of the wrong key.
        good = self.write("good.json", json.dumps(VALID))
        status, output, _ = self.run_tool("manifest", "check", good)
        self.assertEqual(0, status)
        self.assertIn("generation 3", output)
        self.assertIn("1 services, 2 targets, 1 failure domains", output)
        self.assertIn("note: service label has all its targets in", output)
        self.assertIn("note: targets t1 and t2 have the same agent", output)
        bad = self.write("bad.json", json.dumps({**VALID, "generation": -1}))
        line = self.assert_fails(1, "manifest", "check", bad)
        self.assertIn("generation: is -1; allowed: a whole number", line)
        self.assert_fails(1, "manifest", "check", self.folder)
        self.assert_fails(1, "manifest", "check", self.folder / "none\n")

    def test_settings_check(self):
        # Guards against a check that accepts wrong settings, or that prints
        # the secret key.
        good = self.write("good.toml", GOOD)
        status, output, _ = self.run_tool("settings", "check", good)
        self.assertEqual(0, status)
        self.assertNotIn(KEY, output)
        bad = self.write("bad.toml", GOOD.replace("peer", "pier"))
        line = self.assert_fails(1, "settings", "check", bad)
        self.assertIn("bad.toml: pier: is unknown", line)

    def test_references(self):
        # Guards against a reference section that cannot be printed.
        for name, text in (
            ("settings", "agent.drain_timeout"),
            ("manifest", "services[].headroom"),
            ("metrics", "jujuberun_generation"),
            ("logs", "balancer: "),
        ):
            status, output, _ = self.run_tool(name, "reference")
            self.assertEqual(0, status)
            self.assertIn(text, output)

    def test_wrong_arguments_end_with_one_line(self):
        # Guards against a traceback or a long usage text for invalid
        # arguments.
        for arguments in (
            (),
            ("state",),
            ("state", "localhost:1"),
            ("state", "10.0.0.1:70000"),
            ("stat", "10.0.0.1:1"),
            ("explain", "10.0.0.1:1", "--service", "a", "--flow", "x"),
            ("call", "10.0.0.1:1", "get", "/"),
            ("call", "10.0.0.1:1", "GET", "a b"),
            ("call", "10.0.0.1:1", "GET", "/", "--timeout", "nan"),
            ("call", "10.0.0.1:1", "GET", "/", "--timeout", "0"),
            (
                "call",
                "10.0.0.1:1",
                "GET",
                "/",
                "--body",
                "a",
                "--body-file",
                "b",
            ),
            ("measure",),
            ("measure", "nothing"),
            ("measure", "flood", "--seed", "-1"),
            ("measure", "flood", "--seed", "9" * 5000),
            ("measure", "flood", "--see", "1"),
            ("manifest", "check", "a", "b\nc"),
        ):
            self.assert_fails(2, *arguments)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.sampled_from(["manifest", "measure", "state", "call", "--json"])
            | st.text(max_size=6),
            max_size=4,
        ).filter(lambda words: not {"-h", "--help"} & set(words))
    )
    def test_arbitrary_arguments_never_raise(self, words):
        # Guards against a traceback for arguments of an unexpected shape.
        status, output, errors = self.run_tool("explain", *words)
        self.assertEqual((2, ""), (status, output))
        self.assertEqual(1, len(errors.splitlines()), errors)

    def test_state_and_explain(self):
        # Guards against output that omits what a daemon refuses and why, or
        # which peers it considers gone and on what evidence.
        kernel = Kernel()
        generations = Generations()
        manifest = json.dumps(VALID).encode()
        generations.offer(manifest, "platform", 10.0)
        generations.offer(b'{"generation": 4}', "10.0.0.7:7100", 11.0)
        peers = FakeBalancer()
        peers.name = "peers"
        peers.dump_state = lambda now: {
            "known": 3,
            "refused_messages": {"mac": 2},
            "absent": {
                "10.0.0.2:1": {
                    "state": "gone",
                    "unanswered_for_s": 6.0,
                    "heard_before_s": 6.5,
                }
            },
        }
        beliefs = FakeBalancer()
        beliefs.name = "beliefs"
        beliefs.dump_state = lambda now: {
            "label": {"targets": 2, "active": 1, "suspected": ["t2"]}
        }
        kernel.register(beliefs)
        dump = AdminServer(kernel, ("127.0.0.1", 0), clock=lambda: 14.5)
        for part in (generations, peers, FakeBalancer(), dump):
            kernel.register(part)
        with anyio.from_thread.start_blocking_portal() as portal:
            running, _ = portal.start_task(kernel.run)
            address = f"{dump.address[0]}:{dump.address[1]}"
            flow = ("--flow", "10.0.0.9:1234")
            shown = self.run_tool("state", address)
            raw = self.run_tool("state", address, "--json")
            why = self.run_tool("explain", address, "--service", "label", *flow)
            unknown = self.run_tool("explain", address, "--service", "x", *flow)
            portal.call(kernel.stop)
            running.result(10)
        self.assertEqual(0, shown[0], shown)
        self.assertIn(
            "generation 3 in force for 4.5 s, from platform", shown[1]
        )
        self.assertIn("10.0.0.7:7100: check manifest: services: is m", shown[1])
        self.assertIn("peers refused_messages: mac 2", shown[1])
        self.assertIn(
            "10.0.0.2:1 gone: packets unanswered for 6.0 s, last heard 6.5 s",
            shown[1],
        )
        self.assertIn("of label: 1 active of 2; suspected: t2", shown[1])
        self.assertEqual(3, json.loads(raw[1])["generations"]["generation"])
        self.assertIn("service: label", why[1])
        self.assertEqual(1, unknown[0])
        self.assertIn("is not in the manifest", unknown[2])
        self.assertIn("no answer", self.assert_fails(1, "state", address))

    def test_call(self):
        # Guards against output without the outcome of the call, or with other
        # text mixed into the body.
        self.patch(api, "Caller", FakeCaller)
        self.patch(api, "make_client_tls", lambda name, pem: name)
        options = ("--body", "x", "--idempotent", "--server-name", "meals")
        status, output, errors = self.run_tool(
            "call", "127.0.0.1:1", "PUT", "/good", *options
        )
        self.assertEqual((0, "PUT x True meals"), (status, output))
        self.assertIn("outcome answered, status 200", errors)
        line = self.assert_fails(1, "call", "127.0.0.1:1", "GET", "/bad")
        self.assertIn(
            "outcome not-run, status 0, overloaded, retry after 1.5 s", line
        )

    def replace_module(self, name, module):
        saved = sys.modules.get(name)
        sys.modules[name] = module
        if saved is None:
            self.addCleanup(sys.modules.pop, name, None)
        else:
            self.addCleanup(sys.modules.__setitem__, name, saved)

    def test_measure(self):
        # Guards against a missed bound that ends with exit status 0.
        entries = {"broken-flows": "test_cli:measure_fake"}
        self.patch(measure, "MEASUREMENTS", entries)
        self.patch(cli.api, "MEASUREMENTS", entries)
        status, output, errors = self.run_tool("measure", "broken-flows")
        self.assertEqual((0, "half way\n"), (status, errors))
        self.assertIn("broken flows", output)
        self.assertIn("note: a fit", output)
        found = self.run_tool(
            "measure", "broken-flows", "--json", "--seed", "2"
        )
        self.assertEqual(1, found[0])
        self.assertIn("bound missed by broken flows", found[2])
        document = json.loads(found[1])
        self.assertEqual(0.0, document["rows"][0]["ratio"])
        self.assertIsNone(document["series"][0]["y"][1])
        self.assertEqual(
            (0, "broken-flows\n", ""), self.run_tool("measure", "--list")
        )

    def test_measure_plot(self):
        # Guards against a measurement whose result is lost because its plot
        # cannot be saved.
        entries = {"broken-flows": "test_cli:measure_fake"}
        self.patch(cli.api, "MEASUREMENTS", entries)
        plot = self.folder / "a.svg"
        found = self.run_tool("measure", "broken-flows", "--plot", plot)
        self.assertEqual(0, found[0], found)
        self.assertIn(b"<svg", plot.read_bytes())
        for wrong in (self.folder / "a.txt", self.folder / "no" / "a.svg"):
            self.assert_fails(1, "measure", "broken-flows", "--plot", wrong)
        self.replace_module("matplotlib", None)
        line = self.assert_fails(1, "measure", "broken-flows", "--plot", plot)
        self.assertIn("install jujuberun[measure]", line)

    def test_missing_measurement(self):
        # Guards against a traceback when an optional package is missing.
        self.patch(cli.api, "MEASUREMENTS", {"broken-flows": "no_module:x"})
        line = self.assert_fails(1, "measure", "broken-flows")
        self.assertIn("install jujuberun[measure]", line)
