"""A directory follows its source through any order of changes and restores."""

import asyncio
import unittest
from typing import Final

from hypothesis import given, settings
from hypothesis import strategies as st

from harness.virtual_time import run_in_virtual_time
from pomelotrail_core.directory import (
    RemovedItem,
    ServerItem,
    ServerState,
    ZoneItem,
)
from pomelotrail_core.endpoint import Endpoint

from .builders import configuration, entry
from .followed_source import (
    APPLY_SECONDS,
    OPERATOR_REWRITE_SECONDS,
    REWRITE_SECONDS,
    STARTED_MS,
    FollowedSource,
)

_SERVERS: Final = 2
_CLOCK_STEP_MS: Final = 5_000
# Everything is settled after a lost evacuation that nobody writes again and a wait of a
# watch.
_SETTLED_SECONDS: Final = REWRITE_SECONDS + OPERATOR_REWRITE_SECONDS + 6
_STEPS: Final = st.tuples(
    st.sampled_from(
        ("publish", "ready", "leaving", "removed", "zone out", "zone back", "copy")
        + ("restore", "restore briefly", "outage", "wait", "wait longer")
        + ("restart", "restart, clock behind", "take over", "take over, clock behind")
    ),
    st.integers(0, _SERVERS - 1),
)


class _Writers:
    """Servers and operators that write to a source, and the last copy of it."""

    def __init__(self, followed: FollowedSource) -> None:
        """Start with one copy."""
        self._followed = followed
        self._source = followed.source
        self._copy = self._source.copy()
        self._sequences = [0] * _SERVERS
        self._identities = [f"server-{index}" for index in range(_SERVERS)]
        self._crashed: list[str] = []
        self._started_ms = [STARTED_MS] * _SERVERS
        self.version = 4

    async def async_apply(self, step: str, index: int) -> None:
        """Apply one step."""
        match step:
            case "publish":
                self.version += 1
                self._source.write(configuration(self.version))
            case "ready" | "leaving":
                self._source.write(self._entry(index, step))
            case "removed":
                self._source.write(RemovedItem(identity=self._identities[index]))
            case "take over" | "take over, clock behind":
                self._crashed.append(self._identities[index])
                self._identities[index] = f"server-{index}-{len(self._crashed)}"
                self._start(index, is_clock_behind="behind" in step)
            case "restart" | "restart, clock behind":
                self._start(index, is_clock_behind="behind" in step)
            case "zone out":
                self._source.write(ZoneItem(f"zone-{index}"))
            case "zone back":
                self._source.write(RemovedItem(zone=f"zone-{index}"))
            case "copy":
                self._copy = self._source.copy()
            case "restore":
                await self._followed.async_restore(self._copy)
            case "restore briefly":
                await self._followed.async_restore(self._copy, outage_s=0)
            case "outage":
                await self._followed.async_restore(self._source.copy(), outage_s=1)
            case "wait":
                await asyncio.sleep(0.3)
            case "wait longer":
                await asyncio.sleep(3)

    def expire_crashed(self) -> None:
        """Remove the entries of servers whose addresses others took over."""
        for identity in self._crashed:
            self._source.write(RemovedItem(identity=identity))

    def _start(self, index: int, is_clock_behind: bool) -> None:
        """Start a server anew on a VM whose clock may be behind the earlier one's."""
        self._started_ms[index] += _CLOCK_STEP_MS * (-1 if is_clock_behind else 1)
        self._sequences[index] = 0
        self._source.write(self._entry(index, "ready"))

    def _entry(self, index: int, state: str) -> ServerItem:
        """Return the entry of a server, which a later one follows."""
        self._sequences[index] += 1
        return entry(
            identity=self._identities[index],
            endpoint=Endpoint(f"192.0.2.{index + 1}", 8080),
            zone=f"zone-{index}",
            state=ServerState(state),
            started_ms=self._started_ms[index],
            sequence=self._sequences[index],
        )


class RestorePropertyTest(unittest.TestCase):
    """What is in force in the end is what the source has."""

    @settings(max_examples=500, deadline=None, derandomize=True)
    @given(st.lists(_STEPS, min_size=4, max_size=24))
    def test_directory_follows_its_source(self, steps: list[tuple[str, int]]) -> None:
        """No change is missed, and no version goes back."""
        run_in_virtual_time(self._async_follow(steps))

    def test_entry_that_nobody_writes_again(self) -> None:
        """What a restored source has of a server applies in the end."""
        steps = ["ready", "copy", "leaving", "wait longer", "restore"]
        run_in_virtual_time(self._async_follow([(step, 0) for step in steps]))

    async def _async_follow(self, steps: list[tuple[str, int]]) -> None:
        """Apply the steps, publish a last version, and compare."""
        followed = FollowedSource()
        await asyncio.sleep(1)
        writers = _Writers(followed)
        version = followed.directory.version
        for step, index in steps:
            await writers.async_apply(step, index)
            self.assertGreaterEqual(followed.directory.version, version)
            version = followed.directory.version
        writers.expire_crashed()
        await writers.async_apply("publish", 0)
        await asyncio.sleep(APPLY_SECONDS)
        self.assertEqual(followed.directory.version, writers.version)
        await asyncio.sleep(_SETTLED_SECONDS)
        self.assertEqual(followed.directory.zones_out, followed.source.zones_out)
        self.assertEqual(sorted(followed.candidates), followed.source.ready_servers)
        followed.stop()
