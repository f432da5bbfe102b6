"""The program that the users' platform starts."""

from __future__ import annotations

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
# Imports the program while only the packages of the deployment are there.
_IMPORT = """
import importlib.abc
import sys

class Blocker(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path=None, target=None):
        top = name.partition(".")[0]
        if top in BLOCKED:
            raise ModuleNotFoundError(name)
        return None

BLOCKED = set(sys.argv[1].split(","))
sys.meta_path.insert(0, Blocker())
import laburnumpin.platform.__main__
"""


def _names(path: pathlib.Path) -> set[str]:
    names = set()
    for line in path.read_text().splitlines():
        name = line.partition("#")[0].partition("==")[0].strip()
        if name:
            names.add(name.lower())
    return names


# Every entry ended at its start: a module of the program needed a library that
# is installed for tests only.
def test_program_needs_only_the_requirements_of_the_deployment() -> None:
    required = _names(ROOT / "requirements.txt")
    others = _names(ROOT / "constraints.txt") - required
    assert "cattrs" in others
    blocked = {name.replace("-", "_") for name in others}
    # What the requirements themselves need.
    blocked -= {"attrs", "idna", "pyrsistent", "boltons", "orjson", "pbr"}
    blocked -= {"typing_extensions", "zope.interface", "zope_interface"}
    result = subprocess.run(
        [sys.executable, "-c", _IMPORT, ",".join(sorted(blocked))],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert result.returncode == 0, result.stderr
