"""Companions that may accept a new flow."""

import attrs

from pomelotrail_core.endpoint import Endpoint


@attrs.frozen
class Candidate:
    """A companion that may accept a new flow, with its relative weight."""

    companion: Endpoint
    weight: float = 1.0
    packed: bytes = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Pack the address once, because every ranking hashes it."""
        object.__setattr__(self, "packed", self.companion.pack())
