import random
import time
from collections import Counter

import anyio
from fifo import BoundedFifoAdmission
from requestpath import (
    ADDRESS,
    CERTIFICATE,
    EchoExecutor,
    FixedRetryBudget,
    LossyPath,
    make_service,
    run_virtual,
)
from test_streams import TLS, run_with_path
from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.backend import Backend
from jujuberun.caller import Caller, NotRunError, OutcomeUnknownError
from jujuberun.connection import (
    DEAD_TIMEOUT_S,
    PROBE_DELAY_S,
    SilenceAction,
    SilenceDetector,
)
from jujuberun.ids import Outcome
from jujuberun.port import SocketPort
from jujuberun.quic import make_client_tls
from jujuberun.runner import Runner
from jujuberun.standin_target import Behaviour, TargetStandin
from jujuberun.streams import RequestFlow
from jujuberun.wire import make_reset
from jujuberun.work import WorkResult, make_not_run


class CallerTest(TestCase):
    def test_refusal_before_the_handshake_is_not_run(self):
        # Guards against a wrong outcome or a lost retry-after when a balancer
        # refuses a new flow by a reset, as it does in a flood.
        async def act(path, caller, executor):
            path.refuse = "overloaded"
            result = await caller.request(ADDRESS, "GET", "/a")
            self.assertEqual(Outcome.NOT_RUN, result.outcome)
            self.assertEqual("reset-overloaded", result.reason)
            self.assertEqual(0.05, result.retry_after)
            self.assertRaises(NotRunError, result.check)
            self.assertEqual([], executor.ran)

        run_with_path(act)

    def test_refused_request_is_retried(self):
        # Guards against giving up after a refusal, and against a retry before
        # retry-after has passed.
        async def act(path, caller, executor):
            path.refuse = "overloaded"

            async def recover():
                await anyio.sleep(0.12)
                path.refuse = ""

            async with anyio.create_task_group() as group:
                group.start_soon(recover)
                result = await caller.request(ADDRESS, "GET", "/a")
            self.assertEqual(Outcome.ANSWERED, result.outcome)
            # Attempts are at least the 0.05 s of retry-after apart.
            self.assertIn(result.attempts, (2, 3, 4))

        run_with_path(act, retries=5)

    def test_reset_is_accepted_only_with_a_quote(self):
        # Guards against a forged reset that ends a connection, and against
        # ignoring a genuine one, which quotes a datagram of the caller.
        async def act(path, caller, executor):
            results = []

            async def call():
                results.append(await caller.request(ADDRESS, "GET", "/a"))

            async with anyio.create_task_group() as group:
                group.start_soon(call)
                await anyio.sleep(0.5)
                (port,) = path.ports
                port.take(make_reset("unknown-flow", 0, b"never sent"))
                await anyio.sleep(0.5)
                self.assertEqual([], results)
                data = []
                path.find_flow = lambda port: data.append
                await anyio.sleep(2)
                port.take(make_reset("unknown-flow", 0, data[-1]))
                await anyio.sleep(0.1)
                self.assertEqual(Outcome.UNKNOWN, results[0].outcome)
                self.assertRaises(OutcomeUnknownError, results[0].check)

        run_with_path(act, EchoExecutor(60.0))

    def test_silent_connection_is_replaced_within_seconds(self):
        # Guards against calls that hang because the agent of their connection
        # no longer answers, and against resending a request that is not
        # idempotent.
        async def act(path, caller, executor):
            await caller.request(ADDRESS, "GET", "/a")
            path.silent.update(path.ports)
            results = {}
            began = anyio.current_time()

            async def call(idempotent):
                result = await caller.request(
                    ADDRESS, "GET", "/b", idempotent=idempotent
                )
                results[idempotent] = (result, anyio.current_time() - began)

            async with anyio.create_task_group() as group:
                group.start_soon(call, False)
                group.start_soon(call, True)
                await anyio.sleep(2.5)
                # A call made now uses a new connection at once.
                result = await caller.request(ADDRESS, "GET", "/c", timeout=1)
                self.assertEqual(Outcome.ANSWERED, result.outcome)
            plain, duration = results[False]
            self.assertEqual(Outcome.UNKNOWN, plain.outcome)
            self.assertEqual(1, plain.attempts)
            self.assertThat(
                duration, LessThan(PROBE_DELAY_S + DEAD_TIMEOUT_S + 0.5)
            )
            again, _ = results[True]
            self.assertEqual(Outcome.ANSWERED, again.outcome)
            self.assertEqual(2, again.attempts)

        run_with_path(act, retries=5)

    def test_connection_survives_a_short_pause(self):
        # Guards against callers that give a connection up while the daemons
        # still keep its flow.
        async def act(path, caller, executor):
            await caller.request(ADDRESS, "GET", "/a")
            path.silent.update(path.ports)

            async def recover():
                await anyio.sleep(4)
                path.silent.clear()

            async with anyio.create_task_group() as group:
                group.start_soon(recover)
                result = await caller.request(ADDRESS, "GET", "/b")
            self.assertEqual(Outcome.ANSWERED, result.outcome)
            self.assertEqual(2, len(executor.ran))

        run_with_path(act)

    def test_expired_call_is_unknown_and_withdrawn(self):
        # Guards against reporting "not run" after a timeout although the
        # request ran, and against leaving it running.
        async def act(path, caller, executor):
            result = await caller.request(ADDRESS, "GET", "/a", timeout=0.5)
            self.assertEqual(Outcome.UNKNOWN, result.outcome)
            await anyio.sleep(0.1)
            self.assertEqual(1, len(executor.cancelled))

        run_with_path(act, EchoExecutor(60.0))

    def test_refusal_after_a_loss_stays_unknown(self):
        # Guards against reporting "not run" for an idempotent call whose first
        # attempt may have run, because its second attempt was refused.
        class LostThenRefused(EchoExecutor):
            async def execute(self, work, now):
                self.ran.append(work.id)
                if len(self.ran) == 1:
                    return WorkResult(Outcome.UNKNOWN, reason="lost")
                return make_not_run("overloaded")

        async def act(path, caller, executor):
            result = await caller.request(ADDRESS, "GET", "/a", idempotent=True)
            self.assertEqual(2, result.attempts)
            self.assertEqual(Outcome.UNKNOWN, result.outcome)
            # With the same id, the agent finds an attempt in progress.
            self.assertEqual(1, len(set(executor.ran)))

        run_with_path(act, LostThenRefused(), retries=1)

    def test_each_attempt_after_a_refusal_has_a_new_id(self):
        # Guards against a retry with the id of a refused request, which must
        # never run.
        class Refusing(EchoExecutor):
            async def execute(self, work, now):
                self.ran.append(work.id)
                return make_not_run("overloaded")

        async def act(path, caller, executor):
            result = await caller.request(ADDRESS, "GET", "/a")
            self.assertEqual(Outcome.NOT_RUN, result.outcome)
            self.assertEqual(3, len(set(executor.ran)))

        run_with_path(act, Refusing(), retries=2)


