"""Errors of calls to peers."""

import attrs

from pomelotrail_core.endpoint import Endpoint


@attrs.frozen
class PeerError:
    """A call to a process that was unreachable or did not reply."""

    endpoint: Endpoint
    problem: str

    def __str__(self) -> str:
        """Return the address, the problem and what to check."""
        return (
            f"no answer from {self.endpoint} ({self.problem}); check that the "
            "process runs and that this is its control address"
        )
