"""Random schedules of faults, each drawn from a seed."""

import enum
from collections.abc import Sequence
from typing import Final

import attrs
import numpy as np

from .const import SERVICES, ZONES


class FaultKind(enum.Enum):
    """Kinds of faults."""

    TERMINATE = "terminate"
    KILL = "kill"
    FREEZE = "freeze"
    RELOAD = "reload"
    HERD_KILL = "herd kill"
    ROLL = "roll"
    SERVER_CRASH = "server crash"
    SERVER_REPLACE = "server replace"
    ADDRESS_REUSE = "address reuse"
    LINK_CUT = "link cut"
    LINK_ONE_WAY = "link cut one way"
    LINK_DELAY = "link delay"
    LINK_LOSS = "link loss"
    STORE_DOWN = "store down"
    STORE_SILENT = "store silent"
    STORE_SLOW = "store slow"
    STORE_FORGETS = "store forgets"
    STORE_RESETS = "store resets"
    STORE_REFUSES_SOME = "store refuses some"
    STORE_ONE_WAY = "store answers lost"
    ZONE_OUT = "zone out"
    CONFIGURATION = "configuration"
    SERVER_ADD = "server add"
    STORE_RESTORED = "store restored"
    ROLL_ALL = "roll all"
    FOREIGN_ENTRY = "foreign entry"
    LOG_READER_GONE = "log reader gone"
    LOG_READER_STILL = "log reader still"
    LOG_UNUSABLE = "log unusable"
    METRICS_HELD = "metrics held"
    READINESS_HELD = "readiness held"
    PACKETS_HELD = "packets held"
    PEERS_HELD = "peers held"
    SETTINGS_ABSENT = "settings absent"
    SETTINGS_HALF = "settings half written"
    SETTINGS_REPLACED = "settings replaced"
    EARLY_SIGNALS = "early signals"
    REPEATED_SIGNALS = "repeated signals"
    LARGE_ENTRIES = "large entries"
    FEW_DESCRIPTORS = "few descriptors"
    BURST = "burst"


# Without the burst: it has a fleet of its own, and seeds keep their schedules.
_ALL_KINDS: Final = tuple(x for x in FaultKind if x is not FaultKind.BURST)
_FIRST_OF_MACHINE: Final = _ALL_KINDS.index(FaultKind.LOG_READER_GONE)
# As many as make a quarter of the faults of the set bursts.
_BURSTS: Final = (FaultKind.BURST,) * 8
KINDS: Final = {
    "all": _ALL_KINDS,
    "platform": _ALL_KINDS[:_FIRST_OF_MACHINE],
    "machine": _ALL_KINDS[_FIRST_OF_MACHINE:],
    "load": _ALL_KINDS[:_FIRST_OF_MACHINE] + _BURSTS,
}


@attrs.frozen
class Fault:
    """One fault: its time, kind, target and duration.

    ``pick`` selects the target: its position among the possible ones, from 0 to 1.
    """

    at: float
    kind: FaultKind
    pick: float
    for_s: float

    def pick_one(self, count: int) -> int:
        """Return which of several ways of the same fault to take."""
        return round(self.for_s * 1_000) % count


def draw_schedule(
    seed: int, seconds: float, kinds: Sequence[FaultKind] = _ALL_KINDS
) -> list[Fault]:
    """Return the faults of a seed; some are repeated, and all may overlap."""
    generator = np.random.default_rng(seed)
    faults = []
    at = 0.5
    while at < seconds:
        kind = kinds[int(generator.integers(len(kinds)))]
        repeats = int(generator.integers(1, 4)) if generator.random() < 0.3 else 1
        for index in range(repeats):
            fault = Fault(
                at=round(at + index * float(generator.uniform(0.1, 0.8)), 3),
                kind=kind,
                pick=round(float(generator.random()), 3),
                for_s=round(float(generator.uniform(0.3, 3.0)), 3),
            )
            faults.append(fault)
        at += float(generator.exponential(0.7))
    return sorted(faults, key=lambda item: item.at)


def get_other_service(service: str) -> str:
    """Return the other one of the two services."""
    return SERVICES[1 - SERVICES.index(service)]


def get_zone(index: int) -> str:
    """Return the availability zone of a VM by its index."""
    return ZONES[index % len(ZONES)]
