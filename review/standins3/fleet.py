"""Stand-ins of the platform, its callers and its backends, on loopback.

The daemons under test run as separate processes, with the commands and the
settings templates of the deploy file. Everything here follows PROTOCOL.md.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
SYN, ACK, FIN, RST, BOUNCED = 64, 1, 16, 8, 128
HEADER = struct.Struct(">IIH4s4sHHBB4sI")
SECRET = b"known to callers and backends only"
HEARTBEAT_S = 1.2
START_COPIES_S = (0.2, 0.6)
START_LIMIT_S = 1.4
# A backend that has just started is slower by this factor for this time.
COLD_S = 2.0
COLD_RATIO = 1.6
MASK = (1 << 32) - 1


def make_sum(head: bytes, data: bytes) -> bytes:
    """Returns the keyed sum over all fields but echo, pad and BOUNCED."""
    plain = bytearray(head[:24])
    plain[22] &= ~BOUNCED
    plain[23] = 0
    return (zlib.crc32(SECRET + plain + data) or 1).to_bytes(4, "big")


def pack(source, target, flags, seq, ack=0, data=b""):
    """Returns a packet from source to target."""
    fields = [seq & MASK, ack & MASK, len(data)]
    fields += [socket.inet_aton(source[0]), socket.inet_aton(target[0])]
    fields += [target[1], source[1], flags, 0]
    head = HEADER.pack(*fields, b"\0\0\0\0", 0)
    return HEADER.pack(*fields, make_sum(head, data), 0) + data


class Packet:
    """A decoded packet."""

    def __init__(self, raw: bytes) -> None:
        """Decodes the header."""
        self.raw = raw
        head = HEADER.unpack_from(raw)
        self.seq, self.ack, self.size = head[:3]
        self.source = (socket.inet_ntoa(head[3]), head[6])
        self.target = (socket.inet_ntoa(head[4]), head[5])
        self.flags, self.pad, self.sum, self.echo = head[7:]
        self.data = raw[HEADER.size :]
        self.is_genuine = self.sum == make_sum(raw, self.data)


class Record:
    """Lines on what was sent, answered and run; written at the end."""

    def __init__(self) -> None:
        """Starts the clock of the record."""
        self.began = time.monotonic()
        self.lines: list[str] = []

    def write(self, text: str) -> None:
        """Adds a line with the time since the start."""
        self.lines.append(f"{time.monotonic() - self.began:9.3f} {text}")

    def save(self, path: Path) -> None:
        """Writes all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n")


