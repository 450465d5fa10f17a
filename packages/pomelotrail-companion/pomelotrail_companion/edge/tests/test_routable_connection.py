"""Tests of routing tokens as connection IDs of ``aioquic``."""

import ssl
import tempfile
import unittest
from pathlib import Path

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from harness.builders import routing_token, token_keys
from harness.certificates import write_certificate
from pomelotrail_companion.edge.const import RECEIVE_WINDOW_BYTES
from pomelotrail_companion.edge.quic_edge import quic_configuration
from pomelotrail_companion.edge.routable_connection import RoutableQuicConnection
from pomelotrail_core.routing import TokenIssuer, TokenReader
from pomelotrail_core.routing.quic_header import destination_connection_id

_CALLER = ("198.51.100.4", 5000)
_SERVICE = ("192.0.2.80", 443)


class RoutableConnectionTest(unittest.TestCase):
    """Every connection ID that a caller uses is a token of the companion."""

    def setUp(self) -> None:
        """Connect an in-memory client to a server with routable IDs."""
        with tempfile.TemporaryDirectory() as directory:
            certificate, key = write_certificate(Path(directory))
            server_configuration = quic_configuration(str(certificate), str(key))
        self.client = QuicConnection(
            configuration=QuicConfiguration(
                is_client=True, alpn_protocols=["h3"], verify_mode=ssl.CERT_NONE
            )
        )
        self.now = 0.0
        self.client.connect(_SERVICE, now=self.now)
        self.server = RoutableQuicConnection(
            issuer=TokenIssuer(token_keys(), routing_token()),
            configuration=server_configuration,
            original_destination_connection_id=(
                self.client.original_destination_connection_id
            ),
        )
        self.sent_by_client: list[bytes] = []

    def exchange(self) -> None:
        """Deliver packets in both directions for several rounds."""
        for _ in range(10):
            self.now += 0.01
            for data, _ in self.client.datagrams_to_send(self.now):
                self.sent_by_client.append(data)
                self.server.receive_datagram(data, _CALLER, self.now)
            for data, _ in self.server.datagrams_to_send(self.now):
                self.client.receive_datagram(data, _SERVICE, self.now)

    def owner_of_last_packet(self) -> object:
        """Return the token in the last packet of the client."""
        connection_id = destination_connection_id(self.sent_by_client[-1])
        return TokenReader(token_keys()).read(connection_id).unwrap()

    def test_handshake_ids_name_the_companion(self) -> None:
        """After the handshake the client's packets identify the companion."""
        self.exchange()
        self.assertTrue(self.client._handshake_complete)
        self.client.send_ping(1)
        self.exchange()
        self.assertEqual(self.owner_of_last_packet(), routing_token())

    def test_changed_ids_name_the_companion(self) -> None:
        """Every ID issued later identifies the companion too."""
        self.exchange()
        for number in range(20):
            self.client.change_connection_id()
            self.client.send_ping(number)
            self.exchange()
            self.assertEqual(self.owner_of_last_packet(), routing_token())

    def test_a_slow_reader_bounds_what_the_caller_sends(self) -> None:
        """At most one window is unread; reading grants credit for the rest."""
        self.exchange()
        body = bytes(4 * RECEIVE_WINDOW_BYTES)
        self.client.send_stream_data(0, body, end_stream=True)
        for _ in range(400):
            self._exchange_slowly(is_reading=False)
        self.assertLessEqual(self._received(), RECEIVE_WINDOW_BYTES)
        for _ in range(400):
            self._exchange_slowly(is_reading=True)
        self.assertEqual(self._received(), len(body))

    def _exchange_slowly(self, *, is_reading: bool) -> None:
        """Deliver packets in both directions and set the unread bytes of the server."""
        self.now += 0.01
        for data, _ in self.client.datagrams_to_send(self.now):
            self.server.receive_datagram(data, _CALLER, self.now)
        self.server.set_unread(0, 0 if is_reading else self._received())
        for data, _ in self.server.datagrams_to_send(self.now):
            self.client.receive_datagram(data, _SERVICE, self.now)

    def _received(self) -> int:
        """Return the byte count of the first stream that the server has received."""
        stream = self.server._streams.get(0)
        return stream.receiver.highest_offset if stream is not None else 0
