"""Stand-ins for the scripts of the second review: store, servers, callers, routers.

They use the standard library alone and follow the users' pages. A fleet gives each
machine a loopback address of its own and starts the roles as the deploy file says::

    async with Fleet(record) as fleet:
        fleet.add_balancer("zone-1")
        fleet.add_server("ledger", "zone-1", born_ms=now_ms())
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

ROOT: Final = Path(__file__).resolve().parent.parent
_HEAD: Final = struct.Struct("!HIIII4sH4sHBB")
FIN, BOUNCED, RST, SYN, ACK = 1, 2, 8, 16, 32
_SEQUENCES: Final = 2**32
# Opening packets are repeated after these times, and given up after 1.4 s.
_OPENING_DELAYS_S: Final = (0.2, 0.4, 0.8)
_FIRST_RETRANSMISSION_S: Final = 0.2
_LAST_RETRANSMISSION_S: Final = 1.6
_MAX_RETRANSMISSIONS: Final = 8
_READINESS_INTERVAL_S: Final = 0.5
_MISSES_BEFORE_WITHDRAWAL: Final = 2
HEARTBEAT_MS: Final = 770
RESTART_DELAY_S: Final = 0.3
SERVICE_PORT: Final = 443
# Connections that wait for the next request are closed after this time.
IDLE_TIMEOUT_S: Final = 5.0

_SETTINGS: Final = """
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = ["{machine_class}"]
ip = "{ip}"
zone = "{zone}"
region = "area-1"
internal_ports = [{fleet}, {fleet_last}]
seeds = []
bootstrap = {bootstrap}
loss_counts = false
discovery = "platform"
entry_kind = "announce"
heartbeat_ms = {heartbeat}
flow_hash = "mod"
deploy_mode = "agent"
{server}
[listen]
datagram_addr = "{ip}:{packets}"
ready = "{ip}:{ready}"
{outbound}
[limits]
cpu_share = 1.0
cpu_cores = 1
memory_mb = 300
max_fds = 4096
bandwidth_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 4000
drain_ms = 3000
grace_s = 6
config_apply_ms = 3000
evacuate_ms = 5000
stray_ms = 2000
max_flow_s = 60
[platform]
address = "{store}"
deploy_mode = "read"
reads_per_s = 2000
retention_s = 20
value_bytes = 1048576
"""


def now_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(time.time() * 1000)


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Write lines to a file, which is replaced."""
        self._file = path.open("w", encoding="ascii")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Packet:
    """One datagram of a flow; ``ends`` are the sender's and the receiver's."""

    def __init__(self, data: bytes) -> None:
        """Decode a datagram, or raise ``ValueError``."""
        if len(data) < _HEAD.size:
            raise ValueError("shorter than a head")
        fields = _HEAD.unpack_from(data)
        size, self.seq, self.ack, self.sum, self.echo = fields[:5]
        self.source = (fields[5], fields[6])
        self.target = (fields[7], fields[8])
        self.flags, self.pad = fields[9:]
        self.content = data[_HEAD.size :]
        self.data = data
        if len(self.content) != size:
            raise ValueError("another length than the head says")

    @staticmethod
    def encode(
        source: tuple[bytes, int],
        target: tuple[bytes, int],
        seq: int,
        ack: int,
        flags: int,
        content: bytes = b"",
    ) -> bytes:
        """Return the datagram of a packet, with the sum of its sender."""
        head = [len(content), seq % _SEQUENCES, ack % _SEQUENCES]
        ends = [*source, *target, flags, 0]
        total = zlib.crc32(repr((head, ends, content)).encode()) or 1
        return _HEAD.pack(*head, total, 0, *ends) + content

    @property
    def is_genuine(self) -> bool:
        """Return whether the packet is as its sender wrote it."""
        head = [len(self.content), self.seq, self.ack]
        ends = [*self.source, *self.target, self.flags & ~BOUNCED, 0]
        total = zlib.crc32(repr((head, ends, self.content)).encode()) or 1
        return total == self.sum and not self.echo and not self.pad


