"""Environments of tests: checkouts without packages, and contents made at once."""

import shutil
import threading
import zipfile
from pathlib import Path
from typing import Final

from harness.environment import Contents
from harness.process import ROOT

_FILES: Final = ("requirements-dev.txt", "requirements-platform.txt", "constraints.txt")
_PROGRAMS: Final = (
    *("script/setup", "script/ensure-setup", "harness/__init__.py"),
    *("harness/environment.py", "deploy/__init__.py", "deploy/pip_environment.py"),
)
_SAMPLE: Final = {
    "sample.py": "",
    "sample-1.0.dist-info/METADATA": "Metadata-Version: 2.1\n"
    "Name: sample\nVersion: 1.0\n",
    "sample-1.0.dist-info/WHEEL": "Wheel-Version: 1.0\nTag: py3-none-any\n",
    "sample-1.0.dist-info/RECORD": "sample.py,,\n",
}
TIMEOUT_S: Final = 90.0


def make_checkout(folder: Path) -> Path:
    """Return a checkout whose set-up installs one library, which it holds."""
    for name in _PROGRAMS:
        (folder / name).parent.mkdir(parents=True, exist_ok=True)
        if (ROOT / name).exists():
            shutil.copy(ROOT / name, folder / name)
    for name in _FILES:
        (folder / name).write_text("")
    (folder / "requirements-dev.txt").write_text("sample\n")
    with zipfile.ZipFile(folder / "sample-1.0-py3-none-any.whl", "w") as wheel:
        for name, text in _SAMPLE.items():
            wheel.writestr(name, text)
    return folder


class FakeContents(Contents):
    """Contents that are made without programs, and only when a test lets them."""

    def __init__(self, root: Path) -> None:
        """Write the only source."""
        super().__init__(root)
        (root / "requirements.txt").write_text("first")
        self.calls: list[bool] = []
        self.error: Exception | None = None
        self.may_end = threading.Event()
        self.may_end.set()
        self.has_begun = threading.Event()

    @property
    def folder(self) -> Path:
        """Return the folder of the environment."""
        return self.root / ".venv"

    @property
    def sources(self) -> list[Path]:
        """Return the only source."""
        return [self.root / "requirements.txt"]

    @property
    def pip_arguments(self) -> list[str]:
        """Return nothing."""
        return []

    @property
    def required(self) -> list[str]:
        """Return nothing."""
        return []

    def make(self, is_new: bool, lock: int) -> None:
        """Record the call and make an interpreter."""
        self.calls.append(is_new)
        self.has_begun.set()
        self.may_end.wait(TIMEOUT_S)
        if self.error is not None:
            raise self.error
        (self.folder / "bin").mkdir(parents=True, exist_ok=True)
        python = self.folder / "bin" / "python"
        python.unlink(missing_ok=True)
        python.touch(0o755)
