"""The latest deltas, to be handed on to children."""

from collections import OrderedDict

import attrs

from pomelotrail_core.configuration.delta import make_delta
from pomelotrail_core.configuration.source import Document

from .const import HISTORY_BYTES, HISTORY_DELTAS


@attrs.frozen
class VersionDelta:
    """A delta and the versions between which it leads."""

    base_version: int
    base_digest: bytes
    version: int
    digest: bytes
    delta: bytes


class History:
    """Keeps a bounded number of deltas by the version that they start from."""

    def __init__(self) -> None:
        """Start empty."""
        self._deltas: OrderedDict[tuple[int, bytes], VersionDelta] = OrderedDict()
        self._last: Document | None = None

    def add(self, document: Document, delta: VersionDelta | None = None) -> None:
        """Keep the way to a new version; without a delta it is worked out."""
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
        """Return the delta that starts from a version, if it is kept."""
        return self._deltas.get((version, digest))

    def _bytes(self) -> int:
        """Return the size of the kept deltas."""
        return sum(len(each.delta) for each in self._deltas.values())
