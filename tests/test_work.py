from hypothesis import given, settings
from hypothesis import strategies as st
from requestpath import make_service
from test_id_register import make_work
from testtools import TestCase

from jujuberun.ids import Outcome
from jujuberun.wire import Run, RunReply, decode, encode
from jujuberun.work import (
    WorkResult,
    decode_reply,
    decode_result,
    decode_work,
    encode_reply,
    encode_result,
    encode_work,
)
from jujuberun.work import (
    parse_work as read_work,
)

FIELDS = st.lists(
    st.tuples(st.sampled_from([b"a", b"content-type"]), st.binary(max_size=9)),
    max_size=4,
).map(tuple)


class WorkTest(TestCase):
    @settings(derandomize=True, database=None)
    @given(FIELDS, st.binary(max_size=99), st.sampled_from(Outcome))
    def test_result_survives_both_encodings(self, headers, body, outcome):
        # Guards against an encoding that changes an outcome or an answer.
        status = 200 if outcome is Outcome.ANSWERED else 0
        result = WorkResult(outcome, status, body, headers)
        reply = decode(RunReply, encode(encode_reply(result)))
        self.assertEqual(result, decode_reply(reply))
        self.assertEqual(result, decode_result(encode_result(result), body))

    @settings(derandomize=True, database=None)
    @given(FIELDS, st.binary(max_size=99), st.booleans())
    def test_work_survives_handing_on(self, headers, body, idempotent):
        # Guards against requests that run twice because forwarding them to
        # another agent changes their id or marks them as idempotent.
        work = make_work("a", idempotent, body, deadline=5.0)
        message = decode(Run, encode(encode_work(1, work, 5.0)))
        other = decode_work(message, make_service("label"), 0.0)
        self.assertEqual(work, other)

    def test_malformed_requests_are_refused(self):
        # Guards against malformed requests of a caller that run, or that raise
        # an exception in the agent.
        good = {
            b":method": b"GET",
            b":path": b"/",
            b"request-id": b"a",
            b"deadline-ms": b"50",
        }
        service = make_service()
        work = read_work(service, tuple(good.items()), b"", 1.0)
        self.assertEqual(1.05, work.deadline)
        for name, value in (
            (b"request-id", b""),
            (b"request-id", b"x" * 200),
            (b"request-id", b"\xff"),
            (b"deadline-ms", b"-1"),
            (b"deadline-ms", b"9" * 20),
            (b":path", b"/\xff"),
        ):
            fields = tuple({**good, name: value}.items())
            result = read_work(service, fields, b"", 1.0)
            self.assertEqual(Outcome.NOT_RUN, result.outcome)
