from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun.admission import Admission
from jujuberun.fifo import FifoGate
from jujuberun.measure_flood import amplify_flood
from jujuberun.overload import build_replay
from jujuberun.trace import load_trace


class TraceTest(TestCase):
    def replay(self, build_gate) -> list:
        trace = [a for a in load_trace("montreal") if 25.0 <= a.at < 52.0]
        flood = amplify_flood("montreal", trace)
        return build_replay("montreal", True, build_gate).run(flood)

    def test_admission_beats_fifo_in_a_flood(self):
        # Guards against admission that does worse than none at all.
        useful = []
        for build_gate in (Admission.from_config, FifoGate):
            attempts = [
                attempt
                for attempt in self.replay(build_gate)
                if attempt.request.service == "meal-change"
                and attempt.arrival.at >= 45.0
            ]
            useful.append(sum(a.useful for a in attempts) / len(attempts))
        self.assertThat(useful[0], GreaterThan(0.95))
        self.assertThat(useful[0], GreaterThan(useful[1]))

    def test_no_work_starts_after_its_deadline(self):
        # Guards against expired work in a slot.
        for attempt in self.replay(Admission.from_config):
            if attempt.started is not None:
                self.assertThat(
                    attempt.started, LessThan(attempt.arrival.deadline)
                )