class _Datagrams(asyncio.DatagramProtocol):
    """Passes each datagram to a function."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        """Initialize with the function."""
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram on."""
        self._receive(data)


async def async_open_datagrams(
    address: tuple[str, int], receive: Callable[[bytes], None]
) -> asyncio.DatagramTransport:
    """Receive datagrams at an address."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Datagrams(receive), local_addr=address
    )
    return transport


class Store:
    """The platform's store: items by key, one revision counter, range and watch.

    It closes a connection that has been idle for ``IDLE_TIMEOUT_S``, as HTTP servers
    do. While ``loses_answers`` is set, it carries out each call and loses its answer;
    the connection returns nothing further.
    """

    def __init__(self) -> None:
        """Initialize without items."""
        self._items: dict[str, tuple[int, bytes]] = {}
        self._history: list[tuple[int, str, bytes | None]] = []
        self._revision = 100
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.loses_answers = False
        self.lost = 0
        self.watches: dict[str, tuple[float, str]] = {}
        self.address = ""

    async def async_start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._async_serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def recent_watches(self, wait_ms: int, within_s: float) -> int:
        """Return the number of watches of a length that began within a time."""
        since = time.monotonic() - within_s
        watches = self.watches.values()
        return sum(at >= since and wait == str(wait_ms) for at, wait in watches)

    def write(self, key: str, value: Any) -> None:
        """Write an item as JSON, unless it has this value."""
        data = json.dumps(value).encode()
        if key not in self._items or self._items[key][1] != data:
            self._record(key, data)
            self._items[key] = (self._revision, data)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self._record(key, None)

    def _record(self, key: str, value: bytes | None) -> None:
        """Record a change and wake the watches."""
        self._revision += 1
        self._history.append((self._revision, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self._writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                target = urlsplit(head.split(b" ", 2)[1].decode())
                query = {k: v[0] for k, v in parse_qs(target.query).items()}
                if "wait_ms" in query:
                    client = str(writer.get_extra_info("peername"))
                    self.watches[client] = (time.monotonic(), query["wait_ms"])
                await asyncio.sleep(0.004)
                content = await self._async_answer(target.path, query)
                if self.loses_answers:
                    self.lost += 1
                    while await reader.read(65_536):
                        continue
                    return
                body = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                )
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            # The client has closed its connection, or it was idle.
            pass
        finally:
            writer.close()
            self._writers.discard(writer)

    async def _async_answer(self, path: str, query: dict[str, str]) -> dict:
        """Return the content of an answer."""
        prefix = query.get("prefix", "")
        if path == "/kv-range":
            keys = sorted(
                key
                for key in self._items
                if key.startswith(prefix) and key > query.get("after", "")
            )
            items = [_encode_item(key, *self._items[key]) for key in keys]
            return {"items": items, "has_more": False, "at_rev": self._revision}
        after = int(query["after"])
        if not self._changes(prefix, after):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await self._changed.wait()
        events = self._changes(prefix, after)
        return {"events": events, "at_rev": self._revision}

    def _changes(self, prefix: str, after: int) -> list[dict]:
        """Return the changes after a revision."""
        return [
            _encode_item(key, revision, value)
            for revision, key, value in self._history
            if revision > after and key.startswith(prefix)
        ]


def _encode_item(key: str, revision: int, value: bytes | None) -> dict:
    """Return an item as the store sends it."""
    if value is None:
        return {"key": key, "rev": revision, "tombstone": True}
    text = base64.b64encode(value).decode()
    return {"key": key, "rev": revision, "value": text, "created": revision, "lease": 0}


class _ServerFlow:
    """A flow at a backend server."""

    def __init__(self, initial: int, caller_next: int) -> None:
        """Initialize with the server's initial sequence number."""
        self.initial = initial
        self.next_seq = initial + 1
        self.caller_next = caller_next
        self.unacknowledged: list[tuple[int, bytes]] = []
        self.is_open = False


