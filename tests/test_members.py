import json

from fleet import make_address, make_vms
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from jujuberun.generations import OfferResult
from jujuberun.ids import VmId, VmState
from jujuberun.members import Members, choose_watchers
from jujuberun.vm_list import dump_vm_list, parse_vm_list

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["index", "vms", "id", "peer", "role"]), inner
        )
    ),
    max_leaves=8,
)


class MembersTest(TestCase):
    def test_index_never_goes_backwards(self):
        # Guards against a stale platform that replaces the VM list by an older
        # one, which would bring back VMs that are gone.
        members = Members(VmId("vm-1"))
        results = [
            members.offer(make_vms(count, index=index), "platform", 0.0)
            for count, index in ((4, 7), (5, 6), (4, 7), (5, 7), (6, 8))
        ]
        self.assertEqual(OfferResult.IN_FORCE, results[0].ok_value)
        self.assertEqual(OfferResult.OLDER, results[1].ok_value)
        self.assertEqual(OfferResult.KNOWN, results[2].ok_value)
        self.assertIn("other content", str(results[3].err_value))
        self.assertIn("index 7", members.refused[-1])
        self.assertEqual(OfferResult.IN_FORCE, results[4].ok_value)
        self.assertEqual(5, len(members.peers))
        self.assertNotIn(make_address(1), members.peers)

    def test_watchers(self):
        # Guards against a failure domain or role without watchers, against
        # watchers in state LEAVING, and against a number of watchers that grows
        # with the fleet.
        vm_list = parse_vm_list(make_vms(400, domains=3)).ok_value
        watchers = choose_watchers(vm_list)
        # There are 3 watchers for each of 2 roles in each of 3 domains.
        self.assertEqual(3 * 2 * 3, len(watchers))
        document = json.loads(make_vms(400, domains=3))
        for vm in document["vms"]:
            if vm["id"] in watchers:
                vm["state"] = VmState.LEAVING.value
        vm_list = parse_vm_list(json.dumps(document).encode()).ok_value
        self.assertEqual(18, len(choose_watchers(vm_list)))
        self.assertEqual(frozenset(), watchers & choose_watchers(vm_list))

    def test_dumped_list_is_parsed_to_the_same_list(self):
        vm_list = parse_vm_list(make_vms(9)).ok_value
        self.assertEqual(vm_list, parse_vm_list(dump_vm_list(vm_list)).ok_value)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(JSON)
    def test_malformed_lists_are_refused(self, document):
        # Guards against an exception on a malformed list, which would end the
        # task that reads the platform.
        members = Members(VmId("vm-1"))
        members.offer(json.dumps(document).encode(), "platform", 0.0)

    def test_vms_with_bad_peer_addresses_are_left_out(self):
        # Guards against host names in place of IPv4 addresses, for which each
        # datagram would resolve the name, and against one entry that keeps the
        # changes of all others from coming into force.
        good = make_vms(2).decode()
        (first, second) = parse_vm_list(good.encode()).unwrap().vms
        self.assertIn("10.0.0.0:7100", good)
        for peer in (
            "example.org:7100",
            "10.0.0.0",
            "10.0.0.0:0",
            "::1:9",
            "0.0.0.0:7100",
            "224.0.0.1:7100",
            "255.255.255.255:7100",
        ):
            text = good.replace("10.0.0.0:7100", peer).encode()
            vm_list = parse_vm_list(text).unwrap()
            self.assertEqual({second}, set(vm_list.vms), peer)
            self.assertEqual(1, vm_list.ignored)
            self.assertEqual(1, len(vm_list.vms))
        # Such deep nesting makes the JSON parser raise RecursionError.
        deep = b"[" * 100_000
        self.assertTrue(parse_vm_list(deep).is_err())
