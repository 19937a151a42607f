from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.measure import Options
from jujuberun.measure_requests import measure


class MeasureRequestsTest(TestCase):
    def test_refusing_is_cheaper_than_a_handshake(self):
        # Guards the early refusal: a flood must cost less than it asks for.
        report = measure(Options(quick=True))
        refusal = report.rows[-1]
        self.assertThat(refusal.ratio, LessThan(0.1))