class SilenceDetectorTest(TestCase):
    def test_decides_by_time_alone(self):
        # Guards against a wrong order of the actions: probe, suspect, give up.
        detector = SilenceDetector(last_received=0.0)
        decide = [
            detector.decide(now, busy=True)
            for now in (0.9, 1.0, 1.9, 2.0, 2.5, 3.0, 5.9, 6.0)
        ]
        expected = [
            SilenceAction.WAIT,
            SilenceAction.PROBE,
            SilenceAction.WAIT,
            SilenceAction.SUSPECT,
        ]
        expected += [
            SilenceAction.WAIT,
            SilenceAction.SUSPECT,
            SilenceAction.SUSPECT,
            SilenceAction.DEAD,
        ]
        self.assertEqual(expected, decide)
        detector.record_datagram(6.0)
        self.assertEqual(SilenceAction.WAIT, detector.decide(15.9, busy=False))
        self.assertEqual(SilenceAction.PROBE, detector.decide(16.0, busy=False))


class SocketTest(TestCase):
    def test_requests_pass_from_caller_to_target(self):
        # Guards against faults between the parts: sockets, flow, runner,
        # backend and target.
        target = TargetStandin(Behaviour(slots=2, work=0.005))
        flows = {}

        async def serve(port, runner, group):
            while True:
                for data, sender in await port.receive():
                    flow = flows.get(sender)
                    if flow is None:
                        flow = flows[sender] = RequestFlow.from_config(
                            make_service(),
                            lambda data, sender=sender: port.send(data, sender),
                            runner,
                            TLS,
                        )
                        group.start_soon(flow.run)
                    flow.deliver(data, time.monotonic())

        async def main():
            async with anyio.create_task_group() as group:
                await group.start(target.run)
                port = SocketPort.bind(("127.0.0.1", 0))
                backend = Backend(target.address)
                runner = Runner(2, BoundedFifoAdmission(2, 100), backend)
                await group.start(runner.run)
                group.start_soon(serve, port, runner, group)
                tls = make_client_tls(CERTIFICATE.name, CERTIFICATE.certificate)
                delay = lambda attempt, rng, retry_after: retry_after  # noqa: E731
                async with Caller(tls, FixedRetryBudget(), delay) as caller:

                    async def call(number):
                        result = await caller.request(
                            port.address, "POST", "/", b"%d" % number
                        )
                        answers[number] = result.check().body

                    with anyio.fail_after(20):
                        async with anyio.create_task_group() as calls:
                            for number in range(50):
                                calls.start_soon(call, number)
                group.cancel_scope.cancel()

        answers = {}
        anyio.run(main)
        self.assertEqual({n: b"%d" % n for n in range(50)}, answers)
        self.assertEqual([], target.counts.list_doubles())
        self.assertEqual(50, target.counts.finished)
        self.assertEqual(1, len(flows))


