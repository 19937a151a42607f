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
    def test_states_match_log_of_all_messages(self, events):
        # Guards against a wrong state of a peer: compares the state, which
        # keeps one time only, with a log of all unanswered messages.
        peer, unanswered, now = Peer(ADDRESS), [], 0.0
        for sent, passed in events:
            now += passed / 10
            if sent:
                peer.note_sent(now)
                unanswered.append(now)
            else:
                peer.note_received(now)
                unanswered.clear()
            silent = now - unanswered[0] if unanswered else 0.0
            bounds = (
                (5.0, PeerState.GONE),
                (1.0, PeerState.SUSPECTED),
                (0.5, PeerState.SILENT),
                (0.0, PeerState.ALIVE),
            )
            expected = next(state for at, state in bounds if silent >= at)
            self.assertEqual(expected, peer.get_state(now))
            self.assertEqual(silent >= 1.0, peer.is_suspected(now))


class PeersTest(TestCase):
    def test_gone_peers_are_probed(self):
        # Guards against a peer that stays gone for good: no service traffic
        # goes to such a peer, so only a probe makes it answer.
        peers, codec = make_peers()
        peers.find(ADDRESS).note_sent(0.0)
        for tick in range(80):
            peers.check_silence(tick / 4)
        bodies = [
            find_body(codec.open(data, read_sent_time(data, codec)).unwrap())
            for data in peers.port.sent
        ]
        self.assertEqual({Probe}, set(map(type, bodies)))
        # A probe at each check until the peer is gone at 5 s, then every 5 s.
        self.assertEqual(18 + 3, len(bodies))

    def test_pause_resets_silence(self):
        # Guards against peers that count as gone after a pause of this
        # process, during which it received no messages.
        peers, _ = make_peers()
        peer = peers.find(ADDRESS)
        peer.note_sent(0.0)
        peers.note_pause(600.0)
        self.assertEqual(PeerState.ALIVE, peer.get_state(600.0))

    def test_process_survives_invalid_fields(self):
        # Guards against a daemon that stops when a handler raises on an
        # invalid field of a peer's message.
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
        # Guards against a daemon that stops at a message with a missing field.
        peers, codec = make_peers()
        handled = []
        peers.register(Hint, lambda m, a, now: handled.append(len(m.caller)))
        now_ms = 1_700_000_000_000
        data = codec.seal(Hint(), peers.address, now_ms)
        peers.accept(data, ADDRESS, 0.0, now_ms)
        peers.accept(data, ADDRESS, 0.0, now_ms)
        self.assertEqual({"incomplete": 1, "replay": 1}, dict(peers.refused))
        self.assertEqual([], handled)


def read_sent_time(data, codec):
    """Returns the time at which a message was sealed, in milliseconds."""
    return decode(Envelope, data[MAC_BYTES:]).sent
