"""Compares the installed package with the checkout's and imports every module of it.

Run by the environment that it is installed in, with the checkout's root as the argument.
"""

from __future__ import annotations

import importlib
import importlib.metadata
import pkgutil
import sys
import traceback
from pathlib import Path

import yewrill


def shipped_files(package: Path) -> set[Path]:
    """All files of a package, relative to it, but what the interpreter wrote there."""
    return {
        path.relative_to(package)
        for path in package.rglob("*")
        if path.is_file() and "__pycache__" not in path.parts
    }


def foreign_files() -> list[str]:
    """What the distribution installs beside the package, its metadata and its command."""
    distribution = importlib.metadata.distribution("yewrill")
    own = {"yewrill", f"yewrill-{distribution.version}.dist-info", ".."}
    return sorted(str(file) for file in distribution.files or [] if file.parts[0] not in own)


def import_every_module(package: Path) -> tuple[int, list[str]]:
    """How many modules could be imported, and the names of those that could not."""
    imported, failed = 0, []
    for module in pkgutil.walk_packages([str(package)], "yewrill.", onerror=failed.append):
        try:
            importlib.import_module(module.name)
            imported += 1
        except Exception:
            traceback.print_exc()
            failed.append(module.name)
    return imported, sorted(set(failed))


def main(checkout: Path) -> int:
    """Exit status 1 if a file is missing or does not belong there, or a module can't be imported."""
    installed = Path(yewrill.__file__).parent
    if not installed.is_relative_to(sys.prefix):
        print(f"{installed} is not in this environment", file=sys.stderr)
        return 1
    missing = shipped_files(checkout / "yewrill") - shipped_files(installed)
    for path in sorted(missing):
        print(f"not installed: yewrill/{path}", file=sys.stderr)
    foreign = foreign_files()
    for path in foreign:
        print(f"not part of the package: {path}", file=sys.stderr)
    imported, failed = import_every_module(installed)
    for name in failed:
        print(f"cannot be imported: {name}", file=sys.stderr)
    print(f"installed: {imported} modules imported, {len(failed)} failed, {len(missing)} missing")
    return 1 if missing or foreign or failed or not imported else 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))
