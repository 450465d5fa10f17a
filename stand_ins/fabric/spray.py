"""Packet spraying over balancers, and the return path to callers."""

import asyncio
import random
from collections.abc import Callable

import attrs

from pomelotrail_core.endpoint import Endpoint


@attrs.define
class Faults:
    """Faults that affect packets in either direction."""

    loss: float = 0.0
    duplicate: float = 0.0
    delay: float = 0.0
    delay_seconds: float = 0.02


class _CallerAlias(asyncio.DatagramProtocol):
    """The address that represents one caller to balancers."""

    def __init__(self, service: "ServiceSpray", caller: tuple[str, int]) -> None:
        """Initialize an alias of ``caller``."""
        self._service = service
        self._caller = caller
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def send_to_balancer(self, data: bytes) -> None:
        """Send one packet to a random balancer."""
        balancer = self._service.choose_balancer()
        if self._transport is not None and balancer is not None:
            self._transport.sendto(data, balancer)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Send an answer back to the caller."""
        self._service.send_to_caller(data, self._caller)

    def error_received(self, exc: Exception) -> None:
        """Ignore a stopped balancer; the fabric detects it later."""


class ServiceSpray(asyncio.DatagramProtocol):
    """The address of one service that callers send to."""

    def __init__(
        self, balancers: list[Endpoint], faults: Faults, rng: random.Random
    ) -> None:
        """Initialize with balancers and faults."""
        self.balancers = balancers
        self._faults = faults
        self._rng = rng
        self._aliases: dict[tuple[str, int], _CallerAlias] = {}
        self._pending_packets: dict[tuple[str, int], list[bytes]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a packet from a caller."""
        alias = self._aliases.get(addr)
        if alias is not None:
            self._send_with_faults(lambda: alias.send_to_balancer(data))
            return
        pending = self._pending_packets.setdefault(addr, [])
        pending.append(data)
        if len(pending) == 1:
            task = asyncio.create_task(self._async_open_alias(addr))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def choose_balancer(self) -> tuple[str, int] | None:
        """Return the address of a random balancer."""
        if not self.balancers:
            return None
        return self._rng.choice(self.balancers).socket_address

    def send_to_caller(self, data: bytes, caller: tuple[str, int]) -> None:
        """Send an answer to a caller from the address of the service."""
        if self._transport is not None:
            transport = self._transport
            self._send_with_faults(lambda: transport.sendto(data, caller))

    def close(self) -> None:
        """Close the sockets."""
        for alias in self._aliases.values():
            if alias._transport is not None:
                alias._transport.close()
        if self._transport is not None:
            self._transport.close()

    async def _async_open_alias(self, caller: tuple[str, int]) -> None:
        """Open the alias of a caller and send its pending packets."""
        alias = _CallerAlias(self, caller)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: alias, local_addr=("127.0.0.1", 0)
        )
        self._aliases[caller] = alias
        for data in self._pending_packets.pop(caller):
            alias.send_to_balancer(data)

    def _send_with_faults(self, send: Callable[[], None]) -> None:
        """Send one packet, dropped, duplicated or delayed according to the faults."""
        if self._rng.random() < self._faults.loss:
            return
        copies = 2 if self._rng.random() < self._faults.duplicate else 1
        for _ in range(copies):
            if self._rng.random() < self._faults.delay:
                delay = self._faults.delay_seconds * self._rng.random()
                asyncio.get_running_loop().call_later(delay, send)
            else:
                send()
