"""Checkouts that are built without a network."""

import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
import zipfile
from importlib import metadata
from pathlib import Path
from typing import Any, Final

from harness.process import ROOT

ROLE: Final = ("-I", "-S", "target/app/launch.py", "balancer")
_FILES: Final = ("requirements-platform.txt", "constraints.txt")
_FOLDERS: Final = ("deploy", "packages", "platform")
_IGNORED: Final = shutil.ignore_patterns("tests", "__pycache__", "*.egg-info")
# A role that names its state of the sources, and again from a module that it imports
# when a line comes.
_ROLE_MODULE: Final = '''
"""A balancer of a test."""
import sys
import msgspec

async def async_main():
    """Name the state of the sources, at the start and later."""
    print("reached", "{state}", flush=True)
    if sys.stdin.readline():
        from . import late
        print("late", late.STATE, flush=True)
'''


def pack_libraries(folder: Path) -> None:
    """Pack the libraries of this environment as wheels."""
    folder.mkdir()
    for requirement in (ROOT / _FILES[0]).read_text().split():
        library = metadata.distribution(requirement)
        tag = re.search(r"^Tag: (\S+)", library.read_text("WHEEL"), re.MULTILINE)[1]
        name = library.name.replace("-", "_")
        with zipfile.ZipFile(
            folder / f"{name}-{library.version}-{tag}.whl", "w"
        ) as wheel:
            for file in library.files:
                if ".." not in file.parts and file.suffix != ".pyc":
                    wheel.write(file.locate(), str(file))


class Checkout:
    """The files of the repository that a build reads, in a folder of its own."""

    def __init__(self, folder: Path, wheels: Path) -> None:
        """Copy the files; ``wheels`` replaces the index of packages."""
        self.folder = folder
        self.target = folder / "target"
        self._wheels = wheels
        for name in _FOLDERS:
            shutil.copytree(ROOT / name, folder / name, ignore=_IGNORED)
        for name in _FILES:
            shutil.copy(ROOT / name, folder)
        self.write_sources("first")

    def copy(self, folder: Path) -> "Checkout":
        """Return a copy of this checkout and all that was built."""
        shutil.copytree(self.folder, folder)
        copied = object.__new__(Checkout)
        copied.folder, copied.target = folder, folder / "target"
        copied._wheels = self._wheels
        return copied

    def write_sources(self, state: str) -> None:
        """Change the sources to a named state."""
        platform = self.folder / "platform" / "pomelotrail_platform"
        (platform / "balancer_role.py").write_text(_ROLE_MODULE.format(state=state))
        (platform / "late.py").write_text(f'"""Late."""\nSTATE = "{state}"\n')

    def start_build(self, **changes: Any) -> subprocess.Popen:
        """Start a build in a process group of its own."""
        environment = {
            "PATH": f"{Path(sys.executable).parent}:{os.defpath}",
            "HOME": str(self.folder),
            "PIP_CONFIG_FILE": os.devnull,
            "PIP_NO_INDEX": "1",
            "PIP_FIND_LINKS": str(self._wheels),
        } | changes.pop("environment", {})
        return subprocess.Popen(
            ["sh", "deploy/build.sh"],
            cwd=self.folder,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
            **changes,
        )

    def build(self, **changes: Any) -> str:
        """Build and return the output, or raise an error with it."""
        process = self.start_build(**changes)
        output, _ = process.communicate()
        if process.returncode:
            raise AssertionError(f"the build failed: {output}")
        return output

    def fail_build(self, **changes: Any) -> str:
        """Return the last line of a build that must fail."""
        process = self.start_build(**changes)
        output, _ = process.communicate()
        if not process.returncode:
            raise AssertionError(f"the build succeeded: {output}")
        return output.splitlines()[-1]

    def start_role(self) -> subprocess.Popen:
        """Start the balancer as its ``run`` line does."""
        return subprocess.Popen(
            [sys.executable, *ROLE],
            cwd=self.folder,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def run_role(self) -> str:
        """Return the output of a balancer that ends after its start."""
        return self.start_role().communicate()[0]

    def fail_role(self) -> dict[str, str]:
        """Return the fields of the line that a failed start leaves."""
        return json.loads(self.run_role())

    def published(self, kind: str) -> list[str]:
        """Return the names of the published folders of a kind."""
        return sorted(path.name for path in (self.target / kind).iterdir())

    def snapshot(self) -> dict[str, tuple[int, int, int]]:
        """Return what tells whether anything in ``target/`` changed."""
        states = {path: path.stat() for path in self.target.rglob("*")}
        return {
            str(path): (state.st_ino, state.st_mtime_ns, state.st_mode)
            for path, state in states.items()
        }


class CheckoutFactory:
    """Checkouts in a temporary folder, one of which is built once and copied."""

    def __init__(self) -> None:
        """Pack the libraries and build one checkout."""
        self._temporary = tempfile.TemporaryDirectory()
        self._folder = Path(self._temporary.name)
        self._count = 0
        pack_libraries(self._folder / "wheels")
        self._built = self.make()
        self._built.build()

    def make(self) -> Checkout:
        """Return a checkout in which nothing was built."""
        return Checkout(self._next_folder(), self._folder / "wheels")

    def make_built(self) -> Checkout:
        """Return a checkout in which the first state of the sources was built."""
        return self._built.copy(self._next_folder())

    def close(self) -> None:
        """Remove the checkouts."""
        self._temporary.cleanup()

    def _next_folder(self) -> Path:
        """Return the path of a new folder."""
        self._count += 1
        return self._folder / f"checkout-{self._count}"
