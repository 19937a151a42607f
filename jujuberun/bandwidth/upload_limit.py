"""Number of concurrent uploads that the link of a balancer takes.

Load: uploads through a link of 5 to 12 Mbit/s. Callers send packets again after
fixed times, whatever the round trip is, so a queue as long as the first of
these times fills the link with copies of packets that are not lost.
"""

# A caller has at most this many packets of this size in flight.
WINDOW_PACKETS = 16
PACKET_BYTES = 1_200
HEADER_BYTES = 32
LINK_BYTES_PER_BYTE = 1 + HEADER_BYTES / PACKET_BYTES
WINDOW_BYTES = WINDOW_PACKETS * PACKET_BYTES
# Bytes of a window on the link.
WINDOW_LINK_BYTES = WINDOW_PACKETS * (PACKET_BYTES + HEADER_BYTES)
# A caller sends a packet that was not confirmed again after this time.
FIRST_RESEND_S = 0.2
# The queue never exceeds half of the first resend time. The other half covers
# packets of other services, moved flows and the round trip.
MAX_QUEUE_S = FIRST_RESEND_S / 2
# Windows that fill the link for this time and one round trip keep it busy. A
# start and its confirmation both pass the queue, and have to arrive within the
# shortest timeout of an offer, 60 ms. With twice the queue, a third of the
# starts at links of 6 Mbit/s were offered again.
QUEUE_S = FIRST_RESEND_S / 8
# One window keeps a slow link busy, as its round trip is shorter than the time
# that the window takes.
MIN_UPLOADS = 1
# First flows of a service of which nothing is known. Beside the uploads in
# progress, a window of each fills the link for less than the first resend time.
MAX_TEST_QUEUE_S = FIRST_RESEND_S - QUEUE_S
# A VM with half a core forwards about 2,000 packets a second, so a process,
# which uses one core, 4,000. A faster link is not filled by uploads.
MAX_FORWARDED_PACKETS_PER_S = 4_000
MAX_LIMITED_RATE = (
    MAX_FORWARDED_PACKETS_PER_S * (PACKET_BYTES + HEADER_BYTES) * 8 / 1e6
)


def is_limited(link_rate: float) -> bool:
    """Returns whether uploads can fill a link.

    Args:
        link_rate: rate of the link in Mbit/s, 0 if unknown.
    """
    return 0 < link_rate <= MAX_LIMITED_RATE


def compute_test_limit(link_rate: float) -> int:
    """Returns how many flows of an unknown service may begin at a time.

    Args:
        link_rate: rate of the link in Mbit/s.
    """
    windows_per_s = link_rate * 1e6 / 8 / WINDOW_LINK_BYTES
    return max(1, int(windows_per_s * MAX_TEST_QUEUE_S))


def compute_upload_limit(link_rate: float, round_trip: float) -> int:
    """Returns the number of uploads at a time that a link takes.

    Args:
        link_rate: rate of the link in Mbit/s.
        round_trip: seconds from a packet's arrival at the balancer to the
            next packet of its caller, without queues; 0 if unknown.
    """
    windows_per_s = link_rate * 1e6 / 8 / WINDOW_LINK_BYTES
    most = max(1, int(windows_per_s * MAX_QUEUE_S))
    wanted = max(MIN_UPLOADS, int(windows_per_s * (QUEUE_S + round_trip)))
    return min(wanted, most)