class BackendServer:
    """A backend server beside a companion; it runs each request once.

    A request is the content of one packet of the caller, and so is its answer.
    """

    def __init__(
        self, name: str, host: str, app: int, outbound: int, record: Record
    ) -> None:
        """Initialize a server that receives at ``app`` and sends to ``outbound``."""
        self.name = name
        self.work_s = 0.02
        self.ran: list[bytes] = []
        self.openings: list[tuple[float, tuple[bytes, int]]] = []
        self._host = host
        self._app = app
        self._outbound = (host, outbound)
        self._record = record
        self._flows: dict[tuple, _ServerFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._health: asyncio.Server | None = None
        self._random = random.Random(name)

    async def async_start(self) -> None:
        """Receive packets and liveness checks."""
        address = (self._host, self._app)
        self._transport = await async_open_datagrams(address, self._receive)
        self._health = await asyncio.start_server(self._async_health, *address)

    def close(self) -> None:
        """Stop, as a process that has ended."""
        if self._transport is not None and self._health is not None:
            self._transport.close()
            self._health.close()

    def has_open_flow(self, source: tuple[bytes, int]) -> bool:
        """Return whether a flow of a caller's end is open here."""
        return any(x.is_open for key, x in self._flows.items() if key[0] == source)

    async def _async_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a liveness check."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        writer.close()

    def _receive(self, data: bytes) -> None:
        """Handle a packet of a caller."""
        packet = Packet(data)
        if not packet.is_genuine:
            self._record.write(f"{self.name} got a packet that nobody wrote so")
        key = (packet.source, packet.target)
        if packet.flags & SYN:
            self._open(key, packet)
            return
        flow = self._flows.get(key)
        if flow is None or not flow.is_open and packet.ack != flow.initial + 1:
            self._send_back(packet)
            return
        if not flow.is_open:
            self._record.write(f"{self.name} opened {_text(packet.source)}")
        flow.is_open = True
        flow.unacknowledged = [
            each for each in flow.unacknowledged if each[0] > packet.ack
        ]
        if packet.flags & RST:
            del self._flows[key]
        elif packet.content and packet.seq == flow.caller_next:
            flow.caller_next += len(packet.content)
            self._run(key, flow, packet.content)
        elif packet.content:
            self._send(key, flow.next_seq, flow, ACK)

    def _open(self, key: tuple, packet: Packet) -> None:
        """Accept a flow, or repeat its acceptance."""
        flow = self._flows.get(key)
        self.openings.append((self._record.now, packet.source))
        if flow is None:
            initial = self._random.randrange(2**28, 2**31)
            flow = self._flows[key] = _ServerFlow(initial, packet.seq + 1)
        if not flow.is_open:
            self._send(key, flow.initial, flow, SYN | ACK)

    def _run(self, key: tuple, flow: _ServerFlow, content: bytes) -> None:
        """Run a request and answer it after its processing time."""
        self.ran.append(content)
        self._record.write(f"{self.name} runs {content.decode()}")
        loop = asyncio.get_running_loop()
        loop.call_later(self.work_s, self._answer, key, flow, content)

    def _answer(self, key: tuple, flow: _ServerFlow, content: bytes) -> None:
        """Send the answer to a request until it is acknowledged."""
        answer = b"answer to " + content
        seq = flow.next_seq
        flow.next_seq += len(answer)
        flow.unacknowledged.append((flow.next_seq, answer))
        self._transmit(key, flow, seq, answer, 0)

    def _transmit(
        self, key: tuple, flow: _ServerFlow, seq: int, answer: bytes, count: int
    ) -> None:
        """Send data again and again until it is acknowledged."""
        is_waiting = any(end == seq + len(answer) for end, _ in flow.unacknowledged)
        if count > _MAX_RETRANSMISSIONS or not is_waiting:
            return
        self._send(key, seq, flow, ACK, answer)
        delay = min(_FIRST_RETRANSMISSION_S * 2**count, _LAST_RETRANSMISSION_S)
        asyncio.get_running_loop().call_later(
            delay, self._transmit, key, flow, seq, answer, count + 1
        )

    def _send(
        self, key: tuple, seq: int, flow: _ServerFlow, flags: int, content: bytes = b""
    ) -> None:
        """Send a packet to the caller, through the companion."""
        source, target = key
        data = Packet.encode(target, source, seq, flow.caller_next, flags, content)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self._outbound)

    def _send_back(self, packet: Packet) -> None:
        """Return a packet of a flow that isn't held here."""
        data = bytearray(packet.data)
        data[_HEAD.size - 2] |= BOUNCED
        data[_HEAD.size - 1] = 0
        if self._transport is not None:
            self._transport.sendto(bytes(data), self._outbound)


