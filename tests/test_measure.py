from importlib import import_module, resources

from testtools import TestCase

from jujuberun.measure import MEASUREMENTS, Row


class MeasureTest(TestCase):
    def test_every_measurement_is_listed(self):
        # Guards against a measurement that the command cannot run, because its
        # module is missing from MEASUREMENTS.
        listed = set(MEASUREMENTS.values())
        for file in resources.files("jujuberun").iterdir():
            name = file.name.removesuffix(".py")
            if name == file.name or not name.startswith("measure_"):
                continue
            module = import_module(f"jujuberun.{name}")
            if hasattr(module, "measure"):
                self.assertIn(f"jujuberun.{name}:measure", listed)

    def test_ratio(self):
        # Guards against a division by a naive figure of 0.
        self.assertEqual(0.5, Row("a", 1.0, 2.0, "s").ratio)
        self.assertIsNone(Row("a", 1.0, 0.0, "s").ratio)
        self.assertIsNone(Row("a", 1.0, None, "s").ratio)
