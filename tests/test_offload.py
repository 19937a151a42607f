import asyncio
from collections import Counter

import anyio
from fifo import BoundedFifoAdmission
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from requestpath import make_service
from test_id_register import make_work
from testtools import ExpectedException, TestCase

from jujuberun.errors import LinkError
from jujuberun.id_register import ActiveRequest, FirstArrival, RequestIdRegister
from jujuberun.ids import Outcome
from jujuberun.offload import REPLY_TIMEOUT_S, RESERVATION_TIMEOUT_S, Offload
from jujuberun.runner import Runner
from jujuberun.wire import Cancel, Reserve, ReserveReply
from jujuberun.work import WorkResult

AGENTS = 3
SLOTS = 1
SERVICE = make_service("label")
SETTLE_STEPS = 30  # Chains of callbacks take about ten loop iterations.


class NaiveRegister(RequestIdRegister):
    """Lets every arrival of a request id run."""

    def claim(self, work, now):
        return FirstArrival(ActiveRequest(work))

    def finish(self, entry, result, now):
        entry.result = result
        entry.done.set()


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is set by the test."""

    now = 1000.0

    def time(self):
        return self.now


class Target:
    """The target of one agent; its work ends when the test sets an event."""

    def __init__(self, world):
        self.world = world
        self.jobs = []

    async def call(self, work, timeout):
        done = anyio.Event()
        self.world.starts[work.id.partition(".")[0]] += 1
        self.jobs.append(done)
        try:
            with anyio.move_on_after(timeout):
                await done.wait()
                return WorkResult(Outcome.ANSWERED, 200, work.id.encode())
            return WorkResult(Outcome.UNKNOWN, reason="deadline")
        finally:
            self.jobs.remove(done)


class Agent:
    """Runner and offload of one agent."""

    def __init__(self, world, number):
        self.target = Target(world)
        self.admission = BoundedFifoAdmission(SLOTS)
        self.tasks = set()
        clock = world.loop.time
        self.runner = Runner(
            SLOTS,
            self.admission,
            self.target,
            register=world.make_register(),
            clock=clock,
        )
        peers = [n for n in range(AGENTS) if n != number]
        self.offload = Offload(
            self.runner,
            world.make_link(number),
            lambda message, peer: world.packets.append((number, peer, message)),
            lambda service, now: peers,
            lambda service: SERVICE,
            clock,
        )
        self.runner.use_offload(self.offload)


class World:
    """Agents whose messages wait until the test delivers them."""

    def __init__(self, make_register=RequestIdRegister):
        self.loop = VirtualLoop()
        self.make_register = make_register
        self.starts = Counter()
        self.observed = {}
        self.packets = []  # (sender, receiver, message)
        self.runs = []  # [receiver, message, reply future]
        self.sent_runs = []
        self.agents = [Agent(self, n) for n in range(AGENTS)]
        self.non_idempotent = set()
        self.errors = []
        self.replies = {}

    def make_link(self, number):
        world = self

        class Link:
            async def call(self, address, message, timeout):
                reply = world.loop.create_future()
                world.runs.append([address, message, reply])
                world.sent_runs.append((address, message))
                with anyio.move_on_after(timeout):
                    return await reply
                raise LinkError("call", str(address), "no reply")

        return Link()

    def settle(self):
        async def turn():
            for _ in range(SETTLE_STEPS):
                await asyncio.sleep(0)
            for agent in self.agents:
                agent.offload.expire(self.loop.time())

        self.loop.run_until_complete(turn())
        self.loop.run_until_complete(turn())

    def start(self, agent, coroutine):
        task = self.loop.create_task(coroutine)
        agent.tasks.add(task)
        task.add_done_callback(agent.tasks.discard)
        task.add_done_callback(self.record_error)
        self.settle()
        return task

    def request(self, number, work):
        agent = self.agents[number]

        async def call():
            result = await agent.runner.execute(work, self.loop.time())
            self.observed.setdefault(work.id, set()).add(result.outcome)

        return self.start(agent, call())

    def deliver(self, index, keep=False):
        sender, receiver, message = self.packets[index % len(self.packets)]
        if not keep:
            del self.packets[index % len(self.packets)]
        offload, now = self.agents[receiver].offload, self.loop.time()

        async def handle():
            match message:
                case Reserve():
                    offload.handle_reserve(message, sender, now)
                case ReserveReply():
                    offload.handle_reply(message, sender)
                case Cancel():
                    offload.handle_cancel(message, now)

        self.loop.run_until_complete(handle())
        self.settle()

    def deliver_run(self, receiver, message, reply=None):
        agent = self.agents[receiver]

        async def serve():
            result = await agent.offload.handle_run(message, self.loop.time())
            self.replies.setdefault(message.token, set()).add(result.outcome)
            if reply is not None and not reply.done():
                reply.set_result(result)

        self.start(agent, serve())

    def restart(self, number):
        agent = self.agents[number]
        tasks = list(agent.tasks)
        self.agents[number] = Agent(self, number)
        for task in tasks:
            task.cancel()
        self.settle()

    def advance(self, seconds):
        self.loop.now += seconds
        self.settle()

    def record_error(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(task.exception())

    def check(self):
        assert not self.errors, self.errors
        for name in self.non_idempotent:
            assert self.starts[name] <= 1, f"{name} ran twice"
        for name, outcomes in self.observed.items():
            if Outcome.NOT_RUN in outcomes:
                assert not self.starts[name], f"{name} ran after not-run"
        for outcomes in self.replies.values():
            assert not outcomes >= {"answered", "not-run"}, "ran and not-run"
        for agent in self.agents:
            assert len(agent.target.jobs) <= SLOTS, "more work than slots"

    def finish(self):
        """Ends all requests and checks that every slot is free."""
        for _ in range(60):
            if not any(
                agent.tasks or agent.runner.running for agent in self.agents
            ):
                break
            while self.packets:
                self.deliver(0)
            for receiver, message, reply in self.runs:
                self.deliver_run(receiver, message, reply)
            self.runs.clear()
            for agent in self.agents:
                for job in agent.target.jobs:
                    job.set()
            self.advance(0.5)
        self.check()
        for agent in self.agents:
            assert agent.runner.running == agent.admission.busy == 0, "slot"
            assert not agent.tasks, "a request never ended"

    def close(self):
        for number in range(AGENTS):
            self.restart(number)
        self.loop.close()


class HandingOnMachine(RuleBasedStateMachine):
    """Loses, repeats and reorders messages; pauses and restarts agents."""

    requests = Bundle("requests")
    make_register = RequestIdRegister

    def __init__(self):
        super().__init__()
        self.world = World(self.make_register)
        self.count = 0

    @rule(
        target=requests,
        agent=st.integers(0, 1),  # so that the third agent has idle slots
        idempotent=st.booleans(),
        timeout=st.sampled_from([0.3, 5.0]),
    )
    def send(self, agent, idempotent, timeout):
        self.count += 1
        name = f"{'i' if idempotent else 'p'}{self.count}"
        if not idempotent:
            self.world.non_idempotent.add(name)
        deadline = self.world.loop.time() + timeout
        work = make_work(name, idempotent, deadline=deadline)
        holder = self.world.agents[agent]
        return agent, holder, work, self.world.request(agent, work)

    @rule(request=requests)
    def arrive_again(self, request):
        agent, holder, work, _ = request
        if self.world.agents[agent] is holder:
            self.world.request(agent, work)

    @rule(request=requests)
    def withdraw(self, request):
        request[3].cancel()
        self.world.settle()

    @precondition(lambda self: self.world.packets)
    @rule(index=st.integers(0, 9), keep=st.booleans())
    def deliver(self, index, keep):
        self.world.deliver(index, keep)

    @precondition(lambda self: self.world.packets)
    @rule()
    def deliver_all(self):
        for _ in range(20):
            if self.world.packets:
                self.world.deliver(0)

    @precondition(lambda self: self.world.packets)
    @rule(index=st.integers(0, 9))
    def lose(self, index):
        del self.world.packets[index % len(self.world.packets)]

    @precondition(lambda self: self.world.runs)
    @rule(index=st.integers(0, 9), arrives=st.booleans(), breaks=st.booleans())
    def carry_run(self, index, arrives, breaks):
        runs = self.world.runs
        receiver, message, reply = runs.pop(index % len(runs))
        if arrives:
            kept = None if breaks else reply
            self.world.deliver_run(receiver, message, kept)
        if breaks and not reply.done():
            reply.set_exception(LinkError("call", str(receiver), "broken"))
        self.world.settle()

    @precondition(lambda self: self.world.sent_runs)
    @rule(index=st.integers(0, 9))
    def repeat_run(self, index):
        runs = self.world.sent_runs
        self.world.deliver_run(*runs[index % len(runs)])

    @rule(agent=st.integers(0, AGENTS - 1))
    def finish_work(self, agent):
        for job in self.world.agents[agent].target.jobs[:1]:
            job.set()
        self.world.settle()

    @rule(agent=st.integers(0, AGENTS - 1))
    def restart(self, agent):
        self.world.restart(agent)

    @rule(seconds=st.sampled_from([0.05, 0.11, 0.21, 12.0]))
    def pass_time(self, seconds):
        self.world.advance(seconds)

    @invariant()
    def check_world(self):
        self.world.check()

    def teardown(self):
        try:
            self.world.finish()
        finally:
            self.world.close()


class NaiveMachine(HandingOnMachine):
    make_register = NaiveRegister


def run_machine(machine, examples):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
            database=None,
            print_blob=False,
            phases=[Phase.generate],  # shrinking takes minutes
            suppress_health_check=list(HealthCheck),
        ),
    )


class AtMostOnceTest(TestCase):
    def test_nothing_runs_twice_or_after_not_run(self):
        # Guards against requests that run twice although not idempotent or run
        # after a not-run result, and against lost or shared slots. Messages are
        # lost, repeated and reordered; agents pause or restart; links break.
        run_machine(HandingOnMachine, 200)

    def test_naive_version_runs_twice(self):
        # Shows that the state machine finds requests that run twice.
        with ExpectedException(AssertionError, ".*ran twice.*"):
            run_machine(NaiveMachine, 200)


class OffloadTest(TestCase):
    def setUp(self):
        super().setUp()
        self.world = World()
        self.addCleanup(self.world.close)

    def queue_one(self, idempotent=False):
        """Starts one request and queues another at agent 0."""
        deadline = self.world.loop.time() + 5
        for name in ("first", "second"):
            work = make_work(name, idempotent, deadline=deadline)
            self.world.request(0, work)

    def deliver_packets(self):
        while self.world.packets:
            self.world.deliver(0)

    def test_queued_request_runs_at_an_idle_peer(self):
        # Guards against requests that wait at one agent while a peer is idle.
        self.queue_one()
        self.deliver_packets()
        ((receiver, message, reply),) = self.world.runs
        self.world.runs.clear()
        self.world.deliver_run(receiver, message, reply)
        self.assertEqual(1, self.world.starts["second"])
        self.world.finish()
        self.assertEqual({Outcome.ANSWERED}, self.world.observed["second"])

    def test_broken_link_is_unknown_unless_idempotent(self):
        # Guards against a not-run result although the peer may have run it.
        for idempotent in (False, True):
            world = self.world = World()
            self.addCleanup(world.close)
            self.queue_one(idempotent)
            self.deliver_packets()
            ((receiver, message, reply),) = world.runs
            world.deliver_run(receiver, message)
            reply.set_exception(LinkError("call", "1", "broken"))
            world.settle()
            world.finish()
            expected = Outcome.ANSWERED if idempotent else Outcome.UNKNOWN
            self.assertEqual({expected}, world.observed["second"])
            self.assertEqual(1 + idempotent, world.starts["second"])

    def test_reservation_of_a_dead_agent_expires(self):
        # Guards against slots that stay reserved for an agent that died.
        self.queue_one()
        self.world.deliver(0)
        self.assertEqual(1, self.world.agents[1].runner.running)
        self.world.restart(0)
        self.world.packets.clear()
        self.world.advance(RESERVATION_TIMEOUT_S + 0.01)
        self.assertEqual(0, self.world.agents[1].runner.running)

    def test_expired_reservation_goes_back_to_the_queue(self):
        # Guards against losing a request whose reservation has expired.
        self.queue_one()
        self.deliver_packets()
        self.world.advance(RESERVATION_TIMEOUT_S + 0.01)
        ((receiver, message, reply),) = self.world.runs
        self.world.runs.clear()
        self.world.deliver_run(receiver, message, reply)
        self.assertEqual(0, self.world.starts["second"])
        self.world.agents[0].target.jobs[0].set()
        self.world.settle()
        self.assertEqual(1, self.world.starts["second"])

    def test_copy_of_a_run_after_a_restart_is_unknown(self):
        # Guards against a restarted agent that repeats or denies a past run.
        for cancelled in (False, True):
            world = self.world = World()
            self.addCleanup(world.close)
            self.queue_one()
            self.deliver_packets()
            ((receiver, message, reply),) = world.runs
            world.deliver_run(receiver, message)
            world.restart(receiver)
            if cancelled:
                world.packets.append((0, receiver, Cancel(message.token)))
                self.deliver_packets()
            world.deliver_run(receiver, message)
            self.assertEqual({"unknown"}, world.replies[message.token])
            self.assertEqual(1, world.starts["second"])


class WaitingTest(TestCase):
    def test_inquiry_waits_for_a_slot(self):
        # Guards against waits almost as long as without offloading: if an
        # inquiry is denied at once, later ones find idle slots only by chance.
        class Host:
            running, queued, draining, idle = 2, 0, False, False

            def reserve_slot(self, placeholder, now):
                return self.idle

            def release_slot(self, placeholder, now):
                pass

        host, sent = Host(), []
        offload = Offload(
            host,
            None,
            lambda message, address: sent.append(message),
            lambda service, now: (),
            lambda name: SERVICE,
        )
        for token in (1, 2, 3):
            message = Reserve(token, SERVICE.id, 200)
            offload.handle_reserve(message, ("127.0.0.1", 1), 0.0)
        offload.handle_cancel(Cancel(2), 0.01)
        offload.grant_waiting(0.02)
        self.assertEqual([], sent)
        host.idle = True
        offload.grant_waiting(0.05)
        self.assertEqual(
            [(1, True), (3, True)], [(m.token, m.granted) for m in sent]
        )
        host.idle = False
        offload.handle_reserve(
            Reserve(4, SERVICE.id, 200), ("127.0.0.1", 1), 0.1
        )
        host.idle = True
        offload.grant_waiting(0.1 + REPLY_TIMEOUT_S)
        self.assertEqual(2, len(sent))
