"""Tests of odd entries that other writers leave in the platform's store."""

import contextlib
import ipaddress
import json

import anyio
from hypothesis import example, given, settings
from hypothesis import strategies as st
from network import run_virtual
from packetpath import PORT, Caller, Fleet, make_vm
from platformstore import (
    AGENT_PORT,
    FakeStore,
    make_configuration,
    make_entry,
    make_route,
)
from test_restored_store import run_fleet
from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.delta import MAX_DOCUMENT_BYTES
from jujuberun.documents.recent_texts import MAX_BYTES, RecentTexts
from jujuberun.draining.drain_list import parse_drain_list
from jujuberun.errors import SourceError
from jujuberun.ids import VmId, VmState
from jujuberun.manifest import parse_manifest
from jujuberun.members import Members
from jujuberun.source import DocumentKind
from jujuberun.vm_list import parse_vm_list

from adapter.documents import StoreEntry, translate_configuration  # isort: skip
from adapter.positions import Position  # isort: skip
from adapter.targets import translate_registrations  # isort: skip

# A target that leaves must be known to leave within this time.
DRAIN_S = 3.0
LONE = "\ud800"
ODD_ENTRIES = [
    make_entry(service=LONE),
    make_entry(service="x" * 5_000),
    make_entry(service="x y"),
    make_entry(service="x" * 1_000_000),
    make_entry(Zone=LONE),
    make_entry(Zone="z" * 5_000),
    make_entry(Zone="a\n"),
    make_entry(born=10**4_000),
    make_entry(born=-(10**4_000)),
    make_entry(Address="0.0.0.0:8165"),
    make_entry(Address="255.255.255.255:8165"),
    make_entry(Address="224.0.0.1:8165"),
    make_entry(Address="10.2.0.1:99999"),
    make_entry(Slots=10**400),
    make_entry(WarmupLeftMs=10**400),
    b'{"Service":' + b"[" * 100_000,
]
ODD_KEYS = [
    "servers/",
    f"servers/{LONE}",
    "servers/" + "i" * 5_000,
    "servers/other/i-1",
    "servers/a\nb",
]


def list_entries(values):
    """Returns entries of the store by pairs of key and value."""
    return [
        StoreEntry(
            key,
            value if isinstance(value, bytes) else json.dumps(value).encode(),
            Position(0, 5),
        )
        for key, value in values
    ]


def translate(*values):
    """Returns the VMs that result from pairs of key and value."""
    data = translate_registrations(list_entries(values), 1, 0, AGENT_PORT, 0.0)
    return parse_vm_list(data).unwrap().vms


