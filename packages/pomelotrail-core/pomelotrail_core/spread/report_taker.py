"""Takes reports of monitors, as an interface."""

import abc

from .spread_pb2 import ReportReply, SuspicionReport


class ReportTaker(abc.ABC):
    """Counts what monitors suspect."""

    @abc.abstractmethod
    def take(self, report: SuspicionReport) -> ReportReply:
        """Take the report of one monitor in place of its last one."""


class NoReports(ReportTaker):
    """Takes none."""

    def take(self, report: SuspicionReport) -> ReportReply:
        """Ignore the report."""
        return ReportReply()
