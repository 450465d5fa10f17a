"""What a companion asks other companions of its service, as an interface."""

import abc
import enum
from datetime import timedelta

import attrs
from result import Result

from pomelotrail_companion.requests import Answer, Request
from pomelotrail_core.endpoint import Endpoint


class Reach(enum.Enum):
    """Why a companion gave no answer."""

    NOT_REACHED = "could not be reached"
    BROKE_OFF = "broke off"


@attrs.frozen
class CompanionError:
    """A companion that gave no answer."""

    endpoint: Endpoint
    reach: Reach

    def __str__(self) -> str:
        """Name the address and what to check."""
        return (
            f"the companion at {self.endpoint} {self.reach.value}; check that it "
            "runs and that its control address is published"
        )


@attrs.frozen
class Query:
    """Asks what became of a ticket; ``wait`` bounds the wait for a running one."""

    ticket: str
    fingerprint: bytes
    wait: timedelta
    request: str
    hops: int = 0


class PeerCompanions(abc.ABC):
    """Asks other companions; an answer that was lost may have had its effect."""

    @abc.abstractmethod
    async def async_resolve(
        self, endpoint: Endpoint, query: Query
    ) -> Result[Answer, CompanionError]:
        """Ask the executor of a ticket what became of it."""

    @abc.abstractmethod
    async def async_issue_ticket(
        self, endpoint: Endpoint, service: str
    ) -> Result[str, CompanionError]:
        """Ask a companion for a ticket of its own."""

    @abc.abstractmethod
    async def async_run(
        self, endpoint: Endpoint, request: Request
    ) -> Result[Answer, CompanionError]:
        """Hand a request over; NOT_REACHED promises that its body is unread."""
