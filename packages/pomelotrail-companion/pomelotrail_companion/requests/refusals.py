"""The refusals that callers can get (RFC 9457 problem details)."""

import enum
import json
from datetime import timedelta
from typing import Final

import attrs

from .messages import Answer, Header, async_pieces

OUTCOME_HEADER: Final = "request-outcome"


class Outcome(enum.Enum):
    """What a refusal says about the execution of the request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalKind(enum.Enum):
    """Why a request was refused: status code and title."""

    UNKNOWN_CLASS = (404, "no class of work matches this method and path")
    OVERLOADED = (503, "the backend server has no room; try again")
    LEAVING = (503, "the backend server is leaving; open a new connection")
    TOO_LATE = (504, "the deadline can't be met")
    TICKET_REQUIRED = (428, "send the Idempotency-Key of this answer")
    BODY_TOO_LARGE = (413, "the body is larger than the class allows")
    BACKEND_FAILED = (502, "the backend server gave no whole answer")

    @property
    def status(self) -> int:
        """Return the status code."""
        return self.value[0]

    @property
    def title(self) -> str:
        """Return the title of the problem."""
        return self.value[1]


@attrs.frozen
class Refusal:
    """A refusal before it is put into words for the caller."""

    kind: RefusalKind
    outcome: Outcome
    retry_after: timedelta | None = None
    detail: str = ""


def refuse(refusal: Refusal) -> Answer:
    """Return the answer that tells a caller of a refusal."""
    problem = {
        "type": f"urn:pomelotrail:{refusal.kind.name.lower().replace('_', '-')}",
        "title": refusal.kind.title,
        "status": refusal.kind.status,
        "outcome": refusal.outcome.value,
    }
    if refusal.detail:
        problem["detail"] = refusal.detail
    body = json.dumps(problem).encode()
    headers = [
        Header("content-type", "application/problem+json"),
        Header("content-length", str(len(body))),
        Header(OUTCOME_HEADER, refusal.outcome.value),
    ]
    if refusal.retry_after is not None:
        seconds = max(1, round(refusal.retry_after.total_seconds()))
        headers.append(Header("retry-after", str(seconds)))
    return Answer(refusal.kind.status, tuple(headers), async_pieces(body))