class Store:
    """The platform's store; each balancer reaches it at an address of its own.

    The address tells which balancer made a call.
    """

    def __init__(self) -> None:
        """Starts empty, at a revision above 0."""
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 10
        self.watched_at: dict[str, float] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value) -> None:
        """Writes an item; the write counts as confirmed on return."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        made = self.items.get(key, {}).get("CreateRev", self.revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(data).decode(),
            "Revision": self.revision,
            "CreateRev": made,
            "Lease": 0,
        }
        self.items[key] = item
        self._add_event(item)

    def remove(self, key: str) -> None:
        """Removes an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        event = {"Key": key, "Revision": self.revision, "Removed": True}
        self._add_event(event)

    async def serve(self, host: str, port: int) -> None:
        """Serves calls at an address."""

        async def answer(reader, writer):
            try:
                await self._answer(host, reader, writer)
            except (OSError, EOFError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        await asyncio.start_server(answer, host, port)

    def _add_event(self, event: dict) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, host, reader, writer) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            parts = urlsplit(head.split(b" ")[1].decode())
            query = dict(parse_qsl(parts.query))
            status, body = await self._call(host, parts.path, query)
            body = {**body, "CurrentRev": self.revision}
            data = json.dumps(body).encode()
            await asyncio.sleep(0.004)
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            await writer.drain()

    async def _call(self, host, path, query):
        prefix = query.get("Prefix", "")
        if path == "/kv-key":
            item = self.items.get(query["Key"])
            return (404, {}) if item is None else (200, item)
        if path == "/kv-range":
            after = query.get("after", "")
            keys = [k for k in sorted(self.items) if k.startswith(prefix)]
            keys = [k for k in keys if k > after]
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "HasMore": len(keys) > 500}
        if path != "/kv-watch":
            return 404, {}
        self.watched_at[host] = time.monotonic()
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["Revision"] > int(query["after"])
                and event["Key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue


class Machine:
    """Runs a daemon of the system as the deploy file says."""

    def __init__(self, fleet, role: str, name: str, ip: str, **fields) -> None:
        """Renders the settings of a machine; does not start it."""
        self.fleet, self.name, self.ip = fleet, name, ip
        self.process = None
        ports = fleet.ports
        values = {
            "NodeName": name,
            "Zone": "zone-a",
            "Ip": ip,
            "PortRange": [ports["peer"], ports["peer"] + 15],
            "Seeds": fleet.seeds,
            "Limits": {"LinkMbps": 1000.0},
            "Bounds": {},
            "Listen": {
                "DatagramAddr": f"{ip}:{ports['packet']}",
                "Ready": f"{ip}:{ports['ready']}",
                "outbound": f"{ip}:{ports['outbound']}",
            },
            **fields,
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        entry = deploy["roles"][role]
        text = render((ROOT / entry["template"]).read_text(), values)
        self.settings = fleet.folder / f"{name}.toml"
        self.settings.write_text(text)
        words = entry["run"].split(" ")
        words = [
            w.replace("/etc/jujuberun/node.toml", "") or None for w in words
        ]
        self.command = [w or str(self.settings) for w in words]

    async def start(self) -> None:
        """Starts the process; its log goes to the folder of the fleet."""
        env = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        env["JUJUBERUN_CONFIG"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.fleet.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def kill(self) -> None:
        """Kills the process, as a loss of power does."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    def terminate(self) -> None:
        """Sends SIGTERM."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)

    async def is_ready(self) -> bool:
        """Returns whether the readiness check answers 200."""
        try:
            async with asyncio.timeout(0.45):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.fleet.ports["ready"]
                )
                try:
                    writer.write(
                        b"GET /health HTTP/1.1\r\nHost: b\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                    line = await reader.readline()
                finally:
                    writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


def render(text: str, values: dict) -> str:
    """Renders a settings template; see DEPLOY.md."""

    def find(name: str, scope):
        for part in name.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)] if int(part) < len(scope) else None
            else:
                scope = scope.get(part) if isinstance(scope, dict) else None
        return scope

    def expand(match):
        found, inner = find(match[1], values), match[2]
        if not isinstance(found, list):
            return render(inner, values) if found else ""
        parts = []
        for index, entry in enumerate(found):
            comma = "," if index + 1 < len(found) else ""
            part = inner.replace("{{.}}", str(entry))
            parts.append(part.replace("{{,}}", comma))
        return "".join(parts)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", expand, text, flags=re.S
    )

    def value(match):
        found = find(match[1], values)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class _Socket(asyncio.DatagramProtocol):
    def __init__(self, take) -> None:
        self.take = take

    def datagram_received(self, data, addr) -> None:
        self.take(data)

    def error_received(self, exc) -> None:
        pass


class BackendFlow:
    """A flow at its backend."""

    def __init__(self, packet: Packet) -> None:
        """Takes the start packet."""
        self.seq = random.getrandbits(32)
        self.expected = (packet.seq + 1) & MASK
        self.start = packet
        self.is_open = self.is_closed = False
        self.answers: list[bytes] = []
        self.sent = self.acked = 0


