import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains

from jujuberun import link as link_module
from jujuberun.errors import LinkError
from jujuberun.link import MAX_FRAME_BYTES, Link
from jujuberun.wire import (
    Codec,
    Fetch,
    Probe,
    ProbeReply,
    Signer,
    messages,
)

KEYS = (b"k" * 32,)
HOST = "127.0.0.1"


def make_link(clock=lambda: 1_000_000):
    return Link((HOST, 0), Signer(KEYS), clock)


def run_with_server(test, clock=lambda: 1_000_000):
    """Runs test(server) while the server answers probes."""

    async def answer(message, sender):
        return ProbeReply(message.token, False)

    async def main():
        server = make_link(clock)
        server.register_handler(Probe, answer)
        async with anyio.create_task_group() as group:
            await group.start(server.run)
            await test(server)
            group.cancel_scope.cancel()

    anyio.run(main)


def frame(data):
    return len(data).to_bytes(4, "big") + data


async def exchange(address, data):
    """Sends raw bytes and returns all bytes received until the stream ends."""
    received = b""
    with anyio.fail_after(5):
        async with await anyio.connect_tcp(*address) as stream:
            await stream.send(data)
            await stream.send_eof()
            try:
                while True:
                    received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return received


class LinkTest(TestCase):
    def test_replies_reach_their_callers(self):
        # Guards against concurrent calls that receive each other's replies.
        replies = {}

        async def call(address, token):
            reply = await make_link().call(address, Probe(token), 5)
            replies[token] = reply.token

        async def test(server):
            async with anyio.create_task_group() as group:
                for token in range(40):
                    group.start_soon(call, server.address, token)

        run_with_server(test)
        self.assertEqual({token: token for token in range(40)}, replies)

    def test_refused_frames_are_counted_and_server_keeps_running(self):
        # Guards against a server that answers a malformed, truncated,
        # oversized, forged, stale or replayed frame, or that stops because of
        # one.
        now = 1_000_000
        sealed = Codec(Signer(KEYS)).seal(Probe(1), "s", now)
        stale = Codec(Signer(KEYS)).seal(Probe(1), "s", now - 31_000)
        forged = Codec(Signer((b"x" * 32,))).seal(Probe(1), "s", now)
        signer = Signer(KEYS)
        garbage = signer.sign(b"\x0c\xff") + b"\x0c\xff"
        cases = {
            "truncated": frame(sealed)[:-1],
            "oversized": (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
            "mac": frame(forged),
            "stale": frame(stale),
            "malformed": frame(garbage),
            "no-handler": frame(Codec(signer).seal(Fetch(), "s", now)),
        }

        async def test(server):
            for reason, data in cases.items():
                self.assertEqual(b"", await exchange(server.address, data))
                self.assertEqual(1, server.counts[reason], reason)
            self.assertNotEqual(
                b"", await exchange(server.address, frame(sealed))
            )
            self.assertEqual(b"", await exchange(server.address, frame(sealed)))
            self.assertEqual(1, server.counts["replay"])
            reply = await make_link().call(server.address, Probe(7), 5)
            self.assertEqual(7, reply.token)

        run_with_server(test)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes(self, data):
        # Guards against a server that stops because of arbitrary input, or
        # answers it.
        async def test(server):
            self.assertEqual(b"", await exchange(server.address, data))
            await make_link().call(server.address, Probe(7), 5)

        run_with_server(test)

    def test_connection_refused_was_not_sent(self):
        # Guards against reporting the outcome "unknown" for a request that
        # cannot have run: the peer refused the connection, so no byte of the
        # request was sent.
        async def test():
            server = make_link()
            server.bind()
            address = server.address
            server._listener.close()
            error = await self._call_and_fail(address, 5)
            self.assertFalse(error.sent)

        anyio.run(test)

    def test_timeout_cancels_handler_and_counts_as_sent(self):
        # Guards against a handler that keeps running after its caller timed
        # out, and against reporting "not sent" for a message that arrived.
        cancelled = anyio.Event()

        async def hang(message, sender):
            try:
                await anyio.sleep_forever()
            finally:
                cancelled.set()

        async def test(server):
            server.register_handler(messages.Run, hang)
            error = await self._call_and_fail(
                server.address, 0.2, messages.Run(1)
            )
            self.assertTrue(error.sent)
            self.assertIn("0.2 s", str(error))
            with anyio.fail_after(5):
                await cancelled.wait()

        run_with_server(test)

    def test_failing_handler_closes_only_its_connection(self):
        async def fail(message, sender):
            raise ValueError("no such thing")

        async def test(server):
            server.register_handler(messages.Run, fail)
            error = await self._call_and_fail(
                server.address, 5, messages.Run(1)
            )
            self.assertThat(str(error), Contains("without a reply"))
            await make_link().call(server.address, Probe(7), 5)

        run_with_server(test)

    def test_silent_connection_is_closed(self):
        # Guards against connections that stay open although the peer sends no
        # frame.
        self.patch(link_module, "FRAME_TIMEOUT_S", 0.05)

        async def test(server):
            async with await anyio.connect_tcp(*server.address) as stream:
                with anyio.fail_after(5):
                    await self._wait_for_end(stream)

        run_with_server(test)

    def test_announced_sizes_are_bounded(self):
        # Guards against a peer that uses up the memory by announcing large
        # frames, which are verified only after they are complete.
        self.patch(link_module, "MAX_PENDING_BYTES", 1_000_000)
        announced = (600_000).to_bytes(4, "big")

        async def test(server):
            async with await anyio.connect_tcp(*server.address) as first:
                await first.send(announced)
                await anyio.wait_all_tasks_blocked()
                await anyio.sleep(0.05)
                self.assertEqual(600_000, server._pending_bytes)
                async with await anyio.connect_tcp(*server.address) as second:
                    await second.send(announced)
                    with anyio.fail_after(5):
                        await self._wait_for_end(second)
            self.assertEqual(1, server.counts["busy"])

        run_with_server(test)

    def test_drain_finishes_calls_in_progress(self):
        # Guards against a planned stop that aborts a call in progress: a
        # planned stop must finish the calls that it has accepted.
        finish = anyio.Event()
        started = anyio.Event()
        replies = []

        async def wait(message, sender):
            started.set()
            await finish.wait()
            return ProbeReply(1, True)

        async def call(address):
            replies.append(await make_link().call(address, messages.Run(1), 5))

        async def test(server):
            server.register_handler(messages.Run, wait)
            async with anyio.create_task_group() as group:
                group.start_soon(call, server.address)
                await started.wait()
                self.assertEqual(1, await server.drain(0.02))
                error = await self._call_and_fail(server.address, 5)
                self.assertFalse(error.sent)
                finish.set()
                self.assertEqual(0, await server.drain(5))
            self.assertTrue(replies[0].draining)

        run_with_server(test)

    def test_connection_limit(self):
        # Guards against peers that use up the file descriptors of the process
        # by opening connections.
        self.patch(link_module, "MAX_CONNECTIONS", 1)

        async def test(server):
            async with await anyio.connect_tcp(*server.address):
                await anyio.sleep(0.05)
                async with await anyio.connect_tcp(*server.address) as second:
                    with anyio.fail_after(5):
                        await self._wait_for_end(second)
            self.assertEqual(1, server.counts["too-many-connections"])

        run_with_server(test)

    async def _call_and_fail(self, address, timeout, message=None):
        error = None
        try:
            await make_link().call(address, message or Probe(1), timeout)
        except LinkError as caught:
            error = caught
        self.assertIsNotNone(error, "the call succeeded")
        return error

    async def _wait_for_end(self, stream):
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return
        self.fail("received data")
