"""Callers and backend servers that speak in flows."""

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

COPY_WAITS_S: Final = (0.2, 0.4, 0.8)
REPEAT_S: Final = 0.2


class StandInServer:
    """A backend server that answers every request after its work."""

    def __init__(
        self,
        network: Network,
        app: Address,
        companion: Address,
        service: str,
        work_s: float = 0.02,
    ) -> None:
        """Take packets at ``app`` and send them to the companion."""
        self.host = app[0]
        self._companion = companion
        self.service = service
        self.work_s = work_s
        self.accepts = True
        self.answers_openings = True
        self.runs_repetitions = True
        self._last: tuple[Packet, bytes]
        self._received: dict[bytes, int] = {}
        self.flows: dict[bytes, int] = {}
        self.openings: list[float] = []
        self.strays: list[bytes] = []
        self.ran: list[bytes] = []
        self._sequence = itertools.count(
            int(self.host.rpartition(".")[2]) * 100_000, 1_000
        )
        self._send = network.sender(app)
        network.listen(app, self.receive)

    def use_sequences_from(self, first: int) -> None:
        """Accept further flows with other initial sequence numbers."""
        self._sequence = itertools.count(first, 1_000)

    def crash(self) -> None:
        """Lose all flows and start again."""
        self.flows.clear()

    def receive(self, data: bytes, sender: Address) -> None:
        """Take a packet of a caller."""
        packet = CODEC.decode(data)
        if packet is None or packet.returned or packet.label or packet.mark:
            raise AssertionError("a packet that its caller did not write so")
        if packet.opens:
            self._open(packet)
        elif self._holds(packet):
            self._take(packet)
        else:
            self.strays.append(packet.caller_flow)
            self._return(packet)

    def _open(self, packet: Packet) -> None:
        """Accept a flow."""
        self.openings.append(asyncio.get_running_loop().time())
        if not self.accepts:
            self._return(packet)
            return
        if not self.answers_openings:
            return
        sequence = next(self._sequence)
        self.flows[packet.caller_flow] = sequence
        self._answer(packet, sequence, accepts=True)

    def _holds(self, packet: Packet) -> bool:
        """Tell whether a packet belongs to a flow of this server."""
        sequence = self.flows.get(packet.caller_flow)
        return sequence is not None and sequence < packet.acknowledged < sequence + 999

    def _take(self, packet: Packet) -> None:
        """Run a request, or take a bare acknowledgement."""
        content = CODEC.content(packet)
        if not content:
            return
        if not self.runs_repetitions and self._was_received(packet):
            self._answer(packet, packet.acknowledged)
            return
        self.ran.append(content)
        loop = asyncio.get_running_loop()
        loop.call_later(self.work_s, self._finish, packet, content)

    def _was_received(self, packet: Packet) -> bool:
        """Tell whether data came before, and note how far it reaches."""
        end = packet.sequence + packet.size
        received = self._received.get(packet.caller_flow, 0)
        self._received[packet.caller_flow] = max(end, received)
        return end <= received

    def _finish(self, packet: Packet, content: bytes) -> None:
        """Answer a request, if the flow is still there."""
        if packet.caller_flow in self.flows:
            self._last = (packet, b"answer to " + content)
            self.repeat_answer()

    def repeat_answer(self) -> None:
        """Send the last answer, once more if it was sent before."""
        packet, content = self._last
        self._answer(packet, packet.acknowledged, content=content)

    def _answer(
        self,
        packet: Packet,
        sequence: int,
        accepts: bool = False,
        content: bytes = b"",
    ) -> None:
        """Send a packet to the caller by the companion."""
        answer = make_packet(
            packet.receiver,
            packet.sender,
            sequence,
            packet.sequence + packet.size + 1,
            accepts=accepts,
        )
        self._send(CODEC.encode(answer, content), self._companion)

    def _return(self, packet: Packet) -> None:
        """Give a packet back."""
        returned = msgspec.structs.replace(packet, returned=True)
        data = CODEC.encode(returned, CODEC.content(packet))
        self._send(data, self._companion)