class Backend:
    """A backend beside an agent."""

    def __init__(
        self, fleet, name, ip, service, zone="zone-a", slots=2
    ) -> None:
        """Makes a backend that does not run yet."""
        self.fleet, self.name, self.ip = fleet, name, ip
        self.service, self.zone, self.slots = service, zone, slots
        self.flows: dict[tuple, BackendFlow] = {}
        self.state, self.number = "ready", 0
        self.work_s = 0.03
        self.clock_ahead_s = 0.0
        self._cold_until = 0.0
        self.born = 0
        self._semaphore = asyncio.Semaphore(slots)
        self._transport = None
        self._tasks: set[asyncio.Task] = set()
        # Called with the packet that opens a flow, and with each run.
        self.on_start = lambda backend, packet: None
        self.on_run = lambda backend, flow, text: None

    @property
    def app(self) -> tuple[str, int]:
        """Address at which the agent delivers packets."""
        return self.ip, self.fleet.ports["app"]

    async def run(self) -> None:
        """Starts the backend: binds its address and registers itself."""
        now = time.time() + self.clock_ahead_s
        self.born = int(now * 1000)
        self._cold_until = time.monotonic() + COLD_S
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Socket(self._take), local_addr=self.app
        )
        self.spawn(self._beat())

    def spawn(self, task) -> None:
        """Runs a coroutine as a task."""
        made = asyncio.get_running_loop().create_task(task)
        self._tasks.add(made)
        made.add_done_callback(self._tasks.discard)

    def make_entry(self) -> dict:
        """Returns the registration."""
        self.number += 1
        return {
            "Service": self.service,
            "Address": f"{self.ip}:{self.fleet.ports['app']}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "WarmupLeftMs": round(self._find_cold_time() * 1000),
            "Seq": self.number,
            "born": self.born,
        }

    def _find_cold_time(self) -> float:
        return max(0.0, self._cold_until - time.monotonic())

    def register(self) -> None:
        """Writes the registration to the store."""
        self.fleet.store.put(f"servers/{self.name}", self.make_entry())

    async def _beat(self) -> None:
        last = None
        while True:
            # The entry changes when more than the number of the beat does.
            entry = {**self.make_entry(), "Seq": 0}
            if entry != last:
                self.register()
                last = entry
            await asyncio.sleep(HEARTBEAT_S)

    def _send(self, data: bytes) -> None:
        self._transport.sendto(data, (self.ip, self.fleet.ports["outbound"]))

    def _write(self, text: str) -> None:
        self.fleet.record.write(f"{self.name} {text}")

    def _reply(self, flow: BackendFlow, flags, seq, data=b"") -> None:
        start = flow.start
        self._send(
            pack(start.target, start.source, flags, seq, flow.expected, data)
        )

    def _take(self, raw: bytes) -> None:
        packet = Packet(raw)
        key = packet.source, packet.target
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow.expected != (packet.seq + 1) & MASK:
                if flow is not None and flow.is_open:
                    flow = None
                if flow is None:
                    flow = self.flows[key] = BackendFlow(packet)
                    self._write(f"took a start of {packet.source[1]}")
                    self.on_start(self, packet)
            self._reply(flow, SYN | ACK, flow.seq)
            return
        if flow is not None and not flow.is_open:
            if packet.ack == (flow.seq + 1) & MASK:
                flow.is_open = True
            else:
                flow = None
        if flow is None:
            bounced = bytearray(raw)
            bounced[22] |= BOUNCED
            bounced[23] = 0
            self._send(bytes(bounced))
            return
        self._take_open(flow, packet)

    def _take_open(self, flow: BackendFlow, packet: Packet) -> None:
        if packet.flags & RST:
            flow.is_closed = True
            return
        reached = (packet.ack - flow.seq - 1) & MASK
        if reached <= flow.sent + 1:
            flow.acked = max(flow.acked, reached)
        if packet.data and packet.seq == flow.expected:
            flow.expected = (flow.expected + len(packet.data)) & MASK
            self.spawn(self._work(flow, packet.data.decode()))
        if packet.data:
            self._reply(flow, ACK, flow.seq + 1 + flow.sent)
        if packet.flags & FIN and not flow.is_closed:
            flow.is_closed = True
            flow.expected = (flow.expected + 1) & MASK
            self._reply(flow, ACK | FIN, flow.seq + 1 + flow.sent)

    async def _work(self, flow: BackendFlow, text: str) -> None:
        self._write(f"runs {text}")
        self.on_run(self, flow, text)
        async with self._semaphore:
            is_cold = self._find_cold_time() > 0
            await asyncio.sleep(self.work_s * (COLD_RATIO if is_cold else 1))
        data = f"done {text}".encode()
        at = flow.sent
        flow.sent += len(data)
        flags = ACK | FIN if self.state == "draining" else ACK
        wait = 0.2
        for _ in range(9):
            if flow.is_closed or flow.acked >= at + len(data):
                return
            self._reply(flow, flags, flow.seq + 1 + at, data)
            await asyncio.sleep(wait)
            wait = min(1.6, 2 * wait)


