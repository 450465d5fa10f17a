"""Interface for calls to other companions of the service."""

import abc
import enum
from datetime import timedelta

import attrs
from result import Result

from pomelotrail_companion.requests import Answer, Request
from pomelotrail_core.endpoint import Endpoint


class FailureReason(enum.Enum):
    """Reason why a companion did not answer."""

    NOT_REACHED = "could not be reached"
    BROKE_OFF = "broke off"


@attrs.frozen
class CompanionError:
    """Failure of a companion to answer."""

    endpoint: Endpoint
    reason: FailureReason

    def __str__(self) -> str:
        """Return the address, the reason and what to check."""
        return (
            f"the companion at {self.endpoint} {self.reason.value}; check that it "
            "runs and that its control address is published"
        )


@attrs.frozen
class PeerQuery:
    """Query for the outcome of a ticket; ``wait`` is the timeout if it is running."""

    ticket: str
    fingerprint: bytes
    wait: timedelta
    request: str
    hops: int = 0


class PeerCompanions(abc.ABC):
    """Calls other companions; a call without an answer may still have had an effect."""

    @abc.abstractmethod
    async def async_resolve(
        self, endpoint: Endpoint, query: PeerQuery
    ) -> Result[Answer, CompanionError]:
        """Query the executor of a ticket for the outcome of its request."""

    @abc.abstractmethod
    async def async_issue_ticket(
        self, endpoint: Endpoint, service: str
    ) -> Result[str, CompanionError]:
        """Request a ticket that is issued by a companion."""

    @abc.abstractmethod
    async def async_run(
        self, endpoint: Endpoint, request: Request
    ) -> Result[Answer, CompanionError]:
        """Hand over a request; NOT_REACHED guarantees that its body is unread."""
