"""Tests that a build doesn't disturb processes and other builds."""

import compileall
import os
import shutil
import signal
import stat
import subprocess
import sys
import threading
import time
import unittest
from collections.abc import Callable
from pathlib import Path

from .builders import Checkout, CheckoutFactory

_BUILDS_AT_ONCE = 3
_PARTS_OF_A_BUILD = (0.25, 0.5, 0.75)
_POLL_INTERVAL_S = 0.002
_REACHED_FIRST = "reached first\n"


def _has(pattern: str) -> Callable[[Path], bool]:
    """Return a check whether a path exists in ``target/``."""
    return lambda target: any(target.glob(pattern))


def _after(seconds: float) -> Callable[[Path], bool]:
    """Return a check whether some time has passed since it was first called."""
    calls: list[float] = []

    def is_reached(target: Path) -> bool:
        """Compare the time with that of the first call."""
        calls.append(time.monotonic())
        return calls[-1] - calls[0] > seconds

    return is_reached


# States of target/ at which a build is killed.
_POINTS = {
    "while it makes a folder": _has("building-*"),
    "while it copies": _has("building-*/*/pomelotrail_core"),
    "while it compiles": _has("building-*/*/pomelotrail_core/__pycache__"),
}


class BuildTest(unittest.TestCase):
    """Builds of a copy of the sources."""

    @classmethod
    def setUpClass(cls) -> None:
        """Build once."""
        cls.factory = CheckoutFactory()
        cls.addClassCleanup(cls.factory.close)

    def test_starts_while_builds_run(self) -> None:
        """Guards against starts that find modules missing while a build runs."""
        checkout = self.factory.make_built()
        problems: list[str] = []

        def build_states() -> None:
            """Build several states of the sources."""
            for state in ("second", "third"):
                checkout.write_sources(state)
                try:
                    checkout.build()
                except AssertionError as error:
                    problems.append(str(error))

        builds = threading.Thread(target=build_states)
        builds.start()
        while builds.is_alive():
            output = checkout.run_role()
            if not output.startswith("reached"):
                problems.append(output)
        self.assertEqual(problems, [])
        self.assertEqual(checkout.run_role(), "reached third\n")

    def test_running_process_keeps_its_release(self) -> None:
        """Guards against a build that replaces modules of a running process."""
        checkout = self.factory.make_built()
        process = checkout.start_role()
        self.assertEqual(process.stdout.readline(), _REACHED_FIRST)
        checkout.write_sources("second")
        checkout.build()
        self.assertEqual(process.communicate("go\n")[0], "late first\n")
        self.assertEqual(checkout.run_role(), "reached second\n")

    def test_process_knows_its_release(self) -> None:
        """Guards against a line `started` that names another release than its own."""
        checkout = self.factory.make_built()
        (release,) = checkout.published("releases")
        node = "from pomelotrail_platform import node; print(node.RELEASE)"
        folders = [*checkout.target.glob("releases/*"), *checkout.target.glob("lib*/*")]
        path = f"import sys; sys.path[:0] = {list(map(str, folders))}; "
        output = subprocess.check_output(
            [sys.executable, "-I", "-S", "-c", path + node], text=True
        )
        self.assertEqual(output, f"{release}\n")

    def test_concurrent_builds_agree(self) -> None:
        """Guards against builds that fail because another one runs."""
        checkout = self.factory.make()
        builds = [checkout.start_build() for _ in range(_BUILDS_AT_ONCE)]
        outputs = [build.communicate()[0] for build in builds]
        self.assertEqual(
            [build.returncode for build in builds], [0] * _BUILDS_AT_ONCE, outputs
        )
        self.assertEqual(checkout.run_role(), _REACHED_FIRST)
        self.assertEqual(len(checkout.published("releases")), 1)
        self.assertEqual(len(checkout.published("libraries")), 1)
        self.assertEqual(list(checkout.target.glob("building-*")), [])

    def test_same_sources_give_the_same_release(self) -> None:
        """Guards against keys that depend on the time or the folder of a build."""
        checkout, other = self.factory.make_built(), self.factory.make()
        for path in other.folder.rglob("*"):
            os.utime(path, (0, 0))
        other.build()
        for kind in ("releases", "libraries"):
            self.assertEqual(checkout.published(kind), other.published(kind))

    def test_interrupted_build(self) -> None:
        """Guards against a killed build after which processes can't start."""
        checkout = self.factory.make_built()
        started = time.monotonic()
        checkout.write_sources("complete")
        checkout.build()
        duration_s = time.monotonic() - started
        points = _POINTS | {
            f"after {part:.0%} of its time": _after(duration_s * part)
            for part in _PARTS_OF_A_BUILD
        }
        for point, is_reached in points.items():
            with self.subTest(point):
                checkout.write_sources(point)
                self._kill_build(checkout, is_reached)
                self.assertRegex(checkout.run_role(), "^reached ")
        checkout.write_sources("last")
        checkout.build()
        self.assertEqual(checkout.run_role(), "reached last\n")

    def test_leftovers_of_interrupted_builds(self) -> None:
        """Guards against leftovers that stay, or that are removed from a live build."""
        checkout = self.factory.make_built()
        old, fresh = (checkout.target / f"building-{name}" for name in ("old", "new"))
        for folder in (old, fresh):
            folder.mkdir()
        os.utime(old, (0, 0))
        checkout.write_sources("second")
        checkout.build()
        self.assertFalse(old.exists())
        self.assertTrue(fresh.exists())

    def test_former_layout_stays(self) -> None:
        """Guards against removing modules that processes of a former build use."""
        checkout = self.factory.make_built()
        former = [
            checkout.target / "app" / "pomelotrail_core",
            checkout.target / "deps",
        ]
        for folder in former:
            folder.mkdir(exist_ok=True)
            (folder / "ready").touch()
        checkout.write_sources("second")
        checkout.build()
        self.assertTrue(all((folder / "ready").exists() for folder in former))

    def test_build_of_a_built_tree_changes_nothing(self) -> None:
        """Guards against builds and starts that need to write to a finished tree."""
        checkout = self.factory.make_built()
        for path in (checkout.target, *checkout.target.rglob("*")):
            path.chmod(path.stat().st_mode & ~0o222)
        before = checkout.snapshot()
        self.assertEqual(checkout.build(), "")
        self.assertEqual(checkout.run_role(), _REACHED_FIRST)
        self.assertEqual(checkout.snapshot(), before)
        for path in (checkout.target, *checkout.target.rglob("*")):
            path.chmod(path.stat().st_mode | stat.S_IWUSR)

    def test_modules_that_are_compiled_again(self) -> None:
        """Guards against another release when a tool compiles the modules again."""
        checkout = self.factory.make_built()
        for folder in ("releases", "libraries"):
            compileall.compile_dir(checkout.target / folder, force=True, quiet=1)
        checkout.build()
        for folder in ("releases", "libraries"):
            self.assertEqual(len(list((checkout.target / folder).iterdir())), 1)

    def test_module_that_is_cut_off(self) -> None:
        """Guards against a process whose later import fails for a cut off copy."""
        checkout = self.factory.make_built()
        compiled = next(checkout.target.glob("releases/*/*/endpoint*.pyc"), None)
        compiled = compiled or next(checkout.target.rglob("http_service/**/conn*.pyc"))
        compiled.write_bytes(compiled.read_bytes()[:100])
        checkout.build()
        self.assertEqual(len(list((checkout.target / "releases").iterdir())), 2)

    def test_copy_without_modification_times(self) -> None:
        """Guards against modules that are compiled again after a copy of the tree."""
        checkout = self.factory.make_built()
        for path in checkout.target.rglob("*"):
            os.utime(path, (0, 0))
        before = checkout.snapshot()
        self.assertEqual(checkout.run_role(), _REACHED_FIRST)
        self.assertEqual(checkout.build(), "")
        self.assertEqual(checkout.snapshot(), before)

    def test_umask_of_the_user(self) -> None:
        """Guards against a tree that only the user who built it can read."""
        checkout = self.factory.make()
        checkout.build(umask=0o077)
        for path in (checkout.target, *checkout.target.rglob("*")):
            mode = path.stat().st_mode
            needed = 0o555 if path.is_dir() else 0o444
            self.assertEqual(mode & needed, needed, path)

    def test_pip_configuration_of_the_user(self) -> None:
        """Guards against options of pip that install elsewhere or not at all."""
        checkout = self.factory.make()
        elsewhere = checkout.folder / "elsewhere"
        modules = checkout.folder / "modules"
        modules.mkdir()
        (modules / "msgspec.py").write_text("raise ImportError\n")
        configuration = checkout.folder / "pip.conf"
        configuration.write_text(
            f"[global]\nuser = true\nrequire-virtualenv = true\n"
            f"[install]\ntarget = {elsewhere}\ndry-run = true\n"
        )
        checkout.build(
            environment={
                "PIP_CONFIG_FILE": str(configuration),
                "PIP_USER": "1",
                "PIP_REQUIRE_VIRTUALENV": "1",
                "PIP_TARGET": str(elsewhere),
                "PIP_PREFIX": str(elsewhere),
                "PIP_ROOT": str(elsewhere),
                "PYTHONPATH": str(modules),
            }
        )
        self.assertEqual(checkout.run_role(), _REACHED_FIRST)
        self.assertFalse(elsewhere.exists())

    def test_libraries_of_another_machine(self) -> None:
        """Guards against libraries that this machine or interpreter can't load."""
        checkout = self.factory.make_built()
        for path in list(checkout.target.rglob("*.so")):
            path.rename(path.with_name(f"{path.name.split('.')[0]}.foreign.so"))
        for kind in ("libraries", "releases", "current"):
            for path in (checkout.target / kind).glob("*"):
                path.rename(path.with_name("foreign"))
        foreign = checkout.snapshot()
        checkout.build()
        self.assertEqual(checkout.run_role(), _REACHED_FIRST)
        after = checkout.snapshot()
        folders = {str(checkout.target / name) for name in ("libraries", "releases")}
        folders |= {str(checkout.target / name) for name in ("current", "app")}
        for path in foreign.keys() - folders:
            self.assertEqual(after.get(path), foreign[path])

    def test_partial_copy(self) -> None:
        """Guards against a copied tree that lacks files, and lets others use it."""
        for pattern in ("libraries/*/msgspec", "releases/*/pomelotrail_platform"):
            with self.subTest(pattern):
                checkout = self.factory.make_built()
                (lost,) = checkout.target.glob(pattern)
                shutil.rmtree(lost)
                self.assertIn("is replaced", checkout.build())
                self.assertEqual(checkout.run_role(), _REACHED_FIRST)
                self.assertFalse(lost.exists())
                self.assertEqual(checkout.build().count("is replaced"), 1)

    def test_start_without_a_release(self) -> None:
        """Guards against a start without a release that doesn't name the remedy."""
        checkout = self.factory.make_built()
        (pointer,) = (checkout.target / "current").iterdir()
        for content in ("", "missing missing\n", None):
            with self.subTest(content):
                pointer.unlink() if content is None else pointer.write_text(content)
                fields = checkout.fail_role()
                self.assertEqual(fields["event"], "start_failed")
                self.assertEqual(fields["field"], str(pointer))
                self.assertIn("deploy/build.sh", fields["remedy"])

    def _kill_build(
        self, checkout: Checkout, is_reached: Callable[[Path], bool]
    ) -> None:
        """Kill a build when ``target/`` has a state, or let it end before."""
        build = checkout.start_build()
        while build.poll() is None and not is_reached(checkout.target):
            time.sleep(_POLL_INTERVAL_S)
        if build.poll() is None:
            os.killpg(build.pid, signal.SIGKILL)
        build.communicate()
