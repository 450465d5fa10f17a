"""Recent configuration deltas, kept for forwarding to children."""

from collections import OrderedDict

import attrs

from pomelotrail_core.configuration.delta import make_delta
from pomelotrail_core.configuration.source import Document

from .const import HISTORY_BYTES, HISTORY_DELTAS


@attrs.frozen
class VersionDelta:
    """A delta with its base version and resulting version."""

    base_version: int
    base_digest: bytes
    version: int
    digest: bytes
    delta: bytes


class History:
    """Stores a bounded number of deltas by their base version."""

    def __init__(self) -> None:
        """Initialize an empty history."""
        self._deltas: OrderedDict[tuple[int, bytes], VersionDelta] = OrderedDict()
        self._last: Document | None = None

    def add(self, document: Document, delta: VersionDelta | None = None) -> None:
        """Add a new version; compute the delta if none is given or it doesn't fit."""
        last = self._last
        self._last = document
        if last is None:
            return
        if delta is None or delta.base_digest != last.digest:
            delta = VersionDelta(
                base_version=last.version,
                base_digest=last.digest,
                version=document.version,
                digest=document.digest,
                delta=make_delta(last.text, document.text),
            )
        self._deltas[(delta.base_version, delta.base_digest)] = delta
        while len(self._deltas) > HISTORY_DELTAS or self._bytes() > HISTORY_BYTES:
            self._deltas.popitem(last=False)

    def after(self, version: int, digest: bytes) -> VersionDelta | None:
        """Return the delta with the given base version, if stored."""
        return self._deltas.get((version, digest))

    def _bytes(self) -> int:
        """Return the total size of the stored deltas."""
        return sum(len(each.delta) for each in self._deltas.values())
