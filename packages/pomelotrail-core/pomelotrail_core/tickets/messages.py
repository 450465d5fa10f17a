"""What a ticket says."""

from datetime import datetime

import attrs

from pomelotrail_core.endpoint import Endpoint


@attrs.frozen
class Ticket:
    """The executor of a request that must run at most once.

    ``executor`` is the control address of a companion; only that companion in
    that incarnation may run the request.
    """

    executor: Endpoint
    incarnation: int
    service_number: int
    issued_at: datetime
    nonce: bytes
