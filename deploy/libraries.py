"""The libraries of the roles, installed with pip."""

import re
import subprocess
import sys
from pathlib import Path
from typing import Final

from .compilation import INTERPRETER_TAG, compile_modules, try_imports
from .const import REQUIREMENT_FILES
from .errors import BuildError
from .folders import Recipe, key_of
from .pip_environment import pip_environment

_QUIET: Final = {"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL}
_NAME: Final = re.compile(r"^[\w.-]+", re.MULTILINE)


class Libraries(Recipe):
    """The libraries that the requirement files name, for this interpreter."""

    def __init__(self, root: Path) -> None:
        """Read the requirement files of a checkout."""
        self._root = root
        self._requirements = [(root / name).read_text() for name in REQUIREMENT_FILES]

    @property
    def key(self) -> str:
        """Return a digest of the interpreter and the requirements."""
        return key_of(INTERPRETER_TAG, *self._requirements)

    @property
    def remedy(self) -> str:
        """Return what to do when libraries that were just installed don't load."""
        return "check pip's configuration, and its index for this machine"

    def fill(self, folder: Path, final: Path) -> None:
        """Install and compile the libraries."""
        pip = [sys.executable, "-P", "-m", "pip"]
        environment = pip_environment()
        if subprocess.run([*pip, "--version"], env=environment, **_QUIET).returncode:
            raise BuildError(
                f"{sys.executable} has no pip",
                "install it (python3-pip, or python3 -m ensurepip)",
            )
        requirements, constraints = REQUIREMENT_FILES
        command = [
            *(*pip, "install", "--quiet", "--disable-pip-version-check"),
            *("--no-compile", "--target", str(folder)),
            *("--constraint", constraints, "--requirement", requirements),
        ]
        if subprocess.run(command, env=environment, cwd=self._root).returncode:
            raise BuildError(
                "pip could not install the libraries (its own lines are above)",
                "check the network, or name an index with PIP_INDEX_URL",
            )
        # Libraries may hold files for other versions of Python.
        compile_modules(folder, final)

    def find_problem(self, folder: Path) -> str:
        """Return which library is missing or doesn't load."""
        installed = {_normalise(path.name) for path in folder.glob("*.dist-info")}
        for requirement in _NAME.findall(self._requirements[0]):
            if _normalise(requirement) not in installed:
                return f"{requirement} is not installed"
        packages = [path.parent.name for path in folder.glob("*/__init__.py")]
        modules = [path.name.partition(".")[0] for path in folder.glob("*.py")]
        return try_imports([folder], sorted(packages + modules))


def _normalise(name: str) -> str:
    """Return the name of a library in its common spelling, without a version."""
    return re.sub(r"[-_.]+", "-", re.sub(r"-\d.*", "", name)).lower()
