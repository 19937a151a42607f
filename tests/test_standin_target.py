import json

import anyio
import httpx
from testtools import TestCase

from jujuberun.addresses import format_address
from jujuberun.ids import ServiceId
from jujuberun.port import SocketPort
from jujuberun.standin_target import Behaviour, TargetStandin


def run_target(act, behaviour):
    async def main():
        target = TargetStandin(behaviour, ServiceId("count"))
        async with anyio.create_task_group() as group:
            await group.start(target.run)
            url = f"http://{format_address(target.address)}"
            async with httpx.AsyncClient(base_url=url, trust_env=False) as http:
                with anyio.fail_after(20):
                    await act(target, http)
            group.cancel_scope.cancel()

    anyio.run(main)


class TargetStandinTest(TestCase):
    def test_counts_runs_by_request(self):
        # Guards against a target that misses requests started twice: attempts
        # of one request have ids that differ only after the dot. Tests of
        # retries rely on this count.
        async def act(target, http):
            for name in ("a", "b.1", "b.2"):
                await http.get("/", headers={"request-id": name})
            self.assertEqual(["b"], target.counts.list_doubles())
            reply = await http.post("/standin", content=b'{"fail": true}')
            self.assertEqual(["b"], json.loads(reply.content)["doubles"])
            self.assertEqual(500, (await http.get("/")).status_code)

        run_target(act, Behaviour(work=0.0))

    def test_health_endpoint_is_independent_of_failures(self):
        # Guards against a stand-in that can't report itself as healthy while
        # its requests fail. Tests of health checks need such a target.
        async def act(target, http):
            self.assertEqual(200, (await http.get("/health")).status_code)
            self.assertEqual(500, (await http.get("/work")).status_code)

        run_target(act, Behaviour(fail=True, healthy=True))

    def test_sheds_load_and_delays_cold_start(self):
        # Guards against a stand-in that queues requests instead of answering
        # 503 when its slots are busy, or that skips the extra time of a cold
        # start. Tests of overload need both.
        async def act(target, http):
            replies = []

            async def call(name):
                headers = {"request-id": name}
                replies.append(await http.get("/", headers=headers))

            started = anyio.current_time()
            async with anyio.create_task_group() as group:
                group.start_soon(call, "a")
                group.start_soon(call, "b")
            statuses = sorted(reply.status_code for reply in replies)
            self.assertEqual([200, 503], statuses)
            self.assertTrue(anyio.current_time() - started >= 0.3)

        run_target(act, Behaviour(slots=1, work=0, cold_start=0.3, shed=True))

    def test_datagrams_carry_the_service_id(self):
        # Guards against echoed datagrams without the service id. Tests that
        # look for packets delivered to a wrong service compare this id.
        async def act(target, http):
            port = SocketPort.bind(("127.0.0.1", 0))
            port.send(b"ping", target.udp_address)
            ((data, _),) = await port.receive()
            port.close()
            self.assertEqual(b"count ping", data)

        run_target(act, Behaviour())