class Flow:
    """A flow at its caller."""

    def __init__(self, caller, service, port) -> None:
        """Makes a flow that is not open."""
        self.caller, self.service = caller, service
        self.address = (caller.ip, port)
        self.seq = random.getrandbits(32)
        self.sent = 0
        self.backend_seq = None
        self.received = b""
        self.is_ended = False
        self.read = 0
        self.reset_at = None
        self.opened_at = None
        self.start_sent_at = []
        self.changed = asyncio.Event()

    def _send(self, flags, seq, ack, data=b"") -> None:
        packet = pack(self.address, self.service, flags, seq, ack, data)
        self.caller.router.send(self, packet)

    async def open(self) -> str:
        """Opens the flow; returns open, reset or silent."""
        result = await self._open()
        self._write(f"start to {self.service[0]}:{self.service[1]}: {result}")
        return result

    async def request(self, text: str, limit: float = 4.0) -> str:
        """Sends a request; returns answered, reset or silent."""
        result = await self._request(text, limit)
        self._write(f"request {text}: {result}")
        return result

    def _write(self, text: str) -> None:
        self.caller.fleet.record.write(f"caller {self.address[1]} {text}")

    async def _open(self) -> str:
        began = time.monotonic()
        for copy, due in enumerate((*START_COPIES_S, START_LIMIT_S)):
            self.start_sent_at.append(time.monotonic())
            self._send(SYN, self.seq, copy)
            while time.monotonic() < began + due:
                if self.reset_at is not None:
                    return "reset"
                if self.backend_seq is not None:
                    self.opened_at = time.monotonic()
                    return "open"
                await self._wait(began + due)
        return "silent"

    async def _request(self, text: str, limit: float) -> str:
        data = text.encode()
        at = self.sent
        self.sent += len(data)
        expected = f"done {text}".encode()
        end, wait = time.monotonic() + limit, 0.2
        resend_at = time.monotonic()
        while time.monotonic() < end:
            if self.reset_at is not None:
                return "reset"
            if len(self.received) >= self.read + len(expected):
                found = self.received[self.read : self.read + len(expected)]
                self.read += len(expected)
                return "answered" if found == expected else "wrong answer"
            if time.monotonic() >= resend_at:
                self._send(ACK, self.seq + 1 + at, self.next_ack(), data)
                resend_at = time.monotonic() + wait
                wait = min(1.6, 2 * wait)
            await self._wait(min(end, resend_at))
        return "silent"

    def close(self) -> None:
        """Closes the flow."""
        if self.backend_seq is not None and self.reset_at is None:
            self._send(ACK | FIN, self.seq + 1 + self.sent, self.next_ack())

    def next_ack(self) -> int:
        """Returns the number that the flow acknowledges."""
        received = len(self.received) + self.is_ended
        return (self.backend_seq + 1 + received) & MASK

    def take(self, packet: Packet) -> None:
        """Takes a packet of the flow."""
        if packet.flags & RST:
            if self.backend_seq is not None and not packet.is_genuine:
                # A reset of an open flow counts near the last ack only.
                distance = (packet.seq - self.next_ack()) & MASK
                if min(distance, (1 << 32) - distance) > 76_800:
                    return
            self.reset_at = time.monotonic()
            self.was_own_reset = not packet.is_genuine
        elif packet.flags & SYN:
            if self.backend_seq is None:
                self.backend_seq = packet.seq
                self._send(ACK, self.seq + 1, self.next_ack())
        elif self.backend_seq is not None:
            offset = (packet.seq - self.backend_seq - 1) & MASK
            if packet.data and offset == len(self.received):
                self.received += packet.data
                self.is_ended |= bool(packet.flags & FIN)
            if packet.data:
                self._send(ACK, self.seq + 1 + self.sent, self.next_ack())
        self.changed.set()

    async def _wait(self, until: float) -> None:
        self.changed = asyncio.Event()
        left = max(0.0, until - time.monotonic())
        try:
            await asyncio.wait_for(self.changed.wait(), left)
        except TimeoutError:
            return


