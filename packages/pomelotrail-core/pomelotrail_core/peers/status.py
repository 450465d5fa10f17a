"""Serves the status of this process."""

from collections.abc import Callable

from grpclib.server import Stream

from .status_grpc import StatusBase
from .status_pb2 import StatusReply, StatusRequest


class StatusService(StatusBase):
    """Replies with the name of the process, its version in force and its figures."""

    def __init__(
        self,
        process: str,
        zone: str,
        role: str,
        version: Callable[[], int],
        figures: Callable[[], dict[str, float]],
    ) -> None:
        """Read version and figures from the given functions at each call."""
        self._process = process
        self._zone = zone
        self._role = role
        self._version = version
        self._figures = figures

    async def Get(  # noqa: N802 (named by the protocol)
        self, stream: Stream[StatusRequest, StatusReply]
    ) -> None:
        """Send one reply."""
        await stream.recv_message()
        reply = StatusReply(
            process=self._process,
            zone=self._zone,
            role=self._role,
            configuration_version=self._version(),
            figures=self._figures(),
        )
        await stream.send_message(reply)
