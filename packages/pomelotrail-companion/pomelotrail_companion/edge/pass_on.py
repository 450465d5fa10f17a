"""Stores decisions on the opening packets that this companion did not accept."""

from collections.abc import Callable
from datetime import timedelta

import attrs

from pomelotrail_core.clock import Clock
from pomelotrail_core.routing import ForwardedPacket

from .const import MAX_HOPS, MAX_PASS_ON_ENTRIES, PASS_ON_TTL

IsOut = Callable[[bytes], bool]


@attrs.frozen
class _Decision:
    """The companion that an opening packet went to (None: refused), and the expiry."""

    companion: bytes | None
    expires_at: timedelta


class PassOnDecisions:
    """Stores which companion each opening packet was passed on to.

    All retransmissions of an opening packet must go to the same companion: one
    that arrives when this companion has capacity again would otherwise open a
    second flow. Decisions expire after a few seconds, so an opening packet that
    went to a failed companion is then offered to another one.
    """

    def __init__(self, clock: Clock, is_out: IsOut) -> None:
        """Exclude companions for which ``is_out`` is true."""
        self._clock = clock
        self._is_out = is_out
        self._decisions: dict[bytes, _Decision] = {}

    def __len__(self) -> int:
        """Return the number of stored decisions."""
        return len(self._decisions)

    def has_decision(self, connection_id: bytes) -> bool:
        """Return True if an opening packet was recently passed on or refused."""
        self._evict_expired()
        return connection_id in self._decisions

    def choose_companion(
        self, connection_id: bytes, packet: ForwardedPacket
    ) -> bytes | None:
        """Return the companion for an opening packet, or None to refuse it."""
        self._evict_expired()
        decision = self._decisions.get(connection_id)
        if decision is None or not self._is_valid(decision):
            decision = self._decide(packet)
            self._decisions.pop(connection_id, None)
            self._decisions[connection_id] = decision
        return decision.companion

    def prepare_packet(
        self, packet: ForwardedPacket, companion: bytes | None
    ) -> ForwardedPacket | None:
        """Return the packet for a companion, with only the candidates after it."""
        if companion is None or packet.hops >= MAX_HOPS:
            return None
        candidates = packet.candidates
        if companion in candidates:
            candidates = candidates[candidates.index(companion) + 1 :]
        return attrs.evolve(packet, hops=packet.hops + 1, candidates=candidates)

    def first_candidate_in_service(self, packet: ForwardedPacket) -> bytes | None:
        """Return the first candidate in service, or None."""
        if packet.hops >= MAX_HOPS:
            return None
        return next(
            (
                candidate
                for candidate in packet.candidates
                if not self._is_out(candidate)
            ),
            None,
        )

    def _decide(self, packet: ForwardedPacket) -> _Decision:
        """Return a new decision."""
        until = self._clock.monotonic() + PASS_ON_TTL
        return _Decision(self.first_candidate_in_service(packet), until)

    def _is_valid(self, decision: _Decision) -> bool:
        """Return True unless the companion of a decision is out of service."""
        return decision.companion is None or not self._is_out(decision.companion)

    def _evict_expired(self) -> None:
        """Evict expired decisions, and the oldest ones above the limit."""
        now = self._clock.monotonic()
        while self._decisions:
            oldest = next(iter(self._decisions))
            is_expired = self._decisions[oldest].expires_at <= now
            if not is_expired and len(self._decisions) < MAX_PASS_ON_ENTRIES:
                return
            del self._decisions[oldest]
