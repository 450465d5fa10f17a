"""Interface for handling suspicion reports of monitors."""

import abc

from .spread_pb2 import ReportReply, SuspicionReport


class ReportHandler(abc.ABC):
    """Handles suspicion reports."""

    @abc.abstractmethod
    def handle(self, report: SuspicionReport) -> ReportReply:
        """Replace the previous report of the monitor with this one."""


class DiscardingReportHandler(ReportHandler):
    """Discards all reports."""

    def handle(self, report: SuspicionReport) -> ReportReply:
        """Discard the report."""
        return ReportReply()
