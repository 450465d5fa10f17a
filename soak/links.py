"""Loopback proxies that harm what passes through them."""

import asyncio
import random
from collections.abc import Callable

import attrs

from pomelotrail_core.datagram_callback import Address, open_datagram_socket
from pomelotrail_core.datagrams import DatagramSocket
from pomelotrail_core.endpoint import Endpoint


@attrs.define
class Harm:
    """What happens to a link; one way or both ways may be cut."""

    cut_there: bool = False
    cut_back: bool = False
    delay_s: float = 0.0
    loss: float = 0.0

    def heal(self) -> None:
        """End all harm."""
        self.cut_there = self.cut_back = False
        self.delay_s = self.loss = 0.0


class CompanionLink:
    """Carries the datagrams of all balancers to one companion and back.

    The companion sees an address of the link for each balancer, to which it
    answers; balancers see one address of the link.
    """

    def __init__(
        self,
        near: str,
        companion: str,
        far: dict[str, str],
        ports: tuple[int, ...],
        source: random.Random,
    ) -> None:
        """Carry between ``near`` and the addresses in ``far``, by balancer."""
        self.harms = {balancer: Harm() for balancer in far}
        self._random = source
        self._sockets: list[DatagramSocket] = []
        for port in ports:
            self._open(port, near, companion, far)

    def close(self) -> None:
        """Close all sockets."""
        for each in self._sockets:
            each.close()

    def _open(self, port: int, near: str, companion: str, far: dict[str, str]) -> None:
        """Carry what comes to one port."""
        outs: dict[str, DatagramSocket] = {}

        def carry_there(data: bytes, sender: Address) -> None:
            """Send a balancer's datagram to the companion."""
            harm = self.harms[sender[0]]
            if not harm.cut_there:
                self._send(harm, outs[sender[0]], data, (companion, port))

        near_socket = open_datagram_socket(Endpoint(near, port), carry_there)
        self._sockets.append(near_socket)

        def carrier_back(balancer: str) -> Callable[[bytes, Address], None]:
            """Return what sends the companion's datagrams to a balancer."""

            def carry_back(data: bytes, sender: Address) -> None:
                """Send a companion's datagram to the balancer."""
                harm = self.harms[balancer]
                if not harm.cut_back:
                    self._send(harm, near_socket, data, (balancer, port))

            return carry_back

        for balancer, address in far.items():
            outs[balancer] = open_datagram_socket(
                Endpoint(address, port), carrier_back(balancer)
            )
            self._sockets.append(outs[balancer])

    def _send(
        self, harm: Harm, out: DatagramSocket, data: bytes, target: Address
    ) -> None:
        """Send on now, later or not at all."""
        if self._random.random() < harm.loss:
            return
        if not harm.delay_s:
            out.sendto(data, target)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(harm.delay_s, out.sendto, data, target)


class StoreLink:
    """Carries one process's connections to the store."""

    def __init__(self, store_port: int) -> None:
        """Connect to the store's port."""
        self._store_port = store_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.harm = Harm()
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
        """Close everything."""
        self._server.close()
        self.reset()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one connection."""
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            store_reader, store_writer = await asyncio.open_connection(
                "127.0.0.1", self._store_port
            )
            self._writers |= {writer, store_writer}
            await asyncio.gather(
                self._async_carry(reader, store_writer, is_back=False),
                self._async_carry(store_reader, writer, is_back=True),
            )
            self._writers -= {writer, store_writer}
        except OSError:
            # The store or the process has closed; the other side is closed too.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _async_carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_back: bool
    ) -> None:
        """Carry bytes one way; what a cut swallows is lost for good."""
        while data := await reader.read(65_536):
            if self.harm.cut_back if is_back else self.harm.cut_there:
                continue
            await asyncio.sleep(self.harm.delay_s)
            writer.write(data)
            await writer.drain()
        writer.transport.abort()
