"""Tests of the patches that switch off one mechanism each."""

import subprocess
import unittest
from pathlib import Path
from typing import Final

_PATCHES: Final = Path(__file__).resolve().parent.parent / "patches"
_REPOSITORY: Final = _PATCHES.parent.parent.parent


class PatchesTest(unittest.TestCase):
    """Patches must follow the code that they change."""

    def test_patches_apply(self) -> None:
        """Each patch applies to the code as it is."""
        patches = sorted(_PATCHES.glob("*.patch"))
        self.assertTrue(patches)
        for patch in patches:
            with self.subTest(patch=patch.stem):
                command = ["git", "apply", "--check", str(patch)]
                result = subprocess.run(
                    command,
                    cwd=_REPOSITORY,
                    capture_output=True,
                    text=True,
                    check=False,
                )
                self.assertEqual((result.returncode, result.stderr), (0, ""))
