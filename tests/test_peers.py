from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from jujuberun.peers import Peer, Peers, PeerState
from jujuberun.wire import (
    MAC_BYTES,
    Codec,
    Envelope,
    Hint,
    Probe,
    Signer,
    decode,
    find_body,
)

ADDRESS = ("127.0.0.1", 7000)


class FakePort:
    address = ("127.0.0.1", 1)

    def __init__(self):
        self.sent = []

    def send(self, data, address):
        self.sent.append(data)
        return True


def make_peers():
    codec = Codec(Signer([b"k" * 16]))
    return Peers(FakePort(), codec), Codec(Signer([b"k" * 16]))


class PeerTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 30))))
    def test_as_naive_log(self, events):
        # Differential against a log of all packets.
        peer, unanswered, now = Peer(ADDRESS), [], 0.0
        for sent, passed in events:
            now += passed / 10
            if sent:
                peer.note_sent(now)
                unanswered.append(now)
            else:
                peer.note_heard(now)
                unanswered.clear()
            silent = now - unanswered[0] if unanswered else 0.0
            bounds = (
                (5.0, PeerState.GONE),
                (1.0, PeerState.SUSPECTED),
                (0.5, PeerState.SILENT),
                (0.0, PeerState.ALIVE),
            )
            expected = next(state for at, state in bounds if silent >= at)
            self.assertEqual(expected, peer.judge(now))
            self.assertEqual(silent >= 1.0, peer.is_suspected(now))


class PeersTest(TestCase):
    def test_gone_peers_are_probed(self):
        # Guards against a peer that stays gone because nobody sends to it.
        peers, codec = make_peers()
        peers.find(ADDRESS).note_sent(0.0)
        for tick in range(80):
            peers.check_silence(tick / 4)
        bodies = [
            find_body(codec.open(data, peers_clock(data, codec)).unwrap())
            for data in peers.port.sent
        ]
        self.assertEqual({Probe}, set(map(type, bodies)))
        # Each tick until it is gone after 5 s, then every 5 s.
        self.assertEqual(18 + 3, len(bodies))

    def test_pause_voids_silence(self):
        # Guards against peers that are gone after a pause of this process.
        peers, _ = make_peers()
        peer = peers.find(ADDRESS)
        peer.note_sent(0.0)
        peers.note_pause(600.0)
        self.assertEqual(PeerState.ALIVE, peer.judge(600.0))

    def test_bad_fields_end_no_process(self):
        # Guards against a daemon that ends at a peer's wrong field.
        peers, codec = make_peers()
        now_ms = 1_700_000_000_000
        for error in (KeyError, IndexError, ValueError, TypeError):

            def fail(message, sender, now, error=error):
                raise error("field")

            peers.register(Hint, fail)
            data = codec.seal(Hint(caller=b"x"), peers.address, now_ms)
            peers.accept(data, ADDRESS, 0.0, now_ms)
        self.assertEqual(4, peers.refused["incomplete"])

    def test_incomplete_message_is_counted(self):
        # Guards against a process that ends at a message without a field.
        peers, codec = make_peers()
        handled = []
        peers.register(Hint, lambda m, a, now: handled.append(len(m.caller)))
        now_ms = 1_700_000_000_000
        data = codec.seal(Hint(), peers.address, now_ms)
        peers.accept(data, ADDRESS, 0.0, now_ms)
        peers.accept(data, ADDRESS, 0.0, now_ms)
        self.assertEqual({"incomplete": 1, "replay": 1}, dict(peers.refused))
        self.assertEqual([], handled)


def peers_clock(data, codec):
    """Returns the wall clock at which a message was sealed."""
    return decode(Envelope, data[MAC_BYTES:]).sent
