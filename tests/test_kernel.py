import anyio
from testtools import TestCase

from jujuberun.errors import JujuberunError
from jujuberun.kernel import Kernel


class Part:
    name = "part"
    stopped = False

    async def run(self, task_status):
        task_status.started()
        try:
            await anyio.sleep_forever()
        finally:
            self.stopped = True

    def dump_state(self, now):
        return {"at": now}


class KernelTest(TestCase):
    def test_kernel_is_built_without_an_event_loop(self):
        # Guards against a kernel that needs a running event loop before run():
        # the daemon registers its parts earlier.
        kernel = Kernel()
        part = Part()
        kernel.register(part)

        async def run():
            async with anyio.create_task_group() as group:
                await group.start(kernel.run)
                kernel.stop()

        anyio.run(run)
        self.assertTrue(part.stopped)
        self.assertEqual({"part": {"at": 3.0}}, kernel.dump_state(3.0))

    def test_stop_before_run(self):
        # Guards against ignoring a stop signal that arrives during start.
        kernel = Kernel()
        kernel.stop()

        async def run():
            with anyio.fail_after(5):
                await kernel.run()

        anyio.run(run)

    def test_names_are_unique(self):
        # Guards against a part that silently replaces another.
        kernel = Kernel()
        kernel.register(Part())
        self.assertRaises(JujuberunError, kernel.register, Part())
        self.assertRaises(JujuberunError, kernel.find, "other")
