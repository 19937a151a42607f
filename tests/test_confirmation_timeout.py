import testtools

from jujuberun.confirmation_timeout import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    ConfirmationTimeout,
)


class ConfirmationTimeoutTest(testtools.TestCase):
    def test_fast_agents_keep_the_minimum(self):
        timeout = ConfirmationTimeout()
        for _ in range(50):
            timeout.record(0.002)
        self.assertEqual(MIN_TIMEOUT_S, timeout.seconds)

    def test_timeout_exceeds_delays_of_a_full_link(self):
        # Guards against suspicion of all targets while uploads fill the link of
        # a small VM: confirmations took 100 ms, the timeout was 60 ms.
        timeout = ConfirmationTimeout()
        for _ in range(10):
            timeout.record(0.002)
            timeout.record(0.1)
        self.assertGreater(timeout.seconds, 0.1)
        for _ in range(100):
            timeout.record(9.0)
        self.assertEqual(MAX_TIMEOUT_S, timeout.seconds)
        for _ in range(100):
            timeout.record(0.002)
        self.assertEqual(MIN_TIMEOUT_S, timeout.seconds)
