"""The README's example, and what importing the library and the program does not load."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_readme_example_runs():
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    exec(compile(code, "README.md", "exec"), {})


def test_library_needs_neither_adapter_nor_its_dependencies():
    code = (
        "import sys; sys.modules['orjson'] = None; import aspensaddle, sys as s; "
        "assert not any(n.startswith('aspensaddle.simulator_adapter') for n in s.modules)"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)


def test_what_is_off_is_not_imported():
    """The platform starts the program with the operator's files off: it pays for no library of theirs."""
    code = (
        "import aspensaddle.__main__, sys; "
        "assert not {'aioquic', 'cryptography', 'crossplane', 'aspensaddle.frontends.quic.engine'} & set(sys.modules)"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)
