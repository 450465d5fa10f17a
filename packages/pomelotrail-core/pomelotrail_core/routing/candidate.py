"""A companion that may take a new flow."""

import attrs

from pomelotrail_core.endpoint import Endpoint


@attrs.frozen
class Candidate:
    """A companion that may take a new flow, with its share of new flows."""

    companion: Endpoint
    weight: float = 1.0
    packed: bytes = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Pack the address once, since every ranking hashes it."""
        object.__setattr__(self, "packed", self.companion.pack())