class Caller:
    """A caller with one flow, on which it sends one request after the other."""

    def __init__(self, host: "CallerHost", port: int, service: str) -> None:
        """Initialize a caller of an address of the platform."""
        self.source = (socket.inet_aton(host.address[0]), port)
        self.reset: Packet | None = None
        self._target = (socket.inet_aton(service), SERVICE_PORT)
        self._host = host
        self._seq = random.Random(port).randrange(2**28, 2**31)
        self._expected = 0
        self._received: asyncio.Queue[Packet] = asyncio.Queue()
        host.callers[port] = self._received.put_nowait

    @property
    def name(self) -> str:
        """Return the address of this end of the flow."""
        return _text(self.source)

    async def async_open(self) -> bool:
        """Open the flow, as the protocol says."""
        for copy, delay in enumerate(_OPENING_DELAYS_S):
            self._send(SYN, self._seq, copy)
            packet = await self._async_receive(delay)
            if packet is not None and packet.flags & RST:
                self.reset = packet
                return False
            if packet is not None and packet.flags & SYN:
                self._seq += 1
                self._expected = packet.seq + 1
                self._send(ACK, self._seq, self._expected)
                return True
        return False

    async def async_request(self, content: bytes, budget_s: float = 4.0) -> str:
        """Send a request and return ``answered``, ``reset`` or ``silent``."""
        record, began, count = self._host.record, time.monotonic(), 0
        record.write(f"caller {self.name} sends {content.decode()}")
        while (left := budget_s - (time.monotonic() - began)) > 0:
            self._send(ACK, self._seq, self._expected, content)
            delay = min(_FIRST_RETRANSMISSION_S * 2**count, _LAST_RETRANSMISSION_S)
            count += 1
            packet = await self._async_receive(min(delay, left), is_open=True)
            if packet is None:
                continue
            if packet.flags & RST:
                self.reset = packet
                kind = "of the balancer's or companion's own"
                kind = kind if not packet.sum else "of its server"
                record.write(f"caller {self.name} got a reset {kind}")
                return "reset"
            self._seq += len(content)
            self._expected = packet.seq + len(packet.content)
            self._send(ACK, self._seq, self._expected)
            record.write(f"caller {self.name} got {packet.content.decode()}")
            return "answered"
        record.write(f"caller {self.name} got nothing")
        return "silent"

    def _send(self, flags: int, seq: int, ack: int, content: bytes = b"") -> None:
        """Send a packet to the routers."""
        data = Packet.encode(self.source, self._target, seq, ack, flags, content)
        self._host.send(self.source, data)

    async def _async_receive(self, wait_s: float, is_open: bool = False) -> Any:
        """Return the next packet that counts, or None after a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while True:
                    packet = await self._received.get()
                    if not is_open or self._counts(packet):
                        return packet
        return None

    def _counts(self, packet: Packet) -> bool:
        """Return whether an open flow takes a packet: its next data, or a reset."""
        if packet.flags & RST:
            distance = (packet.seq - self._expected + 76_800) % _SEQUENCES
            return bool(packet.sum) or distance <= 2 * 76_800
        return bool(packet.content) and packet.seq == self._expected


class CallerHost:
    """The host of callers, and the routers between them and the balancers.

    The routers pick a balancer by the addresses and ports, modulo the number of
    balancers in rotation (``flow_hash`` is ``mod``).
    """

    def __init__(self, host: str, packets: int, record: Record) -> None:
        """Initialize a host whose callers receive at the port of the settings."""
        self.address = (host, packets)
        self.record = record
        self.callers: dict[int, Callable[[Packet], None]] = {}
        self._in_rotation: dict[str, int] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: list[asyncio.Task] = []

    async def async_start(self) -> None:
        """Receive packets for all callers."""
        self._transport = await async_open_datagrams(self.address, self._receive)

    def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def route_to(self, process: "RoleProcess") -> None:
        """Send packets to a balancer while it answers that it is ready."""
        self._tasks.append(asyncio.create_task(self._async_probe(process)))

    def is_in_rotation(self, process: "RoleProcess") -> bool:
        """Return whether a balancer gets packets."""
        return process.ip in self._in_rotation

    async def async_wait_for(self, process: "RoleProcess") -> None:
        """Wait until a balancer gets packets."""
        while True:
            if self.is_in_rotation(process):
                return
            await asyncio.sleep(0.02)

    def balancer_of(self, source: tuple[bytes, int]) -> str:
        """Return the balancer that the packets of a caller's end go to now."""
        hosts = sorted(self._in_rotation)
        return hosts[zlib.crc32(repr(source).encode()) % len(hosts)]

    def send(self, source: tuple[bytes, int], data: bytes) -> None:
        """Send a packet to the balancer that the hash picks."""
        if self._transport is not None and self._in_rotation:
            target = (self.balancer_of(source), self.address[1])
            self._transport.sendto(data, target)

    def _receive(self, data: bytes) -> None:
        """Pass a packet to its caller."""
        packet = Packet(data)
        receive = self.callers.get(packet.target[1])
        if receive is not None:
            receive(packet)

    async def _async_probe(self, process: "RoleProcess") -> None:
        """Probe the readiness of a balancer twice a second."""
        misses = 0
        while True:
            is_ready = await process.async_is_ready()
            misses = 0 if is_ready else misses + 1
            if is_ready and process.ip not in self._in_rotation:
                self._in_rotation[process.ip] = 1
                self.record.write(f"routers use {process.name}")
            if misses == _MISSES_BEFORE_WITHDRAWAL:
                self._in_rotation.pop(process.ip, None)
                self.record.write(f"routers withdraw {process.name}")
            await asyncio.sleep(_READINESS_INTERVAL_S)


