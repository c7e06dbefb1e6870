"""Imports between the parts of the package follow the table of dependencies in `docs/architecture.md`."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "aspensaddle"


def read_allowed_imports():
    """Return the page's table: for each part, the parts that it may import."""
    page = (ROOT / "docs/architecture.md").read_text()
    rows = re.findall(r"^\| `([\w/]+)` \|([^|]*)\|", page, re.M)
    return {part: set(re.findall(r"`([\w/]+)`", names)) for part, names in rows}


def imported_modules(file):
    """Yield the modules of the package that a file imports, each as path components below the package."""
    for node in ast.walk(ast.parse(file.read_text())):
        names = (
            [a.name for a in node.names]
            if isinstance(node, ast.Import)
            else [node.module or ""]
            if isinstance(node, ast.ImportFrom)
            else []
        )
        yield from (n.split(".")[1:] for n in names if n.startswith("aspensaddle."))


def part_of(path, parts):
    """Return the most specific part that contains a path, or None."""
    return max((p for p in parts if path[: len(p.split("/"))] == p.split("/")), key=len, default=None)


def test_modules_import_only_the_parts_that_the_table_allows():
    allowed_imports = read_allowed_imports()
    files = [f for f in PACKAGE.rglob("*.py") if f.parent != PACKAGE]
    assert len(allowed_imports) >= 8 and len(files) > 30
    for file in files:
        own_part = part_of(list(file.relative_to(PACKAGE).parts), allowed_imports)
        if file.name == "__init__.py" and own_part is None:
            continue
        assert own_part, f"{file}: docs/architecture.md does not list its part"
        for module in imported_modules(file):
            imported_part = part_of(module, allowed_imports)
            assert imported_part == own_part or imported_part in allowed_imports[own_part], (
                f"{file} imports aspensaddle.{'.'.join(module)}"
            )


def test_dependencies_in_the_table_have_no_cycle():
    allowed_imports = read_allowed_imports()
    resolved = set()
    while ready := [p for p in allowed_imports if p not in resolved and allowed_imports[p] <= resolved]:
        resolved.update(ready)
    assert resolved == set(allowed_imports)