class FaultyPathTest(TestCase):
    def run_faults(self, seed):
        """Returns results and numbers of runs by path, under faults."""
        run_counts = Counter()
        calls = {}
        rng = random.Random(seed)

        class Target:
            async def call(self, work, timeout):
                run_counts[work.path] += 1
                with anyio.move_on_after(timeout):
                    await anyio.sleep(rng.random())
                    body = work.path.encode() + b" " + work.body
                    return WorkResult(Outcome.ANSWERED, 200, body)
                return WorkResult(Outcome.UNKNOWN, reason="deadline")

        def make_runner():
            return Runner(
                1,
                BoundedFifoAdmission(1, 1),
                Target(),
                clock=anyio.current_time,
            )

        async def main():
            async with anyio.create_task_group() as group:
                path = LossyPath(group, make_runner(), TLS, seed, 0.05, 0.3)
                async with path.make_caller(1000) as caller:

                    async def call(number):
                        await anyio.sleep(rng.random() * 20)
                        name = f"/{number}"
                        calls[name] = await caller.request(
                            ADDRESS,
                            "POST",
                            name,
                            b"x" * number,
                            idempotent=number % 3 == 0,
                            timeout=rng.choice([1, 15]),
                        )

                    async with anyio.create_task_group() as tasks:
                        for number in range(60):
                            tasks.start_soon(call, number)
                        for _ in range(6):
                            await anyio.sleep(rng.random() * 3)
                            path.silent.update(path.ports)
                            await anyio.sleep(rng.choice([0.5, 3, 7]))
                            path.silent.clear()
                            if rng.random() < 0.6:
                                path.restart(make_runner())
                await anyio.sleep(60)
                group.cancel_scope.cancel()

        run_virtual(main)
        return calls, run_counts

    def test_outcomes_are_true_under_loss_pauses_and_restarts(self):
        # Guards the whole path against a wrong answer, a request that ran
        # although it was reported as not run, and one that ran twice although
        # it is not idempotent.
        outcomes = Counter()
        for seed in range(6):
            calls, run_counts = self.run_faults(seed)
            self.assertEqual(60, len(calls))
            for name, result in calls.items():
                number = int(name[1:])
                outcomes[result.outcome] += 1
                if number % 3:
                    self.assertIn(run_counts[name], (0, 1))
                match result.outcome:
                    case Outcome.ANSWERED:
                        body = name.encode() + b" " + b"x" * number
                        self.assertEqual(body, result.body)
                    case Outcome.NOT_RUN:
                        self.assertEqual(0, run_counts[name])
        self.assertEqual(set(Outcome), set(outcomes))
