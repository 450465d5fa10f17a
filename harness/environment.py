"""The virtual environments of a checkout: set up by one process at a time.

Runs before anything is installed, so it uses the standard library only::

    python3 -m harness.environment development
    python3 -m harness.environment generation

An environment names absolute paths and an interpreter, so it can't be used in another
folder or on another machine. The marker ``ready`` in it lists what it was made for, and
is missing while it changes.
"""

import contextlib
import fcntl
import hashlib
import os
import re
import subprocess
import sys
from abc import ABC, abstractmethod
from collections.abc import Iterator
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path
from typing import Final

from deploy.pip_environment import pip_environment

_OLDEST_PYTHON: Final = (3, 11)

# A configuration of pip may let it install elsewhere.
_CHECK: Final = """
import sys
from importlib.metadata import PackageNotFoundError, distribution
for name in sys.argv[1:]:
    try:
        distribution(name)
    except PackageNotFoundError:
        sys.exit(f"{name} is not installed; check pip's configuration")
"""
_NAME: Final = re.compile(r"^\w[\w.-]*", re.MULTILINE)


def _names(requirements: Path) -> list[str]:
    """Return the names of the libraries in a file of requirements."""
    return _NAME.findall(requirements.read_text())


class Contents(ABC):
    """What an environment is made from, and how."""

    def __init__(self, root: Path) -> None:
        """Initialize with the checkout."""
        self.root = root

    @property
    @abstractmethod
    def folder(self) -> Path:
        """Return the folder of the environment."""

    @property
    @abstractmethod
    def sources(self) -> list[Path]:
        """Return the files after whose change the environment is outdated."""

    @property
    @abstractmethod
    def pip_arguments(self) -> list[str]:
        """Return what pip installs."""

    @property
    @abstractmethod
    def required(self) -> list[str]:
        """Return the names of what must be installed in the end."""

    def make(self, is_new: bool, lock: int) -> None:
        """Make the environment; its processes hold the lock if this one is killed."""
        # The one that runs this may belong to the environment that is replaced.
        interpreter = Path(sys.executable).resolve()
        clear = ["--clear"] if is_new else []
        pip = [self.folder / "bin" / "python", "-m", "pip", "install", "--quiet"]
        for command in (
            [interpreter, "-m", "venv", *clear, self.folder],
            [*pip, "--disable-pip-version-check", *self.pip_arguments],
            [self.folder / "bin" / "python", "-I", "-c", _CHECK, *self.required],
        ):
            subprocess.run(
                command,
                check=True,
                cwd=self.root,
                env=pip_environment(),
                pass_fds=[lock],
            )


class Development(Contents):
    """Both programs and the development tools."""

    _REQUIREMENTS: Final = ("requirements-dev.txt", "requirements-platform.txt")
    _CONSTRAINTS: Final = "constraints.txt"

    @property
    def folder(self) -> Path:
        """Return the folder of the environment."""
        return self.root / ".venv"

    @property
    def sources(self) -> list[Path]:
        """Return the files that name what is installed."""
        files = [self.root / name for name in (self._CONSTRAINTS, *self._REQUIREMENTS)]
        return files + sorted(self.root.glob("packages/*/pyproject.toml"))

    @property
    def pip_arguments(self) -> list[str]:
        """Return the requirements and the packages of the checkout."""
        arguments = ["--constraint", self._CONSTRAINTS]
        for name in self._REQUIREMENTS:
            arguments += ["--requirement", name]
        for path in sorted(self.root.glob("packages/*/pyproject.toml")):
            arguments += ["--editable", str(path.parent)]
        return arguments

    @property
    def required(self) -> list[str]:
        """Return the names of the requirements and of the packages."""
        names = [
            name for file in self._REQUIREMENTS for name in _names(self.root / file)
        ]
        return names + [
            path.parent.name for path in self.sources if path.suffix != ".txt"
        ]


