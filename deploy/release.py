"""The modules of the roles, copied from the checkout."""

from pathlib import Path
from typing import Final

from .compilation import INTERPRETER_TAG, compile_modules, try_imports
from .errors import BuildError
from .folders import Recipe, key_of

_LEFT_OUT: Final = {"tests", "__pycache__"}
_PROGRAM: Final = "launch.py"
_ROLES: Final = (
    "launch",
    "pomelotrail_platform.balancer_role",
    "pomelotrail_platform.companion_role",
)


class Release(Recipe):
    """The modules of one state of the sources, compiled for this interpreter.

    The sources are read once, so that the key names what is written even if they
    change meanwhile.
    """

    def __init__(self, root: Path, libraries: Path) -> None:
        """Read the sources of a checkout that use these libraries."""
        self._libraries = libraries
        self._sources = {_PROGRAM: (root / "platform" / _PROGRAM).read_bytes()}
        for start in (
            *root.glob("packages/*/pomelotrail_*/__init__.py"),
            *root.glob("platform/pomelotrail_*/__init__.py"),
        ):
            self._read_package(start.parent)

    @property
    def program(self) -> bytes:
        """Return the source of the program that starts a role."""
        return self._sources[_PROGRAM]

    @property
    def key(self) -> str:
        """Return a digest of the interpreter and the sources."""
        names = sorted(self._sources)
        texts = (f"{name} {self._sources[name].hex()}" for name in names)
        return key_of(INTERPRETER_TAG, *texts)

    @property
    def remedy(self) -> str:
        """Return what to do when modules that were just copied don't load."""
        return "correct the sources"

    def fill(self, folder: Path, final: Path) -> None:
        """Write and compile the modules."""
        for name, content in self._sources.items():
            path = folder / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(content)
        if not compile_modules(folder, final):
            raise BuildError("a module can't be compiled", self.remedy)

    def find_problem(self, folder: Path) -> str:
        """Return which role doesn't load."""
        return try_imports([folder, self._libraries], list(_ROLES))

    def _read_package(self, package: Path) -> None:
        """Read the files of a package, without its tests."""
        for path in package.rglob("*"):
            place = path.relative_to(package.parent)
            if path.is_file() and _LEFT_OUT.isdisjoint(place.parts):
                self._sources[place.as_posix()] = path.read_bytes()
