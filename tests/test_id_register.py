from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import IsInstance, LessThan

from jujuberun.id_register import (
    ID_RETENTION_S,
    ExpiringSet,
    FirstArrival,
    RepeatedArrival,
    RequestIdRegister,
    Settled,
)
from jujuberun.ids import Outcome, RequestId, ServiceId, Urgency
from jujuberun.work import Work, WorkResult, make_not_run, make_unknown

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


class IdRegisterTest(TestCase):
    def test_second_arrival_joins_or_gets_the_first_answer(self):
        # Guards against running a request again when its id arrives again.
        register = RequestIdRegister()
        first = register.claim(make_work(), 0.0)
        self.assertThat(first, IsInstance(FirstArrival))
        second = register.claim(make_work(), 1.0)
        self.assertThat(second, IsInstance(RepeatedArrival))
        self.assertIs(first.request, second.request)
        register.finish(first.request, ANSWER, 2.0)
        self.assertEqual(Settled(ANSWER), register.claim(make_work(), 3.0))

    def test_id_with_other_content_gets_no_answer(self):
        # Guards against answering a request with the result of another request
        # that has the same id.
        register = RequestIdRegister()
        first = register.claim(make_work(body=b"1"), 0.0)
        for _ in range(2):
            other = register.claim(make_work(body=b"2"), 1.0)
            self.assertEqual(Outcome.UNKNOWN, other.result.outcome)
            if first.request.result is None:
                register.finish(first.request, ANSWER, 2.0)

    def test_refused_id_stays_refused(self):
        # Guards against running a delayed copy of a request that the caller was
        # told did not run.
        register = RequestIdRegister()
        first = register.claim(make_work(), 0.0)
        register.finish(first.request, make_not_run("overloaded"), 0.0)
        copy = register.claim(make_work(), ID_RETENTION_S - 1)
        self.assertEqual(Outcome.NOT_RUN, copy.result.outcome)

    def test_full_register_refuses_instead_of_forgetting(self):
        # Guards against a full register that forgets ids, so that requests run
        # twice, or that grows beyond its limit.
        register = RequestIdRegister(limit=10)
        for number in range(10):
            first = register.claim(make_work(str(number)), 0.0)
            register.finish(first.request, make_unknown("x"), 0.0)
        refused = register.claim(make_work("new"), 1.0)
        self.assertEqual(Outcome.NOT_RUN, refused.result.outcome)
        idempotent = make_work("idempotent", idempotent=True)
        self.assertThat(
            register.claim(idempotent, 1.0), IsInstance(FirstArrival)
        )
        for number in range(10):
            again = register.claim(make_work(str(number)), ID_RETENTION_S - 1)
            self.assertThat(again, IsInstance(Settled))
        later = register.claim(make_work("new"), 2 * ID_RETENTION_S)
        self.assertThat(later, IsInstance(FirstArrival))

    @settings(derandomize=True, database=None)
    @given(st.lists(st.floats(0, 400), min_size=1, max_size=30))
    def test_member_is_known_for_its_time(self, gaps):
        # Guards against rotation that forgets an id too early or never.
        members = ExpiringSet()
        added, now = {}, 0.0
        for number, gap in enumerate(gaps):
            now += gap
            members.rotate(now)
            for member, at in added.items():
                if now - at < ID_RETENTION_S:
                    self.assertIn(member, members)
            members.add(b"%d" % number)
            added[b"%d" % number] = now
        members.rotate(now + 2 * ID_RETENTION_S)
        self.assertThat(len(members), LessThan(1))

    def test_work_of_one_service_does_not_join_another(self):
        # Guards against passing the result of one service to a request of
        # another service with the same id.
        register = RequestIdRegister()
        register.claim(make_work(), 0.0)
        other = replace(make_work(), service=ServiceId("count"))
        self.assertThat(register.claim(other, 0.0), IsInstance(Settled))
