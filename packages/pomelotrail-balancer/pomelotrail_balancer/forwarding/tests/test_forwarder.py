"""Tests of packet routing."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from harness.builders import backend_server, configuration, routing_token, token_keys
from pomelotrail_balancer.forwarding import Forwarder
from pomelotrail_balancer.forwarding.errors import DropReason
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.membership import Roster
from pomelotrail_core.routing import RendezvousRanking, TokenIssuer, TokenReader
from pomelotrail_core.routing.quic_header import MIN_OPENING_BYTES

_SHORT_HEADER = 0x40


def _forwarder(**changes: object) -> Forwarder:
    """Return a forwarder with a configuration in force."""
    roster = Roster()
    forwarder = Forwarder(TokenReader(token_keys()), roster, RendezvousRanking())
    in_force = configuration(**changes)
    roster.configure(in_force)
    forwarder.configure(in_force)
    return forwarder


def _short_packet(connection_id: bytes) -> bytes:
    """Return a packet of an established flow."""
    return bytes([_SHORT_HEADER]) + connection_id + bytes(40)


def _opening_packet(connection_id: bytes) -> bytes:
    """Return a packet with the header of an opening packet."""
    head = b"\xc0\x00\x00\x00\x01" + bytes([len(connection_id)]) + connection_id
    return head.ljust(MIN_OPENING_BYTES, b"\0")


class ForwarderTest(unittest.TestCase):
    """Packets are sent to the owner in their token or to ranked candidates."""

    def test_owner_is_followed_even_if_unknown(self) -> None:
        """An established flow is sent to its owner even if the roster lacks it."""
        owner = routing_token(companion=Endpoint("203.0.113.50", 9))
        packet = _short_packet(TokenIssuer(token_keys(), owner).issue())
        route = _forwarder().route(1, packet).unwrap()
        self.assertEqual(route.destination, ("203.0.113.50", 9))
        self.assertEqual(route.candidates, ())

    def test_other_service(self) -> None:
        """A token of one service is rejected by another."""
        packet = _short_packet(TokenIssuer(token_keys(), routing_token()).issue())
        error = _forwarder().route(2, packet).unwrap_err()
        self.assertIs(error, DropReason.OTHER_SERVICE)

    def test_zone_out(self) -> None:
        """Packets for an availability zone that is out are dropped."""
        packet = _short_packet(TokenIssuer(token_keys(), routing_token()).issue())
        forwarder = _forwarder(zones_out=frozenset({"veraval"}))
        self.assertIs(forwarder.route(1, packet).unwrap_err(), DropReason.ZONE_OUT)

    def test_new_flow_never_goes_to_a_zone_that_is_out(self) -> None:
        """The candidates of new flows are in other zones."""
        forwarder = _forwarder(zones_out=frozenset({"veraval"}))
        out = {
            each.packets.socket_address
            for each in configuration().services[0].backend_servers
            if each.zone == "veraval"
        }
        for number in range(200):
            packet = _opening_packet(number.to_bytes(8, "big"))
            self.assertNotIn(forwarder.route(1, packet).unwrap().destination, out)

    def test_leaving_server_gets_no_opening_packets(self) -> None:
        """Other packets of its flows are still sent there, but no opening packets."""
        servers = (backend_server(1, is_out=True), backend_server(2))
        forwarder = _forwarder(servers=servers)
        leaving = servers[0].packets.socket_address
        opening_destinations, other_destinations = set(), set()
        for number in range(50):
            packet = _opening_packet(number.to_bytes(8, "big"))
            opening_destinations.add(forwarder.route(1, packet).unwrap().destination)
            small = packet[:200]
            other_destinations.add(forwarder.route(1, small).unwrap().destination)
        self.assertNotIn(leaving, opening_destinations)
        self.assertIn(leaving, other_destinations)

    @given(st.binary(max_size=60))
    def test_random_packets_never_raise(self, packet: bytes) -> None:
        """Random bytes are routed as openings of this service or dropped."""
        result = _forwarder().route(1, packet)
        if result.is_err():
            self.assertIsInstance(result.unwrap_err(), DropReason)

    def test_all_balancers_rank_alike(self) -> None:
        """Two balancers compute the same route for an opening packet."""
        packet = _opening_packet(b"12345678")
        self.assertEqual(_forwarder().route(1, packet), _forwarder().route(1, packet))
