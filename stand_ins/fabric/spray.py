"""Sprays packets over balancers and brings answers back to callers."""

import asyncio
import random
from collections.abc import Callable

import attrs

from pomelotrail_core.endpoint import Endpoint


@attrs.define
class Faults:
    """What the fabric does to packets in either direction."""

    loss: float = 0.0
    duplicate: float = 0.0
    delay: float = 0.0
    delay_seconds: float = 0.02


class _Alias(asyncio.DatagramProtocol):
    """The address by which balancers see one caller."""

    def __init__(self, service: "ServiceSpray", caller: tuple[str, int]) -> None:
        """Stand for ``caller``."""
        self._service = service
        self._caller = caller
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def spray(self, data: bytes) -> None:
        """Send one packet to a random balancer."""
        balancer = self._service.pick()
        if self._transport is not None and balancer is not None:
            self._transport.sendto(data, balancer)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Bring an answer back to the caller."""
        self._service.deliver(data, self._caller)

    def error_received(self, exc: Exception) -> None:
        """Ignore a balancer that has died; the fabric notices later."""


class ServiceSpray(asyncio.DatagramProtocol):
    """The address of one service as callers see it."""

    def __init__(
        self, balancers: list[Endpoint], faults: Faults, rng: random.Random
    ) -> None:
        """Spray over the balancers with the given faults."""
        self.balancers = balancers
        self._faults = faults
        self._rng = rng
        self._aliases: dict[tuple[str, int], _Alias] = {}
        self._opening: dict[tuple[str, int], list[bytes]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a packet of a caller."""
        alias = self._aliases.get(addr)
        if alias is not None:
            self._disturb(lambda: alias.spray(data))
            return
        waiting = self._opening.setdefault(addr, [])
        waiting.append(data)
        if len(waiting) == 1:
            task = asyncio.create_task(self._async_open(addr))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def pick(self) -> tuple[str, int] | None:
        """Return the address of a random balancer."""
        if not self.balancers:
            return None
        return self._rng.choice(self.balancers).socket_address

    def deliver(self, data: bytes, caller: tuple[str, int]) -> None:
        """Send an answer to a caller from the address of the service."""
        if self._transport is not None:
            transport = self._transport
            self._disturb(lambda: transport.sendto(data, caller))

    def close(self) -> None:
        """Close the sockets."""
        for alias in self._aliases.values():
            if alias._transport is not None:
                alias._transport.close()
        if self._transport is not None:
            self._transport.close()

    async def _async_open(self, caller: tuple[str, int]) -> None:
        """Open the alias of a caller and send what waited for it."""
        alias = _Alias(self, caller)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: alias, local_addr=("127.0.0.1", 0)
        )
        self._aliases[caller] = alias
        for data in self._opening.pop(caller):
            alias.spray(data)

    def _disturb(self, send: Callable[[], None]) -> None:
        """Lose, duplicate or delay one packet as the faults say."""
        if self._rng.random() < self._faults.loss:
            return
        copies = 2 if self._rng.random() < self._faults.duplicate else 1
        for _ in range(copies):
            if self._rng.random() < self._faults.delay:
                delay = self._faults.delay_seconds * self._rng.random()
                asyncio.get_running_loop().call_later(delay, send)
            else:
                send()
