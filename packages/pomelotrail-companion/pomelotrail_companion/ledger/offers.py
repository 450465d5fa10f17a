"""Offers fresh tickets to callers, so that the next request needs no round trip."""

import attrs

from pomelotrail_companion.requests import Answer, Header, Outcome
from pomelotrail_core.tickets import TicketIssuer

from .const import (
    MAX_AGE_HEADER,
    OFFERED_TICKETS,
    OFFERED_TICKETS_HEADER,
    TICKET_HEADER,
    TICKET_WINDOW,
)


class TicketOffers:
    """Adds tickets to the headers of answers; minting them keeps no state."""

    def __init__(self, mint: TicketIssuer) -> None:
        """Offer tickets of one executor."""
        self._mint = mint

    def offer(self, answer: Answer) -> Answer:
        """Return the answer with tickets for later requests."""
        if answer.header(OFFERED_TICKETS_HEADER) is not None:
            return answer
        tickets = ", ".join(self._mint.issue_sealed() for _ in range(OFFERED_TICKETS))
        seconds = int(TICKET_WINDOW.total_seconds())
        return _with_headers(
            answer,
            Header(OFFERED_TICKETS_HEADER, tickets),
            Header(MAX_AGE_HEADER, str(seconds)),
        )

    def offer_retry(self, answer: Answer) -> Answer:
        """Return a refused answer with the ticket for sending the request again."""
        refusal = answer.refusal
        if refusal is None or refusal.outcome is not Outcome.NOT_RUN:
            return answer
        if answer.header(TICKET_HEADER) is not None:
            return answer
        return _with_headers(answer, Header(TICKET_HEADER, self._mint.issue_sealed()))


def _with_headers(answer: Answer, *headers: Header) -> Answer:
    """Return an answer with further header fields."""
    return attrs.evolve(answer, headers=(*answer.headers, *headers))
