"""Ranks the companions of a service for a flow without an owner."""

import abc
import heapq
import math
from collections.abc import Sequence
from typing import Final, Protocol, TypeVar

import xxhash

_HASH_RANGE: Final = float(2**64)


class Rankable(Protocol):
    """A candidate with a packed address and a weight."""

    @property
    def packed(self) -> bytes:
        """Return the address in six bytes."""

    @property
    def weight(self) -> float:
        """Return the relative share of new flows."""


RankableT = TypeVar("RankableT", bound=Rankable)


class Ranking(abc.ABC):
    """Determines the order in which candidates are offered a new flow."""

    @abc.abstractmethod
    def rank(
        self, key: bytes, candidates: Sequence[RankableT], count: int
    ) -> list[RankableT]:
        """Return the best ``count`` candidates for a key, best first."""


class RendezvousRanking(Ranking):
    """Weighted rendezvous hashing.

    The score of a candidate is ``-weight / ln(u)``, where ``u`` is the hash of key and
    candidate as a fraction. A candidate that joins or leaves changes only the keys for
    which it has the highest score.
    """

    def rank(
        self, key: bytes, candidates: Sequence[RankableT], count: int
    ) -> list[RankableT]:
        """Return the candidates with the highest scores."""
        hash_key = xxhash.xxh3_64_intdigest
        digests = [hash_key(candidate.packed + key) for candidate in candidates]
        if len({candidate.weight for candidate in candidates}) > 1:
            scores = [
                _score(digest, candidate.weight)
                for digest, candidate in zip(digests, candidates, strict=True)
            ]
        else:
            # The score grows with the digest, so equal weights need no logarithm.
            scores = digests
        order = heapq.nlargest(count, range(len(scores)), key=scores.__getitem__)
        return [candidates[index] for index in order]


def _score(digest: int, weight: float) -> float:
    """Return the score of a candidate whose hash with the key is ``digest``."""
    fraction = (digest + 0.5) / _HASH_RANGE
    if fraction >= 1.0:
        return math.inf
    return -weight / math.log(fraction)
