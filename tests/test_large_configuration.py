"""Tests of the largest configurations that the platform's store can hold."""

import json
import random
import string

from platformstore import make_configuration, make_route
from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.delta import (
    apply_delta,
    digest_document,
    make_delta,
    pack_document,
    unpack_document,
)
from jujuberun.generations import MAX_BASE_BYTES, Generations, OfferResult
from jujuberun.link import MAX_FRAME_BYTES
from jujuberun.manifest import parse_manifest

from adapter.documents import translate_configuration  # isort: skip

VALUE_BYTES = 1_048_576  # maximum size of a value in the store


def make_address(number):
    return f"198.{18 + number // 62_500}.{number // 250 % 250}.{number % 250}"


def make_smallest_route(number):
    """Returns a route with all fields that matter, as short as they can be."""
    return {
        "Name": f"{number:x}",
        "Host": make_address(number),
        "Prefix": "/1/",
        "RouteType": "upload",
        "TimeoutMs": 1,
        "SloMs": 1,
        "Priority": 0,
        "Service": "a",
    }


def make_usual_route(number):
    return make_route(f"r-{number:05d}", make_address(number))


def make_random_route(number):
    """Returns a route that cannot be compressed well."""
    rng = random.Random(number)
    name = "".join(rng.choices(string.ascii_letters + string.digits, k=60))
    return make_route(name, make_address(number), Service=name[::-1])


def fill_value(build_route, version=7):
    """Returns a configuration that is nearly as large as a value may be."""
    routes, size = [], 300
    while True:
        route = build_route(len(routes))
        size += len(json.dumps(route, separators=(",", ":"))) + 1
        if size > VALUE_BYTES:
            break
        routes.append(route)
    document = make_configuration(version, *routes)
    data = json.dumps(document, separators=(",", ":")).encode()
    assert VALUE_BYTES - 1_000 < len(data) <= VALUE_BYTES
    return data, len(routes)


class LargestConfigurationTest(TestCase):
    def test_largest_configuration_is_in_force(self):
        # Guards against a configuration that the store has confirmed and that
        # each balancer refuses for its size, and all later ones with it.
        for build in (make_usual_route, make_smallest_route, make_random_route):
            value, count = fill_value(build)
            data = translate_configuration(value, 3)
            manifest = parse_manifest(data).unwrap()
            self.assertEqual((7, count), (7, len(manifest.services)))

    def test_largest_configuration_reaches_peers(self):
        # Guards against a manifest that is in force where it was read, and
        # that is too large for the transfer to the other balancers.
        for build in (make_usual_route, make_smallest_route, make_random_route):
            base = translate_configuration(fill_value(build)[0], 0)
            routes = [build(number) for number in range(100)]
            value = json.dumps(make_configuration(8, *routes)).encode()
            for data in (base, translate_configuration(value, 0)):
                digest = digest_document(data)
                packed = pack_document(data)
                self.assertThat(len(packed), LessThan(MAX_FRAME_BYTES // 2))
                self.assertEqual(data, unpack_document(packed, digest).unwrap())
                delta = make_delta(base, data)
                self.assertThat(len(delta), LessThan(MAX_FRAME_BYTES // 2))
                self.assertEqual(
                    data, apply_delta(base, delta, digest).unwrap()
                )

    def test_replaced_large_manifests_are_dropped(self):
        # Guards against a balancer that runs out of memory in a series of
        # changes of a large configuration.
        generations = Generations()
        routes = [make_usual_route(number) for number in range(3_000)]
        for version in range(1, 8):
            document = make_configuration(version, *routes)
            data = translate_configuration(json.dumps(document).encode(), 0)
            result = generations.offer(data, "platform", float(version))
            self.assertEqual(OfferResult.IN_FORCE, result.unwrap())
        kept = [v.text for v in generations._versions[:-1]]
        self.assertThat(sum(map(len, kept)), LessThan(MAX_BASE_BYTES))
        self.assertTrue(kept)
