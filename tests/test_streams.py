import tempfile
from pathlib import Path as FilePath

import anyio
from requestpath import (
    ADDRESS,
    CERTIFICATE,
    EchoExecutor,
    LossyPath,
    make_service,
    run_virtual,
)
from testtools import ExpectedException, TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun.ids import Outcome
from jujuberun.quic import load_server_tls
from jujuberun.streams import RequestFlow
from jujuberun.work import WorkResult

with tempfile.TemporaryDirectory() as _name:
    TLS = load_server_tls(*CERTIFICATE.write(FilePath(_name)))


def run_with_path(act, executor=None, retries=0, **chaos):
    """Runs act(path, caller, executor) on a virtual clock."""
    executor = executor or EchoExecutor()

    async def main():
        async with anyio.create_task_group() as group:
            path = LossyPath(group, executor, TLS, **chaos)
            async with path.make_caller(retries) as caller:
                await act(path, caller, executor)
            group.cancel_scope.cancel()

    run_virtual(main)


class RequestFlowTest(TestCase):
    def test_answers_are_correct_under_loss_and_reordering(self):
        # Guards against answers that are swapped, truncated or repeated when
        # datagrams are lost, duplicated and reordered.
        for seed in range(5):
            results = {}

            async def act(path, caller, executor, results=results):
                async def call(number):
                    body = bytes([number]) * number * 300
                    results[number] = await caller.request(
                        ADDRESS, "POST", f"/{number}", body
                    )

                async with anyio.create_task_group() as group:
                    for number in range(40):
                        group.start_soon(call, number)

            echo = EchoExecutor(0.01)
            run_with_path(act, echo, seed=seed, loss=0.1, chaos=0.5)
            for number, result in results.items():
                body = f"/{number} ".encode() + bytes([number]) * number * 300
                self.assertEqual(Outcome.ANSWERED, result.outcome)
                self.assertEqual(body, result.body)
            self.assertEqual(40, len(set(echo.ran)))
            self.assertEqual(40, len(echo.ran))

    def test_drain_finishes_open_requests_and_refuses_new_ones(self):
        # Guards against a drain that ends an open request, or that reports
        # a request as not run although it ran.
        async def act(path, caller, executor):
            results = []

            async def call():
                results.append(await caller.request(ADDRESS, "GET", "/a"))

            async with anyio.create_task_group() as group:
                for _ in range(10):
                    group.start_soon(call)
                await anyio.sleep(0.5)
                (flow,) = path.flows.values()
                self.assertEqual(10, flow.open_requests)
                flow.drain()
                await anyio.sleep(0.0001)
                # The caller has not yet received GOAWAY.
                late = await caller.request(ADDRESS, "GET", "/late")
                self.assertEqual(Outcome.NOT_RUN, late.outcome)
                again = await caller.request(ADDRESS, "GET", "/again")
                self.assertEqual(Outcome.ANSWERED, again.outcome)
                self.assertEqual(2, len(path.flows))
            self.assertEqual({Outcome.ANSWERED}, {r.outcome for r in results})
            self.assertEqual(10, len(results))
            self.assertEqual(11, len(executor.ran))

        run_with_path(act, EchoExecutor(2.0))

    def test_run_returns_after_a_drain(self):
        # Guards against a drain that never ends because the caller no longer
        # answers.
        async def act(path, caller, executor):
            await caller.request(ADDRESS, "GET", "/a")
            (flow,) = path.flows.values()
            path.silent.update(path.ports)
            flow.drain()
            await anyio.sleep(4)
            self.assertTrue(flow._ended)

        run_with_path(act)

    def test_withdrawn_request_is_cancelled(self):
        # Guards against requests that keep running after their caller has
        # cancelled them.
        async def act(path, caller, executor):
            with anyio.move_on_after(0.5):
                await caller.request(ADDRESS, "GET", "/a")
            await anyio.sleep(0.1)
            self.assertEqual(executor.ran, executor.cancelled)
            self.assertEqual(1, len(executor.ran))
            (flow,) = path.flows.values()
            self.assertEqual(0, flow.open_requests)
            result = await caller.request(ADDRESS, "GET", "/b", timeout=99)
            self.assertEqual(Outcome.ANSWERED, result.outcome)

        run_with_path(act, EchoExecutor(5.0))

    def test_request_withdrawn_during_a_pause_does_not_run(self):
        # Guards against running a request whose cancellation is already
        # queued: after a pause, the agent finds both in its inbox.
        async def act(path, caller, executor):
            await caller.request(ADDRESS, "GET", "/first")
            (flow,) = path.flows.values()
            deliver, delayed = flow.deliver, []
            flow.deliver = lambda data, now: delayed.append(data)
            with anyio.move_on_after(0.5):
                await caller.request(ADDRESS, "GET", "/second")
            await anyio.sleep(0.1)
            flow.deliver = deliver
            for data in delayed:
                flow.deliver(data, anyio.current_time())
            await anyio.sleep(1)
            self.assertEqual(1, len(executor.ran))

        run_with_path(act)

    def test_faulty_executor_ends_only_its_request(self):
        # Guards against one failing request that ends its connection.
        class Faulty(EchoExecutor):
            async def execute(self, work, now):
                if work.path == "/bad":
                    raise RuntimeError("fault")
                return await super().execute(work, now)

        async def act(path, caller, executor):
            bad = await caller.request(ADDRESS, "GET", "/bad")
            good = await caller.request(ADDRESS, "GET", "/good")
            self.assertEqual(Outcome.UNKNOWN, bad.outcome)
            self.assertEqual(Outcome.ANSWERED, good.outcome)
            self.assertEqual(1, len(path.flows))

        run_with_path(act, Faulty())

    def test_too_large_body_is_refused(self):
        # Guards against bodies that exhaust the agent's memory, and against a
        # refused request that runs nevertheless.
        async def act(path, caller, executor):
            result = await caller.request(
                ADDRESS, "POST", "/", bytes(5 << 20), timeout=60
            )
            self.assertEqual(Outcome.NOT_RUN, result.outcome)
            self.assertEqual("body-too-large", result.reason)
            self.assertEqual([], executor.ran)

        run_with_path(act)

    def test_garbage_does_not_end_a_flow(self):
        # Guards against spoofed or damaged datagrams that end a flow, before
        # and after the handshake.
        async def act(path, caller, executor):
            sent = []
            flow = RequestFlow(
                make_service(), sent.append, executor, TLS, anyio.current_time
            )
            async with anyio.create_task_group() as group:
                group.start_soon(flow.run)
                for data in (b"", b"\xc0", b"\xff" * 1200, b"\x40" * 40):
                    flow.deliver(data, anyio.current_time())
                await anyio.sleep(5)
                state = flow.describe(anyio.current_time())
                self.assertFalse(state["established"])
                self.assertFalse(flow._ended)
                await anyio.sleep(60)
                self.assertTrue(flow._ended)
            await caller.request(ADDRESS, "GET", "/a")
            (real,) = path.flows.values()
            for data in (b"", b"\xc0", b"\xff" * 1200, b"\x40" * 40):
                real.deliver(data, anyio.current_time())
            result = await caller.request(ADDRESS, "GET", "/b")
            self.assertEqual(Outcome.ANSWERED, result.outcome)

        run_with_path(act)

    def test_idle_connection_stays_open(self):
        # Guards against connections that the idle timeout closes although
        # the caller sends keep-alive pings, and against too many pings.
        async def act(path, caller, executor):
            await caller.request(ADDRESS, "GET", "/a")
            await anyio.sleep(600)
            self.assertThat(path.count, GreaterThan(60))
            self.assertThat(path.count, LessThan(400))
            await caller.request(ADDRESS, "GET", "/b")
            self.assertEqual(1, len(path.flows))

        run_with_path(act)

    def test_other_connection_of_a_flow_is_refused(self):
        # Guards against leaving a new connection unanswered when a caller's
        # port is reused, and against a forged Initial packet that ends an
        # open connection.
        async def act(path, caller, executor):
            await caller.request(ADDRESS, "GET", "/a")
            ((_, flow),) = path.flows.items()
            port = path.open_port(ADDRESS)
            path.flows[port] = flow
            send, flow._send = flow._send, lambda d: path.transmit(port.take, d)
            async with path.make_caller() as other:
                other._open_port = lambda address: port
                result = await other.request(ADDRESS, "GET", "/b")
                self.assertEqual(Outcome.NOT_RUN, result.outcome)
                self.assertEqual("reset-flow-in-use", result.reason)
            flow._send = send
            await caller.request(ADDRESS, "GET", "/c")
            self.assertEqual(2, len(executor.ran))
            self.assertEqual(2, len(path.ports))

        run_with_path(act)

    def test_malformed_fields_end_only_their_request(self):
        # Guards against one malformed header field, of a request or of an
        # answer, that closes the connection with all its requests.
        class Malformed(EchoExecutor):
            async def execute(self, work, now):
                await super().execute(work, now)
                headers = ((b"x", b"line\nbreak"),)
                return WorkResult(Outcome.ANSWERED, 200, b"a", headers)

        async def act(path, caller, executor):
            with ExpectedException(ValueError):
                await caller.request(
                    ADDRESS, "GET", "/a", headers=((b"Upper", b"x"),)
                )
            for _ in range(2):
                result = await caller.request(ADDRESS, "GET", "/a")
                self.assertEqual(Outcome.UNKNOWN, result.outcome)
                self.assertEqual("malformed-answer", result.reason)
            self.assertEqual(2, len(executor.ran))
            self.assertEqual(1, len(path.flows))

        run_with_path(act, Malformed())

    def test_drain_ends_although_new_requests_keep_coming(self):
        # Guards against a drain that never ends because a caller ignores
        # GOAWAY and keeps sending requests.
        async def act(path, caller, executor):
            await caller.request(ADDRESS, "GET", "/a")
            (flow,) = path.flows.values()
            (connection,) = caller._connections.values()
            connection._goaway.read = lambda data: None
            flow.drain()
            for _ in range(8):
                await anyio.sleep(0.5)
                await caller.request(ADDRESS, "GET", "/b")
            self.assertTrue(flow._ended)

        run_with_path(act)

    def test_answer_after_a_cancellation_keeps_the_connection(self):
        # Guards against sending an answer on a stream that was reset: this
        # raises an error and would end the connection.
        class Shielded(EchoExecutor):
            async def execute(self, work, now):
                with anyio.CancelScope(shield=True):
                    return await super().execute(work, now)

        async def act(path, caller, executor):
            with anyio.move_on_after(0.5):
                await caller.request(ADDRESS, "GET", "/a")
            result = await caller.request(ADDRESS, "GET", "/b")
            self.assertEqual(Outcome.ANSWERED, result.outcome)
            self.assertEqual(1, len(path.flows))

        run_with_path(act, Shielded(1.0))