class RoleProcess:
    """A process of a role, started with the command of the deploy file."""

    def __init__(
        self, name: str, ip: str, ready: int, command: str, folder: Path
    ) -> None:
        """Initialize with the command, whose placeholders are filled in."""
        self.name = name
        self.ip = ip
        self.settings = folder / f"{name}.toml"
        self._ready = ready
        self._command = command.split()
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    async def async_start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", os.defpath),
            "POMELOTRAIL_NODE_FILE": str(self.settings),
        }
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def async_stop(self, number: signal.Signals) -> int | None:
        """Send a signal that ends the process, and wait for its end."""
        process = self._process
        if process is None or process.returncode is not None:
            return None
        process.send_signal(number)
        return await process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal that doesn't end the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def log_lines(self) -> list[dict]:
        """Return what the process has logged."""
        text = self._log.read_text(encoding="utf-8", errors="replace")
        lines = [each for each in text.splitlines() if each.startswith("{")]
        return [json.loads(each) for each in lines if each.endswith("}")]

    async def async_is_ready(self) -> bool:
        """Return whether the process answers that it is ready."""
        try:
            async with asyncio.timeout(_READINESS_INTERVAL_S):
                reader, writer = await asyncio.open_connection(self.ip, self._ready)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n")
                head = await reader.readuntil(b"\r\n")
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return b" 200 " in head

    async def async_wait_ready(self) -> None:
        """Wait until the process is ready."""
        while True:
            if await self.async_is_ready():
                return
            await asyncio.sleep(0.02)


