"""Tests of the build script, with a stand-in for the interpreter."""

import os
import shutil
import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from tests.common import function_suite

ROOT = Path(__file__).parents[2]
# Tells its kind, and installs a library that only its own kind can import.
PYTHON = """#!/bin/sh
case "$*" in
  *get_platform*) echo "# $KIND" ;;
  *pip*) mkdir -p target/deps; echo "$KIND" > target/deps/kind; echo install >> calls ;;
  *"import httptools"*) [ "$(cat target/deps/kind)" = "$KIND" ] && [ -z "${BROKEN:-}" ] ;;
esac
"""


@contextmanager
def _checkout() -> Iterator[Path]:
    """Yield a checkout with the build script and two source files."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        shutil.copytree(ROOT / "deploy", folder / "deploy")
        for package in ("packages/wisteriarock/src/wisteriarock", "platform/wisteriaplatform"):
            (folder / package).mkdir(parents=True)
            (folder / package / "__init__.py").write_text("")
        (folder / "bin").mkdir()
        (folder / "bin" / "python3").write_text(PYTHON)
        (folder / "bin" / "python3").chmod(0o755)
        yield folder


def _build(folder: Path, kind: str, **environment: str) -> int:
    path = f"{folder / 'bin'}:{os.environ['PATH']}"
    command = ["sh", str(folder / "deploy" / "build.sh")]
    variables = {**os.environ, "PATH": path, "KIND": kind, **environment}
    return subprocess.run(command, env=variables, check=False).returncode


def _count_installs(folder: Path) -> int:
    return (folder / "calls").read_text().count("install")


def test_libraries_of_another_kind_of_machine_are_replaced():
    """Guards against processes that do not start as `target` was built elsewhere."""
    with _checkout() as folder:
        assert _build(folder, "cpython-311 linux-x86_64") == 0
        assert _build(folder, "cpython-311 linux-x86_64") == 0
        assert _count_installs(folder) == 1
        assert _build(folder, "cpython-311 linux-aarch64") == 0
        assert _build(folder, "cpython-313 linux-aarch64") == 0
        assert _count_installs(folder) == 3
        assert (folder / "target/deps/kind").read_text().strip() == "cpython-313 linux-aarch64"
        assert (folder / "target/deps/wisteriaplatform/__init__.py").exists()


def test_incomplete_build_is_repaired():
    """Guards against processes that do not start as a part of `target` is missing."""
    with _checkout() as folder:
        assert _build(folder, "kind") == 0
        shutil.rmtree(folder / "target/deps/wisteriarock")
        assert _build(folder, "kind") == 0
        assert (folder / "target/deps/wisteriarock/__init__.py").exists()
        shutil.rmtree(folder / "target/deps")
        assert _build(folder, "kind") == 0
        assert (folder / "target/deps/wisteriarock/__init__.py").exists()
        assert _count_installs(folder) == 2


def test_libraries_that_cannot_be_imported_fail_the_build():
    """Guards against a build that succeeds although no process can start."""
    with _checkout() as folder:
        assert _build(folder, "kind", BROKEN="1") != 0
        assert _build(folder, "kind") == 0


load_tests = function_suite(globals())
