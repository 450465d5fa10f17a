"""Refusals that callers can get (RFC 9457 problem details).

Every refusal passes ``downgrade_unproven`` before it is sent to a caller, so that
"not run" is reported only with a proof.
"""

import enum
import json
from datetime import timedelta
from typing import Final

import attrs

from pomelotrail_core.logs import get_logger

from .messages import Answer, Header, async_chunks
from .proof import BackendContact, NotRunProof, ProofGrounds, prove_by_contact

_LOGGER = get_logger("requests")

OUTCOME_HEADER: Final = "request-outcome"
RETRY_AFTER_HEADER: Final = "retry-after"
_TICKET_GROUNDS: Final = frozenset({ProofGrounds.FENCED, ProofGrounds.EXECUTOR})


class Outcome(enum.Enum):
    """Outcome of the request that a refusal reports."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RUN = "run"


class RefusalKind(enum.Enum):
    """Why a request was refused: status code and title."""

    UNKNOWN_CLASS = (404, "no class of work matches this method and path")
    OVERLOADED = (503, "the backend server has no room; try again")
    LEAVING = (503, "the backend server is leaving; open a new connection")
    TOO_LATE = (504, "the deadline can't be met")
    BODY_TOO_LARGE = (413, "the body is larger than the class allows")
    BACKEND_FAILED = (502, "the backend server gave no whole answer")
    SHED = (503, "the backend server shed the request; try again")
    TICKET_REQUIRED = (428, "send the Idempotency-Key of this answer")
    TICKET_FENCED = (
        428,
        "this Idempotency-Key can't be used any more; send that of this answer",
    )
    TICKET_REUSED = (422, "this Idempotency-Key belongs to another request")
    TICKET_UNREADABLE = (
        400,
        "this Idempotency-Key can't be read any more; check whether the request ran",
    )
    TICKET_FORGOTTEN = (
        409,
        "this Idempotency-Key is too old; check whether the request ran",
    )
    ANSWER_NOT_KEPT = (410, "the request has run; its answer is no longer kept")
    STILL_RUNNING = (504, "the request is running; ask again with the same key")
    EXECUTOR_UNREACHABLE = (
        503,
        "the companion that knows the outcome can't be reached; ask again",
    )
    EXECUTOR_GONE = (
        409,
        "the companion that knew the outcome is gone; check whether the request ran",
    )

    @property
    def status(self) -> int:
        """Return the status code."""
        return self.value[0]

    @property
    def title(self) -> str:
        """Return the title of the problem."""
        return self.value[1]

    @property
    def slug(self) -> str:
        """Return the name of the kind in problem bodies and on the wire."""
        return self.name.lower().replace("_", "-")


@attrs.frozen
class Refusal:
    """Refusal before it is encoded as an answer.

    With ``Outcome.UNKNOWN``, a ``retry_after`` means that a retry with the same key
    may return the outcome; without it the outcome stays unknown. ``proof`` supports
    ``Outcome.NOT_RUN``; it is not needed if no byte was sent to the backend server,
    which is determined from the request itself.
    """

    kind: RefusalKind
    outcome: Outcome
    retry_after: timedelta | None = None
    detail: str = ""
    proof: NotRunProof | None = None


def refuse(refusal: Refusal) -> Answer:
    """Return the answer that reports a refusal to a caller."""
    problem = {
        "type": f"urn:pomelotrail:{refusal.kind.slug}",
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
        headers.append(Header(RETRY_AFTER_HEADER, str(seconds)))
    return Answer(refusal.kind.status, tuple(headers), async_chunks(body), refusal)


def downgrade_unproven(answer: Answer, contact: BackendContact) -> Answer:
    """Return the answer, with the outcome "unknown" if "not run" has no proof.

    A "not run" without a proof is a bug in the handler that returned it. The
    outcome "unknown" is always true.
    """
    refusal = answer.refusal
    if refusal is None or refusal.outcome is not Outcome.NOT_RUN:
        return answer
    if refusal.proof is not None and refusal.proof.grounds in _TICKET_GROUNDS:
        return answer
    if prove_by_contact(contact) is not None:
        return answer
    _LOGGER.error("Refusal %s reported not-run without a proof", refusal.kind.slug)
    return refuse(attrs.evolve(refusal, outcome=Outcome.UNKNOWN))
