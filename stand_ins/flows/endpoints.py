"""Stand-ins for callers and backend servers, the endpoints of flows."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final

import msgspec

from pomelotrail_core.datagram_callback import Address
from pomelotrail_core.endpoint import pack_address
from pomelotrail_core.flows import Packet

from .codec import CODEC, make_packet
from .network import Network

OPENING_RETRANSMISSION_TIMEOUTS_S: Final = (0.2, 0.4, 0.8)
REQUEST_RETRANSMISSION_TIMEOUT_S: Final = 0.2


class StandInServer:
    """A backend server that answers every request after a fixed time."""

    def __init__(
        self,
        network: Network,
        app: Address,
        companion: Address,
        service: str,
        work_s: float = 0.02,
    ) -> None:
        """Receive packets at ``app`` and send answers to the companion."""
        self.host = app[0]
        self._companion = companion
        self.service = service
        self.work_s = work_s
        self.accepts_flows = True
        self.answers_opening_packets = True
        self.executes_duplicates = True
        self._last_answer: tuple[Packet, bytes]
        self._received_up_to: dict[bytes, int] = {}
        self.flows: dict[bytes, int] = {}
        self.opening_times: list[float] = []
        self.unknown_flows: list[bytes] = []
        self.executed_requests: list[bytes] = []
        self._initial_sequences = itertools.count(
            int(self.host.rpartition(".")[2]) * 100_000, 1_000
        )
        self._send = network.sender(app)
        network.listen(app, self.receive)

    def set_initial_sequence(self, first: int) -> None:
        """Continue initial sequence numbers of further flows from ``first``."""
        self._initial_sequences = itertools.count(first, 1_000)

    def crash(self) -> None:
        """Discard all flows, as a restart after a crash does."""
        self.flows.clear()

    def end_flow(self, caller: bytes) -> None:
        """End the flow of a caller's address and forget it."""
        flow = next(each for each in self.flows if each.startswith(caller))
        end = make_packet(
            flow[len(caller) :], caller, self.flows.pop(flow) + 1, finishes=True
        )
        self._send(CODEC.encode(end), self._companion)

    def receive(self, data: bytes, sender: Address) -> None:
        """Handle a packet from a caller."""
        packet = CODEC.decode(data)
        if packet is None or packet.returned or packet.label or packet.mark:
            raise AssertionError("packet differs from the packet that its caller sent")
        if packet.opens:
            self._open(packet)
        elif self._owns_flow(packet):
            self._handle_data(packet)
        else:
            self.unknown_flows.append(packet.caller_flow)
            self._send_back(packet)

    def _open(self, packet: Packet) -> None:
        """Handle an opening packet."""
        self.opening_times.append(asyncio.get_running_loop().time())
        if not self.accepts_flows:
            self._send_back(packet)
            return
        if not self.answers_opening_packets:
            return
        sequence = next(self._initial_sequences)
        self.flows[packet.caller_flow] = sequence
        self._send_answer(packet, sequence, is_acceptance=True)

    def _owns_flow(self, packet: Packet) -> bool:
        """Return whether a packet belongs to a flow of this server."""
        sequence = self.flows.get(packet.caller_flow)
        return sequence is not None and sequence < packet.acknowledged < sequence + 999

    def _handle_data(self, packet: Packet) -> None:
        """Execute a request, or ignore a bare acknowledgement."""
        content = CODEC.content(packet)
        if not content:
            return
        if not self.executes_duplicates and self._record_data(packet):
            self._send_answer(packet, packet.acknowledged)
            return
        self.executed_requests.append(content)
        loop = asyncio.get_running_loop()
        loop.call_later(self.work_s, self._finish, packet, content)

    def _record_data(self, packet: Packet) -> bool:
        """Record the end of received data and return whether it is a duplicate."""
        end = packet.sequence + packet.size
        received = self._received_up_to.get(packet.caller_flow, 0)
        self._received_up_to[packet.caller_flow] = max(end, received)
        return end <= received

    def _finish(self, packet: Packet, content: bytes) -> None:
        """Answer a request if its flow is still open."""
        if packet.caller_flow in self.flows:
            self._last_answer = (packet, b"answer to " + content)
            self.resend_answer()

    def resend_answer(self) -> None:
        """Send the last answer, possibly again."""
        packet, content = self._last_answer
        self._send_answer(packet, packet.acknowledged, content=content)

    def _send_answer(
        self,
        packet: Packet,
        sequence: int,
        is_acceptance: bool = False,
        content: bytes = b"",
    ) -> None:
        """Send a packet to the caller through the companion."""
        answer = make_packet(
            packet.receiver,
            packet.sender,
            sequence,
            packet.sequence + packet.size + 1,
            accepts=is_acceptance,
        )
        self._send(CODEC.encode(answer, content), self._companion)

    def _send_back(self, packet: Packet) -> None:
        """Return a packet to the companion."""
        returned = msgspec.structs.replace(packet, returned=True)
        data = CODEC.encode(returned, CODEC.content(packet))
        self._send(data, self._companion)


