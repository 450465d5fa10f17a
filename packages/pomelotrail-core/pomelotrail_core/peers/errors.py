"""Errors of talking to peers."""

import attrs

from pomelotrail_core.endpoint import Endpoint


@attrs.frozen
class PeerError:
    """A process that could not be reached or gave no answer."""

    endpoint: Endpoint
    problem: str

    def __str__(self) -> str:
        """Name the address and what to check."""
        return (
            f"no answer from {self.endpoint} ({self.problem}); check that the "
            "process runs and that this is its control address"
        )
