import random

from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.candidate_table import CandidateTable
from jujuberun.ids import DomainId, FlowId, TargetId
from jujuberun.manifest import Target


def make_target(index: int, domains: int = 4) -> Target:
    return Target(
        TargetId(f"t{index}"),
        ("127.0.0.1", 9000),
        ("127.0.0.1", 9001),
        DomainId(f"d{index % domains}"),
        2,
        2000,
    )


class CandidateTableTest(TestCase):
    def test_backup_is_in_another_domain(self):
        # Guards against a home and a backup in the same failure domain: its
        # failure would lose both copies of a directory entry.
        targets = {t.id: t for t in map(make_target, range(7))}
        table = CandidateTable.from_targets(targets.values())
        for number in range(2000):
            flow = FlowId(number.to_bytes(8, "little"))
            home, backup, _ = table.find_candidates(flow)
            self.assertNotEqual(targets[home].domain, targets[backup].domain)

    def test_removal_moves_few_other_homes(self):
        # Guards against a removal that changes the homes of flows whose home
        # was not removed.
        full = CandidateTable.from_targets(map(make_target, range(7)))
        reduced = CandidateTable.from_targets(map(make_target, range(6)))
        rng = random.Random(7)
        flows = [FlowId(rng.randbytes(8)) for _ in range(4000)]
        moved = 0
        for flow in flows:
            before = full.find_candidates(flow)[0]
            if before != "t6" and before != reduced.find_candidates(flow)[0]:
                moved += 1
        self.assertThat(moved / len(flows), LessThan(0.1))

    def test_single_target(self):
        table = CandidateTable.from_targets([make_target(0)])
        self.assertEqual(("t0",), table.find_candidates(FlowId(b"12345678")))
