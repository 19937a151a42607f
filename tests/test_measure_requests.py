from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.measure import Options
from jujuberun.measure_requests import measure


class MeasureRequestsTest(TestCase):
    def test_refusing_is_cheaper_than_a_handshake(self):
        # Guards against refusals of start packets that cost a tenth of a
        # handshake or more: refusing a flood must cost an agent much less than
        # the handshakes that the flood asks for.
        report = measure(Options(quick=True))
        refusal = report.rows[-1]
        self.assertThat(refusal.ratio, LessThan(0.1))
