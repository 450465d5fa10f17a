"""Loopback proxies that cut, delay or drop the traffic through them."""

import asyncio
import random
from collections.abc import Callable

import attrs

from pomelotrail_core.datagram_callback import Address, open_datagram_socket
from pomelotrail_core.datagrams import DatagramSocket
from pomelotrail_core.endpoint import Endpoint


@attrs.define
class Impairment:
    """Impairments of a link; one direction or both may be cut."""

    forward_cut: bool = False
    return_cut: bool = False
    delay_s: float = 0.0
    loss_probability: float = 0.0

    def clear(self) -> None:
        """Remove all impairments."""
        self.forward_cut = self.return_cut = False
        self.delay_s = self.loss_probability = 0.0


class CompanionLink:
    """Forwards datagrams between all balancers and one companion.

    The companion receives the datagrams of each balancer from a separate
    address of the link, and answers to it; balancers send to a single address.
    Companions don't reach each other, so balancers must do without their relays.
    """

    def __init__(
        self,
        link_address: str,
        companion: str,
        return_addresses: dict[str, str],
        ports: tuple[int, ...],
        generator: random.Random,
    ) -> None:
        """Open the sockets of the link.

        Balancers send to ``link_address``; ``return_addresses`` are those that the
        companion answers to, by balancer.
        """
        self.impairments = {balancer: Impairment() for balancer in return_addresses}
        self._random = generator
        self._sockets: list[DatagramSocket] = []
        for port in ports:
            self._open(port, link_address, companion, return_addresses)

    def close(self) -> None:
        """Close all sockets."""
        for each in self._sockets:
            each.close()

    def _open(
        self,
        port: int,
        link_address: str,
        companion: str,
        return_addresses: dict[str, str],
    ) -> None:
        """Open the sockets of one port."""
        companion_sockets: dict[str, DatagramSocket] = {}

        def forward_to_companion(data: bytes, sender: Address) -> None:
            """Forward a balancer's datagram to the companion."""
            impairment = self.impairments.get(sender[0])
            if impairment is not None and not impairment.forward_cut:
                self._send(
                    impairment, companion_sockets[sender[0]], data, (companion, port)
                )

        balancer_socket = open_datagram_socket(
            Endpoint(link_address, port), forward_to_companion
        )
        self._sockets.append(balancer_socket)

        def make_return_handler(balancer: str) -> Callable[[bytes, Address], None]:
            """Return the handler of a companion's datagrams to one balancer."""

            def forward_to_balancer(data: bytes, sender: Address) -> None:
                """Forward a companion's datagram to the balancer."""
                impairment = self.impairments[balancer]
                if not impairment.return_cut:
                    self._send(impairment, balancer_socket, data, (balancer, port))

            return forward_to_balancer

        for balancer, address in return_addresses.items():
            companion_sockets[balancer] = open_datagram_socket(
                Endpoint(address, port), make_return_handler(balancer)
            )
            self._sockets.append(companion_sockets[balancer])

    def _send(
        self,
        impairment: Impairment,
        sender: DatagramSocket,
        data: bytes,
        target: Address,
    ) -> None:
        """Forward a datagram at once or delayed, or drop it."""
        if self._random.random() < impairment.loss_probability:
            return
        if not impairment.delay_s:
            sender.sendto(data, target)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(impairment.delay_s, sender.sendto, data, target)


class StoreLink:
    """Forwards the connections of one process to the store."""

    def __init__(self, store_port: int) -> None:
        """Initialize with the port of the store."""
        self._store_port = store_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.impairment = Impairment()
        self.port = 0

    async def async_start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Reset all connections."""
        for each in self._writers:
            each.transport.abort()

    async def async_stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection."""
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            store_reader, store_writer = await asyncio.open_connection(
                "127.0.0.1", self._store_port
            )
            self._writers |= {writer, store_writer}
            await asyncio.gather(
                self._async_forward(reader, store_writer, is_return=False),
                self._async_forward(store_reader, writer, is_return=True),
            )
            self._writers -= {writer, store_writer}
        except OSError:
            # The store or the process has closed its connection; close the other one.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _async_forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_return: bool,
    ) -> None:
        """Forward bytes in one direction; data dropped by a cut is not resent."""
        while data := await reader.read(65_536):
            if self.impairment.return_cut if is_return else self.impairment.forward_cut:
                continue
            await asyncio.sleep(self.impairment.delay_s)
            writer.write(data)
            await writer.drain()
        writer.transport.abort()
