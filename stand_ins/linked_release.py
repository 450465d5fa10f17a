"""A release that consists of links to the checkout, in the layout of the build."""

import sysconfig
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path

from harness.process import ROOT

_NAME = "checkout"


def link_release(target: Path) -> Path:
    """Fill an empty folder like ``target/`` and return its ``launch.py``.

    The modules of the release are in ``target/releases/checkout``.
    """
    release = target / "releases" / _NAME
    application = target / "app"
    for folder in (release, application, target / "libraries", target / "current"):
        folder.mkdir(parents=True)
    packages = [*ROOT.glob("packages/*/pomelotrail_*"), *ROOT.glob("platform/pomelo*")]
    program = ROOT / "platform" / "launch.py"
    for source in (program, *packages):
        (release / source.name).symlink_to(source)
    (application / program.name).symlink_to(program)
    libraries = sysconfig.get_path("platlib")
    (target / "libraries" / _NAME).symlink_to(libraries)
    tag = EXTENSION_SUFFIXES[0].strip(".").removesuffix(".so")
    (target / "current" / tag).write_text(f"{_NAME} {_NAME}\n")
    return application / program.name
