import anyio
from fleet import make_manifest, make_vms
from testtools import TestCase

from jujuberun.delta import digest_document, make_delta, pack_document
from jujuberun.errors import LinkError
from jujuberun.generations import Generations, OfferResult
from jujuberun.ids import VmId
from jujuberun.members import Members
from jujuberun.source import DocumentKind
from jujuberun.transfer import Transfer
from jujuberun.wire import (
    Document,
    Fetch,
    FetchHistory,
    History,
    HistoryEntry,
    ProbeReply,
)

PEER = ("127.0.0.1", 7100)


class FakeLink:
    """Returns the same preset reply to each call."""

    def __init__(self):
        self.handlers = {}
        self.reply = None

    def register_handler(self, kind, handler):
        self.handlers[kind] = handler

    async def call(self, address, message, timeout):
        return self.reply


class TransferTest(TestCase):
    def setUp(self):
        super().setUp()
        self.link = FakeLink()
        self.generations = Generations()
        self.members = Members(VmId("vm-0"))
        stores = {
            DocumentKind.MANIFEST: self.generations,
            DocumentKind.VMS: self.members,
        }
        self.transfer = Transfer(
            self.link, self.generations, stores, lambda: 100.0
        )
        self.generations.offer(make_manifest(1), "platform", 90.0)
        self.generations.offer(make_manifest(2), "platform", 95.0)
        self.members.offer(make_vms(4), "platform", 95.0)

    def fetch(self, reply):
        self.link.reply = reply
        return anyio.run(self.transfer.fetch, DocumentKind.MANIFEST, PEER)

    def serve(self, message):
        handler = self.link.handlers[type(message)]
        return anyio.run(handler, message, PEER)

    def test_wrong_replies_change_nothing(self):
        # Guards against an invalid reply of a peer (damaged, with an unknown
        # base or with other content) that raises an unexpected exception or
        # whose document is accepted.
        text, base = make_manifest(3), make_manifest(1)
        digest = digest_document(text)
        delta = make_delta(base, text)
        other = digest_document(b"other")
        for reply in (
            Document("manifest", 3, other, b"", pack_document(text)),
            Document("manifest", 3, digest, other, delta),
            Document("manifest", 3, None, b"", pack_document(text)),
            Document("manifest", 3, digest, b"", b"damaged"),
            Document("manifest", 3, digest_document(b"{"), b"", b"{"),
        ):
            self.assertTrue(self.fetch(reply).is_err(), reply)
        self.assertRaises(LinkError, self.fetch, ProbeReply(1, False))
        self.assertEqual(2, self.generations.position)
        empty = Document("manifest", 3, digest, b"", b"")
        self.assertEqual(OfferResult.KNOWN, self.fetch(empty).ok())
        right = Document("manifest", 3, digest, digest_document(base), delta)
        self.assertEqual(OfferResult.IN_FORCE, self.fetch(right).ok())

    def test_history_with_missing_fields(self):
        # Guards against a reply with missing fields that raises an exception
        # other than LinkError, which would end the task that fetches it.
        self.link.reply = History(None, False)
        self.assertFalse(anyio.run(self.transfer.fetch_history, PEER))
        self.link.reply = History([HistoryEntry(None, 1, 2)], True)
        self.assertRaises(
            LinkError, anyio.run, self.transfer.fetch_history, PEER
        )

    def test_serves_delta_or_whole_document(self):
        base = digest_document(make_manifest(1))
        reply = self.serve(Fetch("manifest", 1, base))
        self.assertEqual(base, reply.base)
        reply = self.serve(Fetch("manifest", 1, b"unknown"))
        self.assertEqual(b"", reply.base)
        self.assertEqual(b"", self.serve(Fetch("vms", 1, b"")).data)
        self.assertEqual(1, self.serve(Fetch("vms", 0, b"")).index)

    def test_serves_history_with_ages(self):
        reply = self.serve(FetchHistory(self.generations.text_digest))
        (entry,) = reply.entries
        self.assertEqual((10_000, 5_000), (entry.since, entry.replaced))
        self.assertFalse(reply.complete)