class Generation(Contents):
    """The generators of protobuf and grpclib code."""

    _REQUIREMENTS: Final = "requirements-generate.txt"

    @property
    def folder(self) -> Path:
        """Return the folder of the environment."""
        return self.root / ".venv-generate"

    @property
    def sources(self) -> list[Path]:
        """Return the file that names what is installed."""
        return [self.root / self._REQUIREMENTS]

    @property
    def pip_arguments(self) -> list[str]:
        """Return the requirements."""
        return ["--requirement", self._REQUIREMENTS]

    @property
    def required(self) -> list[str]:
        """Return the names of the requirements."""
        return _names(self.root / self._REQUIREMENTS)


class Environment:
    """A virtual environment that is made when it can't be used as it is."""

    def __init__(self, contents: Contents) -> None:
        """Initialize with what the environment is made from."""
        self._contents = contents
        self._marker = contents.folder / "ready"

    @property
    def is_ready(self) -> bool:
        """Return whether the environment was made for this state of the checkout."""
        python = self._contents.folder / "bin" / "python"
        return os.access(python, os.X_OK) and self._read_marker() == self._expected()

    def ensure(self, is_requested: bool = False) -> None:
        """Make the environment if it isn't ready, or if that is requested.

        Whoever waited for another set-up uses what that one made.
        """
        if self.is_ready and not is_requested:
            return
        with self._lock() as (lock, has_waited):
            if self.is_ready and (has_waited or not is_requested):
                return
            place = self._place()
            is_new = not self._read_marker().startswith(place)
            self._marker.unlink(missing_ok=True)
            print(f"setting up {self._contents.folder}", file=sys.stderr)
            # Read before, since a file that changes meanwhile must be noticed.
            expected = self._expected()
            self._contents.make(is_new, lock)
            written = self._marker.with_name("ready.new")
            written.write_text(expected)
            written.replace(self._marker)

    @contextlib.contextmanager
    def _lock(self) -> Iterator[tuple[int, bool]]:
        """Hold the lock of the environment; yield it and whether it was taken."""
        folder = self._contents.folder
        with open(folder.with_name(f"{folder.name}.lock"), "w") as file:
            has_waited = False
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                print(f"waiting for another set-up of {folder}", file=sys.stderr)
                fcntl.flock(file, fcntl.LOCK_EX)
                has_waited = True
            yield file.fileno(), has_waited

    def _place(self) -> str:
        """Return the lines of the marker that name interpreter and folder."""
        interpreter = f"{EXTENSION_SUFFIXES[0]} {sys.base_prefix}"
        return f"{interpreter}\n{self._contents.folder.resolve()}\n"

    def _expected(self) -> str:
        """Return the marker of an environment that is ready."""
        lines = []
        for path in self._contents.sources:
            digest = hashlib.sha256(path.read_bytes()).hexdigest()
            lines.append(f"{digest}  {path.relative_to(self._contents.root)}\n")
        return self._place() + "".join(lines)

    def _read_marker(self) -> str:
        """Return the marker, or an empty text if it is missing."""
        try:
            return self._marker.read_text()
        except FileNotFoundError:
            return ""


def main() -> None:
    """Run ``python3 -m harness.environment KIND [--anew]``."""
    if sys.version_info < _OLDEST_PYTHON:
        sys.exit("set-up: python3 is older than 3.11; install Python 3.11 or newer")
    kinds = {"development": Development, "generation": Generation}
    contents = kinds[sys.argv[1]](Path.cwd())
    try:
        Environment(contents).ensure("--anew" in sys.argv[2:])
    except subprocess.CalledProcessError as error:
        sys.exit(
            f"set-up: {' '.join(map(str, error.cmd[:4]))} failed with code "
            f"{error.returncode} (its own lines are above); correct that and repeat it"
        )
    except OSError as error:
        sys.exit(
            f"set-up: {error}; make the checkout writable for the user who does it"
        )


if __name__ == "__main__":
    main()
