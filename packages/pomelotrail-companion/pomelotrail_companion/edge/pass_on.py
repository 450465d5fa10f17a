"""Remembers the openings that this companion did not take."""

from collections.abc import Callable
from datetime import timedelta

import attrs

from pomelotrail_core.clock import Clock
from pomelotrail_core.routing import ForwardedPacket

from .const import MAX_HOPS, PASS_ON_ENTRIES, PASS_ON_MEMORY

IsOut = Callable[[bytes], bool]


@attrs.frozen
class _Decision:
    """Who got an opening, or None when it was refused, and for how long."""

    companion: bytes | None
    until: timedelta


class PassOn:
    """Owns the memory of who was offered an opening after this companion.

    All packets of one opening must go one way: a retransmission that arrives
    when the companion has room again would otherwise open a second flow. The
    memory is short, so an opening that went to a companion that has died is
    offered elsewhere after a few seconds.
    """

    def __init__(self, clock: Clock, is_out: IsOut) -> None:
        """Offer nothing to companions of which ``is_out`` is true."""
        self._clock = clock
        self._is_out = is_out
        self._decisions: dict[bytes, _Decision] = {}

    def __len__(self) -> int:
        """Return the number of openings remembered."""
        return len(self._decisions)

    def remembers(self, connection_id: bytes) -> bool:
        """Tell whether an opening was passed on or refused a short time ago."""
        self._forget_old()
        return connection_id in self._decisions

    def choose(self, connection_id: bytes, packet: ForwardedPacket) -> bytes | None:
        """Return the companion for an opening, or None to refuse it."""
        self._forget_old()
        decision = self._decisions.get(connection_id)
        if decision is None or not self._still_holds(decision):
            decision = self._decide(packet)
            self._decisions.pop(connection_id, None)
            self._decisions[connection_id] = decision
        return decision.companion

    def onward(
        self, packet: ForwardedPacket, companion: bytes | None
    ) -> ForwardedPacket | None:
        """Return the packet for a companion, without who has been offered it."""
        if companion is None or packet.hops >= MAX_HOPS:
            return None
        candidates = packet.candidates
        if companion in candidates:
            candidates = candidates[candidates.index(companion) + 1 :]
        return attrs.evolve(packet, hops=packet.hops + 1, candidates=candidates)

    def first_allowed(self, packet: ForwardedPacket) -> bytes | None:
        """Return the first candidate that is not out, or None."""
        if packet.hops >= MAX_HOPS:
            return None
        return next(
            (each for each in packet.candidates if not self._is_out(each)), None
        )

    def _decide(self, packet: ForwardedPacket) -> _Decision:
        """Return a new decision."""
        until = self._clock.monotonic() + PASS_ON_MEMORY
        return _Decision(self.first_allowed(packet), until)

    def _still_holds(self, decision: _Decision) -> bool:
        """Tell whether the companion of a decision may still get packets."""
        return decision.companion is None or not self._is_out(decision.companion)

    def _forget_old(self) -> None:
        """Forget what is too old, and the oldest when there are too many."""
        now = self._clock.monotonic()
        while self._decisions:
            oldest = next(iter(self._decisions))
            is_old = self._decisions[oldest].until <= now
            if not is_old and len(self._decisions) < PASS_ON_ENTRIES:
                return
            del self._decisions[oldest]
