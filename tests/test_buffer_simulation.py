from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.buffer_simulation import (
    BUFFER_PACKETS,
    QUANTUM_PACKETS,
    RoundRobinBuffers,
    SimulatedPacket,
    simulate_forwarding,
)
from jujuberun.ids import ServiceId

LABEL = ServiceId("label")
MEAL = ServiceId("meal-change")


class BufferSimulationTest(TestCase):
    def test_buffers_are_bounded_and_return_every_accepted_packet(self):
        # Guards against a buffer that loses an accepted packet, and against one
        # that grows without bound in a flood.
        buffers = RoundRobinBuffers()
        packets = [
            SimulatedPacket(s, 0.0) for s in (LABEL, MEAL) for _ in range(200)
        ]
        kept = [packet for packet in packets if buffers.push(packet)]
        self.assertEqual(2 * BUFFER_PACKETS, len(kept))
        popped = [buffers.pop() for _ in kept]
        self.assertCountEqual(map(id, kept), map(id, popped))
        self.assertIsNone(buffers.pop())

    def test_flooded_socket_delays_others_by_one_packet(self):
        # Guards against the full quantum for a socket that is never empty: each
        # packet of another service would wait for a whole quantum.
        buffers = RoundRobinBuffers()
        for _ in range(BUFFER_PACKETS):
            buffers.push(SimulatedPacket(LABEL, 0.0))
        buffers.push(SimulatedPacket(MEAL, 0.0))
        order = [buffers.pop().service for _ in range(QUANTUM_PACKETS)]
        self.assertThat(order.index(MEAL), LessThan(2))

    def test_wait_grows_with_the_packets_ahead(self):
        # Guards against a simulated balancer that forwards more packets per
        # second than its packet rate.
        packets = [SimulatedPacket(LABEL, 0.0) for _ in range(10)]
        waits = [
            wait
            for _, wait in simulate_forwarding(
                packets, 100.0, RoundRobinBuffers()
            )
        ]
        for place, wait in enumerate(waits):
            self.assertAlmostEqual(place / 100.0, wait)
