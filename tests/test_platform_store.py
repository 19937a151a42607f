"""Tests of the adapter's store client and of the translated documents."""

import json

import anyio
import testtools
from network import run_virtual
from platformstore import (
    AGENT_PORT,
    FakeStore,
    make_configuration,
    make_entry,
    make_route,
)

from jujuberun.errors import SourceError
from jujuberun.ids import PoolId, ServiceKind, Urgency, VmState
from jujuberun.manifest import parse_manifest
from jujuberun.source import DocumentKind
from jujuberun.vm_list import parse_vm_list

WAIT_S = 1.5


def read_vms(document):
    return parse_vm_list(document.data).unwrap().vms


class StoreTest(testtools.TestCase):
    def test_configuration_becomes_a_manifest(self):
        store = FakeStore()
        split = [
            {"Service": "counts", "Weight": 90},
            {"Service": "sheets", "Weight": 10},
        ]
        route = make_route("r-2", port=8443, Priority=1, WeightedServices=split)
        del route["Service"]
        store.put("op/config", make_configuration(7, make_route(), route))

        async def run():
            return await store.make_source().fetch(DocumentKind.MANIFEST, 0, 0)

        manifest = parse_manifest(run_virtual(run).data).unwrap()
        first, second = manifest.services.values()
        self.assertEqual(7, manifest.generation)
        self.assertEqual(("198.18.0.1", 443), first.address)
        self.assertEqual(15.0, first.idle_timeout)
        self.assertEqual(0.15, first.objective)
        self.assertEqual(1.0, first.time_limit)
        self.assertEqual(ServiceKind.IDEMPOTENT, first.kind)
        self.assertEqual(Urgency.NORMAL, second.urgency)
        shares = [(share.pool, share.weight) for share in second.pools]
        self.assertEqual([("counts", 90), ("sheets", 10)], shares)

    def test_unknown_limits_and_kinds_do_not_refuse_a_configuration(self):
        # Guards against a configuration that no balancer takes, for a value
        # that only orders starts under overload.
        for limit, kind in (
            (10**400, "x"),
            ("soon", None),
            (-1, []),
            (True, 1),
        ):
            store = FakeStore()
            route = make_route(TimeoutMs=limit, RouteType=kind)
            store.put("op/config", make_configuration(7, route))

            async def run(store=store):
                source = store.make_source()
                return await source.fetch(DocumentKind.MANIFEST, 0, 0)

            manifest = parse_manifest(run_virtual(run).data).unwrap()
            (service,) = manifest.services.values()
            self.assertEqual((0.0, None), (service.time_limit, service.kind))

    def test_route_with_a_duplicate_address_is_ignored(self):
        # Guards against refusing a whole configuration because two routes
        # have the same address.
        store = FakeStore()
        twice = make_route("r-2")
        store.put("op/config", make_configuration(7, make_route(), twice))

        async def run():
            return await store.make_source().fetch(DocumentKind.MANIFEST, 0, 0)

        manifest = parse_manifest(run_virtual(run).data).unwrap()
        self.assertEqual({"r-1"}, set(manifest.services))

    def test_watch_returns_the_newest_configuration(self):
        store = FakeStore()
        store.put("op/config", make_configuration(7))

        async def run():
            source = store.make_source()
            first = await source.fetch(DocumentKind.MANIFEST, 0, WAIT_S)
            same = await source.fetch(
                DocumentKind.MANIFEST, first.index, WAIT_S
            )
            self.assertIsNone(same)
            store.put("op/config", make_configuration(8))
            store.put("op/config", make_configuration(11))
            second = await source.fetch(
                DocumentKind.MANIFEST, first.index, WAIT_S
            )
            return parse_manifest(second.data).unwrap().generation

        self.assertEqual(11, run_virtual(run))

    def test_documents_are_read_again_after_history_was_dropped(self):
        store = FakeStore()
        store.put("op/config", make_configuration(7))
        store.put("servers/i-1", make_entry())

        async def run():
            source = store.make_source()
            first = await source.fetch(DocumentKind.MANIFEST, 0, WAIT_S)
            vms = await source.fetch(DocumentKind.VMS, 0, WAIT_S)
            store.put("op/config", make_configuration(9))
            store.put("servers/i-2", make_entry("10.2.0.2"))
            store.remove("servers/i-1")
            store.forget_history()
            second = await source.fetch(
                DocumentKind.MANIFEST, first.index, WAIT_S
            )
            vms = await source.fetch(DocumentKind.VMS, vms.index, WAIT_S)
            self.assertEqual({"i-2"}, set(read_vms(vms)))
            return parse_manifest(second.data).unwrap().generation

        self.assertEqual(9, run_virtual(run))

    def test_watch_continues_after_history_was_dropped(self):
        # Guards against a watch that keeps asking for history that the store
        # has dropped. The store would refuse it at once each time, which cost
        # two calls each half second.
        store = FakeStore()
        store.put("op/config", make_configuration(7))
        store.put("servers/i-1", make_entry())

        async def run():
            source = store.make_source()
            manifest = await source.fetch(DocumentKind.MANIFEST, 0, WAIT_S)
            vms = await source.fetch(DocumentKind.VMS, 0, WAIT_S)
            for number in range(5):
                store.put(f"other/{number}", b"x")
            store.forget_history()
            for _ in range(2):
                await source.fetch(
                    DocumentKind.MANIFEST, manifest.index, WAIT_S
                )
                found = await source.fetch(DocumentKind.VMS, vms.index, WAIT_S)
                vms = found or vms
            store.calls.clear()
            start = anyio.current_time()
            await source.fetch(DocumentKind.MANIFEST, manifest.index, WAIT_S)
            await source.fetch(DocumentKind.VMS, vms.index, WAIT_S)
            waited = anyio.current_time() - start
            return waited, [path for path, _ in store.calls]

        waited, calls = run_virtual(run)
        self.assertEqual(["/kv-watch", "/kv-watch"], calls)
        self.assertGreaterEqual(waited, 2 * WAIT_S)

    def test_registrations_become_vms(self):
        store = FakeStore()
        for number in range(5):
            entry = make_entry(f"10.2.0.{number}", Slots=number + 1)
            store.put(f"servers/i-{number}", entry)
        store.put("servers/i-5", make_entry("10.2.0.5", "draining"))

        async def run():
            return await store.make_source().fetch(DocumentKind.VMS, 0, 0)

        vms = read_vms(run_virtual(run))
        self.assertEqual({f"i-{n}" for n in range(6)}, set(vms))
        self.assertEqual(VmState.LEAVING, vms["i-5"].state)
        self.assertEqual(("10.2.0.3", AGENT_PORT), vms["i-3"].peer)
        self.assertEqual(4, vms["i-3"].target.slots)
        self.assertEqual(PoolId("counts"), vms["i-3"].target.pool)

    def test_malformed_registration_is_left_out(self):
        # Guards against losing the valid registrations because one of them is
        # malformed.
        malformed = [
            b"\xff\xfe",
            b"[]",
            b"{}",
            b"[" * 2000,
            make_entry(state="unknown"),
            make_entry(State=None),
            make_entry(State=["ready"]),
            make_entry(service=7),
            make_entry(service=""),
            make_entry(Address="host:80"),
            make_entry(Address="10.2.0.1"),
            make_entry(Address="10.2.0.1:0"),
            make_entry(Address=None),
            make_entry(Slots="2"),
            make_entry(Slots=True),
            make_entry(Slots=0),
            make_entry(Slots=10**9),
            make_entry(WarmupLeftMs=-1),
            make_entry(WarmupLeftMs="soon"),
            make_entry(WarmupLeftMs=float("nan")),
            make_entry(WarmupLeftMs=10**400),
            make_entry(Slots=float("inf")),
            make_entry(Zone={}),
            make_entry(Zone=None),
            make_entry(born="yesterday"),
            make_entry(born=1.5),
        ]
        for number, entry in enumerate(malformed):
            store = FakeStore()
            store.put("servers/bad", entry)
            store.put("servers/good", make_entry())

            async def run(store=store):
                return await store.make_source().fetch(DocumentKind.VMS, 0, 0)

            vms = read_vms(run_virtual(run))
            self.assertEqual({"good"}, set(vms), f"{number}: {entry!r}")

    def test_incomplete_answers_of_the_store_are_source_errors(self):
        # Guards against a daemon that ends because a field of the store's
        # answer is missing or has another type.
        store = FakeStore()
        store.put("servers/good", make_entry())
        store.put("op/config", make_configuration(7))
        damages = [
            {"items": None, "events": None},
            {"items": [7], "events": [7]},
            {"items": [{}], "events": [{}]},
            {"items": [{"Key": "k", "Value": "%", "Revision": 1}]},
            {"CurrentRev": "9"},
            {"CurrentRev": 1 << 80},
            {"CurrentRev": -1},
        ]
        reply = store._reply

        async def run():
            source = store.make_source()
            indexes = {}
            for kind in DocumentKind:
                indexes[kind] = (await source.fetch(kind, 0, 0)).index
            for damage in damages:
                store._reply = lambda document, status=200, damage=damage: (
                    reply(document | damage, status)
                )
                for kind in DocumentKind:
                    for index in (0, indexes[kind]):
                        await self.read_damaged(source, kind, index)

        run_virtual(run)

    def test_invalid_era_is_a_source_error(self):
        store = FakeStore()
        store.put("op/config", make_configuration(7))

        async def run():
            source = store.make_source()
            for era in ("", "x", "-1", "1.5", "9" * 5000, 1 << 40, "\xb2"):
                store.era = era
                with testtools.ExpectedException(SourceError):
                    await source.fetch(DocumentKind.MANIFEST, 0, 0)

        run_virtual(run)

    async def read_damaged(self, source, kind, index):
        try:
            await source.fetch(kind, index, 0.1)
        except SourceError as error:
            self.assertIn("store", str(error))

    def test_target_that_restarted_under_its_old_key_gets_a_new_id(self):
        store = FakeStore()
        store.put("servers/i-1", make_entry(born=1000))

        async def run():
            source = store.make_source()
            first = await source.fetch(DocumentKind.VMS, 0, 0)
            store.put("servers/i-1", make_entry(born=2000))
            second = await source.fetch(DocumentKind.VMS, first.index, WAIT_S)
            return set(read_vms(first)), set(read_vms(second))

        self.assertEqual(({"i-1@1000"}, {"i-1@2000"}), run_virtual(run))

    def test_store_faults_raise_an_error_in_time(self):
        for fault in ("silent", 429, 503):
            store = FakeStore()
            store.put("op/config", make_configuration(7))

            async def run(store=store, fault=fault):
                source = store.make_source()
                first = await source.fetch(DocumentKind.MANIFEST, 0, WAIT_S)
                vms = await source.fetch(DocumentKind.VMS, 0, WAIT_S)
                store.fault = fault
                start = anyio.current_time()
                for kind, index in (
                    (DocumentKind.MANIFEST, first.index),
                    (DocumentKind.VMS, vms.index),
                ):
                    with testtools.ExpectedException(SourceError):
                        await source.fetch(kind, index, WAIT_S)
                return anyio.current_time() - start

            # After a lost answer there must be time to read again within 3 s.
            self.assertLessEqual(run_virtual(run) / 2, WAIT_S + 1.0)

    def test_expired_entries_are_retained_after_an_outage(self):
        # Guards against a service without targets after an outage of the
        # store: entries expire during the outage, and the targets have not
        # registered again when the store answers again.
        store = FakeStore()
        store.put("servers/i-1", make_entry())
        store.put("servers/i-2", make_entry("10.2.0.2"))

        async def run():
            source = store.make_source()
            first = await source.fetch(DocumentKind.VMS, 0, WAIT_S)
            store.fault = 503
            start = anyio.current_time()
            while anyio.current_time() - start < 4.0:
                with testtools.ExpectedException(SourceError):
                    await source.fetch(DocumentKind.VMS, first.index, WAIT_S)
                await anyio.sleep(0.5)
            store.fault = None
            store.remove("servers/i-1")
            store.remove("servers/i-2")
            retained = await source.fetch(DocumentKind.VMS, 0, WAIT_S)
            store.put("servers/i-2", make_entry("10.2.0.2"))
            found = [retained]
            recovery = anyio.current_time()
            while anyio.current_time() - recovery < 3.0:
                index = found[-1].index
                document = await source.fetch(DocumentKind.VMS, index, WAIT_S)
                if document is not None:
                    found.append(document)
            return [(d.index, set(read_vms(d))) for d in found]

        found = run_virtual(run)
        self.assertEqual({"i-1", "i-2"}, found[0][1])
        self.assertEqual({"i-2"}, found[-1][1])
        indexes = [index for index, _ in found]
        self.assertEqual(sorted(set(indexes)), indexes)

    def test_entry_removed_without_an_outage_is_dropped_at_once(self):
        store = FakeStore()
        store.put("servers/i-1", make_entry())
        store.put("servers/i-2", make_entry("10.2.0.2"))

        async def run():
            source = store.make_source()
            first = await source.fetch(DocumentKind.VMS, 0, WAIT_S)
            store.remove("servers/i-1")
            return await source.fetch(DocumentKind.VMS, first.index, WAIT_S)

        self.assertEqual({"i-2"}, set(read_vms(run_virtual(run))))

    def test_numbers_out_of_range_affect_one_route(self):
        # Guards against an OverflowError that ends every balancer that reads
        # the store, and against a configuration that is refused for one route.
        for changes, services in (
            (
                {
                    "WeightedServices": [
                        {"Service": "a", "Weight": float("inf")}
                    ]
                },
                {"r-1"},
            ),
            ({"SloMs": 10**400}, {"r-1", "r-2"}),
        ):
            store = FakeStore()
            route = make_route("r-2", port=8443, **changes)
            if "WeightedServices" in changes:
                del route["Service"]
            store.put("op/config", make_configuration(7, make_route(), route))

            async def run(store=store):
                return await store.make_source().fetch(
                    DocumentKind.MANIFEST, 0, 0
                )

            manifest = parse_manifest(run_virtual(run).data).unwrap()
            self.assertEqual(services, set(manifest.services))

    def test_malformed_configuration_is_refused(self):
        for value in (
            b"{",
            [],
            {"Version": 3},
            make_configuration("new"),
            make_configuration(3, make_route(Prefix="/x/")),
            make_configuration(3, make_route(Host="example.org")),
        ):
            store = FakeStore()
            store.put("op/config", value)

            async def run(store=store):
                source = store.make_source()
                document = await source.fetch(DocumentKind.MANIFEST, 0, 0)
                return parse_manifest(document.data)

            try:
                refused = run_virtual(run).is_err()
            except SourceError:
                refused = True
            self.assertTrue(refused, json.dumps(repr(value)))
