"""Writers of lines to a file descriptor that never wait for its reader."""

import abc
import errno
import os
import select
import socket
import stat
import sys
from typing import Final

_STANDARD_OUTPUT: Final = 1
_STANDARD_ERROR: Final = 2


class LogWriter(abc.ABC):
    """Writes complete lines without blocking."""

    @abc.abstractmethod
    def write(self, lines: bytes) -> int:
        """Write as much as fits now and return the number of bytes written.

        Raises ``OSError`` if the lines can't be written.
        """


class ClosedWriter(LogWriter):
    """Stands for a stream that was closed when the process started.

    Its number may be that of a socket by now, so nothing may be written to it.
    """

    def write(self, lines: bytes) -> int:
        """Fail."""
        raise OSError(errno.EBADF, "closed when the process started")


class DescriptorWriter(LogWriter):
    """Writes to a descriptor that doesn't block.

    It has its own open file description or is a file, for which no flag matters.
    """

    def __init__(self, descriptor: int) -> None:
        """Initialize with the descriptor."""
        self._descriptor = descriptor

    def write(self, lines: bytes) -> int:
        """Write as much as the descriptor accepts."""
        try:
            return os.write(self._descriptor, lines)
        except BlockingIOError:
            return 0


class SocketWriter(LogWriter):
    """Sends to a stream socket, without waiting by a flag of each call."""

    def __init__(self, descriptor: int) -> None:
        """Initialize with the descriptor."""
        self._socket = socket.socket(fileno=os.dup(descriptor))

    def write(self, lines: bytes) -> int:
        """Send as much as the socket accepts."""
        try:
            return self._socket.send(lines, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return 0


class PolledWriter(LogWriter):
    """Writes to a blocking pipe or terminal only while it has room.

    A pipe that is reported as writable has room for ``PIPE_BUF`` bytes, unless another
    process writes to it at that moment.
    """

    def __init__(self, descriptor: int) -> None:
        """Initialize with the descriptor."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def is_writable(self) -> bool:
        """Return whether a write would not block, or would fail."""
        return bool(self._poll.poll(0))

    def write(self, lines: bytes) -> int:
        """Write one part after another while there is room."""
        written = 0
        while written < len(lines) and self.is_writable():
            part = lines[written : written + select.PIPE_BUF]
            try:
                written += os.write(self._descriptor, part)
            except BlockingIOError:
                break
            except OSError:
                if not written:
                    raise
                break
        return written


def open_standard_output() -> LogWriter:
    """Return a writer to standard output."""
    is_open = sys.__stdout__ is not None
    return open_writer(_STANDARD_OUTPUT) if is_open else ClosedWriter()


def open_standard_error() -> LogWriter:
    """Return a writer to standard error."""
    is_open = sys.__stderr__ is not None
    return open_writer(_STANDARD_ERROR) if is_open else ClosedWriter()


def open_writer(descriptor: int) -> LogWriter:
    """Return a writer that suits a descriptor.

    The flag for non-blocking writes belongs to the open file description, which other
    processes share: setting it would disturb them, and they may reset it.
    """
    try:
        status = os.fstat(descriptor)
    except OSError:
        return ClosedWriter()
    if stat.S_ISREG(status.st_mode):
        return DescriptorWriter(descriptor)
    if stat.S_ISSOCK(status.st_mode):
        return _open_socket_writer(descriptor)
    own = _open_own_description(descriptor, status)
    return PolledWriter(descriptor) if own is None else DescriptorWriter(own)


def _open_socket_writer(descriptor: int) -> LogWriter:
    """Return a writer to a socket, or one that polls if there is no descriptor."""
    try:
        return SocketWriter(descriptor)
    except OSError:
        return PolledWriter(descriptor)


def _open_own_description(descriptor: int, status: os.stat_result) -> int | None:
    """Open a pipe or terminal again without blocking, or return None if refused."""
    flags = os.O_WRONLY | os.O_APPEND | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC
    try:
        own = os.open(f"/proc/self/fd/{descriptor}", flags)
    except OSError:
        return None
    if os.path.samestat(os.fstat(own), status):
        return own
    os.close(own)
    return None
