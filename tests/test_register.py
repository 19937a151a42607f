from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import IsInstance, LessThan

from jujuberun.ids import Outcome, RequestId, ServiceId, Urgency
from jujuberun.register import KEEP_S, AgedSet, First, Register, Second, Settled
from jujuberun.work import Work, WorkResult, lose, refuse

ANSWER = WorkResult(Outcome.ANSWERED, 200, b"answer")


def make_work(name="a", idempotent=False, body=b"", deadline=1e9):
    return Work(
        RequestId(name),
        ServiceId("label"),
        Urgency.NORMAL,
        deadline,
        idempotent,
        0.0,
        body=body,
    )


class RegisterTest(TestCase):
    def test_second_arrival_joins_or_gets_the_first_answer(self):
        # Guards R5: a second arrival of an id that runs again.
        register = Register()
        first = register.claim(make_work(), 0.0)
        self.assertThat(first, IsInstance(First))
        second = register.claim(make_work(), 1.0)
        self.assertThat(second, IsInstance(Second))
        self.assertIs(first.entry, second.entry)
        register.finish(first.entry, ANSWER, 2.0)
        self.assertEqual(Settled(ANSWER), register.claim(make_work(), 3.0))

    def test_id_with_other_content_gets_no_answer(self):
        # Guards R3: the answer to another request.
        register = Register()
        first = register.claim(make_work(body=b"1"), 0.0)
        for _ in range(2):
            other = register.claim(make_work(body=b"2"), 1.0)
            self.assertEqual(Outcome.UNKNOWN, other.result.outcome)
            if first.entry.result is None:
                register.finish(first.entry, ANSWER, 2.0)

    def test_refused_id_stays_refused(self):
        # Guards R4: a delayed copy of a refused request that runs.
        register = Register()
        first = register.claim(make_work(), 0.0)
        register.finish(first.entry, refuse("overloaded"), 0.0)
        copy = register.claim(make_work(), KEEP_S - 1)
        self.assertEqual(Outcome.NOT_RUN, copy.result.outcome)

    def test_full_register_refuses_instead_of_forgetting(self):
        # Guards R5 and the memory bound together.
        register = Register(limit=10)
        for number in range(10):
            first = register.claim(make_work(str(number)), 0.0)
            register.finish(first.entry, lose("x"), 0.0)
        refused = register.claim(make_work("new"), 1.0)
        self.assertEqual(Outcome.NOT_RUN, refused.result.outcome)
        idempotent = make_work("idempotent", idempotent=True)
        self.assertThat(register.claim(idempotent, 1.0), IsInstance(First))
        for number in range(10):
            again = register.claim(make_work(str(number)), KEEP_S - 1)
            self.assertThat(again, IsInstance(Settled))
        later = register.claim(make_work("new"), 2 * KEEP_S)
        self.assertThat(later, IsInstance(First))

    @settings(derandomize=True, database=None)
    @given(st.lists(st.floats(0, 400), min_size=1, max_size=30))
    def test_member_is_known_for_its_time(self, gaps):
        # Guards against rotation that forgets an id too early, or never.
        members = AgedSet()
        added, now = {}, 0.0
        for number, gap in enumerate(gaps):
            now += gap
            members.rotate(now)
            for member, at in added.items():
                if now - at < KEEP_S:
                    self.assertIn(member, members)
            members.add(b"%d" % number)
            added[b"%d" % number] = now
        members.rotate(now + 2 * KEEP_S)
        self.assertThat(len(members), LessThan(1))

    def test_work_of_one_service_does_not_join_another(self):
        # Guards R2 and R3 when two services get the same id.
        register = Register()
        register.claim(make_work(), 0.0)
        other = replace(make_work(), service=ServiceId("count"))
        self.assertThat(register.claim(other, 0.0), IsInstance(Settled))