class CallerHost:
    """A host of callers that receives packets for all of them at one address."""

    def __init__(
        self,
        network: Network,
        address: Address,
        get_balancer_address: Callable[[], Address],
    ) -> None:
        """Send packets to the balancer whose address the function returns."""
        self._address = address
        self._get_balancer_address = get_balancer_address
        self._callers: dict[bytes, Callable[[Packet], None]] = {}
        self._ports = itertools.count(20_000)
        self._send = network.sender(address)
        network.listen(address, self._receive)

    def caller(self, service: Address) -> "StandInCaller":
        """Return a caller that uses its own port."""
        return StandInCaller(self, (self._address[0], next(self._ports)), service)

    def register(self, address: bytes, handle_packet: Callable[[Packet], None]) -> None:
        """Register a function for packets to a caller's port."""
        self._callers[address] = handle_packet

    def send(self, data: bytes) -> None:
        """Send a packet through the fabric."""
        self._send(data, self._get_balancer_address())

    def _receive(self, data: bytes, sender: Address) -> None:
        """Pass a packet to its caller."""
        packet = CODEC.decode(data)
        if packet is not None and packet.receiver in self._callers:
            self._callers[packet.receiver](packet)


class StandInCaller:
    """A caller that opens a flow and sends requests on it."""

    def __init__(self, host: CallerHost, address: Address, service: Address) -> None:
        """Register the caller's address at its host."""
        self._host = host
        self._service = pack_address(service)
        self._received_packets: asyncio.Queue[Packet] = asyncio.Queue()
        self._sequence = 1_000
        self._expected = 0
        self.packed_address = pack_address(address)
        self.opening_retransmissions = 0
        self.use_address(self.packed_address)

    def use_address(self, address: bytes) -> None:
        """Use an address, possibly in place of another caller that has it."""
        self.packed_address = address
        self._host.register(address, self._queue_packet)

    def _queue_packet(self, packet: Packet) -> None:
        """Queue a received packet unless it is a bare acknowledgement."""
        if packet.accepts or packet.resets or packet.size:
            self._received_packets.put_nowait(packet)

    async def async_open(self) -> bool:
        """Open the flow; return False if it was reset or not answered."""
        for retransmissions, delay in enumerate(OPENING_RETRANSMISSION_TIMEOUTS_S):
            self.opening_retransmissions = retransmissions
            self._send_packet(
                make_packet(
                    self.packed_address, self._service, 999, retransmissions, opens=True
                )
            )
            answer = await self._async_receive_packet(delay)
            if answer is not None:
                self._expected = answer.sequence + 1
                return answer.accepts
        return False

    async def async_send_request(
        self, content: bytes, attempts: int = 6
    ) -> bytes | None:
        """Send a request and return its answer, or None if the flow was reset."""
        for _ in range(attempts):
            packet = make_packet(
                self.packed_address, self._service, self._sequence, self._expected
            )
            self._send_packet(packet, content)
            answer = await self._async_receive_packet(REQUEST_RETRANSMISSION_TIMEOUT_S)
            if answer is not None and answer.resets:
                return None
            if answer is not None and not answer.accepts:
                self._sequence += len(content)
                return CODEC.content(answer)
        raise TimeoutError("no answer")

    def retransmit_request(self, content: bytes) -> None:
        """Retransmit the last request, as if its answer had been lost."""
        sequence = self._sequence - len(content)
        packet = make_packet(
            self.packed_address, self._service, sequence, self._expected
        )
        self._send_packet(packet, content)

    async def async_open_and_request(self, content: bytes) -> bytes | None:
        """Open the flow and send one request."""
        return (
            await self.async_send_request(content) if await self.async_open() else None
        )

    def _send_packet(self, packet: Packet, content: bytes = b"") -> None:
        """Send a packet through the fabric."""
        self._host.send(CODEC.encode(packet, content))

    async def _async_receive_packet(self, seconds: float) -> Packet | None:
        """Return the next received packet, or None after a timeout."""
        try:
            async with asyncio.timeout(seconds):
                while True:
                    packet = await self._received_packets.get()
                    if not self._is_stale_answer(packet):
                        return packet
        except TimeoutError:
            return None

    def _is_stale_answer(self, packet: Packet) -> bool:
        """Return whether a packet answers an earlier request."""
        return bool(packet.size) and packet.acknowledged <= self._sequence + 1
