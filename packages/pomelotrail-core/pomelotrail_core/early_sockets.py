"""Datagram sockets that are bound before the rest of the program is loaded.

Loading the program takes hundreds of milliseconds on a small VM. Datagrams that arrive
during that time stay in the receive buffer of the kernel instead of being lost, and are
read when the program opens a socket at the same address::

    bind_early("192.0.2.7:8172", report)
    ...
    DatagramSocket(protocol, ("192.0.2.7", 8172))

A predecessor may hold the address until it has stopped, and an interface may come up
later, so such an address is awaited.
"""

import errno
import socket
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Final

# The kernel may grant less, up to its own limit.
RECEIVE_BUFFER_BYTES: Final = 4_194_304
# Several times the 6 s that a predecessor has to stop before it is killed. An address
# that stays unusable ends fewer than three starts in a minute.
ADDRESS_WAIT: Final = timedelta(seconds=30)
_RETRY_INTERVAL: Final = timedelta(milliseconds=100)
_MAX_PORT: Final = 65_535
# What comes back when another process stops, or an interface comes up.
_TEMPORARY_ERRORS: Final = frozenset(
    (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)

Address = tuple[str, int]
# Writes a log line: its event and its fields.
Report = Callable[[str, dict[str, str]], None]

_bound_early: dict[Address, socket.socket] = {}


class AddressError(Exception):
    """No socket can be bound to an address."""

    def __init__(self, address: str, problem: str, remedy: str) -> None:
        """Initialize with the address, the problem and what to do."""
        super().__init__(address, problem, remedy)
        self.field = address
        self.remedy = remedy
        self._problem = problem

    def __str__(self) -> str:
        """Return a message with the address and the problem."""
        return f"address {self.field}: {self._problem}"


class AddressWait:
    """Waits for an address that is expected to become usable."""

    def __init__(
        self,
        report: Report,
        monotonic: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Initialize with the log and the time; nothing else runs meanwhile."""
        self._report = report
        self._monotonic = monotonic
        self._sleep = sleep

    def bind(self, address: Address) -> socket.socket:
        """Return a bound socket, or raise an error after ``ADDRESS_WAIT``."""
        began = self._monotonic()
        reported = False
        while True:
            try:
                bound = bind_datagrams(address)
            except OSError as error:
                waited = timedelta(seconds=self._monotonic() - began)
                if error.errno not in _TEMPORARY_ERRORS or waited >= ADDRESS_WAIT:
                    raise _address_error(address, error, waited) from error
                if not reported:
                    self._report_awaited(address, error)
                    reported = True
                self._sleep(_RETRY_INTERVAL.total_seconds())
                continue
            if reported:
                waited_s = self._monotonic() - began
                self._report(
                    "address_bound",
                    {"address": _text(address), "waited_s": f"{waited_s:.1f}"},
                )
            return bound

    def _report_awaited(self, address: Address, error: OSError) -> None:
        """Log that the wait begins."""
        fields = {
            "address": _text(address),
            "problem": str(error),
            "wait_s": f"{ADDRESS_WAIT.total_seconds():.0f}",
            "remedy": _remedy(error),
        }
        self._report("address_awaited", fields)


def bind_early(text: str, report: Report) -> None:
    """Bind a socket to ``host:port`` for later use by the program."""
    reserve_address(_parse(text), AddressWait(report))


def reserve_address(address: Address, wait: AddressWait) -> None:
    """Bind a socket for later use, unless that was done for the address."""
    if address not in _bound_early:
        _bound_early[address] = wait.bind(address)


def get_or_bind(address: Address) -> socket.socket:
    """Return the socket that was bound early to an address, or a new one."""
    return _bound_early.pop(address, None) or bind_datagrams(address)


def bind_datagrams(address: Address) -> socket.socket:
    """Return a non-blocking UDP socket that is bound to an address."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound


def _parse(text: str) -> Address:
    """Return the address, or raise an error if it can never be right."""
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
        number = int(port) if port.isdecimal() else 0
    except (OSError, ValueError):
        number = 0
    if not 0 < number <= _MAX_PORT:
        raise AddressError(
            text,
            "is not an address",
            "write an IPv4 address and a port from 1 to 65535, as 192.0.2.7:8172, "
            "in the run line of the role",
        )
    return host, number


def _address_error(address: Address, error: OSError, waited: timedelta) -> AddressError:
    """Return the error of an address that can't be used."""
    problem = str(error)
    if waited >= ADDRESS_WAIT:
        problem = f"{problem}, for {waited.total_seconds():.0f} s"
    return AddressError(_text(address), problem, _remedy(error))


def _remedy(error: OSError) -> str:
    """Return what operators can do about an error."""
    if error.errno == errno.EADDRINUSE:
        return "end the process that holds the address, or change the address"
    if error.errno == errno.EADDRNOTAVAIL:
        return "give the address to an interface of this machine, or change it"
    return "correct the address or the limit that the problem names"


def _text(address: Address) -> str:
    """Return ``host:port``."""
    return f"{address[0]}:{address[1]}"