class Caller:
    """A host of callers."""

    def __init__(self, fleet, ip: str, router) -> None:
        """Makes a host that is not bound yet."""
        self.fleet, self.ip, self.router = fleet, ip, router
        self.flows: dict[tuple, Flow] = {}
        self.wrong: list[str] = []
        self.transport = None
        self._port = 20_000

    async def run(self) -> None:
        """Binds the address."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: _Socket(self._take),
            local_addr=(self.ip, self.fleet.ports["packet"]),
        )

    def make_flow(self, service) -> Flow:
        """Returns a flow from a new port."""
        self._port += 1
        flow = Flow(self, service, self._port)
        self.flows[flow.address, service] = flow
        return flow

    def _take(self, raw: bytes) -> None:
        packet = Packet(raw)
        is_reset = packet.flags == RST and not packet.data
        if not packet.is_genuine and not is_reset:
            self.wrong.append(f"packet not written by its sender: {raw[:40]!r}")
            return
        flow = self.flows.get((packet.target, packet.source))
        if flow is not None:
            flow.take(packet)


class Router:
    """The platform's routers: readiness checks, and a hash of each flow."""

    def __init__(self, fleet) -> None:
        """Starts with no balancer in rotation."""
        self.fleet = fleet
        self.misses = {m.name: 2 for m in fleet.balancers}

    def list_rotation(self) -> list[Machine]:
        """Returns the balancers that get packets."""
        ready = [b for b in self.fleet.balancers if self.misses[b.name] < 2]
        if ready and 2 * len(ready) < len(self.fleet.balancers):
            return self.fleet.balancers
        return ready or self.fleet.balancers

    def send(self, flow: Flow, packet: bytes) -> None:
        """Sends a packet of a flow to the balancer of its hash."""
        rotation = self.list_rotation()
        text = f"{flow.address}{flow.service}".encode()
        chosen = rotation[zlib.crc32(text) % len(rotation)]
        flow.caller.transport.sendto(
            packet, (chosen.ip, self.fleet.ports["packet"])
        )

    async def run(self) -> None:
        """Checks all balancers twice a second."""
        await asyncio.gather(*map(self._check, self.fleet.balancers))

    async def _check(self, balancer: Machine) -> None:
        while True:
            began = time.monotonic()
            is_ready = await balancer.is_ready()
            self.misses[balancer.name] = (
                0 if is_ready else self.misses[balancer.name] + 1
            )
            await asyncio.sleep(max(0.0, began + 0.5 - time.monotonic()))


