"""Offers new tickets to callers, so that the next request needs no round trip."""

import attrs

from pomelotrail_companion.requests import Answer, Header, Outcome
from pomelotrail_core.tickets import TicketIssuer

from .const import (
    MAX_AGE_HEADER,
    OFFERED_TICKET_COUNT,
    OFFERED_TICKETS_HEADER,
    TICKET_HEADER,
    TICKET_WINDOW,
)


class TicketOffers:
    """Adds tickets to the headers of answers; issuing a ticket stores no state."""

    def __init__(self, issuer: TicketIssuer) -> None:
        """Initialize with the issuer of the tickets."""
        self._issuer = issuer

    def offer(self, answer: Answer) -> Answer:
        """Return the answer with tickets for later requests."""
        if answer.header(OFFERED_TICKETS_HEADER) is not None:
            return answer
        tickets = ", ".join(
            self._issuer.issue_sealed() for _ in range(OFFERED_TICKET_COUNT)
        )
        seconds = int(TICKET_WINDOW.total_seconds())
        return _with_headers(
            answer,
            Header(OFFERED_TICKETS_HEADER, tickets),
            Header(MAX_AGE_HEADER, str(seconds)),
        )

    def offer_retry(self, answer: Answer) -> Answer:
        """Return a refusal with a ticket under which the request can be retried."""
        refusal = answer.refusal
        if refusal is None or refusal.outcome is not Outcome.NOT_RUN:
            return answer
        if answer.header(TICKET_HEADER) is not None:
            return answer
        return _with_headers(answer, Header(TICKET_HEADER, self._issuer.issue_sealed()))


def _with_headers(answer: Answer, *headers: Header) -> Answer:
    """Return an answer with additional header fields."""
    return attrs.evolve(answer, headers=(*answer.headers, *headers))
