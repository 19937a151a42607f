from testtools import TestCase

from jujuberun.measure import Options
from jujuberun.measure_messages import make_messages, measure


class MeasureMessagesTest(TestCase):
    def test_sizes_grow_linearly(self):
        # Capacity figures extrapolate the sizes of messages. This fails if a
        # size does not grow linearly.
        report = measure(Options(quick=True))
        rows = {row.name: row for row in report.rows}
        self.assertEqual(1.0, rows["Forward over payload, each"].ours)
        self.assertEqual(
            len(make_messages()), _count_names(rows, " on the wire")
        )
        for series in report.series:
            steps = {
                (y2 - y1) / (x2 - x1)
                for x1, x2, y1, y2 in zip(
                    series.x,
                    series.x[1:],
                    series.y,
                    series.y[1:],
                    strict=False,
                )
            }
            self.assertEqual(1, len(steps), series.label)


def _count_names(rows, text):
    return sum(text in name for name in rows)