class Fleet:
    """All machines of a small deployment on loopback addresses."""

    def __init__(self, record: Record) -> None:
        """Initialize without machines."""
        self.record = record
        self.store = Store()
        self.balancers: list[RoleProcess] = []
        self.companions: list[RoleProcess] = []
        self.servers: list[BackendServer] = []
        self._entries: dict[str, dict[str, Any]] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="review-2-")
        self._numbers = itertools.count(1)
        self._caller_ports = itertools.count(20_001)
        self._network = f"127.{random.randrange(20, 220)}.{random.randrange(1, 255)}"
        self._ports = _free_ports(f"{self._network}.1", 5)
        self._is_first_start = True
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._roles = deploy["roles"]
        host = f"{self._network}.254"
        self.callers = CallerHost(host, self._ports[0], record)

    async def __aenter__(self) -> "Fleet":
        """Start the store and the host of the callers."""
        await self.store.async_start(f"{self._network}.253")
        await self.callers.async_start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes that were started."""
        for process in (*self.balancers, *self.companions):
            await process.async_stop(signal.SIGKILL)
        self.callers.close()
        for server in self.servers:
            server.close()
        self.store.close()
        self._folder.cleanup()

    def publish(self, version: int, routes: dict[str, str]) -> None:
        """Publish a configuration with the service of each address."""
        self.store.write(
            "op/config",
            {
                "version": version,
                "routes": [
                    {
                        "name": f"r-{index}",
                        "host": host,
                        "prefix": f"/{SERVICE_PORT}/",
                        "kind": "non_idempotent",
                        "timeout_ms": 4000,
                        "target_latency_ms": 300,
                        "priority": 1,
                        "service": service,
                        "max_attempts": 2,
                    }
                    for index, (host, service) in enumerate(sorted(routes.items()))
                ],
                "services": [
                    {
                        "name": service,
                        "health_path": "/health",
                        "max_conns": 2000,
                        "warmup_s": 2.0,
                        "warmup_per_s": 0.0,
                    }
                    for service in sorted(set(routes.values()))
                ],
                "limits": {"idle_timeout_ms": 15000},
            },
        )

    def end_first_start(self) -> None:
        """Write settings that say that the system starts no more for the first time."""
        self._is_first_start = False
        for process in (*self.balancers, *self.companions):
            text = process.settings.read_text()
            process.settings.write_text(
                text.replace("bootstrap = true", "bootstrap = false")
            )

    async def async_add_balancer(self, zone: str) -> RoleProcess:
        """Add a machine with a balancer, wait until it is ready, and route to it."""
        process = self._create("balancer", "frontend", zone, "")
        self.balancers.append(process)
        await process.async_start()
        await process.async_wait_ready()
        self.callers.route_to(process)
        await self.callers.async_wait_for(process)
        return process

    async def async_add_server(
        self, service: str, zone: str, born_ms: int | None = None
    ) -> BackendServer:
        """Add a machine with a companion and a backend server, which registers.

        ``born_ms`` is its start by the clock of its machine; the present by default.
        """
        process = self._create("companion", "side", zone, service)
        self.companions.append(process)
        await process.async_start()
        name = f"server-{len(self.servers) + 1}"
        _, app, outbound = self._ports[2:]
        server = BackendServer(name, process.ip, app, outbound, self.record)
        await server.async_start()
        self.servers.append(server)
        await process.async_wait_ready()
        entry = {
            "service": service,
            "address": f"{process.ip}:{app}",
            "zone": zone,
            "version": "v1",
            "capacity": 5,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": now_ms() if born_ms is None else born_ms,
        }
        self._entries[name] = entry
        self.store.write(f"servers/i-{name}", entry)
        self.record.write(f"{name} has started, born {entry['born']}")
        return server

    def drain(self, server: BackendServer) -> None:
        """Report that a server is draining; the store confirms it at once."""
        entry = self._entries[server.name]
        entry["state"] = "draining"
        entry["sequence"] += 1
        self.store.write(f"servers/i-{server.name}", entry)
        self.record.write(f"{server.name} is draining, confirmed by the store")

    def leave(self, server: BackendServer) -> None:
        """End a server, whose entry is removed."""
        server.close()
        self.store.remove(f"servers/i-{server.name}")
        self.record.write(f"{server.name} has left")

    async def async_restart(self, process: RoleProcess, number: signal.Signals) -> None:
        """Stop a process and start it again, as the platform does."""
        self.record.write(f"{process.name} gets {number.name}")
        code = await process.async_stop(number)
        await asyncio.sleep(RESTART_DELAY_S)
        await process.async_start()
        self.record.write(f"{process.name} ended with {code}, is started again")
        await process.async_wait_ready()

    def caller(self, service: str) -> Caller:
        """Return a caller with a port of its own."""
        return Caller(self.callers, next(self._caller_ports), service)

    def _create(
        self, role: str, machine_class: str, zone: str, service: str
    ) -> RoleProcess:
        """Return the process of a new machine, with its settings file."""
        number = next(self._numbers)
        ip = f"{self._network}.{number}"
        packets, fleet, ready, app, outbound = self._ports
        listen = {"datagram_addr": f"{ip}:{packets}", "outbound": f"{ip}:{outbound}"}
        command = self._roles[role]["run"]
        for name, address in listen.items():
            command = command.replace(f"{{{{listen.{name}}}}}", address)
        name = f"{machine_class}-{zone}-{number}"
        process = RoleProcess(name, ip, ready, command, Path(self._folder.name))
        process.settings.write_text(
            _SETTINGS.format(
                name=name,
                role=role,
                machine_class=machine_class,
                ip=ip,
                zone=zone,
                fleet=fleet,
                fleet_last=fleet + 15,
                bootstrap=str(self._is_first_start).lower(),
                heartbeat=HEARTBEAT_MS,
                server=f'app = "{ip}:{app}"\nservice = "{service}"' if service else "",
                packets=packets,
                ready=ready,
                outbound=f'outbound = "{listen["outbound"]}"' if service else "",
                store=self.store.address,
            )
        )
        return process


def run(case: Callable[[Fleet, bool], Any], folder: Path, limit_s: float) -> None:
    """Run a case, and exit with 1 if it says that the rule was broken, else with 0.

    Any other end exits with 2. ``TROUBLE=0`` leaves the disruption out.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("with the disruption" if has_trouble else "without the disruption")
    try:
        is_broken = asyncio.run(_async_run(case, record, has_trouble, limit_s))
    except Exception as error:  # noqa: BLE001
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.write("the rule was broken" if is_broken else "the rule held")
    record.close()
    sys.exit(1 if is_broken else 0)


async def _async_run(
    case: Callable[[Fleet, bool], Any],
    record: Record,
    has_trouble: bool,
    limit_s: float,
) -> bool:
    """Run a case within its time."""
    async with asyncio.timeout(limit_s), Fleet(record) as fleet:
        return await case(fleet, has_trouble)


def _free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free for datagrams and connections at an address."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            datagrams.bind((host, 0))
            port = datagrams.getsockname()[1]
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            with stream, contextlib.suppress(OSError):
                stream.bind((host, port))
                ports.append(port)
    return ports


def _text(end: tuple[bytes, int]) -> str:
    """Return an end of a flow as text."""
    return f"{socket.inet_ntoa(end[0])}:{end[1]}"
