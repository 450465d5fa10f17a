"""Processor time of ranking the candidates of a service for one opening packet."""

import random
import time
from typing import Final

from measurements.interface import Figures
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import Candidate, RendezvousRanking
from pomelotrail_core.routing.const import MAX_CANDIDATES

CANDIDATE_COUNTS: Final = (3, 7, 30, 100, 300, 1_000)
RANKED_CANDIDATES_PER_SIZE: Final = 20_000
_MICROSECONDS: Final = 1e6


def measure_ranking(seed: int) -> Figures:
    """Return microseconds per ranking, by number of candidates."""
    rng = random.Random(seed)
    return {
        "ranking_us": {str(size): _measure_size(size, rng) for size in CANDIDATE_COUNTS}
    }


def _measure_size(size: int, rng: random.Random) -> float:
    """Return microseconds for one ranking of ``size`` candidates."""
    candidates = tuple(
        Candidate(Endpoint(f"10.0.{number // 250}.{number % 250}", 7000))
        for number in range(size)
    )
    ranking = RendezvousRanking()
    keys = [
        rng.randbytes(8) for _ in range(max(20, RANKED_CANDIDATES_PER_SIZE // size))
    ]
    start = time.thread_time()
    for key in keys:
        ranking.rank(key, candidates, MAX_CANDIDATES)
    return round((time.thread_time() - start) / len(keys) * _MICROSECONDS, 2)
