"""The example in the README runs, and the library and the program do not import optional dependencies."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_readme_example_runs():
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    exec(compile(code, "README.md", "exec"), {})


def test_library_imports_neither_the_adapter_nor_its_dependencies():
    code = (
        "import sys; sys.modules['orjson'] = None; import aspensaddle, sys as s; "
        "assert not any(n.startswith('aspensaddle.simulator_adapter') for n in s.modules)"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)


def test_program_does_not_import_libraries_of_disabled_parts():
    """The platform starts the program without the optional parts, so it must not load their libraries."""
    code = (
        "import aspensaddle.__main__, sys; "
        "assert not {'aioquic', 'cryptography', 'crossplane', 'aspensaddle.frontends.quic.engine'} & set(sys.modules)"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)
