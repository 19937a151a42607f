import socket
import time

import anyio
from fifo import BoundedFifoAdmission
from test_id_register import make_work
from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.backend import Backend, ExchangeOutcome
from jujuberun.ids import Outcome
from jujuberun.pending_request import RunLocation
from jujuberun.runner import Runner
from jujuberun.standin_target import Behaviour, TargetStandin
from jujuberun.work import WorkResult


def run_with_target(act, behaviour, room=8):
    """Calls act(runner, target, evidence) with a target stand-in."""

    async def main():
        target = TargetStandin(behaviour)
        evidence = []
        async with anyio.create_task_group() as group:
            await group.start(target.run)
            backend = Backend(
                target.address, lambda item, now: evidence.append(item.kind)
            )
            admission = BoundedFifoAdmission(behaviour.slots, room)
            runner = Runner(behaviour.slots, admission, backend)
            await group.start(runner.run)
            with anyio.fail_after(20):
                await act(runner, target, evidence)
            assert runner.running == admission.busy == 0, "a slot was lost"
            group.cancel_scope.cancel()

    anyio.run(main)


def make_request(name="a", timeout=5.0, **fields):
    return make_work(name, deadline=time.monotonic() + timeout, **fields)


class RunnerTest(TestCase):
    def test_runs_within_the_slots_and_refuses_the_rest(self):
        # Guards against running more requests at the target than it has slots,
        # and against refusing a request that runs.
        async def act(runner, target, evidence):
            results = {}

            async def call(name):
                work = make_request(name)
                results[name] = await runner.execute(work, time.monotonic())

            async with anyio.create_task_group() as group:
                for number in range(20):
                    group.start_soon(call, str(number))
            ran = {
                n for n, r in results.items() if r.outcome.value == "answered"
            }
            self.assertEqual(10, len(ran))
            self.assertEqual(ran, set(target.counts.begun))
            self.assertEqual(2, target.counts.busiest)
            refused = {r.reason for n, r in results.items() if n not in ran}
            self.assertEqual({"overloaded"}, refused)
            for name in ran:
                self.assertEqual(name.encode(), results[name].body)

        run_with_target(act, Behaviour(slots=2, work=0.02))

    def test_expired_and_cancelled_requests_take_no_slot(self):
        # Guards against expired or cancelled requests that get a slot, or that
        # free a slot although they had none.
        async def act(runner, target, evidence):
            results = []

            async def call(name, timeout):
                work = make_request(name, timeout)
                results.append(await runner.execute(work, time.monotonic()))

            async with anyio.create_task_group() as group:
                group.start_soon(call, "running", 5)
                await anyio.sleep(0.05)
                group.start_soon(call, "expires", 0.1)
                with anyio.move_on_after(0.1):
                    await call("withdrawn", 5)
            again = await runner.execute(
                make_request("withdrawn"), time.monotonic()
            )
            self.assertEqual(Outcome.NOT_RUN, again.outcome)
            self.assertEqual({"running"}, set(target.counts.begun))
            self.assertEqual(
                [Outcome.NOT_RUN, Outcome.ANSWERED],
                [result.outcome for result in results],
            )

        run_with_target(act, Behaviour(slots=1, work=0.5))

    def test_deadline_and_cancellation_close_the_connection(self):
        # Guards against a target that continues a request after its deadline or
        # cancellation.
        async def act(runner, target, evidence):
            began = time.monotonic()
            late = await runner.execute(make_request("a", 0.2), began)
            self.assertEqual(Outcome.UNKNOWN, late.outcome)
            self.assertThat(time.monotonic() - began, LessThan(2.0))
            with anyio.move_on_after(0.2):
                await runner.execute(make_request("b"), time.monotonic())
            while target.counts.cancelled < 2:  # noqa: ASYNC110
                await anyio.sleep(0.01)  # The stand-in has no event for this.
            self.assertEqual([ExchangeOutcome.SILENCE], evidence)

        run_with_target(act, Behaviour(slots=1, hang=True))

    def test_leaving_and_inactive_targets_hand_requests_on(self):
        # Guards against a leaving target that still runs new requests of open
        # flows, and an inactive target that runs requests although peers have
        # free slots.
        class Peer:
            granted = True

            def grant_waiting(self, now):
                pass

            async def reserve(self, work):
                return object() if self.granted else None

            async def hand_on(self, reservation, work):
                return WorkResult(Outcome.ANSWERED, 200, b"peer")

        async def act(runner, target, evidence):
            peer = Peer()
            runner.use_offload(peer)
            for place in (RunLocation.PEERS_FIRST, RunLocation.PEERS_ONLY):
                runner.choose_place = lambda service, now, place=place: place
                peer.granted = True
                now = time.monotonic()
                result = await runner.execute(make_request(f"{place}"), now)
                self.assertEqual(b"peer", result.body)
                self.assertEqual(0, target.counts.finished)
                peer.granted = False
                request = make_request(f"{place}-alone", timeout=0.4)
                result = await runner.execute(request, time.monotonic())
                local = place is RunLocation.PEERS_FIRST
                wanted = Outcome.ANSWERED if local else Outcome.NOT_RUN
                self.assertEqual(wanted, result.outcome)
                self.assertEqual(int(local), target.counts.finished)
                target.counts.finished = 0

        run_with_target(act, Behaviour())

    def test_cut_answer_is_unknown(self):
        # Guards against passing on a partial answer as a complete one.
        async def act(runner, target, evidence):
            result = await runner.execute(make_request(), time.monotonic())
            self.assertEqual(Outcome.UNKNOWN, result.outcome)
            self.assertEqual(b"", result.body)
            self.assertEqual([ExchangeOutcome.BROKEN], evidence)

        run_with_target(act, Behaviour(break_off=True))

    def test_unreachable_target_is_not_run(self):
        # Guards against reporting an unknown outcome although nothing was sent.
        async def act(runner, target, evidence):
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                runner._backend._address = closed.getsockname()
                result = await runner.execute(make_request(), time.monotonic())
            self.assertEqual(Outcome.NOT_RUN, result.outcome)
            self.assertEqual([ExchangeOutcome.REFUSAL], evidence)

        run_with_target(act, Behaviour())

    def test_failing_and_shedding_targets_are_told_apart(self):
        # Guards against choosing a failing target because it looks idle: health
        # needs to know whether it fails or sheds load.
        async def act(runner, target, evidence):
            target.behaviour.fail = True
            failed = await runner.execute(make_request("a"), time.monotonic())
            target.behaviour.fail, target.behaviour.shed = False, True
            target.behaviour.slots = 0
            shed = await runner.execute(make_request("b"), time.monotonic())
            self.assertEqual([500, 503], [failed.status, shed.status])
            self.assertEqual(
                [ExchangeOutcome.ERROR, ExchangeOutcome.REFUSAL], evidence
            )

        run_with_target(act, Behaviour())

    def test_second_arrival_gets_the_same_answer(self):
        # Guards against passing two arrivals of one id to the target.
        async def act(runner, target, evidence):
            results = []

            async def call():
                work = make_request("same")
                results.append(await runner.execute(work, time.monotonic()))

            async with anyio.create_task_group() as group:
                for _ in range(5):
                    group.start_soon(call)
            await call()
            self.assertEqual({b"same"}, {r.body for r in results})
            self.assertEqual(1, target.counts.begun["same"])

        run_with_target(act, Behaviour(work=0.05))
