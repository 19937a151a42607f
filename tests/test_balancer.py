import anyio
from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.balancer import Balancer
from jujuberun.generations import Generations
from jujuberun.limits import StartLimits
from jujuberun.manifest import dump_manifest
from jujuberun.peers import Peers
from jujuberun.port import SocketPort
from jujuberun.standin_manifest import make_manifest
from jujuberun.wire import Answer, Codec, Signer, pack_address

LIMIT = 10


class BalancerTest(TestCase):
    def test_cached_flows_of_all_addresses_are_bounded(self):
        # Guards against a bound that holds for each service address only:
        # with 980 addresses the cache outgrows the memory of the process.
        count = anyio.run(_count_cached_flows, 3)
        self.assertThat(count, LessThan(LIMIT + 1))


async def _count_cached_flows(services):
    manifest = make_manifest(services, 3)
    generations = Generations()
    generations.offer(dump_manifest(manifest), "platform", 0.0).unwrap()
    peers = Peers(SocketPort.bind(("127.0.0.1", 0)), Codec(Signer([b"k" * 16])))
    local = {
        service.address: ("127.0.0.1", 0)
        for service in manifest.services.values()
    }
    balancer = Balancer(
        peers,
        generations,
        SocketPort.bind,
        local,
        StartLimits.from_config(None),
        LIMIT,
    )
    async with anyio.create_task_group() as group:
        await group.start(balancer.run)
        await anyio.wait_all_tasks_blocked()
        for service in manifest.services.values():
            owner = service.targets[0]
            for number in range(LIMIT // 2):
                answer = Answer(
                    service.id,
                    pack_address(service.address),
                    owner,
                    pack_address((f"127.0.5.{1 + number}", peers.address[1])),
                    b"",
                )
                agent = manifest.targets[owner].agent
                balancer.handle_answer(answer, agent, 0.0)
        state = balancer.dump_state(0.0)["addresses"]
        group.cancel_scope.cancel()
    peers.port.close()
    return sum(entry["cached_flows"] for entry in state.values())