class CallerHost:
    """The host of callers, whose packets all arrive at one address."""

    def __init__(
        self, network: Network, address: Address, entry: Callable[[], Address]
    ) -> None:
        """Send packets to the balancer that ``entry`` names."""
        self._address = address
        self._entry = entry
        self._callers: dict[bytes, Callable[[Packet], None]] = {}
        self._ports = itertools.count(20_000)
        self._send = network.sender(address)
        network.listen(address, self._receive)

    def caller(self, service: Address) -> "StandInCaller":
        """Return a caller with a port of its own."""
        return StandInCaller(self, (self._address[0], next(self._ports)), service)

    def register(self, own: bytes, arrived: Callable[[Packet], None]) -> None:
        """Give packets for a caller's port to a function."""
        self._callers[own] = arrived

    def send(self, data: bytes) -> None:
        """Send a packet through the fabric."""
        self._send(data, self._entry())

    def _receive(self, data: bytes, sender: Address) -> None:
        """Find the caller of a packet."""
        packet = CODEC.decode(data)
        if packet is not None and packet.receiver in self._callers:
            self._callers[packet.receiver](packet)


class StandInCaller:
    """Opens a flow and sends requests on it."""

    def __init__(self, host: CallerHost, address: Address, service: Address) -> None:
        """Send from an address of the caller's own."""
        self._host = host
        self._service = pack_address(service)
        self._arrived: asyncio.Queue[Packet] = asyncio.Queue()
        self._sequence = 1_000
        self._expected = 0
        self.own = pack_address(address)
        self.copies = 0
        self.use_address(self.own)

    def use_address(self, own: bytes) -> None:
        """Use an address, also that of another caller in its place."""
        self.own = own
        self._host.register(own, self._arrive)

    def _arrive(self, packet: Packet) -> None:
        """Keep what says something; bare acknowledgements don't."""
        if packet.accepts or packet.resets or packet.size:
            self._arrived.put_nowait(packet)

    async def async_open(self) -> bool:
        """Open the flow; False means that it was reset or not answered."""
        for copy, delay in enumerate(COPY_WAITS_S):
            self.copies = copy
            self._emit(make_packet(self.own, self._service, 999, copy, opens=True))
            answer = await self._async_next(delay)
            if answer is not None:
                self._expected = answer.sequence + 1
                return answer.accepts
        return False

    async def async_ask(self, question: bytes, tries: int = 6) -> bytes | None:
        """Send a request and return its answer; None stands for a reset."""
        for _ in range(tries):
            packet = make_packet(
                self.own, self._service, self._sequence, self._expected
            )
            self._emit(packet, question)
            answer = await self._async_next(REPEAT_S)
            if answer is not None and answer.resets:
                return None
            if answer is not None and not answer.accepts:
                self._sequence += len(question)
                return CODEC.content(answer)
        raise TimeoutError("no answer")

    def repeat(self, question: bytes) -> None:
        """Send the last request once more, as if its answer had been lost."""
        sequence = self._sequence - len(question)
        packet = make_packet(self.own, self._service, sequence, self._expected)
        self._emit(packet, question)

    async def async_request(self, question: bytes) -> bytes | None:
        """Open the flow and send one request."""
        return await self.async_ask(question) if await self.async_open() else None

    def _emit(self, packet: Packet, content: bytes = b"") -> None:
        """Send a packet through the fabric."""
        self._host.send(CODEC.encode(packet, content))

    async def _async_next(self, seconds: float) -> Packet | None:
        """Return what arrives next, or None."""
        try:
            async with asyncio.timeout(seconds):
                while True:
                    packet = await self._arrived.get()
                    if not self._is_repeated_answer(packet):
                        return packet
        except TimeoutError:
            return None

    def _is_repeated_answer(self, packet: Packet) -> bool:
        """Tell whether a packet answers a question before the present one."""
        return bool(packet.size) and packet.acknowledged <= self._sequence + 1
