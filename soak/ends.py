"""Backend servers and callers that record what they see."""

import asyncio
import enum
from typing import Any

from pomelotrail_core.flows import Packet
from stand_ins.flows import CODEC, StandInCaller, StandInServer, make_packet

REPEATS_S = (0.2, 0.4, 0.8, 1.6, 1.6)


class Reply(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    RESET = "reset"
    SILENT = "silent"
    WRONG = "wrong"


class SoakServer(StandInServer):
    """Runs each request once, and repeats an answer that was lost."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        """Start like a stand-in."""
        super().__init__(*arguments, **named)
        self.opened: list[tuple[float, Packet]] = []
        self._taken: dict[tuple[bytes, int], bytes | None] = {}

    def holds_flow(self, flow: bytes, expected: int) -> bool:
        """Tell whether a caller's flow is open here."""
        return self.flows.get(flow) == expected - 1

    def crash(self) -> None:
        """Lose all flows and start again."""
        super().crash()
        self._taken.clear()

    def _open(self, packet: Packet) -> None:
        """Record an opening."""
        self.opened.append((asyncio.get_running_loop().time(), packet))
        super()._open(packet)

    def _handle_data(self, packet: Packet) -> None:
        """Run a request, unless this repeats it."""
        key = (packet.caller_flow, packet.sequence)
        content = CODEC.content(packet)
        if not content:
            return
        if key not in self._taken:
            self._taken[key] = None
            super()._handle_data(packet)
        elif (answered := self._taken[key]) is not None:
            super()._finish(packet, answered)

    def _finish(self, packet: Packet, content: bytes) -> None:
        """Remember that a request was answered."""
        self._taken[(packet.caller_flow, packet.sequence)] = content
        super()._finish(packet, content)


class SoakCaller(StandInCaller):
    """Tells answers of its own requests from all others."""

    @property
    def flow(self) -> bytes:
        """Return the key of the flow."""
        return self.packed_address + self._service

    @property
    def expected(self) -> int:
        """Return the byte that the caller expects next."""
        return self._expected

    async def async_ask_once(self, question: bytes) -> Reply:
        """Send a request until it is answered, reset or given up."""
        for wait in REPEATS_S:
            sequence, expected = self._sequence, self._expected
            self._send_packet(
                make_packet(self.packed_address, self._service, sequence, expected),
                question,
            )
            reply = await self._async_reply(question, wait)
            if reply is Reply.ANSWERED:
                self._sequence += len(question)
            if reply is not None:
                return reply
        return Reply.SILENT

    async def _async_reply(self, question: bytes, wait: float) -> Reply | None:
        """Return what came in time; answers to earlier requests are repetitions."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + wait
        while (rest := ends - loop.time()) > 0:
            packet = await self._async_receive_packet(rest)
            if packet is None:
                return None
            if packet.resets:
                return Reply.RESET
            content = CODEC.content(packet)
            if packet.accepts or not content:
                continue
            if content == b"answer to " + question:
                return Reply.ANSWERED
            if not content.startswith(b"answer to " + self._stem(question)):
                return Reply.WRONG
        return None

    @staticmethod
    def _stem(question: bytes) -> bytes:
        """Return what all questions of a flow begin with."""
        return question.rpartition(b"/")[0]
