"""Virtual time, manifests and VM lists for tests of whole fleets."""

import json

import anyio
import trio
from trio.testing import MockClock

# Makes the order of tasks within a scheduler step reproducible.
trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True


def run_virtual(test):
    """Runs a coroutine function in virtual time."""

    async def main():
        with anyio.fail_after(3600):
            await test()

    trio._core._run._r.seed(1)
    clock = MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})


def make_manifest(generation, slots=2):
    target = {"address": "127.0.0.1:80", "domain": "d0", "id": "t0"}
    target |= {"agent": "10.0.0.1:7100", "slots": slots}
    service = {"id": "s0", "address": "192.0.2.1:53", "urgency": "normal"}
    service |= {"headroom": 1, "protocol": "datagram", "first_packet": "any"}
    document = {
        "generation": generation,
        "services": [service | {"targets": ["t0"]}],
        "targets": [target | {"connection_limit": 9}],
    }
    return json.dumps(document).encode()


def make_address(number):
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7100


def make_vms(count, index=1, domains=4, balancers=8):
    vms = [
        {
            "id": f"vm-{number}",
            "role": "balancer" if number % balancers == 0 else "agent",
            "peer": ":".join(map(str, make_address(number))),
            "domain": f"d{number % domains}",
            "state": "live",
        }
        for number in range(count)
    ]
    return json.dumps({"index": index, "vms": vms}).encode()
