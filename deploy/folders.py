"""Folders that are complete from the moment they are visible, and never change."""

import hashlib
import marshal
import os
import shutil
import sys
import tempfile
import time
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import chain, count
from pathlib import Path

from .const import (
    BUILD_TIME_LIMIT,
    COMPILED_FOLDER,
    COMPILED_HEADER_BYTES,
    CONTENTS_FILE,
    DIGEST_WIDTH,
    KEY_LENGTH,
    PRIVATE_PREFIX,
)
from .errors import BuildError


class Recipe(ABC):
    """How a folder of one kind is filled and checked."""

    @property
    @abstractmethod
    def key(self) -> str:
        """Return the name that is the same for the same content."""

    @property
    @abstractmethod
    def remedy(self) -> str:
        """Return what to do when a folder that was just made can't be used."""

    @abstractmethod
    def fill(self, folder: Path, final: Path) -> None:
        """Fill an empty folder that will be renamed to ``final``."""

    @abstractmethod
    def find_problem(self, folder: Path) -> str:
        """Return why a complete folder can't be used here, or an empty text."""


def publish_folder(target: Path, kind: str, recipe: Recipe) -> Path:
    """Return the folder of a recipe, which is made if it isn't there.

    A folder that is damaged, for example by a partial copy, stays as it is, since
    processes may run from it; another one with a number after its name replaces it.
    """
    names = chain([recipe.key], (f"{recipe.key}.{number}" for number in count(1)))
    for name in names:
        folder = target / kind / name
        if not folder.exists() and _make_folder(target, folder, recipe):
            break
        problem = _find_damage(folder) or recipe.find_problem(folder)
        if not problem:
            break
        print(f"build: {folder} is replaced: {problem}", file=sys.stderr)
    return folder


def publish_file(target: Path, path: Path, content: bytes) -> None:
    """Replace a file by a new one, unless it has this content."""
    if path.is_file() and path.read_bytes() == content:
        return
    path.parent.mkdir(exist_ok=True)
    with private_folder(target) as private:
        written = private / path.name
        written.write_bytes(content)
        written.replace(path)


@contextmanager
def private_folder(target: Path) -> Iterator[Path]:
    """Return a new folder in ``target`` that others don't use."""
    target.mkdir(exist_ok=True)
    remove_leftovers(target)
    folder = Path(tempfile.mkdtemp(prefix=PRIVATE_PREFIX, dir=target))
    try:
        folder.chmod(0o755)
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def remove_leftovers(target: Path) -> None:
    """Remove what interrupted builds left."""
    oldest = time.time() - BUILD_TIME_LIMIT.total_seconds()
    for path in target.glob(f"{PRIVATE_PREFIX}*"):
        try:
            if path.stat().st_mtime < oldest:
                shutil.rmtree(path)
        except FileNotFoundError:
            # Another build removed it.
            continue
        except OSError as error:
            print(f"build: a leftover stays: {error}", file=sys.stderr)


def digest_files(root: Path, paths: list[Path]) -> str:
    """Return a digest of names and contents of files, as lines of ``sha256sum``."""
    lines = []
    for path in sorted(paths):
        digest = hashlib.sha256(path.read_bytes()).hexdigest()
        lines.append(f"{digest}  {path.relative_to(root).as_posix()}\n")
    return "".join(lines)


def key_of(*parts: str) -> str:
    """Return a short digest of texts."""
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:KEY_LENGTH]


def _make_folder(target: Path, folder: Path, recipe: Recipe) -> bool:
    """Fill, check and rename a private folder; False if another build was faster."""
    folder.parent.mkdir(parents=True, exist_ok=True)
    with private_folder(target) as private:
        made = private / folder.name
        made.mkdir()
        recipe.fill(made, folder)
        # Modules may be compiled again, so what was compiled isn't compared.
        files = [
            path
            for path in made.rglob("*")
            if path.is_file() and path.parent.name != COMPILED_FOLDER
        ]
        (made / CONTENTS_FILE).write_text(digest_files(made, files))
        problem = recipe.find_problem(made)
        if problem:
            raise BuildError(problem, recipe.remedy)
        try:
            os.rename(made, folder)
        except OSError:
            if not folder.is_dir():
                raise
            return False
    return True


def _find_damage(folder: Path) -> str:
    """Return why files differ from those that were published, or an empty text."""
    try:
        contents = (folder / CONTENTS_FILE).read_text()
        files = [folder / line[DIGEST_WIDTH:] for line in contents.splitlines()]
        is_intact = digest_files(folder, files) == contents
        for path in folder.rglob(f"{COMPILED_FOLDER}/*.pyc"):
            marshal.loads(path.read_bytes()[COMPILED_HEADER_BYTES:])
    except (OSError, ValueError, EOFError, TypeError) as error:
        return str(error)
    return "" if is_intact else "files have changed"
