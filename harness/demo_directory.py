"""The directory of a demo, which one demo at a time uses."""

import fcntl
import os
import shutil
from pathlib import Path


class DirectoryInUse(Exception):
    """Another demo uses the directory."""

    def __init__(self, directory: Path) -> None:
        """Name the directory and the remedy."""
        super().__init__(
            f"another demo uses {directory}; stop it, or start this one in another "
            "checkout"
        )


class ClaimedDirectory:
    """An empty directory that no other demo can claim until it is released.

    The claim ends with the process, so a demo that was killed leaves none::

        claimed = ClaimedDirectory(Path(".demo"))
        ...
        claimed.release()
    """

    def __init__(self, path: Path) -> None:
        """Claim the directory and remove what an earlier demo left in it."""
        path.mkdir(exist_ok=True)
        self._descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._descriptor)
            raise DirectoryInUse(path) from None
        for entry in path.iterdir():
            if entry.is_dir() and not entry.is_symlink():
                shutil.rmtree(entry)
            else:
                entry.unlink()

    def release(self) -> None:
        """Let other demos claim the directory."""
        os.close(self._descriptor)
