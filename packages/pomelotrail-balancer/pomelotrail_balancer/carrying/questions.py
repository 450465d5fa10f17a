"""Questions to companions, each about many flows."""

import itertools
from datetime import timedelta

import msgspec

from pomelotrail_balancer.placement import CompanionView
from pomelotrail_core.clock import Clock
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.directory import Directory
from pomelotrail_core.offers import Lookup, LookupReply, encode

from .const import (
    ANSWER_LIFETIME,
    FLOWS_PER_MESSAGE_UNIT,
    FLOWS_PER_QUESTION,
    MILLISECOND,
)


class Question(msgspec.Struct, frozen=True):
    """What one companion was asked, about the server that it stood beside then."""

    companion: CompanionView
    identity: str
    flows: tuple[bytes, ...]
    sent: timedelta


class Questions:
    """Gathers flows by companion, and sends one message for many of them.

    Load pattern answered: after a power loss every open flow is looked up at every
    companion. The messages then grow with the companions, not with the flows::

        questions.add(flow, companion)
        questions.send()
    """

    def __init__(self, directory: Directory, clock: Clock, send: SendDatagram) -> None:
        """Send with the given function."""
        self._directory = directory
        self._clock = clock
        self._send = send
        self._numbers = itertools.count(1)
        self._gathered: dict[str, tuple[CompanionView, list[bytes]]] = {}
        self._sent: dict[int, Question] = {}

    def add(self, flow: bytes, companion: CompanionView) -> None:
        """Ask a companion for a flow with the next message."""
        identity = companion.server.identity
        entry = self._gathered.get(identity)
        if entry is None:
            entry = self._gathered[identity] = (companion, [])
        entry[1].append(flow)

    def send(self) -> float:
        """Send what was gathered; return its cost in messages of one flow."""
        now = self._clock.monotonic()
        self._forget(now)
        gathered, self._gathered = self._gathered, {}
        cost = 0.0
        for companion, flows in gathered.values():
            for start in range(0, len(flows), FLOWS_PER_QUESTION):
                part = tuple(flows[start : start + FLOWS_PER_QUESTION])
                self._ask(companion, part, now)
                cost += 1 + len(part) / FLOWS_PER_MESSAGE_UNIT
        return cost

    def take(self, reply: LookupReply, sender: Address) -> Question | None:
        """Return the question of a reply, unless it was answered or is unknown."""
        question = self._sent.get(reply.number)
        if question is None or question.companion.fleet != sender:
            return None
        del self._sent[reply.number]
        return question

    def _ask(
        self, companion: CompanionView, flows: tuple[bytes, ...], now: timedelta
    ) -> None:
        """Send one message."""
        server = companion.server
        number = next(self._numbers)
        self._sent[number] = Question(companion, server.identity, flows, now)
        unsettled_ms = self._directory.missing_entry_grace_remaining // MILLISECOND
        message = Lookup(number, server.service, flows, unsettled_ms, server.started_ms)
        self._send(encode(message), companion.fleet)

    def _forget(self, now: timedelta) -> None:
        """Drop the oldest questions, which nobody has answered in time."""
        while self._sent:
            number, oldest = next(iter(self._sent.items()))
            if now - oldest.sent < ANSWER_LIFETIME:
                return
            del self._sent[number]
