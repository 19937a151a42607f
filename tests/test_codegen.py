"""Tests of the generated message classes."""

from pathlib import Path

import testtools

from jujuberun import codegen, messages


class CodegenTest(testtools.TestCase):
    def test_messages_are_up_to_date(self):
        # Guards against Thrift definitions that changed while the committed
        # message classes were not regenerated.
        folder = Path(messages.__file__).parent
        rendered = codegen.render_messages(folder / "jujuberun.thrift")
        committed = (folder / "messages.py").read_text()
        self.assertEqual(rendered.split(), committed.split())
