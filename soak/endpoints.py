"""Backend servers and callers that record what they receive."""

import asyncio
import enum
from typing import Any

from pomelotrail_core.flows import SEQUENCE_RANGE, Packet
from stand_ins.flows import CODEC, StandInCaller, StandInServer, make_packet

from .const import MAX_RESET_DISTANCE

RETRY_TIMEOUTS_S = (0.2, 0.4, 0.8, 1.6, 1.6)


def accepts_reset(sequence: int, acknowledged: int) -> bool:
    """Return whether a caller of the platform accepts a reset of its open flow.

    A balancer that refuses a late copy of the opening doesn't know the flow's numbers.
    """
    distance = (sequence - acknowledged) % SEQUENCE_RANGE
    return min(distance, SEQUENCE_RANGE - distance) <= MAX_RESET_DISTANCE


class RequestResult(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    RESET = "reset"
    SILENT = "silent"
    WRONG = "wrong"


class SoakServer(StandInServer):
    """Executes each request once, and repeats its answer on a retransmission."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Initialize as a stand-in server."""
        super().__init__(*args, **kwargs)
        self.opening_packets: list[tuple[float, Packet]] = []
        self._answers: dict[tuple[bytes, int], bytes | None] = {}

    def has_flow(self, flow: bytes, expected_sequence: int) -> bool:
        """Return whether a caller's flow is open at this server."""
        return self.flows.get(flow) == expected_sequence - 1

    def crash(self) -> None:
        """Discard all flows and answers."""
        super().crash()
        self._answers.clear()

    def _open(self, packet: Packet) -> None:
        """Record an opening packet."""
        self.opening_packets.append((asyncio.get_running_loop().time(), packet))
        super()._open(packet)

    def _handle_data(self, packet: Packet) -> None:
        """Execute a request, or repeat its answer if this is a retransmission."""
        key = (packet.caller_flow, packet.sequence)
        content = CODEC.content(packet)
        if not content:
            return
        if key not in self._answers:
            self._answers[key] = None
            super()._handle_data(packet)
        elif (answer := self._answers[key]) is not None:
            super()._finish(packet, answer)

    def _finish(self, packet: Packet, content: bytes) -> None:
        """Record the answer to a request."""
        self._answers[(packet.caller_flow, packet.sequence)] = content
        super()._finish(packet, content)


class SoakCaller(StandInCaller):
    """Detects answers to other requests than its own."""

    _is_open = False

    @property
    def flow(self) -> bytes:
        """Return the key of the flow."""
        return self.packed_address + self._service

    @property
    def expected_sequence(self) -> int:
        """Return the sequence number that the caller expects next."""
        return self._expected

    @property
    def was_refused(self) -> bool:
        """Return whether the opening was answered by a reset."""
        return self._expected > 0 and not self._is_open

    async def async_open(self) -> bool:
        """Open the flow; return False if it was reset or not answered."""
        self._is_open = await super().async_open()
        return self._is_open

    def send_late(self, request: bytes) -> None:
        """Send a request on a refused flow, which must not run."""
        self._send_packet(
            make_packet(
                self.packed_address, self._service, self._sequence, self._expected
            ),
            request,
        )

    async def async_send_until_answered(self, request: bytes) -> RequestResult:
        """Send a request, with retransmissions, and return its result."""
        for timeout in RETRY_TIMEOUTS_S:
            sequence, expected = self._sequence, self._expected
            self._send_packet(
                make_packet(self.packed_address, self._service, sequence, expected),
                request,
            )
            result = await self._async_wait_for_result(request, timeout)
            if result is RequestResult.ANSWERED:
                self._sequence += len(request)
            if result is not None:
                return result
        return RequestResult.SILENT

    async def _async_wait_for_result(
        self, request: bytes, timeout: float
    ) -> RequestResult | None:
        """Return the result, or None on timeout.

        Answers to earlier requests are retransmissions and are ignored.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while (remaining := deadline - loop.time()) > 0:
            packet = await self._async_receive_packet(remaining)
            if packet is None:
                return None
            if packet.resets and accepts_reset(packet.sequence, self._expected):
                return RequestResult.RESET
            content = CODEC.content(packet)
            if packet.accepts or not content:
                continue
            if content == b"answer to " + request:
                return RequestResult.ANSWERED
            if not content.startswith(b"answer to " + self._content_prefix(request)):
                return RequestResult.WRONG
        return None

    @staticmethod
    def _content_prefix(request: bytes) -> bytes:
        """Return the prefix of all requests of a flow."""
        return request.rpartition(b"/")[0]
