import random
import tempfile
from pathlib import Path

import anyio
from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun import http_source
from jujuberun import source as source_module
from jujuberun.delta import MAX_DOCUMENT_BYTES
from jujuberun.errors import SourceError
from jujuberun.http_source import ANSWER_TIMEOUT_S, HttpSource
from jujuberun.ids import VmId
from jujuberun.settings import PlatformSettings
from jujuberun.source import (
    BACKOFF_LIMIT_S,
    DocumentKind,
    FileSource,
    choose_backoff,
    make_source,
)
from jujuberun.spread import GOSSIP_PERIOD_S
from jujuberun.standin_platform import Mode, Platform
from jujuberun.watch import FIRST_RETRY_S, WATCH_WAIT_S


async def read_error(source, wait=0.0):
    try:
        await source.fetch(DocumentKind.MANIFEST, 0, wait)
    except SourceError as error:
        return error
    return None


class HttpSourceTest(TestCase):
    def run_platform(self, test):
        async def main():
            platform = Platform()
            platform.publish("manifest", b"one")
            async with anyio.create_task_group() as group:
                await group.start(platform.run)
                source = HttpSource.from_config(platform.url, VmId("vm-1"))
                with anyio.fail_after(20):
                    await test(platform, source)
                await source.aclose()
                group.cancel_scope.cancel()

        anyio.run(main)

    def test_watch_returns_a_new_document(self):
        async def test(platform, source):
            first = await source.fetch(DocumentKind.MANIFEST, 0, 0)
            self.assertEqual((1, b"one"), (first.index, first.data))
            self.assertIsNone(await source.fetch(DocumentKind.MANIFEST, 1, 0))

            async def publish():
                while not platform.pending:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
                platform.publish("manifest", b"two")

            async with anyio.create_task_group() as group:
                group.start_soon(publish)
                second = await source.fetch(DocumentKind.MANIFEST, 1, 10)
            self.assertEqual((2, b"two"), (second.index, second.data))
            self.assertEqual({"manifest": 3}, platform.reads)

        self.run_platform(test)

    def test_errors_name_step_and_peer(self):
        # Guards against a slow, failing or misbehaving platform that blocks
        # the reader or fills its memory, and against errors that do not name
        # the cause.
        self.patch(http_source, "ANSWER_TIMEOUT_S", 0.2)
        cases = {
            Mode.HANGING: "no complete answer within 0.2 s",
            Mode.SLOW: "no complete answer within 0.2 s",
            Mode.FAILING: "status 503",
            Mode.OVERSIZED: f"more than {MAX_DOCUMENT_BYTES} bytes",
        }

        async def test(platform, source):
            for mode, text in cases.items():
                platform.set_mode(mode, 30)
                error = await read_error(source)
                self.assertIn(text, str(error))
                self.assertEqual("read manifest", error.step)
                self.assertEqual(platform.url, error.peer.rstrip("/"))

        self.run_platform(test)

    def test_stale_platform_keeps_its_old_document(self):
        async def test(platform, source):
            platform.set_mode(Mode.STALE)
            platform.publish("manifest", b"two")
            found = await source.fetch(DocumentKind.MANIFEST, 0, 0)
            self.assertEqual(b"one", found.data)
            self.assertIsNone(await source.fetch(DocumentKind.MANIFEST, 1, 0.1))

        self.run_platform(test)

    def test_platform_answers_only_some_readers(self):
        self.patch(http_source, "ANSWER_TIMEOUT_S", 0.2)

        async def test(platform, source):
            platform.accepts = lambda reader: reader.endswith("vm-2")
            self.assertIsNotNone(await read_error(source))
            other = HttpSource.from_config(platform.url, VmId("vm-2"))
            self.assertIsNotNone(await other.fetch(DocumentKind.MANIFEST, 0, 0))
            await other.aclose()

        self.run_platform(test)

    def test_silent_connection_is_found_out_in_time(self):
        # Guards against a change that is read late: a watch waited 25 s and
        # 5 s more on a connection that had gone silent, and the next read could
        # be on another such one.
        in_force_s = 5.0
        found_out = WATCH_WAIT_S + ANSWER_TIMEOUT_S + FIRST_RETRY_S
        self.assertThat(found_out, LessThan(in_force_s - GOSSIP_PERIOD_S / 2))

        async def test(platform, source):
            await source.fetch(DocumentKind.MANIFEST, 0, 0)
            pool = source._client._transport._pool
            self.assertEqual([], pool.connections)

        self.run_platform(test)

    def test_unreachable_platform(self):
        async def test(platform, source):
            unreachable = HttpSource.from_config(
                "http://127.0.0.1:1", VmId("vm-1")
            )
            self.assertEqual(
                "read manifest", (await read_error(unreachable)).step
            )
            await unreachable.aclose()

        self.run_platform(test)


class FileSourceTest(TestCase):
    def test_change_is_detected(self):
        self.patch(source_module, "FILE_POLL_S", 0.01)
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "manifest.json"
            settings = PlatformSettings("", str(path), "")
            source = make_source(settings, VmId("vm-1"))

            async def main():
                error = await read_error(source)
                self.assertEqual(str(path), error.peer)
                path.write_bytes(b"one")
                first = await source.fetch(DocumentKind.MANIFEST, 0, 0)
                self.assertEqual(b"one", first.data)
                index = first.index
                unchanged = await source.fetch(
                    DocumentKind.MANIFEST, index, 0.03
                )
                self.assertIsNone(unchanged)
                path.write_bytes(b"second")
                second = await source.fetch(DocumentKind.MANIFEST, index, 5)
                self.assertEqual(b"second", second.data)
                self.assertIsNone(await source.fetch(DocumentKind.VMS, 0, 0))

            anyio.run(main)

    def test_oversized_file_is_refused(self):
        with tempfile.NamedTemporaryFile() as file:
            file.write(b" " * (MAX_DOCUMENT_BYTES + 1))
            file.flush()
            source = FileSource({DocumentKind.MANIFEST: file.name})
            error = anyio.run(read_error, source)
            self.assertIn(f"more than {MAX_DOCUMENT_BYTES} bytes", str(error))


class BackoffTest(TestCase):
    def test_backoff_grows_to_its_limit_and_varies(self):
        # Guards against readers that all retry at the same time after a
        # failure of the platform.
        rng = random.Random(1)
        first = [choose_backoff(1, rng) for _ in range(1000)]
        last = [choose_backoff(99, rng) for _ in range(1000)]
        self.assertThat(max(first), LessThan(1.0))
        self.assertThat(max(last), LessThan(BACKOFF_LIMIT_S))
        self.assertThat(max(last), GreaterThan(0.9 * BACKOFF_LIMIT_S))
        self.assertThat(min(last), LessThan(0.05 * BACKOFF_LIMIT_S))
