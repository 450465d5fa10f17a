"""Positions in the history of the source."""

import msgspec


class Revision(msgspec.Struct, frozen=True, order=True):
    """The number of a change within an era of the source.

    A source that is restored from an older copy begins a new era. Its numbers continue
    from those of the copy, so a number is given out again for another change. Revisions
    are ordered by era first. ``era`` is 0 if the source doesn't report one.
    """

    era: int = 0
    number: int = 0
