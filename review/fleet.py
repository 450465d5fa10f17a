"""Stand-ins and process control for the scripts of this review.

Everything here uses the standard library only. Stand-ins for the store, the routers,
the endpoints and the consumers run in the process of a script and follow the users'
pages; the balancers and companions are separate processes, started with the commands
of ``deploy/system.toml``. Each machine has a loopback address of its own::

    fleet = Fleet(Path("record.txt"), services={"ledger": 2}, balancers=2)
    await fleet.async_start()
    flow = await fleet.consumer.async_open(fleet.routes["board"])
    answer = await flow.async_request("r-1")
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
import zlib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("zone-a", "zone-b")

FIN, BOUNCED, RST, SYN, ACK = 1, 2, 8, 16, 32
HEADER = struct.Struct("!HIIII4sH4sHBB")
SEQUENCES = 2**32
# Consumers and endpoints retransmit after 200 ms, and the interval doubles.
FIRST_RETRY_S, LAST_RETRY_S, RETRIES = 0.2, 1.6, 8
SYN_COPIES_S = (0.2, 0.4, 0.8)
RESET_WINDOW = 76_800
SUM_KEY = b"known to consumers and endpoints only"

# Figures of the users' small installations.
HEARTBEAT_S = 0.77
CONTACT_S = 4.0
BOUNDS = {
    "seed_staleness_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "sync_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 12000,
    "warmup_factor": 1.5,
    "warmup_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "stray_ms": 2000,
    "max_flow_s": 60,
}


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Add one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()


class Packet:
    """A packet of a flow, as the users' pages describe it."""

    def __init__(self, data: bytes) -> None:
        (
            self.size,
            self.seq,
            self.ack,
            self.sum,
            self.echo,
            self.src,
            self.sport,
            self.dst,
            self.dport,
            self.flags,
            self.pad,
        ) = HEADER.unpack_from(data)
        self.datagram = data
        self.data = data[HEADER.size :]

    @property
    def caller_key(self) -> bytes:
        """Return the key of the flow of a consumer's packet."""
        return HEADER.pack(
            0, 0, 0, 0, 0, self.src, self.sport, self.dst, self.dport, 0, 0
        )[18:30]

    @property
    def is_intact(self) -> bool:
        """Return whether the keyed sum of the packet is right."""
        return self.sum == keyed_sum(self.datagram)


def keyed_sum(datagram: bytes) -> int:
    """Return the sum over all fields except ``echo``, ``pad`` and BOUNCED."""
    head = bytearray(datagram)
    head[10:18] = bytes(8)
    head[30] &= ~BOUNCED
    head[31] = 0
    return zlib.crc32(SUM_KEY + bytes(head)) or 1


def make_packet(
    source: tuple[str, int],
    target: tuple[str, int],
    flags: int,
    seq: int,
    ack: int,
    data: bytes = b"",
) -> bytes:
    """Return a packet that an end of a flow sends."""
    addresses = (
        socket.inet_aton(source[0]),
        source[1],
        socket.inet_aton(target[0]),
        target[1],
    )
    seq, ack = seq % SEQUENCES, ack % SEQUENCES
    plain = HEADER.pack(len(data), seq, ack, 0, 0, *addresses, flags, 0) + data
    packed = bytearray(plain)
    packed[10:14] = keyed_sum(plain).to_bytes(4, "big")
    return bytes(packed)


class _Receiver(asyncio.DatagramProtocol):
    """Passes datagrams to a function."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass on a datagram."""
        self._receive(data)


