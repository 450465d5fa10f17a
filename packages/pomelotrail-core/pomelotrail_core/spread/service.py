"""gRPC service for configuration distribution."""

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from .errors import SpreadRefused
from .publisher import Publisher
from .report_handler import ReportHandler
from .spread_grpc import SpreadBase
from .spread_pb2 import (
    FetchRequest,
    FollowRequest,
    ReportReply,
    SpreadMessage,
    SuspicionReport,
)


class SpreadService(SpreadBase):
    """Streams updates to children, answers fetches and accepts monitor reports."""

    def __init__(self, publisher: Publisher, reports: ReportHandler) -> None:
        """Serve from the publisher; pass reports to ``reports``."""
        self._publisher = publisher
        self._reports = reports

    async def Follow(  # noqa: N802 (named by the protocol)
        self, stream: Stream[FollowRequest, SpreadMessage]
    ) -> None:
        """Stream updates to a child until it disconnects."""
        request = await stream.recv_message()
        if request is None:
            return
        try:
            async for message in self._publisher.async_updates(request):
                await stream.send_message(message)
        except SpreadRefused as refused:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, str(refused)) from refused

    async def Fetch(  # noqa: N802 (named by the protocol)
        self, stream: Stream[FetchRequest, SpreadMessage]
    ) -> None:
        """Return the version or the document in force."""
        request = await stream.recv_message()
        if request is None:
            return
        try:
            reply = self._publisher.fetch(request)
        except SpreadRefused as refused:
            raise GRPCError(Status.UNAVAILABLE, str(refused)) from refused
        await stream.send_message(reply)

    async def Report(  # noqa: N802 (named by the protocol)
        self, stream: Stream[SuspicionReport, ReportReply]
    ) -> None:
        """Handle the report of a monitor."""
        report = await stream.recv_message()
        if report is not None:
            await stream.send_message(self._reports.handle(report))