class Fleet:
    """A deployment on a free block of loopback addresses."""

    def __init__(self, balancers: int) -> None:
        """Chooses addresses and makes the balancers."""
        self.folder = Path(tempfile.mkdtemp(prefix="jujuberun-"))
        self.record = Record()
        self.store = Store()
        self.ports = {
            "packet": 8172,
            "peer": 7720,
            "ready": 8167,
            "outbound": 8162,
            "app": 8165,
            "store": 8169,
        }
        self.block = self._find_block()
        ips = [f"127.{self.block}.1.{n + 1}" for n in range(balancers)]
        self.seeds = [f"{ip}:8166" for ip in ips[:3]]
        self.balancers = [
            Machine(
                self,
                "balancer",
                f"balancer-{n + 1}",
                ip,
                platform={"Address": self._find_store(n)},
            )
            for n, ip in enumerate(ips)
        ]
        self.agents: list[Machine] = []
        self.backends: list[Backend] = []

    def _find_store(self, number: int) -> str:
        """Returns the address at which a balancer reaches the store."""
        return f"127.{self.block}.9.{number + 1}:{self.ports['store']}"

    def _find_block(self) -> int:
        """Returns a block of addresses, and keeps it from other cases."""
        for block in random.sample(range(16, 250), 200):
            self._lease = socket.socket()
            try:
                self._lease.bind((f"127.{block}.9.250", self.ports["store"]))
                with socket.socket() as probe:
                    probe.bind((f"127.{block}.9.1", self.ports["store"]))
            except OSError:
                self._lease.close()
                continue
            return block
        raise OSError("no free block of loopback addresses")

    def add_backend(self, service: str, **changes) -> tuple[Backend, Machine]:
        """Makes a backend and the agent beside it; neither runs yet."""
        number = len(self.backends) + 1
        ip = f"127.{self.block}.2.{number}"
        backend = Backend(self, f"backend-{number}", ip, service, **changes)
        agent = Machine(
            self,
            "agent",
            f"agent-{number}",
            ip,
            Service=service,
            app=f"{ip}:{self.ports['app']}",
            platform={"Address": "127.0.0.1:1"},
        )
        self.backends.append(backend)
        self.agents.append(agent)
        return backend, agent

    async def serve_store(self) -> None:
        """Serves the store at one address for each balancer."""
        for number in range(len(self.balancers)):
            host = f"127.{self.block}.9.{number + 1}"
            await self.store.serve(host, self.ports["store"])

    def find_watchers(self, within_s: float) -> list[Machine]:
        """Returns the balancers that watched the store lately."""
        now = time.monotonic()
        found = []
        for number, balancer in enumerate(self.balancers):
            host = f"127.{self.block}.9.{number + 1}"
            if now - self.store.watched_at.get(host, 0.0) < within_s:
                found.append(balancer)
        return found

    def publish(
        self, version: int, routes: dict, idle_ms: int = 15_000
    ) -> None:
        """Writes a configuration: a service by name, address and service."""
        services = sorted({service for _, service in routes.values()})
        document = {
            "Version": version,
            "Routes": [
                {
                    "Name": name,
                    "Host": address[0],
                    "Prefix": f"/{address[1]}/",
                    "RouteType": "idempotent",
                    "TimeoutMs": 4000,
                    "SloMs": 1000,
                    "Priority": 1,
                    "Service": service,
                    "MaxAttempts": 2,
                }
                for name, (address, service) in routes.items()
            ],
            "Services": [
                {"Name": name, "HealthPath": "/health"} for name in services
            ],
            "Limits": {"IdleTimeoutMs": idle_ms},
        }
        self.store.put("op/config", document)

    async def wait_ready(self, limit: float = 15.0) -> bool:
        """Waits until all balancers are ready."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            ready = [await b.is_ready() for b in self.balancers]
            if all(ready):
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self) -> None:
        """Kills all processes that this fleet started."""
        for machine in (*self.balancers, *self.agents):
            machine.kill()
        for machine in (*self.balancers, *self.agents):
            if machine.process is not None:
                await machine.process.wait()
        if "KEEP" in os.environ:
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, folder: Path) -> int:
    """Runs a case; returns 1 if the rule broke, 0 if it held, else 2."""

    async def play() -> int:
        async with asyncio.timeout(110):
            return await case()

    try:
        return asyncio.run(play())
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}", file=sys.stderr)
        (folder / "record.txt").write_text(f"could not run: {error!r}\n")
        return 2