class OddRegistrationTest(TestCase):
    def test_odd_entry_stops_no_balancer(self):
        # Guards against an entry that ends each process that reads the list,
        # or that makes it refuse the list and all later ones.
        cases = [("servers/odd", entry) for entry in ODD_ENTRIES]
        cases += [(key, make_entry("10.2.0.9")) for key in ODD_KEYS]
        for key, entry in cases:

            async def scenario(fleet, key=key, entry=entry):
                fleet.store.put("servers/i-1", make_entry())
                await anyio.sleep(1.0)
                fleet.store.put(key, entry)
                await anyio.sleep(1.0)
                leaving = make_entry(state="draining")
                fleet.store.put("servers/i-1", leaving)
                await anyio.sleep(DRAIN_S)
                return [
                    {
                        name: vm.state
                        for name, vm in node.members.current.vms.items()
                    }
                    for node in fleet.nodes.values()
                ]

            found = run_fleet(scenario, size=2)
            self.assertEqual([{"i-1": VmState.LEAVING}] * 2, found, key[:40])

    def test_odd_key_at_the_end_of_a_page_ends_no_read(self):
        # Guards against a key that cannot be passed on to the store as the
        # start of the next page, and against a page that is read for ever.
        async def scenario(fleet):
            for key in ("", LONE, "i-1", "\ud801", "\ufffd", "\ufffd\ufffd"):
                fleet.store.put(f"servers/{key}", make_entry())
                fleet.store.put(f"op/evacuate/{key}", {})
            fleet.add(9, ())
            await anyio.sleep(2.0)
            node = fleet.nodes[max(fleet.nodes)]
            return set(node.members.current.vms), node.drains.domains

        targets, domains = run_fleet(scenario, size=1)
        self.assertIn("i-1", targets)
        self.assertIn("i-1", domains)
        self.assertNotIn(LONE, targets | domains)

    def test_key_that_is_no_text_ends_the_list(self):
        store = FakeStore()
        for key in ("i-1", "i-2", "\ufffd"):
            store.put(f"servers/{key}", make_entry())
        read_page = store._read_page

        def read_again(query):
            # The bytes of the last key come after the text that stands for it.
            found = read_page(query)
            if query.get("after") == "servers/\ufffd":
                found = {"items": [store.items["servers/\ufffd"]]}
            return {**found, "HasMore": True}

        store._read_page = read_again

        async def run():
            with anyio.fail_after(5):
                return await store.make_source().fetch(DocumentKind.VMS, 0, 0)

        vms = parse_vm_list(run_virtual(run).data).unwrap().vms
        self.assertEqual({"i-1", "i-2", "\ufffd"}, set(vms))

    def test_odd_item_of_an_answer_does_not_stop_the_others(self):
        # Guards against changes that are never read because an item of the same
        # answer cannot be read: a target that drains got flows until its end,
        # a drained domain too, and the next configuration came too late.
        odd = (
            {"Value": "%"},
            {"Value": 7},
            {"Value": None},
            {"Revision": "x"},
            {"Key": 7},
        )
        for changes in odd:
            config, vms, drains = run_virtual(
                lambda changes=changes: self.read_changes(changes)
            )
            self.assertEqual(8, parse_manifest(config).unwrap().generation)
            found = parse_vm_list(vms).unwrap().vms.values()
            self.assertEqual({VmState.LEAVING}, {vm.state for vm in found})
            self.assertIn(b'"a"', drains)

    async def read_changes(self, odd):
        """Reads documents whose changes follow an odd item of one answer."""
        store = FakeStore()
        store.put("op/config", make_configuration(7))
        store.put("servers/i-2", make_entry("10.2.0.2"))
        find_events = store._find_events

        def find_odd_events(prefix, after):
            events = [dict(event) for event in find_events(prefix, after)]
            if events:
                events[0].update(odd)
            return events

        store._find_events = find_odd_events
        source = store.make_source()
        manifest = await source.fetch(DocumentKind.MANIFEST, 0, 0.1)
        vms = await source.fetch(DocumentKind.VMS, 0, 0.1)
        store.put("op/a", {})
        store.put("op/evacuate/a", {})
        store.put("op/config", make_configuration(8))
        store.put("servers/a", {})
        store.put("servers/i-2", make_entry("10.2.0.2", "draining"))
        found = []
        for kind, before in (
            (DocumentKind.MANIFEST, manifest.index),
            (DocumentKind.VMS, vms.index),
            (DocumentKind.DRAINS, 0),
        ):
            document = None
            for _ in range(3):
                with contextlib.suppress(SourceError):
                    document = await source.fetch(kind, before, 0.1)
                if document is not None:
                    break
            found.append(b"" if document is None else document.data)
        return found

    def test_odd_part_of_a_route_or_of_the_limits_does_not_stop_it(self):
        # Guards against a configuration, or a route, that is refused for one
        # part of it.
        shares = [
            {"Service": "counts", "Weight": 1},
            {"Service": "no name", "Weight": 1},
            {"Service": "sheets", "Weight": "x"},
            7,
        ]
        route = make_route(Service=None, WeightedServices=shares)
        document = make_configuration(7, route)
        for limits in ([], "x", 7, True, [{"IdleTimeoutMs": 1}]):
            document["Limits"] = limits
            text = translate_configuration(json.dumps(document).encode(), 1)
            (service,) = parse_manifest(text).unwrap().services.values()
            self.assertEqual(["counts"], [s.pool for s in service.pools])

    def test_entry_below_another_key_does_not_replace_a_target(self):
        # Guards against "servers/x/i-1", which was taken for target i-1.
        other = make_entry("10.9.9.9")
        vms = translate(("servers/i-1", make_entry()), ("servers/x/i-1", other))
        self.assertEqual({"i-1"}, set(vms))
        self.assertEqual(("10.2.0.1", AGENT_PORT), vms["i-1"].peer)

    def test_entries_of_another_fleet_displace_no_target(self):
        # Guards against a list that is refused because many other entries make
        # it too large.
        others = [
            (f"servers/a-{n:05d}", make_entry(service="other", Zone="z" * 200))
            for n in range(10_000)
        ]
        targets = [(f"servers/i-{n}", make_entry()) for n in range(100)]
        entries = list_entries([*others, *targets])
        data = translate_registrations(entries, 1, 0, AGENT_PORT, 0.0)
        self.assertThat(len(data), LessThan(MAX_DOCUMENT_BYTES + 1))
        vms = parse_vm_list(data).unwrap().vms
        self.assertEqual(set(), {f"i-{n}" for n in range(100)} - set(vms))
        self.assertThat(1_000, LessThan(len(vms)))

    def test_recent_lists_take_a_bounded_space(self):
        texts = RecentTexts()
        digests = [texts.add(b"%d" % n * (MAX_BYTES // 3)) for n in range(8)]
        kept = [d for d in digests if texts.find(d) is not None]
        self.assertEqual(digests[-3:], kept)
        large = texts.add(b"x" * (2 * MAX_BYTES))
        self.assertIsNotNone(texts.find(large))
        self.assertIsNone(texts.find(digests[-1]))


class BalancerAddressTest(TestCase):
    def test_target_at_the_address_of_a_balancer_is_left_out(self):
        members = Members(VmId("b-1"), lambda: {"10.1.0.1"})
        values = [
            ("servers/i-1", make_entry()),
            ("servers/odd", make_entry("10.1.0.1")),
        ]
        data = translate_registrations(
            list_entries(values), 1, 0, AGENT_PORT, 0.0
        )
        members.offer(data, "platform", 0.0)
        self.assertEqual({"i-1"}, set(members.current.vms))

    def test_packets_do_not_circulate_between_balancers(self):
        # Guards against registrations at the addresses of two balancers, for
        # which these send the packets of a flow to each other without end.
        fleet = Fleet(balancers=2, targets=1)
        fleet.vms += [
            make_vm(balancer.host, name=f"odd-{balancer.host}")
            for balancer in fleet.balancers
        ]
        fleet.distribute_config()
        caller = Caller(fleet.net, 1)
        caller.accepted = 7
        caller.send_request(fleet.balancers[0])
        fleet.run(1.0)
        self.assertThat(fleet.net.sent_count, LessThan(60))
        start = Caller(fleet.net, 2)
        start.start(fleet.balancers[0])
        fleet.run(0.3)
        self.assertIsNotNone(start.accepted)
        self.assertEqual(1, len(fleet.targets[0].opened_at))


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from([LONE, "x" * 3_000, 10**400, -1, "0.0.0.0:1"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=5,
)
HOSTS = st.sampled_from(
    ["0.0.0.0", "255.255.255.255", "239.0.0.1", "10.1.0.0", "10.9.0.7"]
)
ENTRIES = st.builds(
    lambda host, changes: make_entry(host, **changes),
    HOSTS,
    st.dictionaries(st.sampled_from(list(make_entry())), JSON_VALUES),
)
KEYS = st.text(max_size=6) | st.sampled_from([LONE, "x" * 300, "i/0", "0"])


class OddEntryPathTest(TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(KEYS, ENTRIES), min_size=1, max_size=3))
    @example([("odd", make_entry("255.255.255.255"))])
    def test_flows_open_whatever_other_writers_register(self, odd):
        # Guards against an entry that ends a process or a packet's handling at
        # the last place that uses it.
        fleet = Fleet(balancers=2, targets=2)
        hosts = {balancer.host for balancer in fleet.balancers}
        values = [
            (f"servers/{target.host}", make_entry(target.host))
            for target in fleet.targets
        ]
        values += [(f"servers/{key}", value) for key, value in odd]
        entries = list_entries(values)
        for balancer in fleet.balancers:
            members = Members(VmId(balancer.host), lambda: hosts)
            text = translate_registrations(entries, 1, 0, PORT, 0.0)
            members.offer(text, "platform", 0.0).unwrap()
            balancer.relay.apply_vm_list(members.current, fleet.net.now)
        addresses = set()

        def record(data, sender, address):
            addresses.add(address)
            return False

        fleet.net.is_lost = record
        callers = [Caller(fleet.net, number) for number in range(1, 6)]
        for caller in callers:
            caller.start(fleet.balancers[0])
        fleet.run(0.4)
        for caller in callers:
            self.assertIsNotNone(caller.accepted)
            caller.send_request(fleet.balancers[1])
        fleet.run(0.3)
        self.assertEqual([1] * 5, [caller.answers for caller in callers])
        for balancer in fleet.balancers:
            self.assertEqual(0, balancer.relay.counts["failed"])
        for host, port in addresses - {("router", 1)}:
            address = ipaddress.IPv4Address(host)
            self.assertFalse(address.is_multicast or address.is_reserved)
            self.assertFalse(address.is_unspecified or not 0 < port < 65_536)


class PeerTextTest(TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.dictionaries(
            st.sampled_from(
                ["index", "vms", "epoch", "domains", "generation", "services"]
            ),
            JSON_VALUES | st.lists(JSON_VALUES, max_size=3),
        )
    )
    @example({"index": float("inf"), "vms": [], "epoch": 0})
    @example({"index": 1, "vms": [], "epoch": float("nan")})
    @example({"index": 1, "domains": [LONE]})
    def test_texts_of_peers_end_no_process(self, document):
        # Guards against a number out of range, for which the parser raised an
        # OverflowError that ended the process.
        data = json.dumps(document).encode()
        for parse in (parse_vm_list, parse_drain_list, parse_manifest):
            parse(data)
        Members(VmId("b-1")).offer(data, "10.1.0.2:7720", 0.0)


class OddRouteTest(TestCase):
    def test_odd_route_does_not_stop_the_others(self):
        # Guards against one route for which each balancer refuses the version,
        # and all later ones that contain it.
        share = {"Service": "a", "Weight": float("inf")}
        for changes in (
            {"Service": None, "WeightedServices": [share]},
            {
                "Service": None,
                "WeightedServices": [{**share, "Weight": 1}] * 101,
            },
            {"Service": None},
            {"Service": LONE},
            {"Service": "x y"},
            {"Prefix": "/x/"},
            {"Prefix": "/99999/"},
            {"Host": "example.org"},
            {"Host": None},
        ):
            odd = make_route("r-2", port=8443, **changes)
            document = make_configuration(7, make_route(), odd)
            data = json.dumps(document).encode()
            manifest = parse_manifest(translate_configuration(data, 0)).unwrap()
            self.assertEqual({"r-1"}, set(manifest.services), changes)

    def test_routes_of_one_name_are_all_in_force(self):
        # Guards against an added route that is not served, because another
        # one has its name: callers know only the addresses.
        routes = [
            make_route(port=443),
            make_route(port=444),
            make_route(port=445, Name=None),
            make_route(port=446, Name="x" * 64),
        ]
        data = json.dumps(make_configuration(7, *routes)).encode()
        manifest = parse_manifest(translate_configuration(data, 0)).unwrap()
        ports = [s.address[1] for s in manifest.services.values()]
        self.assertEqual([443, 444, 445, 446], ports)

    def test_odd_time_stands_for_the_default(self):
        for value in (10**400, -1, "soon", None, True, 86_400_001):
            document = make_configuration(7, make_route(SloMs=value))
            document["Limits"]["IdleTimeoutMs"] = value
            data = json.dumps(document).encode()
            manifest = parse_manifest(translate_configuration(data, 0)).unwrap()
            (service,) = manifest.services.values()
            self.assertEqual((0, 0), (service.objective, service.idle_timeout))

    def test_configuration_without_a_valid_route_is_refused(self):
        for routes in ([], [make_route(Prefix="/x/")], [7], 7, None):
            document = {**make_configuration(7), "Routes": routes}
            data = json.dumps(document).encode()
            self.assertRaises(SourceError, translate_configuration, data, 0)
