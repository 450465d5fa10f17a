"""Compiled modules and trials of them, as the ``run`` lines use them."""

import compileall
import subprocess
import sys
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path
from py_compile import PycInvalidationMode
from typing import Final

# Names the interpreter, the machine and the C library.
INTERPRETER_TAG: Final = EXTENSION_SUFFIXES[0].strip(".").removesuffix(".so")
_TRIAL: Final = """
import sys
from importlib import import_module
folders, _, modules = sys.argv[1].partition("|")
sys.path[:0] = folders.split("\\n")
for module in modules.split():
    import_module(module)
"""


def compile_modules(folder: Path, final: Path) -> bool:
    """Compile a folder that will be renamed to ``final``.

    Modification times don't matter, since they change when a tree is copied.
    """
    return bool(
        compileall.compile_dir(
            folder,
            quiet=1,
            stripdir=str(folder),
            prependdir=str(final),
            invalidation_mode=PycInvalidationMode.UNCHECKED_HASH,
        )
    )


def try_imports(folders: list[Path], modules: list[str]) -> str:
    """Import modules as the ``run`` lines do, and return what failed."""
    places = "\n".join(str(folder) for folder in folders)
    trial = subprocess.run(
        [sys.executable, "-I", "-S", "-B", "-c", _TRIAL]
        + [f"{places}|{' '.join(modules)}"],
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        check=False,
    )
    if trial.returncode == 0:
        return ""
    lines = trial.stderr.strip().splitlines()
    return lines[-1] if lines else f"the trial ended with code {trial.returncode}"