async def async_open_datagrams(
    address: tuple[str, int], receive: Callable[[bytes], None]
) -> asyncio.DatagramTransport:
    """Receive datagrams at an address."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Receiver(receive), local_addr=address
    )
    return transport


class Store:
    """The platform's store, as far as the system reads it.

    Machines have an address of the store each, so that a case can turn one away.
    ``loses_answer`` is asked before each answer: True leaves it out, and the connection
    returns nothing further. ``on_call`` hears of each call. A machine in
    ``unreachable`` gets no answer and keeps nothing it had asked.
    """

    def __init__(self) -> None:
        self._items: dict[str, tuple[bytes, int]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self.revision = 1
        self.loses_answer: Callable[[str, str, dict[str, Any]], bool] = (
            lambda machine, path, answer: False
        )
        self.on_call: Callable[[str, str], None] = lambda machine, target: None
        self.unreachable: set[str] = set()

    async def async_listen(self, machine: str, host: str) -> int:
        """Listen for a machine and return the port."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await self._async_serve(machine, reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                # The process has closed its connection.
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, host, 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(self, key: str, value: bytes) -> int:
        """Write an item and return its revision."""
        self.revision += 1
        self._items[key] = (value, self.revision)
        self._append(self._item(key))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._append({"key": key, "rev": self.revision, "tombstone": True})

    def _append(self, event: dict[str, Any]) -> None:
        """Add an event to the history and wake the watches."""
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _item(self, key: str) -> dict[str, Any]:
        """Return an item as the store sends it."""
        value, rev = self._items[key]
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "rev": rev, "created": rev, "lease": 0}

    async def _async_serve(
        self, machine: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection in turn."""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            self.on_call(machine, target)
            path, _, query = target.partition("?")
            fields = dict(part.partition("=")[::2] for part in query.split("&"))
            answer = await self._async_answer(path, fields)
            if machine in self.unreachable or self.loses_answer(machine, path, answer):
                # Nothing further returns on this connection; it stays open.
                while await reader.read(65_536):
                    pass
                return
            body = json.dumps(answer).encode()
            status = "404 Not Found" if "error" in answer else "200 OK"
            writer.write(
                f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            await writer.drain()

    async def _async_answer(self, path: str, fields: dict[str, str]) -> dict[str, Any]:
        """Return the answer to a call."""
        await asyncio.sleep(0.004)
        prefix = fields.get("prefix", "").replace("%2F", "/")
        if path == "/kv-range":
            after = fields.get("after", "").replace("%2F", "/")
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            items = [self._item(key) for key in keys[:500]]
            more = len(keys) > 500
            return {"items": items, "has_more": more, "at_rev": self.revision}
        if path == "/kv-watch":
            after = int(fields["after"])
            deadline = time.monotonic() + int(fields["wait_ms"]) / 1000
            while True:
                changed = self._changed
                events = [
                    event
                    for event in self._history
                    if event["rev"] > after and event["key"].startswith(prefix)
                ]
                remaining = deadline - time.monotonic()
                if events or remaining <= 0:
                    return {"events": events, "at_rev": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), remaining)
                except TimeoutError:
                    # No change; the answer has no events.
                    continue
        return {"error": "unknown key"}


class EndpointFlow:
    """A flow at an endpoint."""

    def __init__(self, key: bytes, own: int, peer: int) -> None:
        self.key = key
        self.own = own
        self.next_in = peer
        self.is_open = False
        self.opened_at = 0.0
        self.acknowledged = own
        self.last_in = b""


class Endpoint:
    """An endpoint of a service beside a companion.

    It registers itself, holds flows, runs requests in slots and answers them.
    ``on_run`` and ``on_open`` hear what it runs and which flows it takes.
    """

    def __init__(
        self,
        fleet: "Fleet",
        name: str,
        service: str,
        machine: "Machine",
        capacity: int = 4,
        work_s: float = 0.03,
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.service = service
        self.machine = machine
        self.capacity = capacity
        self.work_s = work_s
        self.flows: dict[bytes, EndpointFlow] = {}
        self.ended: set[bytes] = set()
        self.runs: list[tuple[float, str]] = []
        self.openings: list[tuple[float, bytes]] = []
        self.bounces: list[tuple[float, bytes]] = []
        self.is_up = False
        self.born_ms = 0
        self.sequence = 0
        self.warm_at = 0.0
        self._slots = asyncio.Semaphore(capacity)
        self._transport: asyncio.DatagramTransport | None = None
        self._health: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> tuple[str, int]:
        """Return the address at which the companion reaches the endpoint."""
        return (self.machine.host, self.fleet.app_port)

    async def async_start(self, warmup_s: float = 0.0) -> None:
        """Start: register, then take flows once the store has accepted that."""
        self.flows.clear()
        self.ended.clear()
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.warm_at = time.monotonic() + warmup_s
        self.register()
        self._health = await asyncio.start_server(self._async_health, *self.address)
        self._transport = await async_open_datagrams(self.address, self._receive)
        self.is_up = True

    def crash(self) -> None:
        """End at once; flows are discarded and the store hears nothing."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        if self._transport is not None:
            self._transport.close()
        if self._health is not None:
            self._health.close()
        self.flows.clear()
        self._slots = asyncio.Semaphore(self.capacity)

    def register(self, state: str = "ready") -> None:
        """Write the entry of this endpoint."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.machine.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": state,
            "warmup_left_ms": max(0, int((self.warm_at - time.monotonic()) * 1000)),
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        self.fleet.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def _async_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a health check."""
        try:
            if await reader.read(4096):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except OSError:
            # The checker has closed the connection.
            pass
        writer.close()

    def _receive(self, datagram: bytes) -> None:
        """Handle a packet from the companion."""
        packet = Packet(datagram)
        if not packet.is_intact or packet.echo or packet.pad or packet.flags & BOUNCED:
            self.fleet.record.write(f"UNASKED {self.name} got a changed packet")
            self.fleet.changed_packets += 1
            return
        key = packet.caller_key
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._handle_syn(packet, key, flow)
        elif flow is not None and not flow.is_open:
            if packet.ack == (flow.own + 1) % SEQUENCES:
                flow.is_open = True
                flow.opened_at = time.monotonic()
                flow.acknowledged = (flow.own + 1) % SEQUENCES
                self.fleet.record.write(f"opened {self.name} {self.fleet.text(key)}")
                self._handle_data(packet, flow)
            else:
                self._bounce(packet)
        elif flow is not None:
            self._handle_data(packet, flow)
        elif key in self.ended:
            self._answer_ended(packet)
        else:
            self._bounce(packet)

    def _handle_syn(
        self, packet: Packet, key: bytes, flow: EndpointFlow | None
    ) -> None:
        """Answer a SYN with an own sequence number, a copy with the same one."""
        if flow is None:
            self.openings.append((time.monotonic(), key))
            self.fleet.record.write(f"syn {self.name} {self.fleet.text(key)}")
            own = random.randrange(SEQUENCES)
            peer = (packet.seq + 1) % SEQUENCES
            flow = self.flows[key] = EndpointFlow(key, own, peer)
            self.ended.discard(key)
        if not flow.is_open:
            self._send(flow, SYN | ACK, flow.own, flow.next_in)

    def _handle_data(self, packet: Packet, flow: EndpointFlow) -> None:
        """Handle a packet of an open flow."""
        if is_at_or_past(packet.ack, flow.acknowledged):
            flow.acknowledged = packet.ack
        if packet.flags & RST:
            self.flows.pop(flow.key, None)
            return
        if packet.data and packet.seq == flow.next_in:
            flow.next_in = (flow.next_in + packet.size) % SEQUENCES
            self._start_request(packet.data, flow)
        elif packet.data:
            # A copy of data that was taken; say so.
            self._send(flow, ACK, flow.acknowledged, flow.next_in)
        if packet.flags & FIN:
            self._send(flow, FIN | ACK, flow.acknowledged, packet.seq + 1)
            self.flows.pop(flow.key, None)
            self.ended.add(flow.key)

    def _start_request(self, data: bytes, flow: EndpointFlow) -> None:
        """Run a request in a task."""
        task = asyncio.create_task(self._async_run(data, flow))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_run(self, data: bytes, flow: EndpointFlow) -> None:
        """Run a request and send its answer until it is acknowledged."""
        async with self._slots:
            name = header_of(data, "X-Pomelotrail-Request-Id")
            self.runs.append((time.monotonic(), name))
            self.fleet.record.write(f"run {name} at {self.name} ({self.service})")
            await asyncio.sleep(self.work_s)
        body = f"{name} by {self.name}"
        answer = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
            f"X-Pomelotrail-Response-Seal: {zlib.crc32(body.encode()):08x}\r\n\r\n"
            f"{body}"
        ).encode()
        seq = flow.acknowledged
        end = (seq + len(answer)) % SEQUENCES
        retry = FIRST_RETRY_S
        for _ in range(RETRIES + 1):
            if self.flows.get(flow.key) is not flow:
                return
            if is_at_or_past(flow.acknowledged, end):
                return
            self._send(flow, ACK, seq, flow.next_in, answer)
            await asyncio.sleep(retry)
            retry = min(retry * 2, LAST_RETRY_S)
        self.flows.pop(flow.key, None)

    def _answer_ended(self, packet: Packet) -> None:
        """Answer a FIN of an ended flow with an ACK, and data with an RST."""
        if packet.data or packet.flags & FIN:
            flags = ACK if packet.flags & FIN else RST | ACK
            flow = EndpointFlow(packet.caller_key, packet.ack, packet.seq)
            self._send(flow, flags, packet.ack, packet.seq + packet.size)

    def _bounce(self, packet: Packet) -> None:
        """Return a packet of a flow that this endpoint does not hold."""
        self.bounces.append((time.monotonic(), packet.caller_key))
        self.fleet.record.write(
            f"bounce {self.name} {self.fleet.text(packet.caller_key)}"
        )
        data = bytearray(packet.datagram)
        data[30] |= BOUNCED
        data[31] = 0
        self._transport.sendto(bytes(data), self._outbound)

    @property
    def _outbound(self) -> tuple[str, int]:
        """Return the companion's address for packets of the endpoint."""
        return (self.machine.host, self.fleet.outbound_port)

    def _send(
        self, flow: EndpointFlow, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> None:
        """Send a packet of a flow to the consumer, through the companion."""
        if self._transport is None or self._transport.is_closing():
            return
        consumer = (socket.inet_ntoa(flow.key[:4]), int.from_bytes(flow.key[4:6]))
        own = (socket.inet_ntoa(flow.key[6:10]), int.from_bytes(flow.key[10:12]))
        packet = make_packet(own, consumer, flags, seq, ack, data)
        self._transport.sendto(packet, self._outbound)


def is_at_or_past(seq: int, other: int) -> bool:
    """Return whether a sequence number is at or past another, with wraparound."""
    return (seq - other) % SEQUENCES < SEQUENCES // 2


def header_of(message: bytes, name: str) -> str:
    """Return a header field of an HTTP message."""
    for line in message.split(b"\r\n\r\n", 1)[0].split(b"\r\n")[1:]:
        field, _, value = line.partition(b": ")
        if field.decode().lower() == name.lower():
            return value.decode()
    return ""


class ConsumerFlow:
    """A flow of a consumer; ``resets`` are those that it had to believe."""

    def __init__(self, consumer: "Consumer", port: int, route: tuple[str, int]) -> None:
        self._consumer = consumer
        self.local = (consumer.host, port)
        self.route = route
        self.seq = random.randrange(SEQUENCES)
        self.ack = 0
        self.is_open = False
        self.node = ""
        self.resets: list[tuple[float, bool]] = []
        self.received: asyncio.Queue[Packet] = asyncio.Queue()

    @property
    def text(self) -> str:
        """Return the addresses of the flow."""
        return f"{self.local[0]}:{self.local[1]}>{self.route[0]}:{self.route[1]}"

    def handle(self, packet: Packet) -> None:
        """Handle a packet for this flow."""
        if packet.flags & RST:
            distance = (packet.seq - self.ack) % SEQUENCES
            near = min(distance, SEQUENCES - distance) <= RESET_WINDOW
            if self.is_open and not near:
                return
            own = packet.sum == 0
            self.resets.append((time.monotonic(), own))
            sender = "the system" if own else "the endpoint"
            self._consumer.fleet.record.write(f"reset {self.text} by {sender}")
        elif not packet.is_intact:
            self._consumer.fleet.record.write(f"MIXED {self.text} got a changed packet")
            self._consumer.fleet.changed_packets += 1
            return
        elif self.is_open and packet.data and packet.seq != self.ack:
            # A copy of an answer that was taken; its acknowledgement was lost.
            self.send(ACK)
            return
        self.received.put_nowait(packet)

    def send(self, flags: int, data: bytes = b"", ack: int | None = None) -> None:
        """Send a packet through the routers."""
        ack = self.ack if ack is None else ack
        packet = make_packet(self.local, self.route, flags, self.seq, ack, data)
        self._consumer.send(packet, self)

    async def _async_next(self, seconds: float) -> Packet | None:
        """Return the next packet, or None after a time."""
        try:
            return await asyncio.wait_for(self.received.get(), seconds)
        except TimeoutError:
            return None

    async def async_open(self) -> str:
        """Open the flow; return "open", "reset" or "silent"."""
        for copies, wait in enumerate(SYN_COPIES_S):
            self.send(SYN, ack=copies)
            deadline = time.monotonic() + wait
            while (remaining := deadline - time.monotonic()) > 0:
                packet = await self._async_next(remaining)
                if packet is None:
                    break
                if packet.flags & RST:
                    return "reset"
                if packet.flags & SYN:
                    self.ack = (packet.seq + 1) % SEQUENCES
                    self.seq = (self.seq + 1) % SEQUENCES
                    self.is_open = True
                    return "open"
        return "silent"

    async def async_request(self, name: str, budget_s: float = 4.0) -> str:
        """Send a request; return its body, "reset" or "silent"."""
        record = self._consumer.fleet.record
        data = (
            f"GET /item HTTP/1.1\r\nHost: {self.route[0]}\r\n"
            f"X-Pomelotrail-Request-Id: {name}\r\n\r\n"
        ).encode()
        record.write(f"sent {name} on {self.text}")
        ends = time.monotonic() + budget_s
        retry = FIRST_RETRY_S
        while time.monotonic() < ends:
            self.send(ACK, data)
            deadline = min(ends, time.monotonic() + retry)
            while (remaining := deadline - time.monotonic()) > 0:
                packet = await self._async_next(remaining)
                if packet is None:
                    break
                if packet.flags & RST:
                    record.write(f"answer {name}: reset")
                    return "reset"
                if packet.data and packet.seq == self.ack:
                    self.seq = (self.seq + len(data)) % SEQUENCES
                    self.ack = (self.ack + packet.size) % SEQUENCES
                    self.send(ACK)
                    body = packet.data.split(b"\r\n\r\n", 1)[1].decode()
                    record.write(f"answer {name}: {body}")
                    return body
            retry = min(retry * 2, LAST_RETRY_S)
        record.write(f"answer {name}: none in time")
        return "silent"

    def close(self) -> None:
        """End the flow."""
        if self.is_open:
            self.send(FIN | ACK)
        self._consumer.forget(self)


class Consumer:
    """A host of consumers, which sends through the routers."""

    def __init__(self, fleet: "Fleet", host: str) -> None:
        self.fleet = fleet
        self.host = host
        self._flows: dict[int, ConsumerFlow] = {}
        self._next_port = 40_000
        self._transport: asyncio.DatagramTransport | None = None

    async def async_start(self) -> None:
        """Receive packets at this host."""
        self._transport = await async_open_datagrams(
            (self.host, self.fleet.packets_port), self._receive
        )

    def new_flow(self, route: tuple[str, int]) -> ConsumerFlow:
        """Return a flow from a new port."""
        self._next_port += 1
        flow = ConsumerFlow(self, self._next_port, route)
        self._flows[self._next_port] = flow
        return flow

    def forget(self, flow: ConsumerFlow) -> None:
        """Drop what still comes for a flow that has ended, after a while."""
        loop = asyncio.get_running_loop()
        loop.call_later(2.0, self._flows.pop, flow.local[1], None)

    def send(self, packet: bytes, flow: ConsumerFlow) -> None:
        """Send a packet to the node that the routers select."""
        node = self.fleet.pick_node(flow)
        if node is not None:
            flow.node = node.name
            self._transport.sendto(packet, (node.host, self.fleet.packets_port))

    def _receive(self, datagram: bytes) -> None:
        """Pass a packet to its flow."""
        packet = Packet(datagram)
        flow = self._flows.get(packet.dport)
        if flow is not None:
            flow.handle(packet)


class Machine:
    """A machine with one process of the system, which the platform restarts."""

    def __init__(
        self, fleet: "Fleet", role: str, name: str, host: str, zone: str
    ) -> None:
        self.fleet = fleet
        self.role = role
        self.name = name
        self.host = host
        self.zone = zone
        self.service = ""
        self.store_port = 0
        self._rotation = asyncio.Event()
        self._running = asyncio.Event()
        self.own_ends: list[float] = []
        self._is_ending = False
        self._process: asyncio.subprocess.Process | None = None
        self._tasks: list[asyncio.Task] = []
        self._settings = fleet.folder / f"{name}.toml"
        self._log = (fleet.folder / f"{name}.log").open("ab")

    @property
    def is_in_rotation(self) -> bool:
        """Return whether the routers use this machine."""
        return self._rotation.is_set()

    async def async_wait_for_restart(self) -> None:
        """Wait until the process has ended and the platform has started it again."""
        await self._process.wait()
        self._running.clear()
        await self._running.wait()

    async def async_wait_for_rotation(self) -> None:
        """Wait until the routers use this machine."""
        await self._rotation.wait()

    def write_settings(self, is_first_start: bool) -> None:
        """Write the settings file of the process."""
        fleet = self.fleet
        is_side = self.role == "companion"
        listen = {
            "datagram_addr": f"{self.host}:{fleet.packets_port}",
            "ready": f"{self.host}:{fleet.ready_port}",
        }
        top: dict[str, Any] = {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "side" if is_side else "frontend",
            "serves": ["side" if is_side else "frontend"],
            "ip": self.host,
            "zone": self.zone,
            "region": "region-1",
            "internal_ports": [fleet.fleet_port, fleet.fleet_port + 15],
            "seeds": [],
            "bootstrap": is_first_start,
            "loss_counts": False,
            "discovery": "platform",
            "entry_kind": "announce",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "invariants": ["base", "drain", "config", "recover", "flows", "platform"],
            "flow_hash": "mod",
            "deploy_mode": "agent",
        }
        if is_side:
            listen["outbound"] = f"{self.host}:{fleet.outbound_port}"
            top["app"] = f"{self.host}:{fleet.app_port}"
            top["service"] = self.service
        tables: dict[str, dict[str, Any]] = {
            "zones": dict.fromkeys(ZONES, "region-1"),
            "listen": listen,
            "limits": {
                "cpu_share": 0.5,
                "cpu_cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "bandwidth_mbps": 1000.0,
                "disk_mb": 0,
            },
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{fleet.store_host}:{self.store_port}",
                "deploy_mode": "read",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "retention_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }
        lines = [f"{name} = {json.dumps(value)}" for name, value in top.items()]
        for table, fields in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{name} = {json.dumps(value)}" for name, value in fields.items()]
        self._settings.write_text("\n".join(lines) + "\n")

    def _command(self) -> list[str]:
        """Return the command of the deploy file for this machine."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"][self.role]["run"]
        values = {
            "{{listen.datagram_addr}}": f"{self.host}:{self.fleet.packets_port}",
            "{{listen.outbound}}": f"{self.host}:{self.fleet.outbound_port}",
        }
        for name, value in values.items():
            words = words.replace(name, value)
        return words.split(" ")

    async def async_start(self, is_first_start: bool = True) -> None:
        """Start the process, and restart it whenever it ends."""
        self.write_settings(is_first_start)
        await self._async_spawn()
        self._tasks.append(asyncio.create_task(self._async_keep_running()))
        if self.role == "balancer":
            self._tasks.append(asyncio.create_task(self._async_check_ready()))

    async def _async_spawn(self) -> None:
        """Start the process once."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["POMELOTRAIL_NODE_FILE"] = str(self._settings)
        self._is_ending = False
        self._process = await asyncio.create_subprocess_exec(
            *self._command(),
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )
        self._running.set()
        self.fleet.record.write(f"started {self.name} ({self._process.pid})")

    async def _async_keep_running(self) -> None:
        """Restart the process 0.5 s after each end, as the platform does."""
        while True:
            code = await self._process.wait()
            self._running.clear()
            how = "was ended" if self._is_ending else "ENDED BY ITSELF"
            self.fleet.record.write(f"{self.name} {how}, code {code}")
            if not self._is_ending:
                self.own_ends.append(time.monotonic())
            await asyncio.sleep(0.5)
            self.write_settings(False)
            await self._async_spawn()

    async def _async_check_ready(self) -> None:
        """Ask for readiness twice per second; two misses end the rotation."""
        misses = 2
        while True:
            ready = await self._async_is_ready()
            misses = 0 if ready else misses + 1
            if self.is_in_rotation != (misses < 2):
                self._rotation.set() if misses < 2 else self._rotation.clear()
                state = "in" if self.is_in_rotation else "out of"
                self.fleet.record.write(f"{self.name} is {state} rotation")
            await asyncio.sleep(0.5 if self.is_in_rotation else 0.1)

    async def _async_is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    self.host, self.fleet.ready_port
                )
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def send_signal(self, number: signal.Signals, ends: bool = False) -> None:
        """Send a signal to the process."""
        self._is_ending = self._is_ending or ends
        self.fleet.record.write(f"{number.name} to {self.name}")
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def async_stop(self) -> None:
        """Kill the process and don't restart it."""
        for task in self._tasks:
            task.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        self._log.close()

    def log_text(self) -> str:
        """Return what the process has written."""
        return Path(self._log.name).read_text(errors="replace")


class Fleet:
    """A small deployment of the system with the stand-ins around it."""

    def __init__(
        self,
        record: Path,
        services: dict[str, int],
        routes: dict[str, str],
        balancers: int = 2,
        warmup_per_s: float = 0.0,
        idle_timeout_ms: int = 15_000,
        capacity: int = 4,
    ) -> None:
        """Describe the endpoints of each service and the service of each route."""
        self.record = Record(record)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.changed_packets = 0
        self.version = 0
        self.warmup_per_s = warmup_per_s
        self.idle_timeout_ms = idle_timeout_ms
        self._services = services
        self._prefix = _free_prefix()
        self._choose_ports()
        self.store_host = f"{self._prefix}.9"
        self.routes = {
            name: (f"{self._prefix}.{200 + number}", 8443)
            for number, name in enumerate(routes)
        }
        self.route_services = dict(routes)
        self.consumer = Consumer(self, f"{self._prefix}.8")
        self.balancers = [
            Machine(
                self, "balancer", f"frontend-{i}", f"{self._prefix}.{10 + i}", ZONES[0]
            )
            for i in range(balancers)
        ]
        self.endpoints: list[Endpoint] = []
        for service, count in services.items():
            for _ in range(count):
                number = len(self.endpoints)
                host = f"{self._prefix}.{100 + number}"
                machine = Machine(self, "companion", f"side-{number}", host, ZONES[0])
                machine.service = service
                name = f"i-{random.randrange(16**10):010x}"
                self.endpoints.append(
                    Endpoint(self, name, service, machine, capacity=capacity)
                )
        self.pin: Callable[[ConsumerFlow], Machine | None] | None = None

    def _choose_ports(self) -> None:
        """Choose ports that are free now."""
        sockets = []
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM) * 3:
            bound = socket.socket(socket.AF_INET, kind)
            bound.bind((f"{self._prefix}.9", 0))
            sockets.append(bound)
        ports = sorted({bound.getsockname()[1] for bound in sockets})
        for bound in sockets:
            bound.close()
        self.packets_port, self.fleet_port, self.outbound_port = ports[:3]
        self.app_port, self.ready_port = ports[3:5]

    @property
    def machines(self) -> list[Machine]:
        """Return all machines of the system."""
        return [*self.balancers, *(each.machine for each in self.endpoints)]

    def text(self, key: bytes) -> str:
        """Return the key of a flow as text."""
        return (
            f"{socket.inet_ntoa(key[:4])}:{int.from_bytes(key[4:6])}>"
            f"{socket.inet_ntoa(key[6:10])}:{int.from_bytes(key[10:12])}"
        )

    def publish_configuration(self) -> None:
        """Write the next version of the configuration."""
        self.version += 3
        content = {
            "version": self.version,
            "routes": [
                {
                    "name": name,
                    "host": self.routes[name][0],
                    "prefix": f"/{self.routes[name][1]}/",
                    "kind": "idempotent",
                    "timeout_ms": 4000,
                    "target_latency_ms": 270,
                    "priority": 1,
                    "service": service,
                    "max_attempts": 2,
                }
                for name, service in self.route_services.items()
            ],
            "services": [
                {
                    "name": service,
                    "health_path": "/health",
                    "max_conns": 2000,
                    "protocol": "h1",
                    "tls": False,
                    "warmup_s": 2.0,
                    "warmup_per_s": self.warmup_per_s,
                }
                for service in self._services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": self.idle_timeout_ms,
            },
        }
        self.store.put("op/config", json.dumps(content).encode())
        self.record.write(
            f"the store confirmed configuration {self.version}: "
            f"{self.route_services}, idle_timeout_ms {self.idle_timeout_ms}"
        )

    async def async_start(self) -> None:
        """Start all parts and wait until all balancers are in rotation."""
        for machine in self.machines:
            machine.store_port = await self.store.async_listen(
                machine.name, self.store_host
            )
        self.publish_configuration()
        await self.consumer.async_start()
        for endpoint in self.endpoints:
            await endpoint.async_start()
        for machine in self.machines:
            await machine.async_start()
        async with asyncio.timeout(30):
            for balancer in self.balancers:
                await balancer.async_wait_for_rotation()
        await asyncio.sleep(0.5)

    def pick_node(self, flow: ConsumerFlow) -> Machine | None:
        """Return the node for a packet: a hash over the nodes in rotation."""
        if self.pin is not None and (pinned := self.pin(flow)) is not None:
            return pinned
        usable = [each for each in self.balancers if each.is_in_rotation]
        if len(usable) * 2 < len(self.balancers):
            usable = self.balancers
        return usable[zlib.crc32(flow.text.encode()) % len(usable)]

    async def async_open(self, route: str) -> tuple[ConsumerFlow, str]:
        """Open a flow on a route."""
        flow = self.consumer.new_flow(self.routes[route])
        result = await flow.async_open()
        self.record.write(f"flow {flow.text} ({route}, {flow.node}): {result}")
        return flow, result

    async def async_ask(self, route: str, name: str) -> tuple[str, ConsumerFlow]:
        """Send one request on a flow of its own; return how that ended."""
        flow, result = await self.async_open(route)
        if result == "open":
            result = await flow.async_request(name)
        flow.close()
        return result, flow

    def runs_of(self, name: str) -> list[str]:
        """Return the services that ran a request."""
        return [
            endpoint.service
            for endpoint in self.endpoints
            for _, run in endpoint.runs
            if run == name
        ]

    async def async_stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for machine in self.machines:
            await machine.async_stop()
        for endpoint in self.endpoints:
            endpoint.crash()
        self.store.close()
        if os.environ.get("KEEP"):
            self.record.write(f"logs are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_prefix() -> str:
    """Return the first three bytes of a loopback network that nobody uses."""
    while True:
        prefix = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind((f"{prefix}.10", 9464))
            except OSError:
                continue
            return prefix


def play(
    make_fleet: Callable[[], Fleet], play_case: Callable[[Fleet], Awaitable[bool]]
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 for neither."""

    async def async_play() -> int:
        fleet = make_fleet()
        try:
            async with asyncio.timeout(115):
                await fleet.async_start()
                is_broken = await play_case(fleet)
            fleet.record.write("the rule is broken" if is_broken else "the rule held")
            return 1 if is_broken else 0
        except Exception:
            fleet.record.write(traceback.format_exc())
            traceback.print_exc()
            return 2
        finally:
            await fleet.async_stop()

    if not (ROOT / "target/app/launch.py").exists():
        print("target/app is missing; build the deploy file first", file=sys.stderr)
        sys.exit(2)
    sys.exit(asyncio.run(async_play()))
