"""Effect of `KNOWN-RED.txt` on a pytest run: listed failures are expected, and errors in the list fail the run."""

import os
import subprocess
import sys

import pytest
from standins import ROOT

TESTS = """
def test_red(): assert 1 == 2
def test_green(): pass
"""


def run_pytest(folder, known_failures, *arguments):
    (folder / "tests").mkdir()
    # The hooks alone, without the fixtures of the real conftest.py.
    (folder / "tests/conftest.py").write_text((ROOT / "tests/known_red.py").read_text())
    (folder / "tests/test_x.py").write_text(TESTS)
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (folder / "KNOWN-RED.txt").write_text(known_failures)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-rx", "-p", "no:cacheprovider", *arguments],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"},
    )
    return completed.returncode, completed.stdout + completed.stderr


def test_listed_failure_is_expected_and_printed_with_its_symptom(tmp_path):
    exit_code, output = run_pytest(tmp_path, "tests/test_x.py::test_red | - | numbers differ | 28\n")
    assert exit_code == 0 and "1 passed, 1 xfailed" in output and "numbers differ (issue 28)" in output


@pytest.mark.parametrize(
    ("known_failures", "message"),
    [
        ("", "1 failed"),
        ("tests/test_x.py::test_red | - | c | 1\ntests/test_x.py::test_green | - | c | 1\n", "XPASS(strict)"),
        (
            "tests/test_x.py::test_red | - | c | 1\ntests/test_x.py::test_gone | - | c | 1\n",
            "no such test: tests/test_x.py::test_gone",
        ),
        ("tests/test_x.py::test_red | c | 1\n", "expected TEST OR COMMAND | SEED"),
        ("tests/test_x.py::test_red | - | c | ROADMAP\n", "with a numeric issue"),
        ("tests/test_x.py::test_red | - |  | 1\n", "expected TEST OR COMMAND | SEED"),
        ("tests/test_x.py::test_red\n", "expected TEST OR COMMAND | SEED"),
    ],
)
def test_unlisted_failure_or_wrong_list_fails_the_run(tmp_path, known_failures, message):
    exit_code, output = run_pytest(tmp_path, known_failures)
    assert exit_code != 0 and message in output


def test_listed_command_is_printed_and_affects_no_test(tmp_path):
    exit_code, output = run_pytest(
        tmp_path, "tests/test_x.py::test_red | - | c | 1\nlbreal --panel brink | 7 | the drain rule is broken | 35\n"
    )
    assert exit_code == 0 and "1 passed, 1 xfailed" in output
    assert "lbreal --panel brink - seed 7: the drain rule is broken (issue 35)" in output


def test_list_with_more_than_three_entries_is_accepted(tmp_path):
    command_lines = "".join(f"python -m tests.soak --seed {seed} | {seed} | drain | 40\n" for seed in range(5))
    exit_code, output = run_pytest(tmp_path, f"tests/test_x.py::test_red | - | c | 1\n{command_lines}")
    assert exit_code == 0 and output.count("KNOWN RED, not run here") == 5


def test_conftest_of_this_run_provides_the_collection_hook(pytestconfig):
    assert any(
        hasattr(plugin, "pytest_collection_modifyitems") and plugin.__name__ == "conftest"
        for plugin in pytestconfig.pluginmanager.get_plugins()
        if hasattr(plugin, "__name__")
    )
