import random

from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun.trace import (
    PHASES,
    WORKLOADS,
    dump_trace,
    generate_trace,
    load_trace,
)

NAMES = tuple(WORKLOADS)


class TraceTest(TestCase):
    def test_files_match_the_generator(self):
        # Guards against a change of the generator without new trace files.
        for name in NAMES:
            self.assertEqual(generate_trace(name), load_trace(name))

    def test_ordered_with_later_deadlines(self):
        for name in NAMES:
            trace = load_trace(name)
            self.assertEqual(sorted(a.at for a in trace), [a.at for a in trace])
            self.assertTrue(
                all(a.deadline > a.at and a.work > 0 for a in trace)
            )

    def test_each_phase_has_its_load(self):
        # Guards against a phase whose load differs from the stated one, for
        # example a flood below ten times the capacity.
        for name in NAMES:
            for index, workload in enumerate(WORKLOADS[name]):
                for phase in PHASES:
                    work = sum(
                        a.work
                        for a in load_trace(name)
                        if a.service == workload.service
                        and phase.start <= a.at < phase.end
                    )
                    length = phase.end - phase.start
                    load = work / workload.slots / length
                    self.assertThat(load, GreaterThan(phase.loads[index] * 0.8))
                    self.assertThat(load, LessThan(phase.loads[index] * 1.2))

    def test_files_stay_small(self):
        for name in NAMES:
            self.assertThat(len(dump_trace(name)), LessThan(200_000))

    def test_seeded(self):
        # Guards against use of the global random generator, which would make
        # traces depend on more than their seed.
        random.seed(1)
        first = generate_trace("montreal", 3)
        random.seed(2)
        self.assertEqual(first, generate_trace("montreal", 3))

    def test_unknown_name(self):
        self.assertRaises(KeyError, load_trace, "toronto")
