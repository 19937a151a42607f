import json

import anyio
import httpx
from hypothesis import example, given, settings
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families
from testtools import TestCase

from jujuberun import admin_server
from jujuberun.admin_exchange import MAX_HEADER_BYTES
from jujuberun.admin_server import (
    MAX_CONNECTIONS,
    AdminServer,
)
from jujuberun.errors import JujuberunError
from jujuberun.kernel import Kernel
from jujuberun.metrics import Metrics

LOOPBACK = ("127.0.0.1", 0)


class FakeBalancer:
    name = "balancer"
    broken = False

    async def run(self, task_status):
        task_status.started()

    def dump_state(self, now):
        if self.broken:
            raise RuntimeError("inconsistent")
        return {"flows": 3, "at": now, "counts": {"resets": 5}}

    def explain(self, service, caller, now):
        if service != "label":
            raise JujuberunError("explain", service, "is not in the manifest")
        return {"service": service, "caller": caller, "now": now}


class AdminServerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.kernel = Kernel()
        self.balancer = FakeBalancer()
        self.metrics = Metrics(self.kernel)
        self.dump = AdminServer(self.kernel, LOOPBACK, clock=lambda: 7.0)
        for part in (self.balancer, self.metrics, self.dump):
            self.kernel.register(part)

    def serve(self, scenario):
        async def run():
            async with anyio.create_task_group() as group:
                await group.start(self.kernel.run)
                with anyio.fail_after(20):
                    await scenario()
                self.kernel.stop()

        anyio.run(run)

    async def get(self, path):
        host, port = self.dump.address
        async with httpx.AsyncClient(trust_env=False) as client:
            return await client.get(f"http://{host}:{port}{path}")

    async def exchange(self, data):
        """Sends raw bytes and returns all bytes of the reply."""
        async with await anyio.connect_tcp(*self.dump.address) as stream:
            received = b""
            try:
                await stream.send(data)
                async for part in stream:
                    received += part
            except anyio.BrokenResourceError:
                pass
            return received

    def test_paths(self):
        # Guards against paths whose replies operators' tools cannot parse.
        async def scenario():
            state = (await self.get("/state")).json()
            self.assertEqual(7.0, state["balancer"]["at"])
            found = await self.get("/explain?service=label&flow=10.0.0.1:9")
            self.assertEqual(["10.0.0.1", 9], found.json()["caller"])
            text = (await self.get("/metrics")).text
            self.assertIn('{event="resets",part="balancer"} 5.0', text)
            self.assertEqual(200, (await self.get("/health")).status_code)

        self.serve(scenario)

    def test_wrong_requests_name_the_remedy(self):
        # Guards against error replies that do not say what to change in the
        # request.
        async def scenario():
            for path, status, remedy in (
                ("/nothing", 404, "/state"),
                ("/explain?flow=10.0.0.1:9", 400, "service is missing"),
                ("/explain?service=label", 400, "use an address"),
                ("/explain?service=label&flow=x", 400, "use an address"),
                ("/explain?service=no&flow=10.0.0.1:9", 404, "manifest"),
            ):
                found = await self.get(path)
                self.assertEqual(status, found.status_code, path)
                self.assertIn(remedy, found.json()["error"], path)

        self.serve(scenario)

    def test_broken_part_does_not_hide_the_others(self):
        # Guards against an empty dump when one part raises an error.
        self.balancer.broken = True

        async def scenario():
            state = (await self.get("/state")).json()
            self.assertIn("inconsistent", state["balancer"]["error"])
            self.assertIn("address", state["dump"])

        self.serve(scenario)

    def test_health_while_draining(self):
        # Guards against a service manager that counts a draining daemon as
        # healthy.
        self.dump.draining = True

        async def scenario():
            found = await self.get("/health")
            self.assertEqual(503, found.status_code)
            self.assertEqual("draining", found.json()["status"])

        self.serve(scenario)

    def test_hostile_requests_are_bounded(self):
        # Guards against malformed requests that consume memory or raise.
        async def scenario():
            long = b"GET /" + b"a" * 2 * MAX_HEADER_BYTES
            self.assertIn(b" 431 ", await self.exchange(long))
            refused = await self.exchange(b"\x16\x03\x01 no HTTP\r\n\r\n")
            self.assertIn(b" 400 ", refused)
            post = (
                b"POST /state HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
            )
            self.assertIn(b" 405 ", await self.exchange(post))
            self.assertEqual(200, (await self.get("/health")).status_code)

        self.serve(scenario)

    def test_slow_requests_end(self):
        # Guards against connections that stay open without a request.
        self.patch(admin_server, "EXCHANGE_TIMEOUT_S", 0.2)

        async def scenario():
            self.assertEqual(b"", await self.exchange(b"GET /state"))
            self.assertEqual(200, (await self.get("/health")).status_code)

        self.serve(scenario)

    def test_connections_are_bounded(self):
        # Guards against connections to the admin address that use up the file
        # descriptors.
        async def scenario():
            connections = [
                await anyio.connect_tcp(*self.dump.address)
                for _ in range(MAX_CONNECTIONS)
            ]
            # Connections are accepted in order, so the server has counted all
            # of these before it accepts the next one.
            self.assertEqual(b"", await self.exchange(b"GET / HTTP/1.1\r\n"))
            for stream in connections:
                await stream.send(b"GET /health HTTP/1.0\r\n\r\n")
                self.assertIn(b" 200 ", await stream.receive())
                await stream.aclose()
            self.assertEqual(200, (await self.get("/health")).status_code)

        self.serve(scenario)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.text(alphabet=st.characters(max_codepoint=127), max_size=40))
    @example("//[")
    @example("/explain?service=%00&flow=%ff")
    @example("/metrics")
    def test_arbitrary_targets_never_raise(self, target):
        # Guards against a path that ends the server of the admin address, and
        # against a body that does not match its content type.
        kernel = Kernel()
        balancer = FakeBalancer()
        kernel.register(balancer)
        part = AdminServer(kernel, LOOPBACK)
        reply = part.reply(target)
        self.assertIn(reply.status, (200, 400, 404, 503))
        if reply.content_type == "application/json":
            json.loads(reply.body)
            return
        self.assertEqual(
            "text/plain; version=0.0.4; charset=utf-8", reply.content_type
        )
        self.assertEqual("/metrics", target.partition("?")[0])
        self.assertEqual(200, reply.status)
        text = reply.body.decode("utf-8")
        self.assertTrue(list(text_string_to_metric_families(text)))
