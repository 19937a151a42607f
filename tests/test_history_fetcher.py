from types import SimpleNamespace

import anyio
from fleet import make_manifest
from network import run_virtual
from packetpath import make_service
from testtools import TestCase

from jujuberun.canonical import dump_manifest
from jujuberun.generations import Generations
from jujuberun.history_fetcher import HistoryFetcher
from jujuberun.manifest import Manifest


class HistoryFetcherTest(TestCase):
    def count_fetches(self, text):
        """Returns the history fetches of a process that missed manifests."""
        generations, fetches = Generations(), []

        async def fetch_history(peer):
            fetches.append(peer)
            return True

        async def main():
            transfer = SimpleNamespace(
                fetch_history=fetch_history, history_complete=True
            )
            fetcher = HistoryFetcher(transfer, generations)
            fetcher.start()
            generations.offer(text, "peer", 0.0)
            async with anyio.create_task_group() as group:
                group.start_soon(fetcher.run)
                fetcher.add_peer(("10.0.0.1", 7100))
                await anyio.sleep(5)
                self.assertFalse(fetcher.is_active)
                group.cancel_scope.cancel()

        run_virtual(main)
        return len(fetches)

    def test_peers_of_before_are_not_asked(self):
        # Guards against a history that stays incomplete, because a peer that
        # has missed the same manifests says that its own is complete.
        asked = []

        async def fetch_history(peer):
            asked.append(peer)
            return True

        async def main():
            transfer = SimpleNamespace(
                fetch_history=fetch_history, history_complete=True
            )
            generations = Generations()
            generations.offer(make_manifest(9), "peer", 0.0)
            fetcher = HistoryFetcher(transfer, generations)
            fetcher.add_peer(("10.0.0.1", 7100))
            async with anyio.create_task_group() as group:
                group.start_soon(fetcher.run)
                fetcher.start()
                await anyio.sleep(1)
                fetcher.add_peer(("10.0.0.2", 7100))
                await anyio.sleep(1)
                group.cancel_scope.cancel()

        run_virtual(main)
        self.assertEqual([("10.0.0.2", 7100)], asked)

    def test_owned_flows_need_the_history(self):
        self.assertEqual(1, self.count_fetches(make_manifest(9)))

    def test_packet_services_need_no_history(self):
        # Guards against fetching and parsing up to 16 manifests of 1,700
        # services at each start and at each skipped generation.
        service = make_service()
        manifest = Manifest(9, {service.id: service}, {})
        self.assertEqual(0, self.count_fetches(dump_manifest(manifest)))
