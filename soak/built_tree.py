"""A copy of the checkout in which builds run while processes start from it."""

import asyncio
import random
import shutil
import signal
from pathlib import Path
from typing import Final

from harness.process import ROOT

_SOURCES: Final = ("packages", "platform", "deploy")
_FILES: Final = ("requirements-platform.txt", "constraints.txt")
_CHANGED: Final = Path("platform", "pomelotrail_platform", "const.py")
_BUILDS_AT_ONCE: Final = 2
_LONGEST_PAUSE_S: Final = 1.0
# An interrupted build is killed within this time.
_INTERRUPTED_S: Final = 1.0


class BuiltTree:
    """Builds once, and then in series with changed sources::

    tree = BuiltTree(folder)
    await tree.async_build()
    builds = asyncio.create_task(tree.async_build_regularly())
    """

    def __init__(self, folder: Path) -> None:
        """Copy the sources that a build needs."""
        self._tree = folder / "tree"
        for name in _SOURCES:
            shutil.copytree(
                ROOT / name,
                self._tree / name,
                ignore=shutil.ignore_patterns("__pycache__"),
            )
        for name in _FILES:
            shutil.copy2(ROOT / name, self._tree / name)
        self._source = (self._tree / _CHANGED).read_text()
        self._random = random.Random(0)
        self.launcher = self._tree / "target" / "app" / "launch.py"
        self.builds = 0
        self.problems: list[str] = []

    async def async_build(self, kill_after_s: float | None = None) -> None:
        """Build, and record why it failed; it may be killed meanwhile."""
        build = await asyncio.create_subprocess_exec(
            "sh",
            "deploy/build.sh",
            cwd=self._tree,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        output = asyncio.create_task(build.communicate())
        if kill_after_s is not None:
            await asyncio.wait([output], timeout=kill_after_s)
        if kill_after_s is not None and build.returncode is None:
            build.send_signal(signal.SIGKILL)
        _, errors = await output
        self.builds += 1
        if build.returncode and kill_after_s is None:
            last_line = errors.decode(errors="replace").strip().rpartition("\n")[2]
            self.problems.append(f"build ended with {build.returncode}: {last_line}")

    async def async_build_regularly(self) -> None:
        """Change a source, then build it several times at once, until cancelled.

        Half of the times one more build is killed.
        """
        number = 0
        while True:
            number += 1
            changed = self._tree / _CHANGED.with_suffix(".new")
            changed.write_text(f"{self._source}# Change {number}.\n")
            changed.rename(self._tree / _CHANGED)
            builds = [self.async_build() for _ in range(_BUILDS_AT_ONCE)]
            if self._random.random() < 0.5:
                delay_s = self._random.uniform(0, _INTERRUPTED_S)
                builds.append(self.async_build(delay_s))
            await asyncio.gather(*builds)
            await asyncio.sleep(self._random.uniform(0, _LONGEST_PAUSE_S))
