"""The build: publishes libraries, release, pointer and program in ``target/``.

``docs/design/processes.md`` describes the layout.
"""

import sys
from pathlib import Path

from .compilation import INTERPRETER_TAG
from .errors import BuildError
from .folders import publish_file, publish_folder
from .libraries import Libraries
from .release import Release


def build(root: Path) -> None:
    """Publish what the ``run`` lines need; change nothing if it is there."""
    target = root / "target"
    libraries = publish_folder(target, "libraries", Libraries(root))
    release = Release(root, libraries)
    folder = publish_folder(target, "releases", release)
    pointer = f"{folder.name} {libraries.name}\n".encode()
    publish_file(target, target / "current" / INTERPRETER_TAG, pointer)
    publish_file(target, target / "app" / "launch.py", release.program)


def main() -> None:
    """Build in the current folder, or end with one line that says why not."""
    try:
        build(Path.cwd())
    except BuildError as error:
        sys.exit(f"build: {error}")
    except OSError as error:
        sys.exit(
            f"build: {error}; make room, and make target/ writable for the user "
            "who builds"
        )


if __name__ == "__main__":
    main()
