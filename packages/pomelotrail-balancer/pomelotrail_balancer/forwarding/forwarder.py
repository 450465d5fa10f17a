"""Routing of packets from callers."""

from typing import Final

import attrs
from result import Err, Ok, Result

from pomelotrail_core.configuration import Configuration
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.membership import Roster
from pomelotrail_core.routing import Ranking, TokenReader
from pomelotrail_core.routing.const import MAX_CANDIDATES, TOKEN_BYTES
from pomelotrail_core.routing.quic_header import (
    LONG_HEADER,
    destination_connection_id,
    is_long_header,
    is_opening,
)
from pomelotrail_core.routing.token import unpack_owner

from .const import OWNER_CACHE_ENTRIES
from .errors import DropReason

_NO_CANDIDATES: Final[tuple[bytes, ...]] = ()


@attrs.frozen
class Route:
    """Destination of a packet and the companions it may be forwarded to from there."""

    destination: tuple[str, int]
    candidates: tuple[bytes, ...]


class Forwarder:
    """Routes by the owner in the packet's token, otherwise by ranked candidates.

    A packet with an owner is sent to it regardless of roster and suspicion, unless
    the owner's availability zone is out.
    """

    def __init__(self, reader: TokenReader, roster: Roster, ranking: Ranking) -> None:
        """Initialize with the given token reader, roster and ranking."""
        self._reader = reader
        self._roster = roster
        self._ranking = ranking
        self._zone_numbers_out: frozenset[int] = frozenset()
        self._routes_to_owners: dict[int, dict[bytes | None, Route]] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply the availability zones that are out in a new configuration."""
        self._zone_numbers_out = configuration.zone_numbers_out
        self._routes_to_owners.clear()

    def known_route(self, service_number: int, packet: bytes) -> Route | None:
        """Return the cached route of a packet to its owner.

        This applies to nearly every packet; if it returns None, use ``route``.
        """
        routes = self._routes_to_owners.get(service_number)
        if not routes or len(packet) <= TOKEN_BYTES or packet[0] & LONG_HEADER:
            return None
        return routes.get(self._reader.read_short_header(packet))

    def route(self, service_number: int, packet: bytes) -> Result[Route, DropReason]:
        """Return the route of a packet of a service."""
        connection_id = destination_connection_id(packet)
        if connection_id is None:
            return Err(DropReason.MALFORMED)
        if len(connection_id) == TOKEN_BYTES:
            owner = self._reader.read_packed(connection_id)
            if owner is not None:
                return self._route_to_owner(service_number, owner)
        if not is_long_header(packet):
            return Err(DropReason.UNKNOWN_OWNER)
        return self._route_unowned(service_number, connection_id, packet)

    def _route_to_owner(
        self, service_number: int, packed_owner: bytes
    ) -> Result[Route, DropReason]:
        """Return the route to the companion that owns the flow, and cache it."""
        owner = unpack_owner(packed_owner)
        if owner.service_number != service_number:
            return Err(DropReason.OTHER_SERVICE)
        if owner.zone_number in self._zone_numbers_out:
            return Err(DropReason.ZONE_OUT)
        route = Route(owner.companion.socket_address, _NO_CANDIDATES)
        routes = self._routes_to_owners.setdefault(service_number, {})
        if len(routes) >= OWNER_CACHE_ENTRIES:
            routes.clear()
        routes[packed_owner] = route
        return Ok(route)

    def _route_unowned(
        self, service_number: int, connection_id: bytes, packet: bytes
    ) -> Result[Route, DropReason]:
        """Return the route to the ranked candidates.

        A packet that doesn't open a flow belongs to an existing one, whose owner may
        be leaving, so its candidates include leaving servers.
        """
        if is_opening(packet):
            candidates = self._roster.candidates(service_number)
        else:
            candidates = self._roster.possible_owners(service_number)
        ranked = self._ranking.rank(connection_id, candidates, MAX_CANDIDATES)
        if not ranked:
            return Err(DropReason.NO_CANDIDATE)
        first: Endpoint = ranked[0].companion
        others = tuple(candidate.packed for candidate in ranked[1:])
        return Ok(Route(first.socket_address, others))
