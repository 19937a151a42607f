"""Kernel parts for services whose flows are terminated by agents."""

import random
from collections.abc import Callable
from pathlib import Path

import anyio
from aioquic.quic.configuration import QuicConfiguration

from jujuberun.admission import Admission
from jujuberun.agent import Agent
from jujuberun.balancer import Balancer
from jujuberun.flows import DatagramFlow, Flow
from jujuberun.generations import Generations
from jujuberun.ids import Protocol, Role, ServiceId, VmState
from jujuberun.kernel import Kernel
from jujuberun.link import Link
from jujuberun.loads import TargetLoad
from jujuberun.manifest import Manifest, Service, Target
from jujuberun.members import Members
from jujuberun.offload import Offload
from jujuberun.peers import Peers
from jujuberun.port import SocketPort
from jujuberun.quic import load_server_tls
from jujuberun.runner import Runner
from jujuberun.settings import Settings
from jujuberun.streams import RequestFlow
from jujuberun.target_monitor import TargetMonitor
from jujuberun.vm_list import VmList
from jujuberun.wire import Cancel, Reserve, ReserveReply, Run


def add_request_role(
    kernel: Kernel, settings: Settings, manifest: Manifest
) -> None:
    """Adds the parts of a balancer, or of an agent with its runner.

    Args:
        kernel: kernel that has all parts except those of the role.
        settings: checked settings.
        manifest: the manifest in force.

    Raises:
        KeyError: the agent's target is not in the manifest.
        RequestError: the certificate cannot be read.
    """
    match settings.role:
        case Role.BALANCER:
            kernel.register(Balancer.from_config(settings, kernel))
        case Role.AGENT:
            _add_agent(kernel, settings, manifest)


def _add_agent(kernel: Kernel, settings: Settings, manifest: Manifest) -> None:
    rng = random.Random()
    name = settings.agent.target
    target = manifest.targets[name]
    peers: Peers = kernel.find("peers")
    generations: Generations = kernel.find("generations")
    members: Members = kernel.find("members")
    link: Link = kernel.find("link")
    target_monitor = TargetMonitor(name, peers, generations, members, rng)
    admission = Admission.from_config(target.slots, rng)
    runner = Runner.from_config(
        target, admission, target_monitor.record_exchange
    )

    def find_service(service_id: ServiceId) -> Service | None:
        service = generations.current.manifest.services.get(service_id)
        if service is None or name not in service.targets:
            return None
        return service

    offload = Offload(
        runner,
        link,
        peers.send,
        target_monitor.choose_peer_agents,
        find_service,
        anyio.current_time,
    )
    runner.use_offload(offload)
    runner.choose_place = target_monitor.choose_place
    link.register_handler(
        Run, lambda m, _: offload.handle_run(m, anyio.current_time())
    )
    peers.register(Reserve, offload.handle_reserve)
    peers.register(ReserveReply, lambda m, a, _: offload.handle_reply(m, a))
    peers.register(Cancel, lambda m, _, now: offload.handle_cancel(m, now))
    agent = Agent(
        name,
        peers,
        generations,
        target_monitor,
        _make_flow_opener(settings, runner),
    )

    def read_load() -> TargetLoad:
        return TargetLoad(admission.busy, admission.queued, agent.count_flows())

    def apply_vm_list(vm_list: VmList) -> None:
        own = vm_list.vms.get(settings.vm)
        if own is not None and own.state is VmState.LEAVING:
            agent.refuse_new_flows()
            runner.draining = True

    target_monitor.read_load = read_load
    target_monitor.is_draining = lambda: agent.draining
    members.subscribe(apply_vm_list)
    for part in (target_monitor, runner, offload, agent):
        kernel.register(part)


def _make_flow_opener(
    settings: Settings, runner: Runner
) -> Callable[[Service, Target, Callable[[bytes], None]], Flow]:
    """Returns a function that opens flows with the service's protocol."""
    tls: QuicConfiguration | None = None
    if settings.agent.certificate:
        tls = load_server_tls(
            Path(settings.agent.certificate),
            Path(settings.agent.private_key),
        )

    def open_flow(
        service: Service, target: Target, send: Callable[[bytes], None]
    ) -> Flow:
        match service.protocol:
            case Protocol.DATAGRAM:
                port = SocketPort.connect(target.address)
                idle_timeout = settings.agent.idle_timeout
                return DatagramFlow(
                    service, target.address, port, send, idle_timeout
                )
            case Protocol.REQUEST:
                if tls is None:
                    raise OSError(
                        0, "request flows need the setting agent.certificate"
                    )
                return RequestFlow.from_config(service, send, runner, tls)

    return open_flow
