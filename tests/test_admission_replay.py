from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun.admission import Admission
from jujuberun.admission_replay import build_replay
from jujuberun.measure_flood import amplify_flood
from jujuberun.trace import load_trace
from jujuberun.unbounded_fifo import UnboundedFifoAdmission


class AdmissionReplayTest(TestCase):
    def replay(self, build_admission) -> list:
        trace = [a for a in load_trace("montreal") if 25.0 <= a.at < 52.0]
        flood = amplify_flood("montreal", trace)
        return build_replay("montreal", True, build_admission).run(flood)

    def test_admission_beats_fifo_in_a_flood(self):
        # Guards against an admission that answers fewer requests in time during
        # a flood than a plain FIFO queue does.
        useful = []
        for build_admission in (Admission.from_config, UnboundedFifoAdmission):
            attempts = [
                attempt
                for attempt in self.replay(build_admission)
                if attempt.request.service == "meal-change"
                and attempt.arrival.at >= 45.0
            ]
            useful.append(sum(a.useful for a in attempts) / len(attempts))
        self.assertThat(useful[0], GreaterThan(0.95))
        self.assertThat(useful[0], GreaterThan(useful[1]))

    def test_no_work_starts_after_its_deadline(self):
        # Guards against requests that get a slot after their deadline.
        for attempt in self.replay(Admission.from_config):
            if attempt.started is not None:
                self.assertThat(
                    attempt.started, LessThan(attempt.arrival.deadline)
                )
